// Package balancer decides, for one client process, to which server each request goes: it picks hosts,
// retries, queues and sheds load. A Balancer, made by New, is driven by events (Handler) and answers with
// calls to its host program (Actions).
//
// This file is the whole interface: settings, events and actions. The decisions are in balancer.go and the
// files named there. The package reads no clock, starts no goroutine and does no I/O. The time, in seconds
// from any starting point, comes with each event, and randomness comes from Config.Seed. A Balancer must be
// used by one goroutine at a time.
package balancer

// HostID identifies a server and carries no other meaning.
type HostID uint64

// RequestID identifies a client request and is never reused. It must be below 2^52.
type RequestID uint64

// Effect says what a second execution of a request would do.
type Effect uint8

// The effects a class may have.
const (
	Safe   Effect = iota // may be repeated any number of times
	Keyed                // hosts drop repeats within the class's group and window
	Unsafe               // must never run twice
)

// Group says which hosts together deduplicate a keyed request.
type Group uint8

// The groups a keyed class may name.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Result says how an attempt or a probe ended.
type Result uint8

// The results an attempt or a probe may have.
const (
	OK       Result = iota // a good answer
	Errored                // an error answer
	Rejected               // refused before it ran, for overload or drain
	TimedOut
	ConnectFailed
	Reset // the connection broke
	Cancelled
	Skipped   // ended before a host ran it, since it was no longer wanted or allowed
	Malformed // the answer cannot be parsed; the request may have run
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

// ZoneShare is a zone's part of this balancer's requests in the plan for the whole fleet. With a share of 0
// it takes the requests that find no capacity elsewhere.
type ZoneShare struct {
	Zone  int
	Share float64
}

// ListKind says what an UpdateHosts event holds.
type ListKind uint8

// The kinds of list event.
const (
	ListChanges ListKind = iota // changed entries only
	ListFull                    // the whole list
	ListCached                  // the whole list as known before a restart
	ListFailed                  // a watch or fetch failed, or the subscription broke; no entries
)

// LoadMetric is the meaning of one value in a host's load report.
type LoadMetric uint8

// The metrics a report may carry; LoadOther stands for any unknown to this package.
const (
	LoadOther    LoadMetric = iota
	LoadInflight            // requests being served
	LoadQueue               // requests waiting
	LoadUtil                // CPU utilisation, a share
	LoadLatency             // recent service time, in ms
	LoadRate                // requests served per second
	LoadErrors              // errors per second
)

// Class describes one kind of request.
type Class struct {
	Aim, AimStretch, Deadline float64 // seconds; latency target: Aim + AimStretch x work
	Worth, LateWorth          float64 // LateWorth is the share of Worth of an answer after the aim
	Effect                    Effect
	Group                     Group
	Window                    float64 // seconds for which hosts drop a keyed repeat
}

// Tenant is a customer that shares the service.
type Tenant struct{ Share, Quota float64 }

// Prices are the points deducted for what the balancer uses.
type Prices struct{ CrossZone, Waste, LateFail, Handshake, Probe, Peer float64 }

// Config holds the settings of a Balancer. A zero value means that the setting was not given.
type Config struct {
	Seed             uint64
	Me, Balancers    int // this balancer's number, and how many balancers there are
	Zone             int
	Classes          []Class
	Tenants          []Tenant
	OverShareWorth   float64 // share of its worth that work above a tenant's share has
	WorthByWork      bool    // Class.Worth is per unit of work, not per request
	Weighted         bool    // Host.Weight is a stable size that can be compared
	WarmKeys         bool    // a host that has served a key recently does less work for it
	AskForList       bool    // the list has to be requested with Watch or Fetch
	Report           []LoadMetric
	Prices           Prices
	Punctual         float64 // weight of the worth that counts in full only while few miss their aim; 0: none
	MissAllowed      float64 // share of a class's requests that may miss their aim for Punctual
	MaxAttempts      int
	SecondCopies     bool    // an attempt may start while another is pending
	Cancelling       bool    // pending attempts may be cancelled
	Probes           bool    // hosts may be probed
	ServerSideLimits bool    // each host's sidecar limits concurrency and rejects the excess: no limits here
	AgreedEjection   bool    // Unsafe requests avoid a host only by Host.AgreedEjected, which all agree on
	PeerMessages     bool    // balancers can send messages to each other
	MaxCoolDown      float64 // longest wait that clients honour after a refusal, seconds; 0: none is sent
	ConnectTimeout   float64 // seconds
	AskWithin        float64 // seconds after which a list counts as known even if it was not requested
	DrainGrace       float64 // seconds within which sends to a draining or removed host must stop
	ColdFrom         float64 // share of its capacity that a host has at its start
	ColdFor          float64 // seconds from start until a host is warm
	FallMultiple     float64 // multiple of its present capacity that overloads a cold host
	FallAfter        float64 // seconds of FallMultiple that do so
}

// Host is one entry of the server list.
type Host struct {
	ID      HostID
	Weight  float64
	Zone    int
	Cell    int
	Status  Status
	Started float64 // time of its last start; 0: long ago

	AgreedEjected bool // with Config.AgreedEjection: the fleet has agreed that it fails
}

// Request is one client request.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64  // 0: none
	Work        float64 // expected seconds on a standard core; 0: unknown
	Budget      float64 // seconds until the client gives up this try
	Repeat      bool    // the client marked it as a repeat
	BodyPending bool    // its body is still arriving: work starts, and its time counts, at BodyReceived
	OnlyHost    HostID  // the only host that can serve it, picked even if ejected; 0: any
}

