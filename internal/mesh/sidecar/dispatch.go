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
	defaultTimeout      = 30.0 // seconds, for a client that does not say how long it waits
	maxTimeout          = 600.0
	minRetryAfter       = 0.05 // seconds: the least time after which to come back
	maxRetryAfter       = 0.3
	crossZonePrice      = 0.051  // price of going to another zone, for the module: 0.15 of the weight
	crossZonePriceLarge = 0.0588 // where answers are large: a fiftieth
	classMeanStep       = 0.02   // weight of one answer in the mean time of its class
	slownessStep        = 0.06   // and in that of its host
	maxSlownessSample   = 4.0    // times the mean: one answer counts for no more
	slownessChange      = 0.1    // the module is told of a change of so much
	weightInterval      = 0.5    // seconds
	lateWorth           = 0.3
	pingAfter           = 0.06 // seconds without a word from a proxy that has something of ours in hand: it is asked
	minPongTimeout      = 0.15 // and without a word since: it counts as gone, where answers to that come at once
	pongTimeoutFactor   = 3.0  // times what such answers take lately, on top
	maxPongTimeout      = 0.6
	meanPongStep        = 0.05 // weight of one in that
	strayTimeout        = 3.0  // after its deadline a try that nobody ended is forgotten
	noHostsRetryAfter   = 0.15
	controlSilentAfter  = 1.0   // seconds without a word from any control process
	deadlineGrace       = 0.004 // the other end is given the word first
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

	id           uint64
	receivedAt   float64
	deadline     float64
	route        *routeconfig.Route
	class        class
	service      string
	token        uint64
	shardKey     int             // in a sharded service; noKey: the service is none
	holder       balancer.HostID // of that; 0: any host will do
	attempts     []*attempt
	arrivals     int
	mayHoldClaim bool // a claim of its key may stand
	answered     bool
	clientLeft   bool              // its client has closed the connection
	lastResponse *meshpb.Forwarded // a host's answer that is no success
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
type attempt struct {
	request         *Request
	id              uint64
	number          int
	host            balancer.HostID
	peer            string
	sentAt          float64
	hostInstance    string // the life of the host that it is for
	peerIncarnation uint64 // and the process beside that; 0: any
	held            bool   // it has not gone: it waits until that process is known
	link            uint64 // the connection that it went by
	budgetSpent     bool   // taken off the budget
	voidRequested   bool   // the register was asked whether it may still run
	inFlight        bool
}

// peer is what is known of another proxy that has something of ours in hand.
type peerState struct {
	inFlight          int
	held              int    // of those, how many have not gone
	incarnation       uint64 // of its process, by what came from it last; 0: not known
	heardAt, pingedAt float64
	pingID            uint64 // the question that it was asked then; 0: it has answered
	progressAt        float64
}

// service is a service as this proxy picks among its hosts: the decision module, and who they are.
type service struct {
	sidecar      *Sidecar
	name         string
	balancer     *balancer.Balancer
	classes      []class
	hosts        map[balancer.HostID]*endpoint
	classSeconds []float64 // mean seconds that a request of each class takes at a host
	largeAnswers bool      // large answers come from here: near hosts are preferred more
}

// place is a host of a service: the proxy beside it, and how long requests take there beside the mean of all.
type endpoint struct {
	proxy, instance  string
	slowness         float64
	reportedSlowness float64 // what the module was told of that
}

// class is what the module tells requests apart by.
type class struct {
	effect          balancer.Effect
	target, timeout float64
	precedence      int
}

func classOf(r *routeconfig.Route) class {
	c := class{r.Effect(), r.TargetMs / 1000, r.TimeoutMs / 1000, r.Precedence}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.target <= 0 {
		c.target = c.timeout / 2
	}
	return c
}

// number is the same for a class at all proxies.
func (c class) wireID() uint32 {
	h := uint64(c.effect)
	for _, x := range [...]uint64{math.Float64bits(c.target), math.Float64bits(c.timeout), uint64(c.precedence)} {
		h = random.Mix(h ^ x)
	}
	return uint32(h)
}

// Ask takes a request. It is answered exactly once, by a Tell.
func (p *Sidecar) Submit(now float64, req *Request) {
	p.beginInput(now)
	req.receivedAt = now
	p.submit(req)
	p.runPending()
}

