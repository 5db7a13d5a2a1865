package validate

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// manyRoutes returns a valid configuration with the given number of routes more than validConfig.
func manyRoutes(routes int) []byte {
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"r%d","depot":"h%d.example","lanePrefix":"/p%d/","routeKind":"safe","timeoutMs":500,`+
			`"targetMs":200,"carrier":"s2","tries":2},`, i, i, i)
	}
	return []byte(strings.Replace(validConfig, `"itineraries":[`, `"itineraries":[`+more.String(), 1))
}

// A server that checks a large configuration goes on with its other work meanwhile, on one processor too.
func TestCheckOfManyRoutesLetsOtherWorkRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const routes = 400
	var turns atomic.Int64
	var done atomic.Bool
	go func() {
		for !done.Load() {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	_, err := New().Check(manyRoutes(routes))
	done.Store(true)
	if err != nil {
		t.Fatal(err)
	}
	if want := int64(routes / maxBatch); turns.Load() < want {
		t.Errorf("other work had %d turns while %d routes were checked, want %d", turns.Load(), routes, want)
	}
}

// What stands in the configuration in force was checked before, so a change is not refused or delayed because of it.
func TestPartsInForceAreNotCheckedAgain(t *testing.T) {
	inForce := strings.Replace(validConfig, `"lanePrefix":"/x/y/"`, `"lanePrefix":"x"`, 1)
	v := New()
	if _, err := v.Check([]byte(inForce)); err == nil {
		t.Fatal("a part that the rules forbid is accepted")
	}
	v.Trust([]byte(inForce))
	if _, err := v.Check([]byte(strings.Replace(inForce, `"r7"`, `"r8"`, 1))); err != nil {
		t.Errorf("a part in force is refused: %v", err)
	}
	changed := strings.Replace(inForce, `"timeoutMs":600`, `"timeoutMs":601`, 1)
	if _, err := v.Check([]byte(changed)); err == nil {
		t.Error("a part that differs from the one in force is not checked")
	}
}

func BenchmarkCheckOfManyRoutes(b *testing.B) {
	text := manyRoutes(1210)
	for b.Loop() {
		if _, err := New().Check(text); err != nil {
			b.Fatal(err)
		}
	}
}
