package main

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestIdle runs a small version of the experiment on the program as built. It checks that idle connections stay open beside
// steady traffic, end at their idle timeout and at SIGTERM, and that no request goes unanswered or runs twice.
func TestIdle(t *testing.T) {
	var out bytes.Buffer
	e := &idleExperiment{binary: buildProgram(t), idleCounts: []int{40}, idleCount: 60, nodes: 2, rate: 100,
		span: 500 * time.Millisecond, repeats: 1,
		memoryMB: 64, wakeWithin: 100 * time.Millisecond, settle: 50 * time.Millisecond, idleTimeout: 2 * time.Second, out: &out}
	if err := e.run(t.Context()); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	var rows [][]string // rows of figures; headings are left out
	for line := range strings.Lines(out.String()) {
		if f := strings.Fields(line); len(f) > 4 && regexp.MustCompile(`^\d+$`).MatchString(f[0]) {
			rows = append(rows, f)
		}
	}
	number := func(row, column int) int {
		n, err := strconv.Atoi(rows[row][column])
		if err != nil {
			t.Fatalf("row %d: %v\n%s", row, err, &out)
		}
		return n
	}
	if len(rows) != 9 {
		t.Fatalf("%d rows\n%s", len(rows), &out)
	}
	for _, c := range []struct {
		what              string
		row, column, want int
	}{
		{"held and standing", 1, 1, 40},
		{"standing beside steady traffic", 3, 0, 60},
		{"left after their idle time", 5, 2, 0},
		{"unanswered beside that", 5, 5, 0},
		{"left after SIGTERM", 6, 2, 0},
		{"unanswered beside that", 6, 5, 0},
		{"unanswered of those that woke", 7, 5, 0},
		{"ran twice", 7, 10, 0},
		{"unanswered of those that woke at once", 8, 5, 0},
		{"ran twice", 8, 10, 0},
	} {
		if got := number(c.row, c.column); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
	if t.Failed() {
		t.Log(out.String())
	}
}
