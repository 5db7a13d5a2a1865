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
	o     Options
	now   float64
	rng   random.Source
	table *routeconfig.Table
	out   Output
	local []func() // what actions of the module gave rise to; it may not be called from within one
	inUse int      // bytes of bodies
	count Counts

	// dispatch.go
	services map[string]*service
	orders   map[uint64]*Request
	tries    map[uint64]*try
	life     uint64 // of this process; its questions carry it
	lastID   uint64
	timers   timers
	budget   *retrybudget.Budget
	peers    map[string]*peer
	pongs    float64 // mean seconds that others take to say that they are there

	admission admission
	shards    shards
	lease     keyLease
	pauses    pauses
	discovery discovery
	witness   witness
}

// New makes a proxy.
func New(now float64, o Options) *Sidecar {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	p := &Sidecar{o: o, now: now, rng: random.Source(o.Seed), services: map[string]*service{}, orders: map[uint64]*Request{}, tries: map[uint64]*try{},
		budget: retrybudget.New(o.RetryRatio, o.RetrySlack), peers: map[string]*peer{},
		count: Counts{Replies: map[int]uint64{}, Attempts: map[string]uint64{}, Rejected: map[string]uint64{}, Dropped: map[string]uint64{},
			ClientsLeft: map[string]uint64{}, Cancelled: map[string]uint64{}}}
	p.pauses.inputAt = now
	p.identify()
	p.admission.begin(p)
	p.shards.tables = map[string]*sharding.Table{}
	p.lease.init(o.Service)
	p.discovery.begin(p)
	return p
}

// Take gives what is to be done since the last call.
func (p *Sidecar) TakeOutput() Output {
	p.settle()
	out := p.out
	p.out = Output{}
	return out
}

// settle plays what actions gave rise to, in order.
func (p *Sidecar) settle() {
	for len(p.local) > 0 {
		f := p.local[0]
		p.local = p.local[1:]
		f()
	}
}

// random gives the next of the numbers that the seed begins.
func (p *Sidecar) random() uint64 { return p.rng.Next() }

// draw is a random number in [0, 1).
func (p *Sidecar) draw() float64 { return float64(p.random()>>11) / (1 << 53) }

// send has a parcel go out; what is for this process itself comes back at once.
func (p *Sidecar) send(to string, parcel *meshpb.Message) {
	if to == p.o.Self {
		p.local = append(p.local, func() { p.parcel(to, parcel) })
		return
	}
	p.out.Sends = append(p.out.Sends, transport.Send{To: to, Message: parcel})
}

// Message takes what another process says.
func (p *Sidecar) Receive(now float64, from string, parcel *meshpb.Message) {
	p.input(now)
	if w := p.peers[from]; w != nil && (!meshpb.IsAnswer(parcel) || p.ofThisLife(from, parcel)) {
		w.heard, w.life = now, senderLife(parcel)
		p.sendHeld(from)
	}
	p.parcel(from, parcel)
	p.settle()
}

// Link takes word of how many seconds a large answer waits for this machine's link, and takes there for each byte; 0: next to nothing.
func (p *Sidecar) SetLinkBacklog(wait, perByte float64) {
	p.admission.link, p.admission.perByte = wait, perByte
}

// Sign takes word that a large parcel of another process's is on its way: it is not silent.
func (p *Sidecar) NoteIncoming(now float64, from string) {
	if w := p.peers[from]; w != nil {
		w.heard = now
	}
}

func (p *Sidecar) parcel(from string, parcel *meshpb.Message) {
	switch {
	case parcel.Forward != nil:
		p.admission.carry(from, parcel)
	case parcel.Cancel != nil:
		p.admission.cancel(from, parcel)
	case parcel.Forwarded != nil:
		p.forwarded(from, parcel)
	case parcel.Lease != nil:
		p.leased(from, parcel)
	case parcel.Claimed != nil:
		p.admission.claimed(from, parcel)
	case parcel.Update != nil:
		p.discovery.came(from, parcel)
	case parcel.Pull != nil:
		p.discovery.pulled(from, parcel)
	case parcel.Ping != nil:
		p.answer(from, parcel, &meshpb.Message{Pong: parcel.Ping})
	case parcel.Pong != nil:
		p.ponged(from, parcel)
	}
}

// Broke takes word that a connection is no more.
func (p *Sidecar) ConnectionLost(now float64, b transport.Broke) {
	p.input(now)
	p.brokeTries(b)
	p.admission.broke(b)
	p.discovery.broke(b.Peer)
	p.settle()
}

// Tick does what is due. It is to be called every few hundredths of a second, and at Next.
func (p *Sidecar) Tick(now float64) {
	p.input(now)
	p.fire()
	p.watchPeers()
	p.admission.tick()
	p.discovery.tick()
	p.tickLease()
	p.settle()
}

// Ready says whether clients may come: a configuration is in force here, and the process is not about to end.
func (p *Sidecar) Ready() bool { return p.table != nil && !p.discovery.ending && p.discovery.told }

// Term begins the end: clients hear that they had better go elsewhere, and once they have had time to, after so many seconds,
// nothing may be under way. The others hear of it shortly before that: until then the host here is of use to them. What comes
// nevertheless is served.
func (p *Sidecar) BeginShutdown(now, notice float64) {
	p.input(now)
	p.discovery.ending = true
	p.discovery.leaveAt = now + max(0, notice-leaveAhead)
	p.settle()
}

// Idle says whether nothing is under way here. Word on the end of a run is, until it has been taken: lost with this process,
// it would leave a key that has run without its answer.
func (p *Sidecar) Idle() bool {
	return len(p.orders) == 0 && len(p.admission.jobs) == 0 && len(p.admission.keys.settles) == 0
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
	p.input(now)
	s := State{Ready: p.Ready(), Ending: p.discovery.ending, Servers: p.discovery.servers, Host: p.discovery.own, Requests: len(p.orders),
		Jobs: len(p.admission.jobs), Queued: len(p.admission.queue), QueuedLate: len(p.admission.late.jobs), AvoidedHosts: map[string]int{},
		Counts: Counts{Replies: maps.Clone(p.count.Replies), Attempts: maps.Clone(p.count.Attempts), Rejected: maps.Clone(p.count.Rejected),
			Runs: p.count.Runs, LateRuns: p.count.LateRuns, PeerFailures: p.count.PeerFailures, Dropped: maps.Clone(p.count.Dropped), ClientsLeft: maps.Clone(p.count.ClientsLeft),
			SentAfterClientLeft: p.count.SentAfterClientLeft, Cancelled: maps.Clone(p.count.Cancelled), Grants: p.count.Grants,
			GrantsRefused: p.count.GrantsRefused}}
	if p.table != nil {
		s.Edition = p.table.Edition
	}
	for _, source := range p.discovery.sources() {
		s.Records = append(s.Records, p.discovery.records[source])
		if p.discovery.silent[source] {
			s.Silent = append(s.Silent, source)
		}
	}
	s.Ejected, s.Suspects = p.witness.all(now), p.witness.accused
	s.Keys = p.keyState()
	for name, service := range p.services {
		s.AvoidedHosts[name] = service.bal.Avoided(now)
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
