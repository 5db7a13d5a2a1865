package validate

import (
	"strings"
	"testing"

	"beechwing/internal/mesh/routeconfig"
)

// TestCheckRefusesWhatProxiesCannotRead guards against a configuration that is acknowledged although no proxy can read it, or
// that proxies read differently than it was checked. A proxy that starts after such an acknowledgement serves nothing.
func TestCheckRefusesWhatProxiesCannotRead(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"a brace too many":             {`15000}}`, `15000}}}`, "in full"},
		"a bracket too many":           {`15000}}`, `15000}}]`, "in full"},
		"a second value":               {`15000}}`, `15000}}{}`, "in full"},
		"a brace after white space":    {`15000}}`, "15000}}\n}", "in full"},
		"a limit beyond its type":      {`"bodyBytes":67108864`, `"bodyBytes":99999999999999999999`, "bodyBytes"},
		"a limit in other case":        {`"bodyBytes":67108864`, `"bodyBytes":1,"BodyBytes":2`, "BodyBytes"},
		"a service's field beyond its": {`"berthCap":110`, `"berthCap":99999999999999999999`, "berthCap"},
		"tries twice, in other case":   {`"carrier":"s2","tries":2`, `"carrier":"s2","tries":2,"Tries":0`, "Tries"},
		"tries only in other case":     {`"carrier":"s2","tries":2`, `"carrier":"s2","TRIES":2`, "tries"},
		"a carrier in other case":      {`"carrier":"s2","tries":2`, `"carrier":"s2","Carrier":"s1","tries":2`, "Carrier"},
		"a long s in a field's name":   {`"carrier":"s2","tries":2`, `"carrier":"s2","tries":2,"trieſ":0`, "trieſ"},
		"a carrier in an allotment":    {`{"carrier":"s1","share":90}`, `{"carrier":"s1","cArrier":"s2","share":90}`, "cArrier"},
		"a service's name twice":       {`{"name":"s2"}`, `{"name":"s3","name":"s2"}`, "name"},
		"a service's name as Name":     {`{"name":"s2"}`, `{"name":"s2","Name":"s3"}`, "Name"},
		"itineraries twice":            {`"carriers":[`, `"itineraries":[],"carriers":[`, "itineraries"},
		"itineraries as Itineraries":   {`"carriers":[`, `"Itineraries":[],"carriers":[`, "Itineraries"},
		"limits twice":                 {`"sizeLimits":{`, `"sizeLimits":{"headerBytes":1},"sizeLimits":{`, "sizeLimits"},
		"edition as Edition":           {`"edition":"r7"`, `"edition":"r7","Edition":"r8"`, "Edition"},
		"edition r0":                   {`"edition":"r7"`, `"edition":"r0"`, "r0"},
		"weights that are read as 0":   {`"share":90},{"carrier":"s2","share":10`, `"share":1e-400},{"carrier":"s2","share":0`, "weights"},
		"weights beyond all numbers":   {`"share":90},{"carrier":"s2","share":10`, `"share":1e308},{"carrier":"s2","share":1e308`, "weights"},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig {
			t.Fatalf("%s: not part of the valid configuration: %s", name, c.from)
		}
		_, err := New().Check([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error that names %s", name, err, c.want)
		}
	}
}

// TestCheckAcceptsUnknownFields checks that fields which nobody reads may have any value, whatever names are in it.
func TestCheckAcceptsUnknownFields(t *testing.T) {
	for _, extra := range []string{`"other":"h2"`, `"new":1,"New":{"tries":0,"Tries":1}`, `"more":[{"name":"","Name":2}]`} {
		for _, at := range []string{`"edition":"r7"`, `"name":"a"`, `"name":"s1"`, `"headerBytes":16384`, `"share":90`} {
			text := strings.Replace(validConfig, at, at+","+extra, 1)
			if _, err := New().Check([]byte(text + " \r\n\t")); err != nil {
				t.Errorf("%s after %s: %v", extra, at, err)
			}
		}
	}
}

// FuzzCheckedIsRead checks that whatever is accepted can be read by proxies, and is the version that was acknowledged.
func FuzzCheckedIsRead(f *testing.F) {
	for _, text := range []string{validConfig, validConfig + "}", validConfig + "]", strings.ToUpper(validConfig),
		strings.ReplaceAll(validConfig, "2", "1e2"), strings.ReplaceAll(validConfig, "s2", `\ud800`),
		strings.ReplaceAll(validConfig, "0", "-0.0e-999"), strings.Replace(validConfig, `"tries"`, `"tries":null,"tries"`, 1)} {
		f.Add(text)
	}
	v := New()
	f.Fuzz(func(t *testing.T, text string) {
		version, err := v.Check([]byte(text))
		if err != nil {
			return
		}
		table, err := routeconfig.Compile([]byte(text))
		if err != nil {
			t.Fatalf("accepted, but not readable: %v", err)
		}
		if table.Version != version {
			t.Fatalf("accepted as version %d, read as %d", version, table.Version)
		}
		for _, r := range table.Config.Routes {
			if r.MaxAttempts < 1 || r.Service == "" && len(r.Shares) == 0 || table.Service(r.ServiceFor("key")) == nil {
				t.Fatalf("accepted, but read as %+v", r)
			}
		}
	})
}