func (p *Sidecar) submit(req *Request) {
	if p.table == nil {
		p.reply(req, Reply{Status: 503, RetryAfter: maxRetryAfter, FromProxy: true, Reason: "no configuration yet"})
		return
	}
	if req.route = p.table.Match(req.Host, req.Target); req.route == nil {
		p.reply(req, Reply{Status: 404, FromProxy: true, Reason: "no route"})
		return
	}
	req.class = classOf(req.route)
	splitKey := req.IdempotencyKey
	if splitKey == "" {
		splitKey = req.ID
	}
	req.service = req.route.ServiceFor(splitKey)
	s := p.services[req.service]
	if s == nil {
		p.reply(req, Reply{Status: 503, RetryAfter: noHostsRetryAfter, FromProxy: true, Reason: "no hosts"})
		return
	}
	if req.route.RouteKind == routeconfig.Tracked && req.IdempotencyKey != "" {
		req.IdempotencyKey = req.Host + "\x00" + req.IdempotencyKey // one of the same tenant's, whom the host name tells apart
	} else {
		req.IdempotencyKey = ""
	}
	left := min(req.Timeout, maxTimeout)
	if left <= 0 {
		left = defaultTimeout
	}
	if req.route.TimeoutMs > 0 {
		left = min(left, req.route.TimeoutMs/1000)
	}
	req.deadline = req.receivedAt + left
	req.shardKey = noKey
	if p.isSharded(req.service) {
		if req.shardKey = shardKeyOf(req.Fields); req.shardKey == noKey {
			p.reply(req, Reply{Status: 400, FromProxy: true, Reason: HeaderShardKey + ": is to be a number from 0 to 65535"})
			return
		}
	}
	if p.bodyBytes+len(req.Body) > p.opts.MaxBodyBytes {
		p.reply(req, Reply{Status: 503, RetryAfter: maxRetryAfter, FromProxy: true, Reason: "no memory for its body"})
		return
	}
	p.bodyBytes += len(req.Body)
	req.id, req.token = p.nextID(), p.random()
	p.requests[req.id] = req
	p.retryBudget.Earn(req.service)
	p.schedule(req.deadline+deadlineGrace, func() { p.deadlinePassed(req) })
	if req.shardKey != noKey {
		p.submitToHolder(req)
		return
	}
	p.submitToBalancer(req)
}

// request puts an order to the module of its service.
func (p *Sidecar) submitToBalancer(req *Request) {
	s := p.services[req.service]
	if s == nil {
		return // its service is gone: it ends with its time
	}
	s.balancer.Request(p.now, balancer.Request{ID: balancer.RequestID(req.id), Class: s.classIndex(req.class), Key: p.random() | 1, Only: req.holder,
		Budget: max(0, req.deadline-p.now)})
}

// over ends an order whose time is over.
func (p *Sidecar) deadlinePassed(req *Request) {
	if !req.answered {
		reply := Reply{Status: 504, FromProxy: true, Reason: "its time was over"}
		if req.lastResponse != nil {
			reply = p.hostReply(req, req.lastResponse)
		}
		p.reply(req, reply)
		if s := p.services[req.service]; s != nil {
			s.balancer.Gone(p.now, balancer.RequestID(req.id))
		}
		p.forget(req)
	}
	if p.requests[req.id] != nil {
		p.schedule(req.deadline+strayTimeout, func() { p.endStrayAttempts(req) })
	}
}

// endStrays ends the tries of an order that nobody has ended, and will not: their answer was lost, or belonged to nothing.
func (p *Sidecar) endStrayAttempts(req *Request) {
	for _, a := range req.attempts {
		if p.removeAttempt(a) {
			p.reportOutcome(a, balancer.TimedOut, true)
		}
	}
	p.forget(req)
}

// tell gives an order its answer.
func (p *Sidecar) reply(req *Request, reply Reply) {
	if req.answered {
		return
	}
	req.answered = true
	if !req.clientLeft {
		p.counts.Replies[reply.Status]++
	}
	p.output.Commands = append(p.output.Commands, Respond{req, reply})
	if p.opts.Debug != nil {
		p.opts.Debug("answered", "id", req.ID, "status", reply.Status, "ours", reply.FromProxy, "why", reply.Reason, "tries", len(req.attempts),
			"service", req.service, "took", p.now-req.receivedAt)
	}
}

// forget lets go of an order that is answered and has nothing out.
func (p *Sidecar) forget(req *Request) {
	if !req.answered || p.requests[req.id] == nil || slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.inFlight }) {
		return
	}
	delete(p.requests, req.id)
	p.bodyBytes -= len(req.Body)
}

// hosts words a host's answer for the client.
func (p *Sidecar) hostReply(req *Request, forwarded *meshpb.Forwarded) Reply {
	reply := Reply{Status: int(forwarded.Status), Fields: forwarded.Fields, Body: forwarded.Body}
	switch reply.Status { // a promise that only the host's own word can make, which it did not
	case 503, 429, 408, 421:
		reply = Reply{Status: 502, FromProxy: true, Reason: "the host's " + strconv.Itoa(reply.Status) + " without its word that it has not run"}
	}
	return reply
}
