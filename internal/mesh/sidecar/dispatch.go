package sidecar

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/random"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/routeconfig"
)

// The headers of the operators' protocol.
const (
	HeaderID        = "Beechwing-Consignment-Id"
	HeaderDeadline  = "Beechwing-Deadline-Ms"
	HeaderKey       = "Beechwing-Once-Key"
	HeaderPostmark  = "Beechwing-Postmark"
	HeaderAddressee = "Beechwing-Addressee"
	HeaderSender    = "Beechwing-Sender-Carrier"
	HeaderUnrun     = "Beechwing-Undelivered"
	HeaderStation   = "Beechwing-Station"
)

const (
	defaultLeft   = 30.0 // seconds, for a client that does not say how long it waits
	mostLeft      = 600.0
	comeBack      = 0.05 // seconds: the least time after which to come back
	comeBackMost  = 0.3
	crossing      = 0.051  // price of going to another zone, for the module: 0.15 of the weight
	crossingLarge = 0.0588 // where answers are large: a fiftieth
	meanStep      = 0.02   // weight of one answer in the mean time of its class
	slowStep      = 0.06   // and in that of its host
	slowMost      = 4.0    // times the mean: one answer counts for no more
	slowTold      = 0.1    // the module is told of a change of so much
	weighEvery    = 0.5    // seconds
	lateWorth     = 0.3
	silentAsk     = 0.06 // seconds without a word from a proxy that has something of ours in hand: it is asked
	silentOver    = 0.15 // and without a word since: it counts as gone, where answers to that come at once
	silentSlow    = 3.0  // times what such answers take lately, on top
	silentMost    = 0.6
	pongStep      = 0.05 // weight of one in that
	strayAfter    = 3.0  // after its deadline a try that nobody ended is forgotten
	noHostsBack   = 0.15
	coreGone      = 1.0   // seconds without a word from any control process
	afterDeadline = 0.004 // the other end is given the word first
)

// Order is one request of a client's.
type Order struct {
	Method, Target, Host string
	Fields               []*meshpb.Field
	Body                 []byte
	Framed               bool // it came with a body, of whatever length
	ID, Key              string
	Left                 float64 // seconds that the client waits; 0: it did not say
	Slot                 any     // the program's

	id       uint64
	taken    float64
	deadline float64
	route    *routeconfig.Route
	class    class
	service  string
	token    uint64
	tries    []*try
	arrivals int
	claims   bool // a claim of its key may stand
	told     bool
	last     *meshpb.Forwarded // a host's answer that is no success
}

// Reply is the answer to a client.
type Reply struct {
	Status int
	Fields []*meshpb.Field
	Body   []byte
	Back   float64 // seconds until the client may come again; 0: not told
	Ours   bool    // not a host's
	Why    string
}

// try is one sending of an order.
type try struct {
	order    *Order
	id       uint64
	number   int
	host     balancer.HostID
	peer     string
	sent     float64
	station  string // the life of the host that it is for
	gateLife uint64 // and the process beside that; 0: any
	held     bool   // it has not gone: it waits until that process is known
	link     uint64 // the connection that it went by
	spent    bool   // taken off the budget
	asked    bool   // the register was asked whether it may still run
	out      bool
}

// peer is what is known of another proxy that has something of ours in hand.
type peer struct {
	out          int
	held         int    // of those, how many have not gone
	life         uint64 // of its process, by what came from it last; 0: not known
	heard, asked float64
	ping         uint64 // the question that it was asked then; 0: it has answered
	oldest       float64
}

// service is a service as this proxy picks among its hosts: the decision module, and who they are.
type service struct {
	p       *Sidecar
	name    string
	bal     *balancer.Balancer
	classes []class
	hosts   map[balancer.HostID]*place
	took    []float64 // mean seconds that a request of each class takes at a host
	far     bool      // large answers come from here: near hosts are preferred more
}

// place is a host of a service: the proxy beside it, and how long requests take there beside the mean of all.
type place struct {
	source, station string
	slow            float64
	told            float64 // what the module was told of that
}

// class is what the module tells requests apart by.
type class struct {
	effect        balancer.Effect
	aim, deadline float64
	precedence    int
}

