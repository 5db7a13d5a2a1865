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

// The HTTP headers of the operators' protocol.
const (
	HeaderID             = "Beechwing-Consignment-Id" // request ID
	HeaderDeadline       = "Beechwing-Deadline-Ms"    // milliseconds that the sender waits
	HeaderIdempotencyKey = "Beechwing-Once-Key"
	HeaderPostmark       = "Beechwing-Postmark"       // set by the host on each successful response
	HeaderAddressee      = "Beechwing-Addressee"      // host instance that the request is for
	HeaderSender         = "Beechwing-Sender-Carrier" // service that sends the request
	HeaderNotRun         = "Beechwing-Undelivered"    // set by a host that did not run the request
	HeaderStation        = "Beechwing-Station"        // host instance that answers a probe
)

const (
	defaultTimeout      = 30.0 // seconds, for a client that states no timeout
	maxTimeout          = 600.0
	minRetryAfter       = 0.05 // seconds; lower bound of the delay after which a client is told to retry
	maxRetryAfter       = 0.3
	crossZonePrice      = 0.051  // price of crossing zones for the balancer; corresponds to 0.15 of the weight
	crossZonePriceLarge = 0.0588 // the same for services with large responses; corresponds to a fiftieth of the weight
	classMeanStep       = 0.02   // weight of one response in the mean time of its class
	slownessStep        = 0.06   // weight of one response in the slowness of its host
	maxSlownessSample   = 4.0    // bound of one sample, as a multiple of the class's mean time
	slownessChange      = 0.1    // relative change of the slowness from which on the balancer gets new weights
	weightInterval      = 0.5    // seconds
	lateWorth           = 0.3    // worth of a response after its soft deadline, relative to one before
	pingAfter           = 0.06   // seconds of silence after which a peer with attempts in flight is pinged
	minPongTimeout      = 0.15   // seconds after the ping until a silent peer counts as lost, if its pongs come at once
	pongTimeoutFactor   = 3.0    // multiple of the mean pong time that is added to minPongTimeout
	maxPongTimeout      = 0.6    // upper bound of that sum
	meanPongStep        = 0.05   // weight of one pong in the mean pong time
	strayTimeout        = 3.0    // seconds after the deadline until an attempt without an end is forgotten
	noHostsRetryAfter   = 0.15
	controlSilentAfter  = 1.0   // seconds without an answer of any control server until the control plane counts as unreachable
	deadlineGrace       = 0.004 // seconds after the deadline in which the sidecar of the host may report the expiry first
)

// Request is one request of a client.
type Request struct {
	Method, Target, Host string
	Fields               []*meshpb.Field
	Body                 []byte
	Framed               bool // it came with a body, possibly an empty one
	ID, IdempotencyKey   string
	Timeout              float64 // seconds that the client waits; 0: not stated
	ReplyTo              any     // the program's own value, by which it routes the reply

	id           uint64
	receivedAt   float64
	deadline     float64
	route        *routeconfig.Route
	class        class
	service      string
	token        uint64          // identifies the claim of the idempotency key
	shardKey     int             // in a sharded service; noKey: the service is not sharded
	holder       balancer.HostID // the host that holds shardKey; 0: any host can serve the request
	attempts     []*attempt
	arrivals     int  // attempts that reached a host, or may have
	mayHoldClaim bool // a claim of its idempotency key may have been granted
	answered     bool
	clientLeft   bool              // its client has closed the connection
	lastResponse *meshpb.Forwarded // the last response of a host that was not a success
}

// Reply is the reply to a client. Its Status is 0 if the client has left; then nothing has to be written.
type Reply struct {
	Status     int
	Fields     []*meshpb.Field
	Body       []byte
	RetryAfter float64 // seconds until the client may retry; 0: not told
	FromProxy  bool    // made by this sidecar, not by a host
	Reason     string
}

// attempt is one sending of a request to a host.
type attempt struct {
	request         *Request
	id              uint64
	number          int
	host            balancer.HostID
	peer            string
	sentAt          float64
	hostInstance    string // the host instance that the attempt is for
	peerIncarnation uint64 // the sidecar process that the attempt is for; 0: any
	held            bool   // not sent yet: waits until the peer's incarnation is known
	link            uint64 // the connection over which it was sent
	budgetSpent     bool   // it was taken off the retry budget
	voidRequested   bool   // the register was asked to void its token
	inFlight        bool
}

