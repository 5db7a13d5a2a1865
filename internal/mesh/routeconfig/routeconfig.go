// Package routeconfig holds the route table: the operators' configuration as the data plane uses it, with its version and the
// route of a request by host name and longest path prefix. Validation is in the package validate, which only the control plane
// imports.
package routeconfig

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/balancer"
)

// Config is one configuration as it is read from JSON. Its fields have the operators' names.
type Config struct {
	Edition     string    `json:"edition"`
	Itineraries []Route   `json:"itineraries"`
	Carriers    []Service `json:"carriers"`
	SizeLimits  Limits    `json:"sizeLimits"`
}

// Route matches requests by host name and path prefix and says which services they go to, and how.
type Route struct {
	Name       string  `json:"name"`
	Depot      string  `json:"depot"`
	LanePrefix string  `json:"lanePrefix"`
	RouteKind  string  `json:"routeKind"`
	TimeoutMs  float64 `json:"timeoutMs"`
	TargetMs   float64 `json:"targetMs"`
	Precedence int     `json:"precedence"`
	Carrier    string  `json:"carrier"`
	Allotment  []Share `json:"allotment"`
	Tries      int     `json:"tries"`
}

// Share is the weight of a service among those of a route.
type Share struct {
	Carrier string  `json:"carrier"`
	Share   float64 `json:"share"`
}

// Service is the configuration of a service's hosts.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	BerthCap   int    `json:"berthCap"`
	DedupSelf  bool   `json:"dedupSelf"`

	Sharded bool    `json:"sharded,omitempty"` // a host runs a request only while it holds the request's key
	WarmUpS float64 `json:"warmUpS,omitempty"` // seconds for which keys that come without a handover are slow
}

// Limits bound the size of clients' requests and the time that they may take.
type Limits struct {
	HeaderBytes  int     `json:"headerBytes"`
	BodyBytes    int64   `json:"bodyBytes"`
	HeaderWaitMs float64 `json:"headerWaitMs"`
	IdleWaitMs   float64 `json:"idleWaitMs"`
}

// The kinds of routes, by what a repeated request does.
const (
	Safe     = "safe"
	Unsafe   = "unsafe"
	Tracked  = "tracked"
	Download = "download"
)

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.RouteKind == Safe || r.RouteKind == Download }

// Effect is the kind of the route as the balancer knows it.
func (r *Route) Effect() balancer.Effect {
	if r.Repeatable() {
		return balancer.Safe
	}
	return balancer.Unsafe // tracked requests run once by their key's register; the balancer treats them alike
}

// ParseVersion reads a version, such as r12.
func ParseVersion(text string) (uint64, error) {
	digits, found := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 64)
	if !found || err != nil {
		return 0, errors.Newf("edition: %q is not r and a number", text)
	}
	return n, nil
}

// Table is a compiled configuration. It is immutable.
type Table struct {
	Edition  uint64 // its version
	Config   *Config
	Text     []byte // the JSON that it was compiled from
	services map[string]*Service
	routes   map[string]*Route // by host name and prefix
}

// Compile makes the table of a configuration that the control plane has validated.
func Compile(text []byte) (*Table, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	version, err := ParseVersion(c.Edition)
	if err != nil {
		return nil, err
	}
	t := &Table{Edition: version, Config: c, Text: text, services: map[string]*Service{}, routes: map[string]*Route{}}
	for i := range c.Carriers {
		t.services[c.Carriers[i].Name] = &c.Carriers[i]
	}
	for i := range c.Itineraries {
		r := &c.Itineraries[i]
		if key := strings.ToLower(r.Depot) + r.LanePrefix; t.routes[key] == nil {
			t.routes[key] = r
		}
	}
	return t, nil
}

// Service is the configuration of a service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match finds the route of a request, or nil if none matches. host may have a port, path a query.
func (t *Table) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	host = strings.ToLower(host)
	if at := strings.IndexAny(path, "?#"); at >= 0 {
		path = path[:at]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[host+path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// ServiceFor picks the service of a request on a route by its shares. The same key always gets the same service, so that all
// attempts of one operation go to one service unless the shares change.
func (r *Route) ServiceFor(key string) string {
	if len(r.Allotment) == 0 {
		return r.Carrier
	}
	sum := 0.0
	for _, a := range r.Allotment {
		sum += a.Share
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	x := float64(mix(h.Sum64())>>11) / (1 << 53) * sum
	for _, a := range r.Allotment {
		if x -= a.Share; x < 0 {
			return a.Carrier
		}
	}
	return r.Allotment[len(r.Allotment)-1].Carrier
}

// mix is the finalizer of MurmurHash3: FNV leaves the high bits of short keys alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