func classOf(r *routeconfig.Route) class {
	c := class{r.Effect(), r.TargetMs / 1000, r.TimeoutMs / 1000, r.Precedence}
	if c.deadline <= 0 {
		c.deadline = defaultLeft
	}
	if c.aim <= 0 {
		c.aim = c.deadline / 2
	}
	return c
}

// number is the same for a class at all proxies.
func (c class) number() uint32 {
	h := uint64(c.effect)
	for _, x := range [...]uint64{math.Float64bits(c.aim), math.Float64bits(c.deadline), uint64(c.precedence)} {
		h = random.Mix(h ^ x)
	}
	return uint32(h)
}

// Ask takes a request. It is answered exactly once, by a Tell.
func (p *Sidecar) Ask(now float64, o *Order) {
	p.input(now)
	o.taken = now
	p.ask(o)
	p.settle()
}

func (p *Sidecar) ask(o *Order) {
	if p.table == nil {
		p.tell(o, Reply{Status: 503, Back: comeBackMost, Ours: true, Why: "no configuration yet"})
		return
	}
	if o.route = p.table.Match(o.Host, o.Target); o.route == nil {
		p.tell(o, Reply{Status: 404, Ours: true, Why: "no route"})
		return
	}
	o.class = classOf(o.route)
	word := o.Key
	if word == "" {
		word = o.ID
	}
	o.service = o.route.ServiceFor(word)
	s := p.services[o.service]
	if s == nil {
		p.tell(o, Reply{Status: 503, Back: noHostsBack, Ours: true, Why: "no hosts"})
		return
	}
	if o.route.RouteKind == routeconfig.Tracked && o.Key != "" {
		o.Key = o.Host + "\x00" + o.Key // one of the same tenant's, whom the host name tells apart
	} else {
		o.Key = ""
	}
	left := min(o.Left, mostLeft)
	if left <= 0 {
		left = defaultLeft
	}
	if o.route.TimeoutMs > 0 {
		left = min(left, o.route.TimeoutMs/1000)
	}
	o.deadline = o.taken + left
	if p.inUse+len(o.Body) > p.o.Memory {
		p.tell(o, Reply{Status: 503, Back: comeBackMost, Ours: true, Why: "no memory for its body"})
		return
	}
	p.inUse += len(o.Body)
	o.id, o.token = p.id(), p.random()
	p.orders[o.id] = o
	p.budget.Earn(o.service)
	p.at(o.deadline+afterDeadline, func() { p.over(o) })
	s.bal.Request(p.now, balancer.Request{ID: balancer.RequestID(o.id), Class: s.class(o.class),
		Key: p.random() | 1, Budget: max(0, o.deadline-p.now)})
}

// over ends an order whose time is over.
func (p *Sidecar) over(o *Order) {
	if !o.told {
		reply := Reply{Status: 504, Ours: true, Why: "its time was over"}
		if o.last != nil {
			reply = p.hosts(o, o.last)
		}
		p.tell(o, reply)
		if s := p.services[o.service]; s != nil {
			s.bal.Gone(p.now, balancer.RequestID(o.id))
		}
		p.forget(o)
	}
	if p.orders[o.id] != nil {
		p.at(o.deadline+strayAfter, func() { p.endStrays(o) })
	}
}

// endStrays ends the tries of an order that nobody has ended, and will not: their answer was lost, or belonged to nothing.
func (p *Sidecar) endStrays(o *Order) {
	for _, t := range o.tries {
		if p.leave(t) {
			p.outcome(t, balancer.TimedOut, true)
		}
	}
	p.forget(o)
}

// tell gives an order its answer.
func (p *Sidecar) tell(o *Order, r Reply) {
	if o.told {
		return
	}
	o.told = true
	p.count.Answers[r.Status]++
	p.out.Dos = append(p.out.Dos, Tell{o, r})
	if p.o.Debug != nil {
		p.o.Debug("answered", "id", o.ID, "status", r.Status, "ours", r.Ours, "why", r.Why, "tries", len(o.tries),
			"service", o.service, "took", p.now-o.taken)
	}
}

// forget lets go of an order that is answered and has nothing out.
func (p *Sidecar) forget(o *Order) {
	if !o.told || p.orders[o.id] == nil || slices.ContainsFunc(o.tries, func(t *try) bool { return t.out }) {
		return
	}
	delete(p.orders, o.id)
	p.inUse -= len(o.Body)
}

