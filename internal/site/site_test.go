package site

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestParse checks that the fields of a file replace the defaults.
func TestParse(t *testing.T) {
	f, err := Parse("site.toml", []byte("[connections]\ncallers = \"address\"\nidle = \"8h\"\nlimit = 9000\n"))
	if err != nil || f.Connections.Callers != CallersAddress || f.Connections.Limit != 9000 ||
		f.Connections.Idle != Duration(8*time.Hour) || f.Connections.IdleFull != Default().Connections.IdleFull {
		t.Fatalf("%+v, %v", f, err)
	}
	if f, err := Parse("site.toml", nil); err != nil || !reflect.DeepEqual(f, Default()) {
		t.Fatalf("an empty file: %+v, %v", f, err)
	}
}

// TestShipped checks that the file in deploy/ contains exactly the defaults.
func TestShipped(t *testing.T) {
	if f, err := Load("../../deploy/site.toml"); err != nil || !reflect.DeepEqual(f, Default()) {
		t.Fatalf("%+v, %v", f, err)
	}
}

// TestFaults checks that each fault is one line with file, line and field, and that all faults of a kind are reported at once.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"unknown fields", "[connections]\nlimits = 3\n\n[conections]\n",
			[]string{"site.toml:2: connections.limits: no such field", "site.toml:4: conections: no such field"}},
		{"wrong type", "[connections]\nlimit = \"many\"\n", []string{"site.toml:2: connections.limit: "}},
		{"no time", "[connections]\n\nidle = \"soon\"\n", []string{"site.toml:3: connections.idle: "}},
		{"not TOML", "[connections]\nidle\n", []string{"site.toml:2: "}},
		{"values", "[connections]\n# odd ones\ncallers = \"all\"\nlimit = -1\nidle = \"1s\"\nidle_full = \"1m\"\nfirst = \"0s\"\n",
			[]string{"site.toml:3: connections.callers: ", "site.toml:4: connections.limit: ", "site.toml:5: connections.idle: ",
				"site.toml:6: connections.idle_full: ", "site.toml:7: connections.first: "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("site.toml", []byte(c.text))
			if err == nil {
				t.Fatal("the file was accepted")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(c.want) {
				t.Fatalf("got %d lines of errors: %v", len(lines), err)
			}
			for i, want := range c.want {
				if !strings.HasPrefix(lines[i], want) {
					t.Errorf("%q, want %q", lines[i], want)
				}
			}
		})
	}
}

// FuzzParse checks that no text makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add("[connections]\nidle = \"8h\"\n")
	f.Add("connections.limit = -1\nconnections.callers = 'x'")
	f.Fuzz(func(t *testing.T, text string) { Parse("site.toml", []byte(text)) })
}

// TestRegions checks that zones without a region share one, and that a zone or a region name may occur only once.
func TestRegions(t *testing.T) {
	f, err := Parse("site.toml", []byte("[failover]\nmode = \"alone\"\n[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\n"))
	if err != nil || f.Region("b") != "north" || f.Region("c") != f.Region("d") || f.Failover.Mode != FailoverAlone {
		t.Fatalf("%+v, %v", f, err)
	}
	_, err = Parse("site.toml", []byte("[failover]\nmode = \"both\"\n[[region]]\nname = \"north\"\nzones = [\"a\"]\n[[region]]\nname = \"north\"\nzones = [\"a\"]\n"))
	for _, want := range []string{"failover.mode", "region.1.name", "region.1.zones"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not name %s", err, want)
		}
	}
}
