// Package routeconfig holds the operators' configuration of routes and services. Compile turns its JSON text into a Table, which
// finds the route of a request by host name and longest path prefix. Validation is in package validate, which only the control
// plane imports.
package routeconfig

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/balancer"
)

// Config is a configuration as it is decoded from JSON. The JSON names are those of the operators.
type Config struct {
	Version  string    `json:"edition"`
	Routes   []Route   `json:"itineraries"`
	Services []Service `json:"carriers"`
	Limits   Limits    `json:"sizeLimits"`
}

// Route matches requests by host name and path prefix. It sets the services that the requests go to, their timeouts and attempts.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"depot"`
	PathPrefix  string  `json:"lanePrefix"`
	Kind        string  `json:"routeKind"` // Safe, Unsafe, Tracked or Download
	TimeoutMs   float64 `json:"timeoutMs"`
	TargetMs    float64 `json:"targetMs"`   // time after which a response is worth less
	Precedence  int     `json:"precedence"` // a smaller value is served first
	Service     string  `json:"carrier"`    // the only service, if Shares is empty
	Shares      []Share `json:"allotment"`  // services among which the requests are split
	MaxAttempts int     `json:"tries"`
}

// Share is the weight of a service among the services of a route.
type Share struct {
	Service string  `json:"carrier"`
	Weight  float64 `json:"share"`
}

// Service is the configuration of a service and its hosts.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxSlots   int    `json:"berthCap"`  // maximum number of requests that a host runs at the same time
	DedupSelf  bool   `json:"dedupSelf"` // the service deduplicates requests itself

	// Sharded means that the keys are divided among the hosts. A host runs a request only while it holds the request's key.
	Sharded bool `json:"sharded,omitempty"`
	// WarmUpSeconds is how long requests for keys that a host has received without a handover are slow.
	WarmUpSeconds float64 `json:"warmUpS,omitempty"`
}

// Limits are the limits on the size of clients' requests and on the time to receive them. A value of 0 means the default.
type Limits struct {
	HeaderBytes  int     `json:"headerBytes"`
	BodyBytes    int64   `json:"bodyBytes"`
	HeaderWaitMs float64 `json:"headerWaitMs"` // time within which the header of a request has to arrive
	IdleWaitMs   float64 `json:"idleWaitMs"`   // time after which an idle connection is closed
}

// The kinds of routes, which differ in whether a request may run more than once.
const (
	Safe     = "safe"     // may run more than once
	Unsafe   = "unsafe"   // must not run more than once
	Tracked  = "tracked"  // run at most once for each idempotency key
	Download = "download" // may run more than once
)

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Download }

// Effect returns the kind of the route in the balancer's terms.
func (r *Route) Effect() balancer.Effect {
	if r.Repeatable() {
		return balancer.Safe
	}
	return balancer.Unsafe // also for tracked requests, although their keys' registers keep them from running twice
}

// ParseVersion parses the version of a configuration, such as r12.
func ParseVersion(text string) (uint64, error) {
	digits, found := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 64)
	if !found || err != nil {
		return 0, errors.Newf("edition: %q is not r and a number", text)
	}
	return n, nil
}

// Table is a compiled configuration. It is immutable, so it is safe for concurrent use.
type Table struct {
	Version  uint64
	Config   *Config
	Text     []byte // the JSON that it was compiled from
	services map[string]*Service
	routes   map[routeKey]*Route
}

// routeKey is what a route is found by. The two parts are kept apart because a host name in a configuration may contain a slash.
type routeKey struct {
	host       string // in lower case
	pathPrefix string
}

// Parse decodes the JSON text of a configuration, which must consist of exactly one JSON value, and returns its version. The
// control plane and the proxies both read configurations with it, so that whatever is accepted can be read.
func Parse(text []byte) (*Config, uint64, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, 0, errors.Wrap(err, "cannot be read in full")
	}
	version, err := ParseVersion(c.Version)
	if err != nil {
		return nil, 0, err
	}
	return c, version, nil
}

// Compile compiles the JSON text of a configuration that the control plane has validated. If two routes have the same host name
// and path prefix, the first one counts.
func Compile(text []byte) (*Table, error) {
	c, version, err := Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	t := &Table{Version: version, Config: c, Text: text, services: map[string]*Service{}, routes: map[routeKey]*Route{}}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if key := (routeKey{strings.ToLower(r.Host), r.PathPrefix}); t.routes[key] == nil {
			t.routes[key] = r
		}
	}
	return t, nil
}

// Service returns the configuration of a service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// CanonicalHost returns a host name as routes are found by it: without a port and in lower case.
func CanonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest matching path prefix, or nil if no route matches. host may include a port, and path a
// query.
func (t *Table) Match(host, path string) *Route {
	host = CanonicalHost(host)
	if at := strings.IndexAny(path, "?#"); at >= 0 {
		path = path[:at]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// WeightSum returns the sum of the weights of the route's shares.
func (r *Route) WeightSum() float64 {
	sum := 0.0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	return sum
}

// ServiceFor picks the service of a request on the route according to the weights of its shares. It hashes the key, so that all
// attempts of one operation go to the same service unless the shares change.
func (r *Route) ServiceFor(key string) string {
	if len(r.Shares) == 0 {
		return r.Service
	}
	sum := r.WeightSum()
	h := fnv.New64a()
	h.Write([]byte(key))
	position := float64(mix(h.Sum64())>>11) / (1 << 53) * sum
	for _, share := range r.Shares {
		if position -= share.Weight; position < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix is the finalizer of MurmurHash3. It is needed because FNV hashes of short keys hardly differ in their high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