// hosts words a host's answer for the client.
func (p *Sidecar) hosts(o *Order, c *meshpb.Forwarded) Reply {
	r := Reply{Status: int(c.Status), Fields: c.Fields, Body: c.Body}
	switch r.Status { // a promise that only the host's own word can make, which it did not
	case 503, 429, 408, 421:
		r = Reply{Status: 502, Ours: true, Why: "the host's " + strconv.Itoa(r.Status) + " without its word that it has not run"}
	}
	return r
}

// ---- the module's actions

// Send sends a request to the proxy beside the picked host.
func (s *service) Send(id balancer.RequestID, host balancer.HostID, _ float64) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil {
		return
	}
	at := s.hosts[host]
	t := &try{order: o, id: p.id(), number: len(o.tries), host: host, sent: p.now, out: true}
	o.tries = append(o.tries, t)
	p.tries[t.id] = t
	switch {
	case o.told, p.now >= o.deadline:
		p.later(func() { p.ended(t, balancer.Moot, nil, "") })
		return
	case at == nil:
		p.later(func() { p.ended(t, balancer.ConnectFailed, nil, "gone from the roll") })
		return
	case o.arrivals >= max(1, o.route.Tries):
		p.later(func() { p.ended(t, balancer.Moot, nil, "no tries left") })
		return
	case o.arrivals > 0 && !p.budget.Spend(o.service):
		p.later(func() { p.ended(t, balancer.Moot, nil, "no budget for a further try") })
		return
	}
	t.spent = o.arrivals > 0
	t.peer, t.station = at.source, at.station
	if w := p.peers[t.peer]; w == nil {
		p.peers[t.peer] = &peer{out: 1, heard: p.now, oldest: p.now}
	} else {
		if w.out++; w.out == 1 {
			w.oldest, w.heard = p.now, p.now
		}
	}
	if !o.route.Repeatable() && t.peer != p.o.Self && p.peers[t.peer].life == 0 {
		p.hold(t)
		return
	}
	p.sendTry(t)
}

// sendTry has a try go to the proxy beside its host.
func (p *Sidecar) sendTry(t *try) {
	t.gateLife = p.peers[t.peer].life
	parcel := p.question(t.id, &meshpb.Message{Forward: p.forward(t)})
	if t.peer == p.o.Self {
		p.send(t.peer, parcel)
		return
	}
	p.out.Sends = append(p.out.Sends, transport.Send{To: t.peer, Message: parcel, Via: &t.link})
}

// forward is what a try asks of the proxy beside its host.
func (p *Sidecar) forward(t *try) *meshpb.Forward {
	o := t.order
	aim := min(o.deadline, o.taken+o.class.aim)
	return &meshpb.Forward{
		Station:    t.station,
		Method:     o.Method,
		Target:     o.Target,
		Host:       o.Host,
		Fields:     o.Fields,
		Body:       o.Body,
		Framed:     o.Framed,
		LeftUs:     uint32(min(math.MaxUint32, max(0, o.deadline-p.now)*1e6)),
		Sender:     p.o.Sender,
		Key:        o.Key,
		Token:      o.token,
		Precedence: uint32(max(0, o.route.Precedence)),
		Repeatable: o.route.Repeatable(),
		Attempt:    uint32(t.number),
		Class:      o.class.number(),
		AimUs:      uint32(max(0, aim-p.now) * 1e6),
		GateLife:   t.gateLife,
	}
}

// Refuse answers that trying again is harmless.
func (s *service) Refuse(id balancer.RequestID, coolDown float64) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil || o.told {
		return
	}
	r := Reply{Status: 503, Ours: true, Back: min(comeBackMost, max(comeBack, coolDown)), Why: "refused"}
	if n := len(o.tries); n == 0 {
		r.Why = "no room"
	}
	if o.last != nil { // a host has spoken
		r = p.hosts(o, o.last)
	}
	if o.claims && r.Ours { // what is promised not to run gives its key back
		p.gate.settle(o.Key, &meshpb.Receipt{Token: o.token, State: register.Void})
	}
	p.tell(o, r)
	p.later(func() { p.forget(o) })
}

// Fail answers that nothing is promised.
func (s *service) Fail(id balancer.RequestID) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil || o.told {
		return
	}
	r := Reply{Status: 502, Ours: true, Why: "it may have run"}
	if o.last != nil {
		r = p.hosts(o, o.last)
	}
	p.tell(o, r)
	p.later(func() { p.forget(o) })
}