// allows reports whether a host can serve the request.
func (r *Request) allows(h HostID) bool { return r.OnlyHost == 0 || r.OnlyHost == h }

// Outcome is the end of one attempt. Final means that the client has its answer, from this attempt or
// earlier.
type Outcome struct {
	ID      RequestID
	Attempt int
	Host    HostID
	Result  Result
	Took    float64 // seconds
	Final   bool
	Report  []float32 // in the order of Config.Report; empty: none received; valid only during the call
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Host   HostID
	Result Result
	Took   float64 // seconds
	Report []float32
}

// Actions are the calls of a Balancer to its host program, which must not call the Balancer from within them.
type Actions interface {
	Send(id RequestID, host HostID, timeout float64) // starts the next attempt; timeout 0: none
	Refuse(id RequestID, coolDown float64)           // final: a repeat after coolDown seconds is safe
	Fail(id RequestID)                               // final: it may have run
	Cancel(id RequestID, attempt int)
	Probe(host HostID)
	Timer(after float64, token uint64) // requests a Timer event after so many seconds
	Watch()                            // subscribes to the list and its changes
	Fetch()                            // requests the list once
	Broadcast(data []byte)             // sends a message to every peer; data is valid only during the call
	Log(text string)
}

// Handler is the set of events; *Balancer implements it. Every event carries the current time in seconds.
type Handler interface {
	UpdateHosts(now float64, kind ListKind, hosts []Host)
	Request(now float64, r Request)
	BodyReceived(now float64, id RequestID)                 // the last byte of a pending body
	ResponseStarted(now float64, id RequestID, attempt int) // a streamed answer has started
	Outcome(now float64, o Outcome)
	Probed(now float64, p ProbeResult)
	Timer(now float64, token uint64)
	PeerMessage(now float64, from int, data []byte)
	ClientLeft(now float64, id RequestID) // the client left

	// Configure replaces the settings; previous holds the old index of each class, or -1 for a new class.
	Configure(now float64, cfg Config, previous []int)

	// Plan sets the zones to use and their shares. Zones not listed are out. If the shares sum to less than
	// 1, the rest of the requests is refused at once. An empty plan leaves the choice of zones to the
	// balancer.
	Plan(now float64, shares []ZoneShare)

	// Avoided counts the hosts that are ready in the list but get no requests from here: those ejected or in
	// a zone that is out. It changes no state.
	Avoided(now float64) int
}

var _ Handler = (*Balancer)(nil)
