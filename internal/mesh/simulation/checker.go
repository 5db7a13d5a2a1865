package simulation

import (
	"fmt"
	"strings"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/sidecar"
)

// Checker knows the operators' rules by their names, and judges by what hosts, clients and operators saw.
type Checker struct {
	w        *World
	Broken   []string
	runs     map[string][]run // by key
	byID     map[string][]run
	requests map[string]request
	promised map[string]bool // ids that were answered by a promise
	stamps   map[string]run
	versions map[uint64]bool // ever sent
	Newest   uint64          // acknowledged
	ackedAt  map[uint64]float64
	seen     map[string]uint64 // by a life of a proxy
	at       map[*Proxy]int    // runs of the host beside a proxy
	Served   int
	Asked    int
	Statuses map[int]int
	asks     map[string][]float64 // when requests for a service came
	further  map[string][]float64 // when one arrived at a host that had arrived at another before
	kept     map[string]success   // by key, the first answer
	leftAt   map[string]float64   // by id, when its client closed the connection
	Left     int                  // clients that closed before they had an answer
	Near     int                  // runs in the zone in which they were asked for, of those that may run anywhere
	Far      int
}

type run struct {
	id, key, stamp string
	at             float64
}

// success is the answer to an operation.
type success struct {
	at    float64
	proxy string // that gave it
}

type request struct {
	path, key, zone string
	proxy           string // address of the one that was asked
	at              float64
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, runs: map[string][]run{}, byID: map[string][]run{}, requests: map[string]request{},
		promised: map[string]bool{}, stamps: map[string]run{}, versions: map[uint64]bool{}, ackedAt: map[uint64]float64{},
		seen: map[string]uint64{}, at: map[*Proxy]int{}, Statuses: map[int]int{}, asks: map[string][]float64{},
		further: map[string][]float64{}, leftAt: map[string]float64{}, kept: map[string]success{}}
}

func (c *Checker) fail(rule, format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%s at %.3f: ", rule, c.w.Now)+fmt.Sprintf(format, args...))
}

func (c *Checker) asked(s *Proxy, id, path, key string) {
	c.Asked++
	c.asks[serviceOf(path)] = append(c.asks[serviceOf(path)], c.w.Now)
	c.requests[id] = request{path, key, s.host.Zone, s.addr, c.w.Now}
}

// ran is a host that begins a request.
func (c *Checker) ran(s *Proxy, st *station, id string, carry *meshpb.Forward) string {
	c.at[s]++
	q, known := c.requests[id]
	if !known {
		c.fail("UNASKED", "%s runs %s, which nobody asked", st.id, id)
	}
	tracked := strings.HasPrefix(q.path, "/pay/")
	if c.leftLongAgo(id) && c.w.inTouch(s.addr, q.proxy) {
		c.fail("GONE", "%s runs %s, whose client left at %.3f", st.id, id, c.leftAt[id])
	}
	if len(c.byID[id]) > 0 {
		c.again(s.host.Carrier)
	}
	switch {
	case tracked:
	case q.zone == s.host.Zone:
		c.Near++
	default:
		c.Far++
	}
	if s.host.Carrier != serviceOf(q.path) {
		c.fail("ROUTE", "%s of %s runs %s", st.id, s.host.Carrier, q.path)
	}
	if key, sharded := shardKey(carry); sharded {
		c.owner(st, key)
	}
	if st.acked > 0 && c.w.Now > st.acked+2 {
		c.fail("DRAIN", "%s runs %s %.1f s after its word was acknowledged", st.id, id, c.w.Now-st.acked)
	}
	if c.promised[id] && tracked {
		c.fail("REFUSED", "%s runs after it was promised not to", id)
	}
	r := run{id, q.key, fmt.Sprintf("%s.%d", st.id, len(c.stamps)), c.w.Now}
	if tracked && q.key == "" && len(c.byID[id]) > 0 {
		c.fail("TWICE", "%s has no key, ran as %s and runs again", id, c.byID[id][0].stamp)
	}
	if tracked && q.key != "" {
		if before := c.runs[q.key]; len(before) > 0 && c.w.Now < before[0].at+window {
			c.fail("TWICE", "key %s ran as %s at %.3f and as %s", q.key, before[0].id, before[0].at, id)
		}
		c.runs[q.key] = append(c.runs[q.key], r)
	}
	c.byID[id] = append(c.byID[id], r)
	c.stamps[r.stamp] = r
	return r.stamp
}

// left is a client that closes its connection before it has an answer.
func (c *Checker) left(id string) {
	c.leftAt[id] = c.w.Now
	c.Left++
}

// goneSlack is for how many seconds after its client has left a request may still reach a host, or be at work there. The operators'
// rule bears a few that are later; here there are none.
const goneSlack = 0.5

func (c *Checker) leftLongAgo(id string) bool {
	at, left := c.leftAt[id]
	return left && c.w.Now > at+goneSlack
}