// Cancel would stop an attempt: a host at work is left to finish, as its answer is worth recording.
func (s *service) Cancel(balancer.RequestID, int) {}

// Probe is not asked for.
func (s *service) Probe(balancer.HostID) {}

// Timer asks for an event.
func (s *service) Timer(after float64, token uint64) {
	s.p.at(s.p.now+max(0, after), func() {
		if s.p.services[s.name] == s {
			s.bal.Timer(s.p.now, token)
		}
	})
}

// Watch and Fetch ask for the list, which comes unasked here.
func (s *service) Watch() {}
func (s *service) Fetch() {}

// Tell would send a message to every peer.
func (s *service) Tell([]byte) {}

// Log writes a line of the module's.
func (s *service) Log(text string) {
	if s.p.o.Debug != nil {
		s.p.o.Debug("balancer", "service", s.name, "says", text)
	}
}

func (p *Sidecar) later(f func()) { p.local = append(p.local, f) }

// ---- what comes back

// forwarded takes the end of a try from the proxy that had it.
func (p *Sidecar) forwarded(from string, m *meshpb.Message) {
	t, asked := p.tries[m.Id], ""
	if t != nil {
		asked = t.peer
	}
	if !p.accepts(from, m, asked) {
		return
	}
	if t.gateLife != 0 && m.Responder != t.gateLife {
		p.drop(from, m, dropResponder)
		p.doubt(t, "another process is at its proxy's address")
		return
	}
	p.carried(t, m.Forwarded)
}

// carried takes the end of a try.
func (p *Sidecar) carried(t *try, c *meshpb.Forwarded) {
	o := t.order
	v := outcome.Outcome(c.Verdict)
	p.count.Tries[v.String()]++
	if v == outcome.Answered && c.Status < 500 {
		p.services[o.service].timed(t.host, o.class, float64(c.TookUs)/1e6)
	}
	if at := p.services[o.service].hosts[t.host]; at != nil && t.peer != p.o.Self { // of the host here the gate speaks
		p.sawEnd(at.station, c)
	}
	if v.Arrived() {
		o.arrivals++
	} else if t.spent {
		p.budget.Back(o.service)
	}
	o.claims = o.claims || v.NeverRan() && c.Claimed
	why := c.Why
	if why == "" {
		why = v.String()
	}
	switch v {
	case outcome.Answered:
		if c.Status >= 500 {
			p.ended(t, balancer.Errored, c, why)
		} else {
			p.ended(t, balancer.OK, c, why)
		}
	case outcome.Turned:
		if c.BackMs > 0 { // it is full
			p.ended(t, balancer.TurnedAway, nil, why)
		} else {
			p.ended(t, balancer.ConnectFailed, nil, why)
		}
	case outcome.HostTurned:
		p.ended(t, balancer.TurnedAway, nil, why)
	case outcome.Unclaimed:
		if p.now > p.news.heardAt+coreGone || t.number > 0 || c.BackMs > 0 { // another gate reaches no more of the control plane
			p.ended(t, balancer.Moot, nil, why)
		} else {
			p.ended(t, balancer.TurnedAway, nil, why)
		}
	case outcome.Expired:
		p.ended(t, balancer.Moot, nil, why)
	case outcome.Late:
		p.ended(t, balancer.TimedOut, nil, why)
	case outcome.Busy:
		p.final(t, Reply{Status: 409, Ours: true, Back: comeBack, Why: "its key is at work"})
	case outcome.Kept:
		p.final(t, Reply{Status: int(c.Status), Fields: c.Fields, Body: c.Body, Why: "its key's answer"})
	case outcome.Lost:
		p.final(t, Reply{Status: 502, Ours: true, Why: "its key's run has no known end"})
	default:
		p.ended(t, balancer.Reset, nil, why)
	}
}

// leave takes a try off the books.
func (p *Sidecar) leave(t *try) bool {
	if !t.out {
		return false
	}
	t.out = false
	delete(p.tries, t.id)
	if w := p.peers[t.peer]; w != nil {
		if w.out--; w.out <= 0 {
			w.out = 0
		}
		if t.held {
			t.held = false
			w.held--
		}
		w.oldest = p.now
	}
	return true
}

