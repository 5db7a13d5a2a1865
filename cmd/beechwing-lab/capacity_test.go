package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCapacity plays the experiment in small: both sweeps have their tables, the file has what they come
// from, and the plot is drawn.
func TestCapacity(t *testing.T) {
	var out, notes bytes.Buffer
	dir := t.TempDir()
	s := &sizing{
		proxies: []int{6, 12}, servers: 3, members: []int{3, 5}, membersAt: 6, seeds: 1,
		quiet: 1, calls: 0.1, changes: 1,
		csv: filepath.Join(dir, "all.csv"), plot: filepath.Join(dir, "growth.png"), out: &out, notes: &notes,
	}
	if err := s.run(); err != nil {
		t.Fatalf("%v\n%s", err, &notes)
	}
	for _, want := range []string{
		"by proxies, with 3 control servers", "by control servers, with 6 proxies", "proxy: bytes, quiet",
		"change: in force everywhere", "claim: disk syncs of all servers",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
	counted, err := os.ReadFile(s.csv)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"pull proxy to server", "accept server to server", "tick of proxy"} {
		if !bytes.Contains(counted, []byte(want)) {
			t.Errorf("%q is missing in the file", want)
		}
	}
	if drawn, err := os.Stat(s.plot); err != nil || drawn.Size() == 0 {
		t.Errorf("the plot: %v", err)
	}
}
