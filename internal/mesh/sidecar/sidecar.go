// Package sidecar is the decision logic of the data plane's proxy. One proxy, the sidecar, runs beside each host, which
// is one process of an application service. The sidecar sends its host's outgoing requests to other hosts through their
// sidecars, and it admits the requests that other sidecars send to its own host.
//
// The main type is Sidecar, a state machine that does no I/O. The program that embeds it owns the sockets and the
// clock. The program passes in client requests, messages of other processes, heartbeats of the host and the time, and
// after each input it carries out what TakeOutput returns.
//
// Two kinds of identity recur. A host instance is one run of a host process. A process incarnation is one run of a
// sidecar process at an address; it is a random number.
//
// The fields of messages have the names of the operators' protocol. A carrier is a service, a station is the ID of a host
// instance, and berths are the slots of a host, the number of requests that it runs at once. A life is a process
// incarnation, and the gate life is that of the receiving sidecar. The source of a record is the address of the sidecar
// that publishes it. The aim of a request is its soft deadline, after which its response is worth less.
//
// sidecar.go joins the parts. dispatch.go follows a client request to the sidecar of the picked host, with actions.go
// (what the balancer orders), attempts.go (how attempts end), heldattempts.go (attempts that wait for a peer's
// incarnation) and cancellation.go (clients that leave). admission.go is the receiving side in front of the host, with
// duplicates.go, latequeue.go, claims.go (idempotency keys) and keylease.go (shard keys that the host holds). recording.go
// sees to it that the response of an operation is recorded. discovery.go tracks the known hosts and the configuration in
// force, with heartbeats.go (the host here) and updates.go (all others), shards.go which host holds which shard keys, and
// ejections.go which hosts fail. shutdown.go ends the process gracefully.
package sidecar

import (
	"maps"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/random"
	"beechwing/internal/mesh/retrybudget"
	"beechwing/internal/mesh/routeconfig"
	"beechwing/internal/mesh/sharding"
)

// Options configure a Sidecar at its start.
type Options struct {
	Self              string // address at which other processes reach this one
	Zone              string
	Service           string // service of the host beside this sidecar
	Seeds             []string
	HeartbeatInterval float64 // seconds between two heartbeats of the host
	RetryRatio        float64 // of the retry budget
	RetrySlack        float64
	RecordVersion     uint64 // of the first record of the host; a later start normally has a higher one
	Seed              uint64
	AgreedEjection    bool    // the proxies eject a host for requests that must not run twice only by majority vote
	MaxKeyHold        float64 // seconds for which hosts accept a grant of shard keys at most; 0: not configured
	MaxBodyBytes      int     // bound on the bodies of requests in progress
	Log               func(event string, args ...any)
	Debug             func(event string, args ...any) // nil: debug messages are not logged
}

// Command is an action that the program carries out: Exchange, Abort, KeyCalls, Respond or Probe.
type Command interface{ command() }

// Exchange orders the program to run a request at the host. Its end is reported by ExchangeDone.
type Exchange struct {
	Job      uint64
	Forward  *meshpb.Forward
	Deadline float64 // by which the host must have responded
}

// Abort orders the program to cancel an Exchange. Nobody waits for the end of the Exchange, but ExchangeDone may still
// report it.
type Abort struct{ Job uint64 }

// Respond orders the program to send the reply to a client's request.
type Respond struct {
	Request *Request
	Reply   Reply
}

// Probe orders the program to ask the host which instance it is and whether it is healthy. The result is reported by
// ProbeDone.
type Probe struct{ Path string }

func (Probe) command()    {}
func (Exchange) command() {}
func (Abort) command()    {}
func (Respond) command()  {}

// Output is what the program has to send and carry out, in order.
type Output struct {
	Sends    []transport.Send
	Commands []Command
}

// Sidecar is the state machine of one proxy. It is single-threaded. Every input carries the time in seconds on a
// monotonic clock.
type Sidecar struct {
	opts      Options
	now       float64
	rng       random.Source
	table     *routeconfig.Table
	output    Output
	pending   []func() // run after a callback of the balancer has returned, as a callback must not call the balancer
	bodyBytes int      // total size of the request bodies in progress
	counts    Counts

	// State of client requests and their attempts (dispatch.go, attempts.go).
	services        map[string]*service
	requests        map[uint64]*Request
	attempts        map[uint64]*attempt
	unrecorded      map[uint64]unrecordedOutcome // by ID of the attempt (recording.go)
	incarnation     uint64                       // identifies this process; its RPCs carry it
	lastID          uint64
	timers          timers
	retryBudget     *retrybudget.Budget
	peers           map[string]*peerState
	meanPongSeconds float64 // mean seconds that peers take to answer a ping

	admission admission
	shards    shards
	lease     keyLease
	pauses    pauseDetector
	discovery discovery
	ejections ejections
	shutdown  shutdown
}

