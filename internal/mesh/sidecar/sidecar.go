// Package sidecar is the data plane's state machine: one proxy beside one host. (The field's term: sidecar.) It takes what
// clients ask, what the host beside it says, what other processes send and the time, and returns what to send and what to do.
// Sockets and the clock are the program's.
//
// Its files: this one joins the parts. dispatch.go follows a request from a client here to the proxy beside the picked host, with
// actions.go (what the balancer wants done), tries.go (how tries end) and departure.go (clients that leave). admission.go is that other
// end, the last before the host, with claims.go (operations' keys) and keylease.go (keys that the host holds). discovery.go knows who
// there is and what is in force; shards.go which host holds which keys.
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

// Options is what a proxy is told at its start.
type Options struct {
	Self              string // its address for the others
	Zone              string
	Service           string // the service of the host on this machine
	Seeds             []string
	HeartbeatInterval float64 // seconds between a host's beats
	RetryRatio        float64 // of the rule on further tries
	RetrySlack        float64
	RecordVersion     uint64 // of its record to begin with: later starts have higher ones, as a rule
	Seed              uint64
	AgreedEjection    bool    // a host is left out for what must not run twice only where most that met it agree
	MaxKeyHold        float64 // seconds for which hosts let themselves be granted keys at most; 0: not told
	MaxBodyBytes      int     // bytes that bodies under way may take
	Log               func(event string, args ...any)
	Debug             func(event string, args ...any) // nil: nobody listens
}

// Do is something for the program to carry out: Exchange, Abort, KeyCalls, Tell or Probe.
type Command interface{ command() }

// Exchange has a request run by the host beside this proxy. The end of it comes back by Exchanged.
type Exchange struct {
	Job      uint64
	Forward  *meshpb.Forward
	Deadline float64 // the host has to have answered by then
}

// Abort breaks off an Exchange: nobody waits for its end, which may come back all the same.
type Abort struct{ Job uint64 }

// Tell gives a client's request its answer.
type Respond struct {
	Request *Request
	Reply   Reply
}

// Probe asks the host beside this proxy which life of it is there and whether it is well. The answer comes back by Probed.
type Probe struct{ Path string }

func (Probe) command()    {}
func (Exchange) command() {}
func (Abort) command()    {}
func (Respond) command()  {}

// Effects are what a machine wants done, in order.
type Output struct {
	Sends    []transport.Send
	Commands []Command
}

// Sidecar is one proxy. It is single-threaded; every input carries the time in seconds on a clock that never jumps.
type Sidecar struct {
	opts      Options
	now       float64
	rng       random.Source
	table     *routeconfig.Table
	output    Output
	pending   []func() // what actions of the module gave rise to; it may not be called from within one
	bodyBytes int      // bytes of bodies
	counts    Counts

	// dispatch.go
	services        map[string]*service
	requests        map[uint64]*Request
	attempts        map[uint64]*attempt
	incarnation     uint64 // of this process; its questions carry it
	lastID          uint64
	timers          timers
	retryBudget     *retrybudget.Budget
	peers           map[string]*peerState
	meanPongSeconds float64 // mean seconds that others take to say that they are there

	admission admission
	shards    shards
	lease     keyLease
	pauses    pauseDetector
	discovery discovery
	ejections ejections
}

// New makes a proxy.
func New(now float64, o Options) *Sidecar {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	p := &Sidecar{opts: o, now: now, rng: random.Source(o.Seed), services: map[string]*service{}, requests: map[uint64]*Request{}, attempts: map[uint64]*attempt{},
		retryBudget: retrybudget.New(o.RetryRatio, o.RetrySlack), peers: map[string]*peerState{},
		counts: Counts{Replies: map[int]uint64{}, Attempts: map[string]uint64{}, Rejected: map[string]uint64{}, Dropped: map[string]uint64{},
			ClientsLeft: map[string]uint64{}, Cancelled: map[string]uint64{}}}
	p.pauses.inputAt = now
	p.initIDs()
	p.admission.init(p)
	p.shards.tables = map[string]*sharding.Table{}
	p.lease.init(o.Service)
	p.discovery.init(p)
	return p
}

// Take gives what is to be done since the last call.
func (p *Sidecar) TakeOutput() Output {
	p.runPending()
	out := p.output
	p.output = Output{}
	return out
}

// settle plays what actions gave rise to, in order.
func (p *Sidecar) runPending() {
	for len(p.pending) > 0 {
		f := p.pending[0]
		p.pending = p.pending[1:]
		f()
	}
}

// random gives the next of the numbers that the seed begins.
func (p *Sidecar) random() uint64 { return p.rng.Next() }

// draw is a random number in [0, 1).
func (p *Sidecar) randomFloat() float64 { return float64(p.random()>>11) / (1 << 53) }

// send has a parcel go out; what is for this process itself comes back at once.
func (p *Sidecar) send(to string, m *meshpb.Message) {
	if to == p.opts.Self {
		p.pending = append(p.pending, func() { p.handleMessage(to, m) })
		return
	}
	p.output.Sends = append(p.output.Sends, transport.Send{To: to, Message: m})
}

// Message takes what another process says.
func (p *Sidecar) Receive(now float64, from string, m *meshpb.Message) {
	p.beginInput(now)
	if peer := p.peers[from]; peer != nil && (!meshpb.IsAnswer(m) || p.forThisIncarnation(from, m)) {
		peer.heardAt, peer.incarnation = now, senderIncarnation(m)
		p.sendHeld(from)
	}
	p.handleMessage(from, m)
	p.runPending()
}