// final ends a try, and with it the order, by something that says nothing of the host.
func (p *Sidecar) final(t *try, r Reply) {
	if !p.leave(t) {
		return
	}
	o := t.order
	p.tell(o, r)
	p.outcome(t, balancer.Cancelled, true)
	p.forget(o)
}

// ended takes the result of a try to the module, which says what follows.
func (p *Sidecar) ended(t *try, result balancer.Result, c *meshpb.Forwarded, why string) {
	if !p.leave(t) {
		return
	}
	o := t.order
	if p.o.Debug != nil {
		p.o.Debug("try ended", "id", o.ID, "try", t.number, "peer", t.peer, "result", result, "why", why, "took", p.now-t.sent)
	}
	final := o.told
	switch {
	case c == nil:
	case result == balancer.OK || !o.route.Repeatable():
		p.tell(o, p.hosts(o, c))
		final = true
	default:
		o.last = c
	}
	p.outcome(t, result, final)
	p.forget(o)
}

func (p *Sidecar) outcome(t *try, result balancer.Result, final bool) {
	if s := p.services[t.order.service]; s != nil {
		s.bal.Outcome(p.now, balancer.Outcome{ID: balancer.RequestID(t.order.id), Attempt: t.number, Host: t.host, Result: result,
			Took: p.now - t.sent, Final: final})
	}
}

// brokeTries ends the tries that went by a connection that is no more. What had not gone out has not run.
func (p *Sidecar) brokeTries(b transport.Broke) {
	for _, id := range b.Unsent {
		if t := p.tries[id]; t != nil && t.peer == b.Peer {
			p.endUnsent(t, "no connection to the proxy beside the host")
		}
	}
	p.endHeld(b.Peer, "no connection to the proxy beside the host")
	if b.Link == 0 {
		return
	}
	if w := p.peers[b.Peer]; w != nil {
		w.life = 0 // another process may have the address
	}
	for _, t := range p.triesAt(b.Peer) {
		if t.link != b.Link {
			continue
		}
		p.doubt(t, "the connection to the proxy beside the host broke")
	}
}

// endUnsent ends a try of which nothing has gone.
func (p *Sidecar) endUnsent(t *try, why string) {
	if t.spent {
		p.budget.Back(t.order.service)
	}
	p.ended(t, balancer.ConnectFailed, nil, why)
}

// doubt ends a try of which nothing will be heard. What may be sent again is. What has a key has not run, and never will, if no
// claim of its token was granted and none will be: the register says so. Of the rest it is not known.
func (p *Sidecar) doubt(t *try, why string) {
	o := t.order
	if !t.asked {
		p.count.Doubts++
		if s := p.services[o.service]; s != nil && s.hosts[t.host] != nil {
			p.saw(s.hosts[t.host].station, true)
		}
	}
	switch {
	case o.route.Repeatable():
		o.arrivals++ // it may have arrived
		p.ended(t, balancer.ConnectFailed, nil, why)
	case o.Key == "":
		o.arrivals++
		p.ended(t, balancer.Reset, nil, why)
	case !t.asked:
		t.asked = true
		p.gate.voidIfFree(o.Key, o.token, func(state uint32) {
			if state != register.Void {
				o.arrivals++
				p.ended(t, balancer.Reset, nil, why+"; its key was claimed")
				return
			}
			if t.out {
				o.token = p.random()
			}
			p.ended(t, balancer.ConnectFailed, nil, why+"; its key was free")
		})
	}
}