// New returns a sidecar that has no configuration yet.
func New(now float64, opts Options) *Sidecar {
	if opts.Log == nil {
		opts.Log = func(string, ...any) {}
	}
	p := &Sidecar{opts: opts, now: now, rng: random.Source(opts.Seed), services: map[string]*service{},
		requests: map[uint64]*Request{}, attempts: map[uint64]*attempt{}, unrecorded: map[uint64]unrecordedOutcome{},
		retryBudget: retrybudget.New(opts.RetryRatio, opts.RetrySlack), peers: map[string]*peerState{},
		counts: Counts{Replies: map[int]uint64{}, Attempts: map[string]uint64{}, Rejected: map[string]uint64{},
			Dropped: map[string]uint64{}, ClientsLeft: map[string]uint64{}, Cancelled: map[string]uint64{}}}
	p.pauses.inputAt = now
	p.initIDs()
	p.admission.init(p)
	p.shards.tables = map[string]*sharding.Table{}
	p.lease.init(opts.Service)
	p.discovery.init(p)
	return p
}

// TakeOutput returns what has to be sent and carried out since the last call.
func (p *Sidecar) TakeOutput() Output {
	p.runPending()
	out := p.output
	p.output = Output{}
	return out
}

// runPending runs the deferred functions in order, also those that they add.
func (p *Sidecar) runPending() {
	for len(p.pending) > 0 {
		f := p.pending[0]
		p.pending = p.pending[1:]
		f()
	}
}

// random returns the next number of the seeded generator.
func (p *Sidecar) random() uint64 { return p.rng.Next() }

// randomFloat returns a random number in [0, 1).
func (p *Sidecar) randomFloat() float64 { return float64(p.random()>>11) / (1 << 53) }

// send queues a message for sending. A message to this process itself is handled without the network.
func (p *Sidecar) send(to string, m *meshpb.Message) {
	if to == p.opts.Self {
		p.pending = append(p.pending, func() { p.handleMessage(to, m) })
		return
	}
	p.output.Sends = append(p.output.Sends, transport.Send{To: to, Message: m})
}

// Receive handles a message of another process.
func (p *Sidecar) Receive(now float64, from string, m *meshpb.Message) {
	p.beginInput(now)
	if peer := p.peers[from]; peer != nil && (!meshpb.IsAnswer(m) || p.forThisIncarnation(from, m)) {
		peer.heardAt, peer.incarnation = now, senderIncarnation(m)
		p.sendHeld(from)
	}
	p.handleMessage(from, m)
	p.runPending()
}

// SetLinkBacklog sets how many seconds a large response waits for this machine's network link, and how many seconds the
// link takes for each byte. 0 means that the delay is negligible.
func (p *Sidecar) SetLinkBacklog(wait, perByte float64) {
	p.admission.linkBacklog, p.admission.linkSecondsPerByte = wait, perByte
}

// NoteIncoming records that a part of a large message has arrived from a process, so that the process does not count as
// silent.
func (p *Sidecar) NoteIncoming(now float64, from string) {
	if peer := p.peers[from]; peer != nil {
		peer.heardAt = now
	}
}

func (p *Sidecar) handleMessage(from string, m *meshpb.Message) {
	switch {
	case m.Forward != nil:
		p.admission.receiveForward(from, m)
	case m.Cancel != nil:
		p.admission.cancel(from, m)
	case m.Forwarded != nil:
		p.receiveForwarded(from, m)
	case m.Recorded != nil:
		p.receiveRecorded(from, m)
	case m.Lease != nil:
		p.receiveLease(from, m)
	case m.Claimed != nil:
		p.admission.receiveClaimed(from, m)
	case m.Update != nil:
		p.discovery.receiveUpdate(from, m)
	case m.Pull != nil:
		p.discovery.receivePull(from, m)
	case m.Ping != nil:
		p.respond(from, m, &meshpb.Message{Pong: m.Ping})
	case m.Pong != nil:
		p.receivePong(from, m)
	}
}

// ConnectionLost handles the loss of a connection.
func (p *Sidecar) ConnectionLost(now float64, lost transport.Disconnected) {
	p.beginInput(now)
	p.failAttempts(lost)
	p.admission.connectionLost(lost)
	p.discovery.connectionLost(lost.Peer)
	p.runPending()
}

// Tick does the periodic work. It has to be called every few hundredths of a second, and at the time that NextTimer
// returns.
func (p *Sidecar) Tick(now float64) {
	p.beginInput(now)
	p.runTimers()
	p.watchPeers()
	p.admission.tick()
	p.discovery.tick()
	p.tickLease()
	p.runPending()
}

// Ready reports whether clients may send requests here: a configuration is in force, a control server has answered since
// the start, and the process is not shutting down.
func (p *Sidecar) Ready() bool {
	return p.table != nil && !p.shutdown.begun && p.discovery.serverAnswered
}