// Link takes word of how many seconds a large answer waits for this machine's link, and takes there for each byte; 0: next to nothing.
func (p *Sidecar) SetLinkBacklog(wait, perByte float64) {
	p.admission.linkBacklog, p.admission.linkSecondsPerByte = wait, perByte
}

// Sign takes word that a large parcel of another process's is on its way: it is not silent.
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

// Broke takes word that a connection is no more.
func (p *Sidecar) ConnectionLost(now float64, b transport.Broke) {
	p.beginInput(now)
	p.failAttempts(b)
	p.admission.connectionLost(b)
	p.discovery.connectionLost(b.Peer)
	p.runPending()
}

// Tick does what is due. It is to be called every few hundredths of a second, and at Next.
func (p *Sidecar) Tick(now float64) {
	p.beginInput(now)
	p.runTimers()
	p.watchPeers()
	p.admission.tick()
	p.discovery.tick()
	p.tickLease()
	p.runPending()
}

// Ready says whether clients may come: a configuration is in force here, and the process is not about to end.
func (p *Sidecar) Ready() bool {
	return p.table != nil && !p.discovery.shuttingDown && p.discovery.serverAnswered
}

// Term begins the end: clients hear that they had better go elsewhere, and once they have had time to, after so many seconds,
// nothing may be under way. The others hear of it shortly before that: until then the host here is of use to them. What comes
// nevertheless is served.
func (p *Sidecar) BeginShutdown(now, notice float64) {
	p.beginInput(now)
	p.discovery.shuttingDown = true
	p.discovery.announceLeavingAt = now + max(0, notice-leaveNotice)
	p.runPending()
}

// Idle says whether nothing is under way here. Word on the end of a run is, until it has been taken: lost with this process,
// it would leave a key that has run without its answer.
func (p *Sidecar) Idle() bool {
	return len(p.requests) == 0 && len(p.admission.jobs) == 0 && len(p.admission.keys.settles) == 0
}

// Limits are those of the configuration in force; nil: none is.
func (p *Sidecar) Limits() *routeconfig.Limits {
	if p.table == nil {
		return nil
	}
	return &p.table.Config.SizeLimits
}

// Counts add up since the process started.
type Counts struct {
	Replies             map[int]uint64    `json:"answers"` // to clients, by status
	Attempts            map[string]uint64 `json:"tries"`   // sent to proxies beside hosts, by verdict
	Rejected            map[string]uint64 `json:"turned"`  // away before the host here, by reason
	Runs                uint64            `json:"runs"`    // given to the host here
	LateRuns            uint64            `json:"late"`    // of those past their aim before they began
	PeerFailures        uint64            `json:"doubts"`  // tries given up as the proxy that had them is silent or gone
	Dropped             map[string]uint64 `json:"dropped"` // messages that changed nothing, by reason
	ClientsLeft         map[string]uint64 `json:"left"`    // requests whose clients left before the answer, by where they were
	SentAfterClientLeft uint64            `json:"unasked"` // tries sent for clients that had left: none is ever due

	Grants        uint64 `json:"grants"`     // of keys to the host here
	GrantsRefused uint64 `json:"notGranted"` // of these, how many it did not take

	Cancelled map[string]uint64 `json:"cancelled"` // requests taken back by others, by where they were here
}

// State is what an operator sees of a proxy.
type State struct {
	Edition      uint64           `json:"edition"`
	Ready        bool             `json:"ready"`
	Ending       bool             `json:"ending"`
	Servers      []string         `json:"servers"`
	Host         *meshpb.Record   `json:"host"`
	Records      []*meshpb.Record `json:"roll"`
	Silent       []string         `json:"silent"`
	Requests     int              `json:"orders"`
	Jobs         int              `json:"jobs"`
	Queued       int              `json:"queued"`
	QueuedLate   int              `json:"late"`
	Counts       Counts           `json:"counts"`
	AvoidedHosts map[string]int   `json:"avoided"`
	Ejected      []string         `json:"condemned"`
	Suspects     []string         `json:"accused"`
	Keys         *KeyState        `json:"keys,omitempty"` // nil: the host here holds none, nor is to
}

// State tells what is known here.
func (p *Sidecar) State(now float64) State {
	p.beginInput(now)
	s := State{Ready: p.Ready(), Ending: p.discovery.shuttingDown, Servers: p.discovery.servers, Host: p.discovery.own, Requests: len(p.requests),
		Jobs: len(p.admission.jobs), Queued: len(p.admission.queue), QueuedLate: len(p.admission.lateQueue.jobs), AvoidedHosts: map[string]int{},
		Counts: Counts{Replies: maps.Clone(p.counts.Replies), Attempts: maps.Clone(p.counts.Attempts), Rejected: maps.Clone(p.counts.Rejected),
			Runs: p.counts.Runs, LateRuns: p.counts.LateRuns, PeerFailures: p.counts.PeerFailures, Dropped: maps.Clone(p.counts.Dropped), ClientsLeft: maps.Clone(p.counts.ClientsLeft),
			SentAfterClientLeft: p.counts.SentAfterClientLeft, Cancelled: maps.Clone(p.counts.Cancelled), Grants: p.counts.Grants,
			GrantsRefused: p.counts.GrantsRefused}}
	if p.table != nil {
		s.Edition = p.table.Edition
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

// Edition is the version of the configuration in force here; 0: none is.
func (p *Sidecar) Edition() uint64 {
	if p.table == nil {
		return 0
	}
	return p.table.Edition
}

// Configuration is the text and the version in force here; nil: none is.
func (p *Sidecar) Configuration() (text []byte, version uint64) {
	if p.table == nil {
		return nil, 0
	}
	return p.table.Text, p.table.Edition
}
