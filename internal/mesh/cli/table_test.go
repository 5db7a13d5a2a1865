package cli

import (
	"strings"
	"testing"
)

// printTable prints single values sorted by name, and lists as tables with the standard columns first. Text that is no state
// gives an error.
func TestTable(t *testing.T) {
	var b strings.Builder
	err := printTable([]byte(`{"edition":7,"silent":null,"counts":{"answers":{"200":5},"runs":2.5},
		"roll":[{"zone":"a","source":"p1","berths":6},{"source":"p2","zone":"","leaving":true}]}`), &b)
	if err != nil {
		t.Fatal(err)
	}
	want := `counts   answers=(200=5) runs=2.5
edition  7
silent   -

roll
source  zone  berths  leaving
p1      a     6       -
p2      -     -       true
`
	if b.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
	if err := printTable([]byte("not now"), &b); err == nil {
		t.Error("no error for a text that is no state")
	}
}
