package validate

import (
	"fmt"
	"strings"
	"testing"
)

const validConfig = `{"edition":"r7","itineraries":[` +
	`{"name":"a","depot":"h.example","lanePrefix":"/x/","routeKind":"safe","timeoutMs":500,"targetMs":200,"precedence":2,` +
	`"allotment":[{"carrier":"s1","share":90},{"carrier":"s2","share":10}],"tries":2},` +
	`{"name":"b","depot":"h.example","lanePrefix":"/x/y/","routeKind":"tracked","timeoutMs":600,"targetMs":250,` +
	`"precedence":1,"carrier":"s2","tries":2}],` +
	`"carriers":[{"name":"s1","healthPath":"/health","berthCap":110,"protocol":"h1","sealed":false,"dedupSelf":false},` +
	`{"name":"s2"}],"sizeLimits":{"headerBytes":16384,"bodyBytes":67108864,"headerWaitMs":3000,"idleWaitMs":15000}}`

// Check rejects each kind of invalid configuration in the operators' specification with an error that names the field.
func TestCheckNamesTheField(t *testing.T) {
	v := New()
	if n, err := v.Check([]byte(validConfig)); err != nil || n != 7 {
		t.Fatalf("valid configuration: version %d, error %v", n, err)
	}
	for _, c := range []struct{ from, to, want string }{
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
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig {
			t.Fatalf("not part of the valid configuration: %s", c.from)
		}
		_, err := v.Check([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error that names %s", c.to, err, c.want)
		}
	}
}

// A validator empties its cache when the cache is full, and continues to check configurations.
func TestCheckForgets(t *testing.T) {
	v := New()
	for i := range maxCached + 10 {
		v.valid[uint64(i)] = true
	}
	if _, err := v.Check([]byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	if len(v.valid) > 100 {
		t.Fatalf("%d parts cached", len(v.valid))
	}
}

func BenchmarkCheck(b *testing.B) {
	v := New()
	for i := range b.N {
		if _, err := v.Check([]byte(strings.ReplaceAll(validConfig, `"/x/`, fmt.Sprintf(`"/x%d/`, i)))); err != nil {
			b.Fatal(err)
		}
	}
}
