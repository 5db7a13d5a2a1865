package sidecar

import (
	"math"
	"slices"
	"strconv"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/random"
	"beechwing/internal/mesh/routeconfig"
)

// The headers of the operators' protocol.
const (
	HeaderID             = "Beechwing-Consignment-Id"
	HeaderDeadline       = "Beechwing-Deadline-Ms"
	HeaderIdempotencyKey = "Beechwing-Once-Key"
	HeaderPostmark       = "Beechwing-Postmark"
	HeaderAddressee      = "Beechwing-Addressee"
	HeaderSender         = "Beechwing-Sender-Carrier"
	HeaderNotRun         = "Beechwing-Undelivered"
	HeaderStation        = "Beechwing-Station"
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
type Request struct {
	Method, Target, Host string
	Fields               []*meshpb.Field
	Body                 []byte
	Framed               bool // it came with a body, of whatever length
	ID, IdempotencyKey   string
	Timeout              float64 // seconds that the client waits; 0: it did not say
	ReplyTo              any     // the program's

	id       uint64
	taken    float64
	deadline float64
	route    *routeconfig.Route
	class    class
	service  string
	token    uint64
	shardKey int             // in a sharded service; noKey: the service is none
	holder   balancer.HostID // of that; 0: any host will do
	tries    []*try
	arrivals int
	claims   bool // a claim of its key may stand
	told     bool
	left     bool              // its client has closed the connection
	last     *meshpb.Forwarded // a host's answer that is no success
}

// Reply is the answer to a client. It has no status where the client has left: nothing is to be written then.
type Reply struct {
	Status     int
	Fields     []*meshpb.Field
	Body       []byte
	RetryAfter float64 // seconds until the client may come again; 0: not told
	FromProxy  bool    // not a host's
	Reason     string
}

// try is one sending of an order.
type try struct {
	order    *Request
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
func (p *Sidecar) Submit(now float64, o *Request) {
	p.input(now)
	o.taken = now
	p.ask(o)
	p.settle()
}

func (p *Sidecar) ask(o *Request) {
	if p.table == nil {
		p.tell(o, Reply{Status: 503, RetryAfter: comeBackMost, FromProxy: true, Reason: "no configuration yet"})
		return
	}
	if o.route = p.table.Match(o.Host, o.Target); o.route == nil {
		p.tell(o, Reply{Status: 404, FromProxy: true, Reason: "no route"})
		return
	}
	o.class = classOf(o.route)
	word := o.IdempotencyKey
	if word == "" {
		word = o.ID
	}
	o.service = o.route.ServiceFor(word)
	s := p.services[o.service]
	if s == nil {
		p.tell(o, Reply{Status: 503, RetryAfter: noHostsBack, FromProxy: true, Reason: "no hosts"})
		return
	}
	if o.route.RouteKind == routeconfig.Tracked && o.IdempotencyKey != "" {
		o.IdempotencyKey = o.Host + "\x00" + o.IdempotencyKey // one of the same tenant's, whom the host name tells apart
	} else {
		o.IdempotencyKey = ""
	}
	left := min(o.Timeout, mostLeft)
	if left <= 0 {
		left = defaultLeft
	}
	if o.route.TimeoutMs > 0 {
		left = min(left, o.route.TimeoutMs/1000)
	}
	o.deadline = o.taken + left
	o.shardKey = noKey
	if p.sharded(o.service) {
		if o.shardKey = keyOf(o.Fields); o.shardKey == noKey {
			p.tell(o, Reply{Status: 400, FromProxy: true, Reason: HeaderShardKey + ": is to be a number from 0 to 65535"})
			return
		}
	}
	if p.inUse+len(o.Body) > p.o.MaxBodyBytes {
		p.tell(o, Reply{Status: 503, RetryAfter: comeBackMost, FromProxy: true, Reason: "no memory for its body"})
		return
	}
	p.inUse += len(o.Body)
	o.id, o.token = p.id(), p.random()
	p.orders[o.id] = o
	p.budget.Earn(o.service)
	p.at(o.deadline+afterDeadline, func() { p.over(o) })
	if o.shardKey != noKey {
		p.askHolder(o)
		return
	}
	p.request(o)
}

// request puts an order to the module of its service.
func (p *Sidecar) request(o *Request) {
	s := p.services[o.service]
	if s == nil {
		return // its service is gone: it ends with its time
	}
	s.bal.Request(p.now, balancer.Request{ID: balancer.RequestID(o.id), Class: s.class(o.class), Key: p.random() | 1, Only: o.holder,
		Budget: max(0, o.deadline-p.now)})
}

// over ends an order whose time is over.
func (p *Sidecar) over(o *Request) {
	if !o.told {
		reply := Reply{Status: 504, FromProxy: true, Reason: "its time was over"}
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
func (p *Sidecar) endStrays(o *Request) {
	for _, t := range o.tries {
		if p.leave(t) {
			p.outcome(t, balancer.TimedOut, true)
		}
	}
	p.forget(o)
}

// tell gives an order its answer.
func (p *Sidecar) tell(o *Request, r Reply) {
	if o.told {
		return
	}
	o.told = true
	if !o.left {
		p.count.Replies[r.Status]++
	}
	p.out.Commands = append(p.out.Commands, Respond{o, r})
	if p.o.Debug != nil {
		p.o.Debug("answered", "id", o.ID, "status", r.Status, "ours", r.FromProxy, "why", r.Reason, "tries", len(o.tries),
			"service", o.service, "took", p.now-o.taken)
	}
}

// forget lets go of an order that is answered and has nothing out.
func (p *Sidecar) forget(o *Request) {
	if !o.told || p.orders[o.id] == nil || slices.ContainsFunc(o.tries, func(t *try) bool { return t.out }) {
		return
	}
	delete(p.orders, o.id)
	p.inUse -= len(o.Body)
}

// hosts words a host's answer for the client.
func (p *Sidecar) hosts(o *Request, c *meshpb.Forwarded) Reply {
	r := Reply{Status: int(c.Status), Fields: c.Fields, Body: c.Body}
	switch r.Status { // a promise that only the host's own word can make, which it did not
	case 503, 429, 408, 421:
		r = Reply{Status: 502, FromProxy: true, Reason: "the host's " + strconv.Itoa(r.Status) + " without its word that it has not run"}
	}
	return r
}
