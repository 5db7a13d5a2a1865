// Package routeconfig holds the operators' configuration as the data plane uses it: its version, and the route of a request by
// host name and longest prefix. (The field's term: route table.) What makes one invalid is for the package assay to say.
package routeconfig

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/balancer"
)

// Config is one configuration in the operators' words.
type Config struct {
	Edition     string    `json:"edition"`
	Itineraries []Route   `json:"itineraries"`
	Carriers    []Service `json:"carriers"`
	SizeLimits  Limits    `json:"sizeLimits"`
}

// Route says which requests go to which services, and how.
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

// Share is a service's part of a route's requests.
type Share struct {
	Carrier string  `json:"carrier"`
	Share   float64 `json:"share"`
}

// Service is what is said of the hosts of one.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	BerthCap   int    `json:"berthCap"`
	DedupSelf  bool   `json:"dedupSelf"`
}

// Limits bound what a client may send, and for how long.
type Limits struct {
	HeaderBytes  int     `json:"headerBytes"`
	BodyBytes    int64   `json:"bodyBytes"`
	HeaderWaitMs float64 `json:"headerWaitMs"`
	IdleWaitMs   float64 `json:"idleWaitMs"`
}

// The kinds of routes.
const (
	Safe     = "safe"
	Unsafe   = "unsafe"
	Tracked  = "tracked"
	Download = "download"
)

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.RouteKind == Safe || r.RouteKind == Download }

// Effect is the module's word for that.
func (r *Route) Effect() balancer.Effect {
	if r.Repeatable() {
		return balancer.Safe
	}
	return balancer.Unsafe // a key's register lets it run once; so does the module
}

// Edition reads a version, such as r12.
func Edition(text string) (uint64, error) {
	digits, found := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 64)
	if !found || err != nil {
		return 0, errors.Newf("edition: %q is not r and a number", text)
	}
	return n, nil
}

// Table is a configuration ready for use. It does not change.
type Table struct {
	Edition  uint64
	Config   *Config
	Text     []byte // as it came
	services map[string]*Service
	places   map[string]*Route // by host name and prefix
}

// Compile reads a configuration that was found valid when it was taken.
func Compile(text []byte) (*Table, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	edition, err := Edition(c.Edition)
	if err != nil {
		return nil, err
	}
	t := &Table{Edition: edition, Config: c, Text: text, services: map[string]*Service{}, places: map[string]*Route{}}
	for i := range c.Carriers {
		t.services[c.Carriers[i].Name] = &c.Carriers[i]
	}
	for i := range c.Itineraries {
		r := &c.Itineraries[i]
		if place := strings.ToLower(r.Depot) + r.LanePrefix; t.places[place] == nil {
			t.places[place] = r
		}
	}
	return t, nil
}

// Service is what the configuration says of one; nil: nothing.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match finds the route of a request; nil: there is none. host may carry a port, path a query.
func (t *Table) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	host = strings.ToLower(host)
	if at := strings.IndexAny(path, "?#"); at >= 0 {
		path = path[:at]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.places[host+path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// ServiceFor draws the service of a request on a route. The same word draws the same one, so that the tries of one operation
// meet unless the shares move.
func (r *Route) ServiceFor(word string) string {
	if len(r.Allotment) == 0 {
		return r.Carrier
	}
	sum := 0.0
	for _, a := range r.Allotment {
		sum += a.Share
	}
	h := fnv.New64a()
	h.Write([]byte(word))
	x := float64(mix(h.Sum64())>>11) / (1 << 53) * sum
	for _, a := range r.Allotment {
		if x -= a.Share; x < 0 {
			return a.Carrier
		}
	}
	return r.Allotment[len(r.Allotment)-1].Carrier
}

// mix spreads a hash's bits: FNV leaves the high ones of short words alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
