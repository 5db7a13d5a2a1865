// Package record holds what a run of the lab leaves behind: what hosts, the list service, callers and the system saw, each
// with its time since the run's start. Nothing in it comes from a proxy's own word, so that a verdict over it trusts none.
package record

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// How a request ended at its caller, where no status came.
const (
	Answered = ""          // Status tells
	Lost     = "lost"      // the connection ended, or the time did, without a whole answer
	Unsent   = "not taken" // no connection came up, so the proxy never had it
)

// Ask is one request of a caller.
type Ask struct {
	ID       string
	Proxy    int
	Class    int
	Key      uint64
	Due      time.Duration // when it was meant to go out
	Began    time.Duration // just before its first byte was written
	Sent     time.Duration // when its last byte was written
	Done     time.Duration // when the last byte of the answer had come, or the caller gave up
	Deadline time.Duration // after Sent
	Status   int
	End      string
	Host     string // which host's body came back, by its own word
	Echo     string // the id in that body
	Again    bool   // a caller's retry
	RetryIn  time.Duration
}

// Refused says whether the answer promises that trying again is harmless.
func (a *Ask) Refused() bool {
	return a.End == Answered && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable)
}

// Extra is bytes that came after a request's answer and before the next request.
type Extra struct {
	ID    string
	Proxy int
	At    time.Duration
}

// How a host dealt with an arrival.
const (
	Ran        = "ran"
	TurnedAway = "turned away" // queue, connections or drain; it has not run
	Moot       = "moot"        // its sender had left before it began; it has not run
	Failed     = "error"       // it ran and was answered 500
	Pushed     = "pushed over" // the host fell with it
)

// Execution is one attempt as a host saw it.
type Execution struct {
	ID      string
	Host    int
	Proxy   int
	Sent    time.Duration // when its last byte left the proxy
	Arrived time.Duration // of its last byte, which a broken link may have held
	Began   time.Duration // of work; 0: it never ran
	Ended   time.Duration // of work
	How     string
	Whole   bool // its answer was written whole
}

// HasRun says whether it had an effect.
func (e *Execution) HasRun() bool { return e.How == Ran || e.How == Failed || e.How == Pushed }

// Connection is one that a host accepted.
type Connection struct {
	Host, Proxy int
	Opened      time.Duration
	Closed      time.Duration // 0: still open at the end
	Asked       int           // requests on it
	TurnedAway  bool          // over the host's bound
}

// Call is one that the list service worked on.
type Call struct {
	Proxy    int
	Watch    bool
	At, Done time.Duration
	Failed   bool
	Left     bool // its caller gave it up
	Version  int  // told; 0: none
}

// Told is word to a proxy that a host drains or is gone.
type Told struct {
	Proxy, Host int
	Changed, At time.Duration
}

// Heard is a proxy's acknowledgement of such a word: it asked for what is newer than that.
type Heard struct {
	Proxy, Host int
	Changed, At time.Duration // when the list changed, and when the proxy's question came
}

// Sample is what a process held at a moment.
type Sample struct {
	Proxy       int
	At          time.Duration
	RSS         int64         // bytes
	CPU         time.Duration // since its start
	Descriptors int
}

// The kinds of event.
const (
	Start   = "start"
	Exit    = "exit"   // ended as it was told to
	Crash   = "crash"  // ended by itself
	Killed  = "killed" // by the run
	Stopped = "stopped"
	Going   = "going"
	Fault   = "fault"
	Heal    = "heal"
	Fell    = "fell" // a cold host was pushed over
	Ready   = "ready"

	Withdrawn = "withdrawn" // the list says from now on that a host drains or is gone
	Listed    = "listed"    // and that it is ready
)

// Event is something that the run did or saw happen.
type Event struct {
	At    time.Duration
	Kind  string
	Proxy int // -1: none
	Host  int // -1: none
	Text  string
}

// Machine is what the rig itself had to wait: a late timer is the machine's fault, not a proxy's.
type Machine struct {
	LateP99, LateMost time.Duration
	Busy              float64 // share of all cores, over the run
	RigBusy           float64 // of that, by the rig's own process
}

// Book collects records from many goroutines.
type Book struct {
	mu          sync.Mutex
	start       atomic.Pointer[time.Time]
	Asks        []Ask
	Extras      []Extra
	Executions  []Execution
	Connections []Connection
	Calls       []Call
	Tolds       []Told
	Heards      []Heard
	Samples     []Sample
	Events      []Event
	Machine     Machine
	Words       []int64 // bytes that each process sent to others while the run went on; none: they do not speak
}

// before is how long ago the start counts as while it has not come: what is recorded by then has a time far below zero.
const before = time.Hour

// NewBook makes a book whose time starts with Begin.
func NewBook() *Book {
	b := &Book{}
	start := time.Now().Add(before)
	b.start.Store(&start)
	return b
}

// Begin is the start of the run.
func (b *Book) Begin() {
	now := time.Now()
	b.start.Store(&now)
}

// Now is the time since the run's start.
func (b *Book) Now() time.Duration { return time.Since(*b.start.Load()) }

// Since is a moment as a time since the start.
func (b *Book) Since(t time.Time) time.Duration { return t.Sub(*b.start.Load()) }

// Until waits until a time since the start, and says by how much it woke late.
func (b *Book) Until(ctx context.Context, at time.Duration) (late time.Duration, err error) {
	if wait := at - b.Now(); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return b.Now() - at, ctx.Err()
}

// Add takes records, each by its type.
func (b *Book) Add(records ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		switch r := r.(type) {
		case Ask:
			b.Asks = append(b.Asks, r)
		case Extra:
			b.Extras = append(b.Extras, r)
		case Execution:
			b.Executions = append(b.Executions, r)
		case Connection:
			b.Connections = append(b.Connections, r)
		case Call:
			b.Calls = append(b.Calls, r)
		case Told:
			b.Tolds = append(b.Tolds, r)
		case Heard:
			b.Heards = append(b.Heards, r)
		case Sample:
			b.Samples = append(b.Samples, r)
		case Event:
			b.Events = append(b.Events, r)
		default:
			panic("record: unknown kind")
		}
	}
}