// peerState is the state of another sidecar that has attempts of this one in flight.
type peerState struct {
	inFlight          int    // attempts
	held              int    // of those, the number not sent yet
	incarnation       uint64 // of its process, by its last message; 0: unknown
	heardAt, pingedAt float64
	pingID            uint64  // ID of the last ping; 0: it was answered
	progressAt        float64 // when the first attempt in flight was sent or the last one ended, whichever is later
}

// service is a destination service: its balancer and its hosts.
type service struct {
	sidecar        *Sidecar
	name           string
	balancer       *balancer.Balancer
	classes        []class
	hosts          map[balancer.HostID]*endpoint
	classSeconds   []float64 // mean seconds of a request at a host, by class
	largeResponses bool      // some routes serve downloads, so hosts in the same zone are preferred more
}

// endpoint is a host of a service: the sidecar beside it, and its request time relative to the mean of all hosts.
type endpoint struct {
	proxy, instance  string
	slowness         float64
	reportedSlowness float64 // the value of slowness on which the balancer's weights are based
}

// class is a request class: the requests that the balancer treats alike.
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

// wireID returns a number for the class that is the same at all sidecars.
func (c class) wireID() uint32 {
	h := uint64(c.effect)
	for _, x := range [...]uint64{math.Float64bits(c.target), math.Float64bits(c.timeout), uint64(c.precedence)} {
		h = random.Mix(h ^ x)
	}
	return uint32(h)
}

// Submit takes a client's request. The request gets exactly one Respond command.
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
	if req.route.Kind == routeconfig.Tracked && req.IdempotencyKey != "" {
		// The host name tells tenants apart, so their keys do not collide.
		req.IdempotencyKey = operationKey(req.Host, req.IdempotencyKey)
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
	if p.mayOutlast(req.deadline) {
		p.reply(req, Reply{Status: 503, RetryAfter: maxRetryAfter, FromProxy: true, Reason: reasonStopping})
		return
	}
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

// submitToBalancer passes a request to the balancer of its service.
func (p *Sidecar) submitToBalancer(req *Request) {
	s := p.services[req.service]
	if s == nil {
		return // the service was removed; the request ends at its deadline
	}
	s.balancer.Request(p.now, balancer.Request{ID: balancer.RequestID(req.id), Class: s.classIndex(req.class),
		Key: p.random() | 1, OnlyHost: req.holder, Budget: max(0, req.deadline-p.now)})
}

// deadlinePassed replies to a request whose deadline has passed.
func (p *Sidecar) deadlinePassed(req *Request) {
	if !req.answered {
		reply := Reply{Status: 504, FromProxy: true, Reason: "its time was over"}
		if req.lastResponse != nil {
			reply = p.hostReply(req, req.lastResponse)
		}
		p.reply(req, reply)
		if s := p.services[req.service]; s != nil {
			s.balancer.ClientLeft(p.now, balancer.RequestID(req.id))
		}
		p.forget(req)
	}
	if p.requests[req.id] != nil {
		p.schedule(req.deadline+strayTimeout, func() { p.endStrayAttempts(req) })
	}
}

// endStrayAttempts ends the attempts of a request that will get no response any more. Their responses were lost, or
// were dropped because they matched no RPC.
func (p *Sidecar) endStrayAttempts(req *Request) {
	for _, a := range req.attempts {
		if p.removeAttempt(a) {
			p.reportOutcome(a, balancer.TimedOut, true)
		}
	}
	p.forget(req)
}

// reply gives a request its reply, unless the request has one.
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
		p.opts.Debug("answered", "id", req.ID, "status", reply.Status, "ours", reply.FromProxy, "why", reply.Reason,
			"tries", len(req.attempts), "service", req.service, "took", p.now-req.receivedAt)
	}
}

// forget removes a request that has its reply and no attempts in flight.
func (p *Sidecar) forget(req *Request) {
	if !req.answered || p.requests[req.id] == nil || slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.inFlight }) {
		return
	}
	delete(p.requests, req.id)
	p.bodyBytes -= len(req.Body)
}

// hostReply converts a host's response to the reply for the client.
func (p *Sidecar) hostReply(req *Request, forwarded *meshpb.Forwarded) Reply {
	reply := Reply{Status: int(forwarded.Status), Fields: forwarded.Fields, Body: forwarded.Body}
	// These statuses promise the client that the request did not run. Only the host can make that promise, by an explicit
	// header, and it did not.
	switch reply.Status {
	case 503, 429, 408, 421:
		reply = Reply{Status: 502, FromProxy: true,
			Reason: "the host's " + strconv.Itoa(reply.Status) + " without its word that it has not run"}
	}
	return reply
}
