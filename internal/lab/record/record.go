// Package record holds the records of a run of a fleet experiment. Hosts, the list service, callers and the rig add to a Book
// what they observe, each record with its time since the start of the run. Nothing is reported by a proxy itself, so that a
// verdict over the records need not trust any proxy. The package internal/lab/judge evaluates a Book.
package record

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The ways in which a request ended for its caller.
const (
	Answered = ""          // with the status in Request.Status
	Lost     = "lost"      // the connection or the waiting time ended without a complete answer
	Unsent   = "not taken" // no connection was established, so the proxy never had the request
)

// Request is one request as its caller saw it.
type Request struct {
	ID       string
	Proxy    int
	Class    int
	Key      uint64
	Due      time.Duration // scheduled time
	Began    time.Duration // just before the first byte was written
	Sent     time.Duration // when the last byte was written
	Done     time.Duration // when the last byte of the answer arrived, or the caller gave up
	Deadline time.Duration // counted from Sent
	Status   int           // HTTP status
	End      string        // Answered, Lost or Unsent
	Host     string        // name of the host in the answer's body
	Echo     string        // request id in the answer's body
	Again    bool          // a caller's retry
	RetryIn  time.Duration // delay before a retry, from the answer; 0: no retry
}

// Refused reports whether the answer's status promises that a retry is safe.
func (a *Request) Refused() bool {
	return a.End == Answered && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable)
}

// UnexpectedData is data that a caller received after the answer to a request and before its next request.
type UnexpectedData struct {
	ID    string
	Proxy int
	At    time.Duration
}

// The ways in which a host handled an attempt.
const (
	Ran        = "ran"
	TurnedAway = "turned away" // rejected because of a full queue, too many connections or a drain; it has not run
	Abandoned  = "moot"        // the sender disconnected before the work began; it has not run
	Failed     = "error"       // it ran and was answered with status 500
	Overloaded = "pushed over" // it overloaded the cold host, which went down
)

// Execution is one attempt as a host saw it.
type Execution struct {
	ID      string
	Host    int
	Proxy   int
	Sent    time.Duration // when the last byte left the proxy
	Arrived time.Duration // when the last byte arrived; a faulty link may have delayed it
	Began   time.Duration // when the work began; 0: it never ran
	Ended   time.Duration // when the work ended
	How     string        // Ran, TurnedAway, Abandoned, Failed or Overloaded
	Whole   bool          // the answer was written completely
}

// HasRun reports whether the attempt may have had an effect.
func (e *Execution) HasRun() bool { return e.How == Ran || e.How == Failed || e.How == Overloaded }

// Connection is a connection that a host accepted.
type Connection struct {
	Host, Proxy int
	Opened      time.Duration
	Closed      time.Duration // 0: still open at the end
	Asked       int           // number of requests
	TurnedAway  bool          // rejected, since the host had its maximum of connections
}

// Call is a call of a proxy to the list service.
type Call struct {
	Proxy    int
	Watch    bool // the call waits for changes
	At, Done time.Duration
	Failed   bool
	Left     bool // the proxy gave the call up
	Version  int  // version of the list in the answer; 0: none
}

// WithdrawalNotice is an answer of the list service that told a proxy that a host drains or is gone.
type WithdrawalNotice struct {
	Proxy, Host int
	Changed, At time.Duration // when the list changed, and when the proxy was told
}

// WithdrawalAck is a proxy's acknowledgement of such an answer: the proxy asked for changes after that version.
type WithdrawalAck struct {
	Proxy, Host int
	Changed, At time.Duration // when the list changed, and when the proxy's call arrived
}

// Sample is the resource usage of a process at a point in time.
type Sample struct {
	Proxy       int
	At          time.Duration
	RSS         int64         // bytes
	CPU         time.Duration // since the process started
	Descriptors int
}

// The kinds of event.
const (
	Start          = "start"
	Exit           = "exit"    // the process exited as requested
	Crash          = "crash"   // the process exited unasked, failed on exit, or outlasted its time to exit
	Killed         = "killed"  // the process was killed as a scheduled fault
	Stopped        = "stopped" // the process was stopped (SIGSTOP)
	Resumed        = "going"   // the process was resumed (SIGCONT)
	Fault          = "fault"   // a scheduled fault began
	Heal           = "heal"    // a scheduled fault ended
	HostOverloaded = "fell"    // a cold host went down from overload
	Ready          = "ready"   // the process reported that it is ready

	Withdrawn = "withdrawn" // the list service reports a host as draining or gone from now on
	Listed    = "listed"    // the list service reports the host as ready again
)

// Event is an action of the rig, or something else that happened in the run.
type Event struct {
	At    time.Duration
	Kind  string // one of the constants above
	Proxy int    // -1: none
	Host  int    // -1: none
	Text  string
}

// Machine holds measures of the machine during the run. A late timer of the rig is due to the machine, not to a proxy.
type Machine struct {
	LateP99, LateMost time.Duration // how late the rig's timers fired: 99th percentile and maximum
	Busy              float64       // share of the CPU time of all cores that was in use
	RigBusy           float64       // share of the CPU time of all cores that the rig's own process used
}

// Book collects the records of a run. Add may be called by several goroutines at once; the fields may be read once the run has
// ended.
type Book struct {
	mu          sync.Mutex
	start       atomic.Pointer[time.Time]
	Asks        []Request
	Extras      []UnexpectedData
	Executions  []Execution
	Connections []Connection
	Calls       []Call
	Tolds       []WithdrawalNotice
	Heards      []WithdrawalAck
	Samples     []Sample
	Events      []Event
	Machine     Machine
	Words       []int64 // bytes that each process sent to its peers during the run; 0 if it has no peers
}

// startOffset is how far in the future the start of the run lies until Begin is called. Records made before the start get times
// far below zero.
const startOffset = time.Hour

// NewBook returns a Book whose time starts at the call of Begin.
func NewBook() *Book {
	b := &Book{}
	start := time.Now().Add(startOffset)
	b.start.Store(&start)
	return b
}

// Begin sets the start of the run to the present time.
func (b *Book) Begin() {
	now := time.Now()
	b.start.Store(&now)
}

// Now returns the time since the start of the run.
func (b *Book) Now() time.Duration { return time.Since(*b.start.Load()) }

// Since returns the time from the start of the run to t.
func (b *Book) Since(t time.Time) time.Duration { return t.Sub(*b.start.Load()) }

// Until waits until a time since the start of the run, and returns by how much it woke late.
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

// Add appends records to the lists of their types. It panics on any other type.
func (b *Book) Add(records ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		switch r := r.(type) {
		case Request:
			b.Asks = append(b.Asks, r)
		case UnexpectedData:
			b.Extras = append(b.Extras, r)
		case Execution:
			b.Executions = append(b.Executions, r)
		case Connection:
			b.Connections = append(b.Connections, r)
		case Call:
			b.Calls = append(b.Calls, r)
		case WithdrawalNotice:
			b.Tolds = append(b.Tolds, r)
		case WithdrawalAck:
			b.Heards = append(b.Heards, r)
		case Sample:
			b.Samples = append(b.Samples, r)
		case Event:
			b.Events = append(b.Events, r)
		default:
			panic("record: unknown type of record")
		}
	}
}
