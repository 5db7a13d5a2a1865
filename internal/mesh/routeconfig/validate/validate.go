// Package validate checks a configuration before the control plane accepts it. The data plane does not import it: CUE, in which
// the rules are written, takes memory and time that a proxy does not have.
package validate

import (
	"bytes"
	"encoding/json"
	"hash/maphash"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/routeconfig"
)

// rules is the operators' specification of a configuration in CUE. Structs are open: fields not named here are accepted.
const rules = `
import "list"

#Share: {carrier: string & !="", share: number & >=0, ...}
#Route: {
	name:       string & !=""
	depot:      string & !=""
	lanePrefix: =~"^/(.*/)?$"
	routeKind:  "safe" | "unsafe" | "tracked" | "download"
	tries:      int & >=1
	timeoutMs?: number & >=0
	targetMs?:  number & >=0
	precedence?: int
	carrier?:   string & !=""
	allotment?: [#Share, ...#Share]
	if allotment != _|_ {
		weights: list.Sum([for a in allotment {a.share}])
		weights: >0
	}
	...
}
#Service: {
	name: string & !=""
	healthPath?: =~"^/"
	berthCap?: int & >0
	sharded?:  bool
	warmUpS?:  number & >=0
	...
}
#Limits: {
	headerBytes?:  int & >0
	bodyBytes?:    int & >=0
	headerWaitMs?: number & >0
	idleWaitMs?:   number & >0
	...
}
`

// mostKnown bounds the cache of valid pieces, and with it what the CUE context retains of them.
const mostKnown = 4096

// Validator checks configurations. It caches the pieces (routes, services, limits) found valid and does not check the same bytes
// again, as a change touches a few routes of hundreds. It is not safe for concurrent use.
type Validator struct {
	seed                   maphash.Seed
	known                  map[uint64]bool
	ctx                    *cue.Context // of the rules and of the pieces checked against them
	route, service, limits cue.Value
}

// New makes a validator.
func New() *Validator {
	v := &Validator{}
	v.reset()
	return v
}

// reset empties the cache and begins a new CUE context.
func (v *Validator) reset() {
	v.seed, v.known = maphash.MakeSeed(), map[uint64]bool{}
	v.ctx = cuecontext.New()
	all := v.ctx.CompileString(rules)
	v.route = all.LookupPath(cue.ParsePath("#Route"))
	v.service = all.LookupPath(cue.ParsePath("#Service"))
	v.limits = all.LookupPath(cue.ParsePath("#Limits"))
}

// Check returns the version of a valid configuration, or an error that names the field that is wrong.
func (v *Validator) Check(text []byte) (uint64, error) {
	var whole struct {
		Edition     string            `json:"edition"`
		Itineraries []json.RawMessage `json:"itineraries"`
		Carriers    []json.RawMessage `json:"carriers"`
		SizeLimits  json.RawMessage   `json:"sizeLimits"`
	}
	if err := strictJSON(text, &whole); err != nil {
		return 0, err
	}
	version, err := routeconfig.ParseVersion(whole.Edition)
	if err != nil {
		return 0, err
	}
	if whole.Itineraries == nil || whole.Carriers == nil {
		return 0, errors.New("itineraries and carriers: both have to be there")
	}
	if len(v.known) > mostKnown {
		v.reset()
	}
	services := map[string]bool{}
	for _, raw := range whole.Carriers {
		if err := v.piece("carriers", v.service, raw); err != nil {
			return 0, err
		}
		var s routeconfig.Service
		if err := json.Unmarshal(raw, &s); err != nil {
			return 0, errors.Wrap(err, "carriers")
		}
		services[s.Name] = true
	}
	for _, raw := range whole.Itineraries {
		if err := v.piece("itineraries", v.route, raw); err != nil {
			return 0, err
		}
		var r routeconfig.Route
		if err := json.Unmarshal(raw, &r); err != nil {
			return 0, errors.Wrap(err, "itineraries")
		}
		if err := checkServices(&r, services); err != nil {
			return 0, errors.Wrapf(err, "itineraries, %s", r.Name)
		}
	}
	if whole.SizeLimits != nil {
		if err := v.piece("sizeLimits", v.limits, whole.SizeLimits); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// checkServices checks that a route has a service, and that the configuration has all services of the route.
func checkServices(r *routeconfig.Route, services map[string]bool) error {
	if r.Carrier == "" && len(r.Allotment) == 0 {
		return errors.New("carrier: neither it nor an allotment is there")
	}
	if r.Carrier != "" && !services[r.Carrier] {
		return errors.Newf("carrier: %q is not among the carriers", r.Carrier)
	}
	for _, s := range r.Allotment {
		if !services[s.Carrier] {
			return errors.Newf("allotment.carrier: %q is not among the carriers", s.Carrier)
		}
	}
	return nil
}

// piece checks one route, service or the limits; where is the field that it stands in.
func (v *Validator) piece(where string, rule cue.Value, raw json.RawMessage) error {
	h := maphash.Bytes(v.seed, append([]byte(where), raw...))
	if v.known[h] {
		return nil
	}
	value := v.ctx.CompileBytes(raw)
	if err := rule.Unify(value).Validate(cue.Concrete(true)); err != nil {
		return errors.Newf("%s: %s", where, first(err))
	}
	v.known[h] = true
	return nil
}

// first is the first error of a CUE error list, in one line with the path of the field.
func first(err error) string {
	all := cueerrors.Errors(err)
	if len(all) == 0 {
		return err.Error()
	}
	text := all[0].Error()
	if path := all[0].Path(); len(path) > 0 {
		name := strings.Join(path, ".")
		if at := strings.Index(text, ": "); at >= 0 {
			text = text[at+2:]
		}
		text = strings.TrimPrefix(name, "#Route.") + ": " + text
	}
	return strings.Join(strings.Fields(text), " ")
}

// strictJSON decodes a text that has to be exactly one JSON value.
func strictJSON(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(into); err != nil {
		return errors.Wrap(err, "cannot be read in full")
	}
	if dec.More() {
		return errors.New("cannot be read in full: more follows it")
	}
	return nil
}
