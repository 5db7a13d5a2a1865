package validate

import (
	"fmt"
	"strings"
	"testing"
)

const good = `{"edition":"r7","itineraries":[` +
	`{"name":"a","depot":"h.example","lanePrefix":"/x/","routeKind":"safe","timeoutMs":500,"targetMs":200,"precedence":2,` +
	`"allotment":[{"carrier":"s1","share":90},{"carrier":"s2","share":10}],"tries":2},` +
	`{"name":"b","depot":"h.example","lanePrefix":"/x/y/","routeKind":"tracked","timeoutMs":600,"targetMs":250,` +
	`"precedence":1,"carrier":"s2","tries":2}],` +
	`"carriers":[{"name":"s1","healthPath":"/health","berthCap":110,"protocol":"h1","sealed":false,"dedupSelf":false},` +
	`{"name":"s2"}],"sizeLimits":{"headerBytes":16384,"bodyBytes":67108864,"headerWaitMs":3000,"idleWaitMs":15000}}`

// Each kind of invalid configuration in the operators' specification is refused with an error that names the field.
func TestCheckNamesTheField(t *testing.T) {
	v := New()
	if n, err := v.Check([]byte(good)); err != nil || n != 7 {
		t.Fatalf("the good one: %d, %v", n, err)
	}
	for _, c := range []struct{ from, to, says string }{
		{`"carrier":"s2","tries"`, `"carrier":"s9","tries"`, "s9"},
		{`{"carrier":"s1","share":90}`, `{"carrier":"s9","share":90}`, "s9"},
		{`"share":90},{"carrier":"s2","share":10`, `"share":0},{"carrier":"s2","share":0`, "weights"},
		{`"precedence":1,"carrier":"s2","tries":2`, `"precedence":1,"carrier":"s2","tries":0`, "tries"},
		{`"routeKind":"tracked"`, `"routeKind":"sometimes"`, "routeKind"},
		{`"edition":"r7"`, `"edition":"7"`, "edition"},
		{`"idleWaitMs":15000}}`, `"idleWaitMs":150`, "in full"},
		{`"carrier":"s2","tries"`, `"tries"`, "carrier"},
		{`"lanePrefix":"/x/y/"`, `"lanePrefix":"x"`, "lanePrefix"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if text == good {
			t.Fatalf("nothing to replace: %s", c.from)
		}
		_, err := v.Check([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want an error that names %s", c.to, err, c.says)
		}
	}
}

// The cache of a validator is bounded, and it goes on checking when that is full.
func TestCheckForgets(t *testing.T) {
	v := New()
	for i := range mostKnown + 10 {
		v.known[uint64(i)] = true
	}
	if _, err := v.Check([]byte(good)); err != nil {
		t.Fatal(err)
	}
	if len(v.known) > 100 {
		t.Fatalf("%d pieces known", len(v.known))
	}
}

func BenchmarkCheck(b *testing.B) {
	v := New()
	for i := range b.N {
		if _, err := v.Check([]byte(strings.ReplaceAll(good, `"/x/`, fmt.Sprintf(`"/x%d/`, i)))); err != nil {
			b.Fatal(err)
		}
	}
}
