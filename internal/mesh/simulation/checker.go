package simulation

import (
	"fmt"
	"strings"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/sidecar"
)

// Checker verifies the correctness rules of the system from what hosts, clients and operators observe. Each violation begins
// with the name of its rule.
type Checker struct {
	w              *World
	Violations     []string
	runsByKey      map[string][]run         // by idempotency key
	runsByRequest  map[string][]run         // by request ID
	requests       map[string]clientRequest // by request ID
	promisedNotRun map[string]bool          // request IDs whose response promised that the request will not run
	runsByPostmark map[string]run
	sentVersions   map[uint64]bool      // configuration versions that were ever sent
	NewestAcked    uint64               // newest acknowledged configuration version
	ackedAt        map[uint64]float64   // by configuration version
	configSeen     map[string]uint64    // configuration version in force, by proxy address and incarnation
	runCounts      map[*Proxy]int       // runs of the proxy's host
	Served         int                  // successful responses
	Requested      int                  // client requests, retries by clients included
	Statuses       map[int]int          // responses by status
	requestTimes   map[string][]float64 // by service: times of the client requests
	retryTimes     map[string][]float64 // by service: times at which a request reached a host that had reached a host before
	firstSuccess   map[string]success   // by idempotency key
	disconnectedAt map[string]float64   // by request ID: time at which the client closed the connection
	Disconnected   int                  // clients that closed the connection before they got a response
	SameZone       int                  // runs of untracked requests in the zone of the proxy that the client asked
	CrossZone      int                  // runs of untracked requests in another zone
}

// run is one execution of a request at a host. Its postmark is unique and comes back in the response.
type run struct {
	id, key, postmark string
	at                float64
}

// success is the first successful response to a tracked request.
type success struct {
	at    float64
	proxy string // address of the proxy that responded
}

// clientRequest is a request as its client sent it.
type clientRequest struct {
	path, key, zone string
	proxy           string // address of the proxy that the client asked
	at              float64
}

// newChecker returns a Checker that has observed nothing.
func newChecker(w *World) *Checker {
	return &Checker{w: w, runsByKey: map[string][]run{}, runsByRequest: map[string][]run{}, requests: map[string]clientRequest{},
		promisedNotRun: map[string]bool{}, runsByPostmark: map[string]run{}, sentVersions: map[uint64]bool{},
		ackedAt: map[uint64]float64{}, configSeen: map[string]uint64{}, runCounts: map[*Proxy]int{}, Statuses: map[int]int{},
		requestTimes: map[string][]float64{}, retryTimes: map[string][]float64{}, disconnectedAt: map[string]float64{},
		firstSuccess: map[string]success{}}
}

// fail records a violation of a rule.
func (c *Checker) fail(rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s at %.3f: ", rule, c.w.Now)+fmt.Sprintf(format, args...))
}

// requestSent records that a client sends a request.
func (c *Checker) requestSent(s *Proxy, id, path, key string) {
	c.Requested++
	c.requestTimes[serviceOf(path)] = append(c.requestTimes[serviceOf(path)], c.w.Now)
	c.requests[id] = clientRequest{path, key, s.host.Zone, s.addr, c.w.Now}
}