// triesAt are the tries that another proxy has in hand, the oldest first.
func (p *Sidecar) triesAt(source string) (all []*try) {
	for _, t := range p.tries {
		if t.peer == source {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return all
}

// watchPeers finds proxies that have gone silent with something of ours in hand: a machine behind a cut says nothing. What may
// be sent again is; what may not waits for its end.
func (p *Sidecar) watchPeers() {
	for _, source := range slices.Sorted(maps.Keys(p.peers)) { // in order: a seed replays
		w := p.peers[source]
		if w.out == 0 || source == p.o.Self {
			continue
		}
		quiet := p.now - max(w.heard, w.oldest)
		switch {
		case quiet < silentAsk:
		case w.asked < w.heard || w.asked < w.oldest:
			p.ping(source)
		case p.now-w.asked > min(silentMost, silentOver+silentSlow*p.pongs):
			p.endHeld(source, "the proxy beside the host is silent")
			for _, t := range p.triesAt(source) {
				if t.sent < w.asked {
					p.doubt(t, "the proxy beside the host is silent")
				}
			}
		}
	}
}

// ---- the services

// adopt makes services of what a configuration says.
func (p *Sidecar) adopt(t *routeconfig.Table) {
	p.table = t
	by, far := map[string][]class{}, map[string]bool{}
	for i := range t.Config.Itineraries {
		r := &t.Config.Itineraries[i]
		c := classOf(r)
		names := []string{r.Carrier}
		for _, a := range r.Allotment {
			names = append(names, a.Carrier)
		}
		for _, name := range names {
			far[name] = far[name] || r.RouteKind == routeconfig.Download
			if name != "" && !slices.Contains(by[name], c) {
				by[name] = append(by[name], c)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		s := p.services[name]
		if s == nil {
			s = &service{p: p, name: name, classes: by[name], hosts: map[balancer.HostID]*place{}}
			p.services[name] = s
			s.took, s.far = make([]float64, len(s.classes)), far[name]
			s.bal = balancer.New(p.now, s.config(), s)
			continue
		}
		if slices.Equal(s.classes, by[name]) && s.far == far[name] {
			continue
		}
		kept := make([]int, len(by[name]))
		for i, c := range by[name] {
			kept[i] = slices.Index(s.classes, c)
		}
		took := make([]float64, len(kept))
		for i, from := range kept {
			if from >= 0 {
				took[i] = s.took[from]
			}
		}
		s.classes, s.took, s.far = by[name], took, far[name]
		s.bal.Configure(p.now, s.config(), kept)
	}
	p.news.list()
}

// timed takes how long a host had a request. Hosts of a service have different speeds, and the proxy beside each lets only as
// many requests in as it works on at once, so this is its speed and not the crowd before it.
func (s *service) timed(id balancer.HostID, c class, took float64) {
	at, n := s.hosts[id], slices.Index(s.classes, c)
	if at == nil || n < 0 || took <= 0 {
		return
	}
	if s.took[n] == 0 {
		s.took[n] = took
	}
	s.took[n] += meanStep * (took - s.took[n])
	at.slow += slowStep * (min(slowMost, took/s.took[n]) - at.slow)
}

// weigh tells the module of speeds that have changed.
func (s *service) weigh() bool {
	for _, at := range s.hosts {
		if r := at.slow / at.told; r > 1+slowTold || r < 1/(1+slowTold) {
			return true
		}
	}
	return false
}

func (s *service) class(c class) int { return max(0, slices.Index(s.classes, c)) }

func (s *service) config() balancer.Config {
	p := s.p
	cfg := balancer.Config{Seed: p.random(), Zone: p.news.zone(p.o.Zone), Balancers: max(1, len(p.news.records)),
		Prices: balancer.Prices{CrossZone: crossing}, Weighted: true, Gated: true, Agreed: p.o.Agreed, MaxCoolDown: comeBackMost, ConnectTimeout: 1}
	if s.far {
		cfg.Prices.CrossZone = crossingLarge
	}
	for _, c := range s.classes {
		cfg.Classes = append(cfg.Classes, balancer.Class{Aim: c.aim, Deadline: c.deadline, Worth: 1 / float64(1+max(0, c.precedence)),
			LateWorth: lateWorth, Effect: c.effect})
	}
	return cfg
}

// hostID is the module's number for a life of a host.
func hostID(station string) balancer.HostID {
	h := fnv.New64a()
	fmt.Fprint(h, station)
	return balancer.HostID(h.Sum64())
}

// ---- timers

type timer struct {
	at  float64
	seq uint64
	do  func()
}

// timers is a heap, the next one due first.
type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

func (p *Sidecar) at(when float64, do func()) { heap.Push(&p.timers, timer{when, p.id(), do}) }

// fire plays the timers that are due.
func (p *Sidecar) fire() {
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		heap.Pop(&p.timers).(timer).do()
		p.settle()
	}
}

// Next is when the next timer is due; infinite: none is set.
func (p *Sidecar) Next() float64 {
	if len(p.timers) == 0 {
		return math.Inf(1)
	}
	return p.timers[0].at
}