// Limits returns the request limits of the configuration in force, nil if there is no configuration.
func (p *Sidecar) Limits() *routeconfig.Limits {
	if p.table == nil {
		return nil
	}
	return &p.table.Config.Limits
}

// Counts are counters since the start of the process.
type Counts struct {
	Replies             map[int]uint64    `json:"answers"` // sent to clients, by status
	Attempts            map[string]uint64 `json:"tries"`   // to which a sidecar has responded, by outcome
	Rejected            map[string]uint64 `json:"turned"`  // requests rejected before they reached the host here, by reason
	Runs                uint64            `json:"runs"`    // requests passed to the host here
	LateRuns            uint64            `json:"late"`    // of these, too late for their soft deadline before they began
	PeerFailures        uint64            `json:"doubts"`  // attempts given up because the peer is silent, lost or replaced
	Dropped             map[string]uint64 `json:"dropped"` // messages without effect, by reason
	ClientsLeft         map[string]uint64 `json:"left"`    // requests whose clients left before the reply, by where the request was
	SentAfterClientLeft uint64            `json:"unasked"` // attempts sent although the client had left: expected to stay 0

	RecordedForPeers uint64 `json:"recordedForPeers"` // outcomes recorded here, as the sidecar of the host did not confirm that it had

	Grants        uint64 `json:"grants"`     // calls that grant shard key ranges to the host here, with or without success
	GrantsRefused uint64 `json:"notGranted"` // of these, without effect: not accepted, or the assignment or host changed

	Cancelled map[string]uint64 `json:"cancelled"` // requests cancelled by other sidecars, by their state here
}

// State is the status of a sidecar as the operators' API shows it.
type State struct {
	Edition      uint64           `json:"edition"`
	Ready        bool             `json:"ready"`
	Ending       bool             `json:"ending"`
	Servers      []string         `json:"servers"`
	Host         *meshpb.Record   `json:"host"`
	Records      []*meshpb.Record `json:"roll"`
	Silent       []string         `json:"silent"` // addresses of the sidecars that count as silent
	Requests     int              `json:"orders"`
	Jobs         int              `json:"jobs"`
	Queued       int              `json:"queued"`
	QueuedLate   int              `json:"late"` // in the queue of those past their soft deadline
	Counts       Counts           `json:"counts"`
	AvoidedHosts map[string]int   `json:"avoided"`        // by service, hosts to which the balancer sends nothing
	Ejected      []string         `json:"condemned"`      // host instances that are out by agreement
	Suspects     []string         `json:"accused"`        // host instances on which the control servers want observations
	Keys         *KeyState        `json:"keys,omitempty"` // nil: no assignment of the host's service was confirmed yet
}

// State returns the current status.
func (p *Sidecar) State(now float64) State {
	p.beginInput(now)
	s := State{Ready: p.Ready(), Ending: p.shutdown.begun, Servers: p.discovery.servers, Host: p.discovery.own,
		Requests: len(p.requests), Jobs: len(p.admission.jobs), Queued: len(p.admission.queue),
		QueuedLate: len(p.admission.lateQueue.jobs), AvoidedHosts: map[string]int{},
		Counts: Counts{Replies: maps.Clone(p.counts.Replies), Attempts: maps.Clone(p.counts.Attempts),
			Rejected: maps.Clone(p.counts.Rejected), Runs: p.counts.Runs, LateRuns: p.counts.LateRuns,
			PeerFailures: p.counts.PeerFailures, Dropped: maps.Clone(p.counts.Dropped),
			ClientsLeft: maps.Clone(p.counts.ClientsLeft), SentAfterClientLeft: p.counts.SentAfterClientLeft,
			Cancelled: maps.Clone(p.counts.Cancelled), RecordedForPeers: p.counts.RecordedForPeers, Grants: p.counts.Grants, GrantsRefused: p.counts.GrantsRefused}}
	if p.table != nil {
		s.Edition = p.table.Version
	}
	for _, proxy := range p.discovery.proxies() {
		s.Records = append(s.Records, p.discovery.records[proxy])
		if p.discovery.silent[proxy] {
			s.Silent = append(s.Silent, proxy)
		}
	}
	s.Ejected, s.Suspects = p.ejections.ejectedInstances(now), p.ejections.suspects
	s.Keys = p.keyState()
	for name, service := range p.services {
		s.AvoidedHosts[name] = service.balancer.Avoided(now)
	}
	return s
}

var _ balancer.Actions = (*service)(nil)

// Edition returns the version of the configuration in force, 0 if there is none.
func (p *Sidecar) Edition() uint64 {
	if p.table == nil {
		return 0
	}
	return p.table.Version
}

// Configuration returns the text and the version of the configuration in force, nil and 0 if there is none.
func (p *Sidecar) Configuration() (text []byte, version uint64) {
	if p.table == nil {
		return nil, 0
	}
	return p.table.Text, p.table.Version
}