// worked is a host that comes to the end of a run. What may be repeated is broken off once its client has left.
func (c *Checker) worked(s *Proxy, id string, carry *meshpb.Forward) {
	if carry.Repeatable && c.leftLongAgo(id) && c.w.inTouch(s.addr, c.requests[id].proxy) {
		c.fail("GONE", "a host worked on %s to its end, its client left at %.3f", id, c.leftAt[id])
	}
}

func serviceOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/pay/"):
		return "till"
	case strings.HasPrefix(path, "/stock/"):
		return shardedService
	}
	return "shop"
}

// The budget of further tries, as the proxies are told it.
const (
	retryRatio, retryWindow, retrySlack = 0.2, 10.0, 60.0
)

// again counts an arrival beyond a request's first against the budget of its service, summed over all proxies.
func (c *Checker) again(service string) {
	c.further[service] = append(c.further[service], c.w.Now)
	in := func(times []float64, from, to float64) (n int) {
		for _, at := range times {
			if at > from && at <= to {
				n++
			}
		}
		return n
	}
	now := c.w.Now
	asked := max(in(c.asks[service], now-retryWindow, now), in(c.asks[service], now-2*retryWindow, now-retryWindow),
		in(c.asks[service], now-1.5*retryWindow, now-retryWindow/2))
	if n := in(c.further[service], now-retryWindow, now); float64(n) > retryRatio*float64(asked)+retrySlack {
		c.fail("BUDGET", "%d further arrivals at %s for %d requests", n, service, asked)
	}
}

// answered is a client that gets an answer.
func (c *Checker) answered(id string, r sidecar.Reply) {
	c.Statuses[r.Status]++
	q := c.requests[id]
	tracked := strings.HasPrefix(q.path, "/pay/")
	switch {
	case r.Status < 300:
		c.Served++
		stamp := field(r.Fields, sidecar.HeaderPostmark)
		ran, known := c.stamps[stamp]
		if !known || string(r.Body) != "body of "+stamp || ran.id != id && (q.key == "" || ran.key != q.key) {
			c.fail("MIXED", "%s is answered by %q", id, stamp)
		}
		if _, known := c.kept[q.key]; tracked && q.key != "" && !known {
			c.kept[q.key] = success{c.w.Now, q.proxy}
		}
		if tracked && q.key != "" && (len(c.runs[q.key]) == 0 || ran.stamp != c.runs[q.key][0].stamp) {
			c.fail("MIXED", "key %s is answered by another run than its first", q.key)
		}
	case r.Status == 409:
		c.denied(id, q)
	case r.Status == 503 || r.Status == 429 || r.Status == 408 || r.Status == 421:
		c.promised[id] = true
		if tracked && len(c.byID[id]) > 0 {
			c.fail("REFUSED", "%s is promised not to have run, and has", id)
		}
	}
}

// repeatAfter is how many seconds after an operation's answer a repeat gets the same, and is not told that it is at work.
const repeatAfter = 1.0

// denied is a repeat that is told that its operation is at work. The operators' rule bears three such keys on a day; here there are none.
func (c *Checker) denied(id string, q request) {
	first, known := c.kept[q.key]
	if !known || q.at < first.at+repeatAfter || c.w.Now > first.at+window || !c.w.inTouch(q.proxy) || !c.w.settled() {
		return
	}
	if at, disturbed := c.w.disturbedAt[first.proxy]; disturbed && at > first.at-touchAfter && at < first.at+touchAfter {
		return
	}
	c.fail("DENIED", "%s repeats key %s, which was answered at %.3f, and gets 409", id, q.key, first.at)
}

// refused is an order that was answered otherwise than by a yes: of one text under a number, none is ever refused for another's sake.
func (c *Checker) refused(version uint64, result control.OrderResult) {
	if result == control.OrderConflict {
		c.fail("CONFIG", "%d is refused, though no other text was sent under its number", version)
	}
}

func (c *Checker) sent(version uint64) { c.versions[version] = true }

func (c *Checker) acked(version uint64) {
	if c.ackedAt[version] == 0 {
		c.ackedAt[version] = c.w.Now
	}
	c.Newest = max(c.Newest, version)
}

// edition looks which configuration a proxy acts by: it never goes back within a life, and only to what was sent.
func (c *Checker) edition(s *Proxy) {
	name := fmt.Sprintf("%s/%d", s.addr, s.lives)
	now := s.sidecar.Edition()
	if was := c.seen[name]; now < was {
		c.fail("CONFIG", "%s went back from %d to %d", name, was, now)
	}
	if now > 0 && !c.versions[now] {
		c.fail("CONFIG", "%s acts by %d, which nobody sent", name, now)
	}
	c.seen[name] = now
}

// InForce checks that proxies act by the newest acknowledged configuration.
func (c *Checker) InForce(proxies ...*Proxy) {
	for _, s := range proxies {
		if s.up && s.sidecar.Edition() < c.Newest {
			c.fail("CONFIG", "%s acts by %d, %d was acknowledged", s.addr, s.sidecar.Edition(), c.Newest)
		}
	}
}

// RunsAt is how much the host beside a proxy has run.
func (c *Checker) RunsAt(s *Proxy) int { return c.at[s] }
