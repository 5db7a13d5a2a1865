// Package tally counts, second by second, what the logs of a whole fleet tell: what no proxy sees alone. It reads what
// beechwing writes at level debug, and believes nothing else.
package tally

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLine    = 1 << 20
	longestAttempt = 600_000 // milliseconds; what took longer counts as that
	// A host counts as bad in a second in which badShare of badLeast or more attempts on it failed or were late.
	badShare, badLeast = 0.5, 4
)

// Second is what all proxies together did in one second.
type Second struct {
	Attempts, Again      int            // sent, and those of them that were not a request's first
	Results              map[string]int // of attempts, by the log's word
	Served, Refused      int            // answers
	Failed               int
	ListOK, ListFailed   int // calls for the list
	ListLeft             int // those that were given up to leave a watch
	Ejections, ZonesOut  int
	Panics, Starts       int
	Accepted, Ended      int // connections of clients, health calls among them
	Read                 int // requests, health calls not among them
	BadHosts, OnBadHosts int // hosts that were bad in it, and the attempts on them
	hosts                map[string]*record
}

// record is what came back from one host.
type record struct {
	all, bad, timedOut int
	took               *hdrhistogram.Histogram // of attempts however they ended, in milliseconds
}

func newRecord() *record { return &record{took: hdrhistogram.New(1, longestAttempt, 2)} }

// Table holds the seconds by their number.
type Table struct {
	Seconds map[int]*Second
	Skipped int       // lines that are no log lines
	zero    time.Time // of lines that carry no time but their own
}

// line is a log line; fields that it lacks stay empty.
type line struct {
	TS      string  `json:"ts"`
	Msg     string  `json:"msg"`
	Result  string  `json:"result"`
	Host    string  `json:"host"`
	Attempt int     `json:"attempt"`
	Took    float64 `json:"took"` // seconds
	Status  int     `json:"status"`
	Error   string  `json:"error"`
	Left    bool    `json:"left"`
}

// Folder counts all files that end in .log. A line may begin with seconds since the start of the day; else its own time
// counts, from the first one that is read.
func Folder(dir string) (*Table, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("%s: no file ends in .log", dir)
	}
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	t := &Table{Seconds: map[int]*Second{}}
	for _, name := range names {
		if err := t.file(name); err != nil {
			return nil, err
		}
	}
	t.findBad()
	return t, nil
}

func (t *Table) file(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		t.read(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// read counts one line.
func (t *Table) read(text []byte) {
	at := bytes.IndexByte(text, '{')
	var l line
	if at < 0 || json.Unmarshal(text[at:], &l) != nil || l.Msg == "" {
		t.Skipped++
		return
	}
	s, known := t.second(string(bytes.TrimSpace(text[:at])), l.TS)
	if !known {
		t.Skipped++
		return
	}
	s.count(l)
}

func (t *Table) second(prefix, stamp string) (*Second, bool) {
	at, err := strconv.ParseFloat(prefix, 64)
	if err != nil {
		when, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
		if err != nil {
			return nil, false
		}
		if t.zero.IsZero() {
			t.zero = when
		}
		at = when.Sub(t.zero).Seconds()
	}
	n := int(at)
	if t.Seconds[n] == nil {
		t.Seconds[n] = &Second{Results: map[string]int{}, hosts: map[string]*record{}}
	}
	return t.Seconds[n], true
}

func (s *Second) count(l line) {
	switch l.Msg {
	case "attempt":
		s.attempt(l)
	case "answered":
		switch l.Status {
		case 200:
			s.Served++
		case 429, 503:
			s.Refused++
		default:
			s.Failed++
		}
	case "list call":
		switch {
		case l.Left:
			s.ListLeft++
		case l.Error == "":
			s.ListOK++
		default:
			s.ListFailed++
		}
	case "listening":
		s.Starts++
	case "accepted":
		s.Accepted++
	case "connection ended":
		s.Ended++
	case "request read":
		s.Read++
	default:
		for word, n := range map[string]*int{"ejected ": &s.Ejections, "zone ": &s.ZonesOut, "panic: ": &s.Panics} {
			if len(l.Msg) > len(word) && l.Msg[:len(word)] == word {
				*n++
			}
		}
	}
}

func (s *Second) attempt(l line) {
	s.Attempts++
	if l.Attempt > 0 {
		s.Again++
	}
	s.Results[l.Result]++
	h := s.hosts[l.Host]
	if h == nil {
		h = newRecord()
		s.hosts[l.Host] = h
	}
	h.all++
	h.took.RecordValue(min(longestAttempt, max(1, int64(l.Took*1000))))
	if l.Result == "timed out" {
		h.timedOut++
	}
	if l.Result == "error" || l.Result == "timed out" {
		h.bad++
	}
}

func (t *Table) findBad() {
	for _, s := range t.Seconds {
		for _, h := range s.hosts {
			if h.all >= badLeast && float64(h.bad) >= badShare*float64(h.all) {
				s.BadHosts++
				s.OnBadHosts += h.all
			}
		}
	}
}

// Write prints the table.
func (t *Table) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "s\tstarts\taccepted\tended\tread\tserved\trefused\tfailed\tattempts\tagain\terror\ttimed out\tturned away\tnot connected\treset\t"+
		"bad hosts\ton them\tejected\tzone out\tpanic\tlist ok\tlist failed\tlist left\t")
	for _, n := range slices.Sorted(maps.Keys(t.Seconds)) {
		s := t.Seconds[n]
		for _, v := range []int{n, s.Starts, s.Accepted, s.Ended, s.Read, s.Served, s.Refused, s.Failed, s.Attempts, s.Again, s.Results["error"],
			s.Results["timed out"], s.Results["turned away"], s.Results["not connected"], s.Results["reset"],
			s.BadHosts, s.OnBadHosts, s.Ejections, s.ZonesOut, s.Panics, s.ListOK, s.ListFailed, s.ListLeft} {
			fmt.Fprintf(w, "%d\t", v)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// WriteHosts prints a row for each host and second: which crowd while others idle shows in no sum over all of them.
func (t *Table) WriteHosts(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "s\thost\tattempts\ttimed out\tmedian ms\t")
	for _, n := range slices.Sorted(maps.Keys(t.Seconds)) {
		hosts := t.Seconds[n].hosts
		for _, name := range slices.Sorted(maps.Keys(hosts)) {
			h := hosts[name]
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t\n", n, name, h.all, h.timedOut, h.took.ValueAtQuantile(50))
		}
	}
	return w.Flush()
}
