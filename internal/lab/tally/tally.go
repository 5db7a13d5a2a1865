// Package tally aggregates the debug logs of all proxies of a fleet into counts per second, which show what no single proxy
// can see. Its only input is the log that beechwing writes at level debug. Folder reads the logs into a Table, which Write
// and WriteHosts print.
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
	longestLine    = 1 << 20 // bytes
	longestAttempt = 600_000 // milliseconds; longer attempts are recorded with this duration
	// A host counts as bad in a second with at least badMinAttempts attempts on it, of which at least the share badShare
	// failed or timed out.
	badShare, badMinAttempts = 0.5, 4
)

// Second holds the counts of all proxies for one second.
type Second struct {
	Attempts, Retries         int            // all attempts, and those of them that are retries
	Results                   map[string]int // attempts by the result in the log
	Served, Refused           int            // answers with status 200; with 429 or 503
	Failed                    int            // answers with any other status
	ListOK, ListFailed        int            // calls to the list service
	ListLeft                  int            // watches that the proxy gave up; not among ListFailed
	Ejections, ZonesOut       int
	Panics, Starts            int // starts of panic mode; starts of proxies
	Accepted, Ended           int // connections of clients, health checks included
	Read                      int // requests read, health checks excluded
	BadHosts, BadHostAttempts int // hosts that count as bad, and the attempts on them
	hosts                     map[string]*hostRecord
}

// hostRecord holds the attempts on one host within one second.
type hostRecord struct {
	all, bad, timedOut int
	took               *hdrhistogram.Histogram // duration of all attempts in milliseconds, whatever their result
}

func newHostRecord() *hostRecord { return &hostRecord{took: hdrhistogram.New(1, longestAttempt, 2)} }

// Table holds the seconds by their number, counted from the start of the day or of the logs.
type Table struct {
	Seconds   map[int]*Second
	Skipped   int       // lines that could not be parsed as log lines
	firstTime time.Time // start of second 0 for lines without a prefix: the first timestamp read
}

// line is a parsed log line. Fields that the line does not have stay empty.
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

// Folder aggregates all files of a directory that end in .log. The prefix of a line may give the time in seconds since the
// start of the day. For a line without such a prefix the time is its own timestamp, relative to the first timestamp read.
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

// read parses and counts one line.
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

// second returns the Second to which a line belongs, by its prefix or else by its timestamp. It returns false if neither
// can be parsed.
func (t *Table) second(prefix, stamp string) (*Second, bool) {
	at, err := strconv.ParseFloat(prefix, 64)
	if err != nil {
		when, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
		if err != nil {
			return nil, false
		}
		if t.firstTime.IsZero() {
			t.firstTime = when
		}
		at = when.Sub(t.firstTime).Seconds()
	}
	n := int(at)
	if t.Seconds[n] == nil {
		t.Seconds[n] = &Second{Results: map[string]int{}, hosts: map[string]*hostRecord{}}
	}
	return t.Seconds[n], true
}

// count adds a line to the counts.
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
		for prefix, n := range map[string]*int{"ejected ": &s.Ejections, "zone ": &s.ZonesOut, "panic: ": &s.Panics} {
			if len(l.Msg) > len(prefix) && l.Msg[:len(prefix)] == prefix {
				*n++
			}
		}
	}
}

func (s *Second) attempt(l line) {
	s.Attempts++
	if l.Attempt > 0 {
		s.Retries++
	}
	s.Results[l.Result]++
	h := s.hosts[l.Host]
	if h == nil {
		h = newHostRecord()
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

// findBad counts the bad hosts of each second, once all files have been read.
func (t *Table) findBad() {
	for _, s := range t.Seconds {
		for _, h := range s.hosts {
			if h.all >= badMinAttempts && float64(h.bad) >= badShare*float64(h.all) {
				s.BadHosts++
				s.BadHostAttempts += h.all
			}
		}
	}
}

// Write prints a row for each second.
func (t *Table) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "s\tstarts\taccepted\tended\tread\tserved\trefused\tfailed\tattempts\tagain\terror\ttimed out\tturned away\tnot connected\treset\t"+
		"bad hosts\ton them\tejected\tzone out\tpanic\tlist ok\tlist failed\tlist left\t")
	for _, n := range slices.Sorted(maps.Keys(t.Seconds)) {
		s := t.Seconds[n]
		for _, v := range []int{n, s.Starts, s.Accepted, s.Ended, s.Read, s.Served, s.Refused, s.Failed, s.Attempts, s.Retries,
			s.Results["error"], s.Results["timed out"], s.Results["turned away"], s.Results["not connected"], s.Results["reset"],
			s.BadHosts, s.BadHostAttempts, s.Ejections, s.ZonesOut, s.Panics, s.ListOK, s.ListFailed, s.ListLeft} {
			fmt.Fprintf(w, "%d\t", v)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// WriteHosts prints a row for each second and host. It shows an uneven distribution of load over the hosts, which sums over
// all hosts hide.
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