// runStarted checks and records that a host starts to run a request. It returns the postmark of the run.
func (c *Checker) runStarted(s *Proxy, instance *hostInstance, id string, forward *meshpb.Forward) string {
	c.runCounts[s]++
	request, known := c.requests[id]
	if !known {
		c.fail("UNASKED", "%s runs %s, which no client sent", instance.id, id)
	}
	tracked := strings.HasPrefix(request.path, "/pay/")
	if c.disconnectedLongAgo(id) && c.w.undisturbed(s.addr, request.proxy) {
		c.fail("GONE", "%s runs %s, whose client disconnected at %.3f", instance.id, id, c.disconnectedAt[id])
	}
	if len(c.runsByRequest[id]) > 0 {
		c.retryArrived(s.host.Service)
	}
	switch {
	case tracked:
	case request.zone == s.host.Zone:
		c.SameZone++
	default:
		c.CrossZone++
	}
	if s.host.Service != serviceOf(request.path) {
		c.fail("ROUTE", "host %s of service %s runs %s", instance.id, s.host.Service, request.path)
	}
	if key, sharded := shardKey(forward); sharded {
		c.checkOwner(instance, key)
	}
	if instance.drainAckedAt > 0 && c.w.Now > instance.drainAckedAt+2 {
		c.fail("DRAIN", "%s runs %s %.1f s after its drain was acknowledged", instance.id, id, c.w.Now-instance.drainAckedAt)
	}
	if c.promisedNotRun[id] && tracked {
		c.fail("REFUSED", "%s runs after a response promised that it would not run", id)
	}
	r := run{id, request.key, fmt.Sprintf("%s.%d", instance.id, len(c.runsByPostmark)), c.w.Now}
	if tracked && request.key == "" && len(c.runsByRequest[id]) > 0 {
		c.fail("TWICE", "%s has no key, ran as %s and runs again", id, c.runsByRequest[id][0].postmark)
	}
	if tracked && request.key != "" {
		if before := c.runsByKey[request.key]; len(before) > 0 && c.w.Now < before[0].at+dedupWindowSeconds {
			c.fail("TWICE", "key %s ran as %s at %.3f and as %s", request.key, before[0].id, before[0].at, id)
		}
		c.runsByKey[request.key] = append(c.runsByKey[request.key], r)
	}
	c.runsByRequest[id] = append(c.runsByRequest[id], r)
	c.runsByPostmark[r.postmark] = r
	return r.postmark
}

// clientDisconnected records that a client closes its connection before it has a response.
func (c *Checker) clientDisconnected(id string) {
	c.disconnectedAt[id] = c.w.Now
	c.Disconnected++
}

// disconnectGraceSeconds is the time after the client's disconnect in which a request may still reach a host or run there. The
// operators' rule tolerates a few that are later; the simulation tolerates none.
const disconnectGraceSeconds = 0.5

// disconnectedLongAgo reports whether the client of a request disconnected more than disconnectGraceSeconds ago.
func (c *Checker) disconnectedLongAgo(id string) bool {
	at, disconnected := c.disconnectedAt[id]
	return disconnected && c.w.Now > at+disconnectGraceSeconds
}

// runFinished checks, when a host completes a run, that the run should not have been aborted: a repeatable request is aborted
// when its client disconnects.
func (c *Checker) runFinished(s *Proxy, id string, forward *meshpb.Forward) {
	if forward.Repeatable && c.disconnectedLongAgo(id) && c.w.undisturbed(s.addr, c.requests[id].proxy) {
		c.fail("GONE", "a host completed %s, whose client disconnected at %.3f", id, c.disconnectedAt[id])
	}
}

// serviceOf returns the service to which a path is routed.
func serviceOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/pay/"):
		return "till"
	case strings.HasPrefix(path, "/stock/"):
		return shardedService
	}
	return "shop"
}

// The retry budget: in a window, retries may number retryRatio of the requests plus retrySlack. The proxies have the same
// settings.
const (
	retryRatio, retryWindowSeconds, retrySlack = 0.2, 10.0, 60.0
)

// retryArrived counts the arrival of a request at a host after its first arrival, and checks the retry budget of the service,
// summed over all proxies.
func (c *Checker) retryArrived(service string) {
	c.retryTimes[service] = append(c.retryTimes[service], c.w.Now)
	countIn := func(times []float64, from, to float64) (n int) {
		for _, at := range times {
			if at > from && at <= to {
				n++
			}
		}
		return n
	}
	now := c.w.Now
	requests := max(countIn(c.requestTimes[service], now-retryWindowSeconds, now),
		countIn(c.requestTimes[service], now-2*retryWindowSeconds, now-retryWindowSeconds),
		countIn(c.requestTimes[service], now-1.5*retryWindowSeconds, now-retryWindowSeconds/2))
	if n := countIn(c.retryTimes[service], now-retryWindowSeconds, now); float64(n) > retryRatio*float64(requests)+retrySlack {
		c.fail("BUDGET", "%d retries at service %s for %d requests", n, service, requests)
	}
}

