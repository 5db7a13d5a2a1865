// Package balancer decides, for one client process, where each request goes.
//
// This file is the whole interface: settings, events and actions. It decides nothing; the decisions are in
// balancer.go and the files that it names. The package keeps no clock, starts no goroutine and does no I/O: time comes in with each event,
// in seconds from any starting point, and randomness comes from Config.Seed. A Balancer is single-threaded.
package balancer

// HostID names a server. It carries no meaning beyond identity.
type HostID uint64

// RequestID names a request taken from a client. It is never reused.
type RequestID uint64

// Effect says what a second execution of a request would do.
type Effect uint8

// The effects a class may have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped inside the class's group and window
	Unsafe               // must never run twice
)

// Group says which hosts drop repeats of a keyed request.
type Group uint8

// The groups a keyed class may name.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Result says how an attempt or a probe ended.
type Result uint8

// The results. NeverRan tells which of them prove that nothing was executed.
const (
	OK Result = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Skipped
	Malformed // an answer came that cannot be read; it may have run
)

func (r Result) String() string {
	return [...]string{"ok", "error", "turned away", "timed out", "not connected", "reset", "cancelled", "moot",
		"spoilt"}[r]
}

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == Skipped }

// Status is a host's state in the server list.
type Status uint8

// The states a list entry may have.
const (
	Removed Status = iota
	Ready
	Draining
)

// ZoneShare is what a plan made for the whole fleet says of a zone: its part of this balancer's requests. With 0 it takes what
// finds no room elsewhere.
type ZoneShare struct {
	Zone  int
	Share float64
}

// ListKind says what a list event holds.
type ListKind uint8

// The kinds of list event.
const (
	ListChanges ListKind = iota // changed entries only
	ListFull                    // the whole list
	ListCached                  // the whole list as last held before a restart
	ListFailed                  // a watch or fetch failed, or the subscription broke; no entries
)

// LoadMetric is one value of a host's load report.
type LoadMetric uint8

// The values a report may carry; LoadOther stands for any the module does not know.
const (
	LoadOther    LoadMetric = iota
	LoadInflight            // requests in hand
	LoadQueue               // requests waiting
	LoadUtil                // share of CPU in use
	LoadLatency             // recent service time in ms
	LoadRate                // requests served a second
	LoadErrors              // errors a second
)

// Class describes one kind of request.
type Class struct {
	Aim, AimStretch, Deadline float64 // seconds; AimStretch is a multiple of the request's own work
	Worth, LateWorth          float64 // LateWorth is the share of Worth earned after the aim
	Effect                    Effect
	Group                     Group
	Window                    float64 // seconds for which a keyed repeat is dropped
}

// Tenant is a customer sharing the service.
type Tenant struct{ Share, Quota float64 }

// Prices are points taken off for what the balancer spends.
type Prices struct{ CrossZone, Waste, LateFail, Handshake, Probe, Peer float64 }

// Config is what a Balancer is told at start. Zero values stand for settings that were not given.
type Config struct {
	Seed             uint64
	Me, Balancers    int
	Zone             int
	Classes          []Class
	Tenants          []Tenant
	OverShareWorth   float64
	WorthByWork      bool // worth grows with the request's work
	Weighted         bool // Host.Weight is a steady size and may be compared
	WarmKeys         bool // a host that met a key lately does less work for it
	AskForList       bool // the list comes only when asked for
	Report           []LoadMetric
	Prices           Prices
	Punctual         float64 // weight of the worth that counts in full only while few miss their aim; 0: none
	MissAllowed      float64 // share of a class's requests that may miss their aim for that
	MaxAttempts      int
	SecondCopies     bool
	Cancelling       bool
	Probes           bool
	ServerSideLimits bool // a gate beside each host bounds what it has in hand and turns the rest away: no limits from here
	AgreedEjection   bool // a host is left out for what must not run twice only by Host.Condemned, which all agree on
	PeerMessages     bool
	MaxCoolDown      float64 // longest wait a client honours after a refusal, seconds; 0: none is passed on
	ConnectTimeout   float64 // seconds
	AskWithin        float64 // seconds after which an unasked list counts as known
	DrainGrace       float64 // seconds within which sends to a draining or gone host must stop
	ColdFrom         float64 // share of its capacity with which a host starts
	ColdFor          float64 // seconds until a started host is warm
	FallMultiple     float64 // multiple of present capacity that pushes a cold host over
	FallAfter        float64 // seconds of it that do so
}

// Host is one entry of the server list.
type Host struct {
	ID      HostID
	Weight  float64
	Zone    int
	Cell    int
	Status  Status
	Started float64 // clock time of its last start; 0: long ago

	AgreedEjected bool // with Config.Agreed: all agree that it fails
}

// Request is what a client asks.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64  // 0: none
	Work        float64 // expected seconds on a standard core; 0: unknown
	Budget      float64 // seconds until the client gives this try up
	Repeat      bool    // the client marked it as a repeat
	BodyPending bool    // its body is still coming: hosts begin, and its time counts, with Whole
	OnlyHost    HostID  // the one host that can serve it; 0: any. It may be picked whatever is thought of it: it is the whole set
}

// allows reports whether a host can serve the request.
func (r *Request) allows(h HostID) bool { return r.OnlyHost == 0 || r.OnlyHost == h }

// Outcome is the end of one attempt. Final means that the request has its answer, by this outcome or earlier.
type Outcome struct {
	ID      RequestID
	Attempt int
	Host    HostID
	Result  Result
	Took    float64
	Final   bool
	Report  []float32 // in the order of Config.Report; empty: none came; valid only during the call
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Host   HostID
	Result Result
	Took   float64
	Report []float32
}

// Actions is what a Balancer asks of its host program, which must not call back into the Balancer.
type Actions interface {
	Send(id RequestID, host HostID, timeout float64) // starts the next attempt; 0: until the client gives up
	Refuse(id RequestID, coolDown float64)           // final: trying again is harmless
	Fail(id RequestID)                               // final: nothing is promised
	Cancel(id RequestID, attempt int)
	Probe(host HostID)
	Timer(after float64, token uint64)
	Watch()                // asks for the list and its changes
	Fetch()                // asks for the list once
	Broadcast(data []byte) // a message to every peer; data is valid only during the call
	Log(text string)
}

// Handler is the set of events; *Balancer implements it. Every event carries the present time in seconds.
type Handler interface {
	UpdateHosts(now float64, kind ListKind, hosts []Host)
	Request(now float64, r Request)
	BodyReceived(now float64, id RequestID)                 // the last byte of one that was coming
	ResponseStarted(now float64, id RequestID, attempt int) // a streamed answer has started
	Outcome(now float64, o Outcome)
	Probed(now float64, p ProbeResult)
	Timer(now float64, token uint64)
	PeerMessage(now float64, from int, data []byte)
	ClientLeft(now float64, id RequestID) // the client left

	// Configure takes over other settings; kept names, for each class, what it was until now, -1: none.
	Configure(now float64, cfg Config, kept []int)

	// Plan takes over the zones that count, and with which share. Zones that it does not name are out; what the shares
	// lack of 1 is refused at once. Empty: there is no plan, and the balancer finds out alone.
	Plan(now float64, routes []ZoneShare)

	// Avoided counts the hosts that take requests by the list and get none from here, by this balancer's choice. It
	// changes nothing.
	Avoided(now float64) int
}

var _ Handler = (*Balancer)(nil)