// responseReceived checks and records the response to a client.
func (c *Checker) responseReceived(id string, r sidecar.Reply) {
	c.Statuses[r.Status]++
	request := c.requests[id]
	tracked := strings.HasPrefix(request.path, "/pay/")
	switch {
	case r.Status < 300:
		c.Served++
		postmark := fieldValue(r.Fields, sidecar.HeaderPostmark)
		ran, known := c.runsByPostmark[postmark]
		if !known || string(r.Body) != "body of "+postmark || ran.id != id && (request.key == "" || ran.key != request.key) {
			c.fail("MIXED", "%s got a response of another request or with a wrong body, its postmark is %q", id, postmark)
		}
		if _, known := c.firstSuccess[request.key]; tracked && request.key != "" && !known {
			c.firstSuccess[request.key] = success{c.w.Now, request.proxy}
		}
		if tracked && request.key != "" && (len(c.runsByKey[request.key]) == 0 ||
			ran.postmark != c.runsByKey[request.key][0].postmark) {
			c.fail("MIXED", "key %s got a response of another run than its first", request.key)
		}
	case r.Status == 409:
		c.conflictReceived(id, request)
	case r.Status == 503 || r.Status == 429 || r.Status == 408 || r.Status == 421:
		c.promisedNotRun[id] = true
		if tracked && len(c.runsByRequest[id]) > 0 {
			c.fail("REFUSED", "the response to %s promised that it did not run, but it did", id)
		}
	}
}

// conflictGraceSeconds is the time after the first response within which a repeat with the same key may still get status 409,
// that the request is in progress. Later repeats get the response again.
const conflictGraceSeconds = 1.0

// conflictReceived checks a repeat that got status 409, that a request with its key is in progress. The operators' rule
// tolerates three such keys a day after the first response; the simulation tolerates none.
func (c *Checker) conflictReceived(id string, request clientRequest) {
	first, known := c.firstSuccess[request.key]
	if !known || request.at < first.at+conflictGraceSeconds || c.w.Now > first.at+dedupWindowSeconds ||
		!c.w.undisturbed(request.proxy) || !c.w.controlPlaneUndisturbed() {
		return
	}
	if at, disturbed := c.w.disturbedAt[first.proxy]; disturbed && at > first.at-disturbanceSeconds &&
		at < first.at+disturbanceSeconds {
		return
	}
	c.fail("DENIED", "%s repeats key %s, which got its response at %.3f, and gets 409", id, request.key, first.at)
}

// configRefused checks a configuration that was not accepted. Where only one text is sent under a version, no other can
// conflict with it.
func (c *Checker) configRefused(version uint64, result control.OrderResult) {
	if result == control.OrderConflict {
		c.fail("CONFIG", "%d is refused as a conflict, though no other text was sent under this version", version)
	}
}

// configSent records that an operator sends a configuration.
func (c *Checker) configSent(version uint64) { c.sentVersions[version] = true }

// configAcked records that a configuration is acknowledged.
func (c *Checker) configAcked(version uint64) {
	if c.ackedAt[version] == 0 {
		c.ackedAt[version] = c.w.Now
	}
	c.NewestAcked = max(c.NewestAcked, version)
}

// checkEdition checks the configuration version that a proxy uses: it never decreases within an incarnation, and was sent by an
// operator.
func (c *Checker) checkEdition(s *Proxy) {
	name := fmt.Sprintf("%s/%d", s.addr, s.starts)
	current := s.sidecar.Edition()
	if previous := c.configSeen[name]; current < previous {
		c.fail("CONFIG", "%s went back from version %d to %d", name, previous, current)
	}
	if current > 0 && !c.sentVersions[current] {
		c.fail("CONFIG", "%s uses version %d, which no operator sent", name, current)
	}
	c.configSeen[name] = current
}

// CheckConfigInForce checks that proxies use the newest acknowledged configuration, or a newer one.
func (c *Checker) CheckConfigInForce(proxies ...*Proxy) {
	for _, s := range proxies {
		if s.up && s.sidecar.Edition() < c.NewestAcked {
			c.fail("CONFIG", "%s uses version %d, though %d was acknowledged", s.addr, s.sidecar.Edition(), c.NewestAcked)
		}
	}
}

// RunsAt returns the number of requests that a proxy's host has started.
func (c *Checker) RunsAt(s *Proxy) int { return c.runCounts[s] }
