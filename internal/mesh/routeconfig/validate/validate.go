// Package validate checks a configuration (see package routeconfig) before the control plane accepts it. Its Validator applies
// rules written in CUE. The data plane does not import this package because CUE takes more memory and time than a proxy can
// spare.
package validate

import (
	"bytes"
	"encoding/json"
	"hash/maphash"
	"iter"
	"math"
	"reflect"
	"runtime"
	"slices"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/routeconfig"
)

// rules is the operators' specification of a configuration in CUE. The structs are open: fields that are not named here are
// accepted.
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

// maxCached limits the number of cached parts, and thereby the memory that the CUE context retains for them.
const maxCached = 4096

// Validator checks configurations. It caches which parts (routes, services, limits) are valid and does not check the same bytes
// again, because a change usually affects a few out of hundreds of routes. It is not safe for concurrent use.
type Validator struct {
	seed                     maphash.Seed
	valid                    map[uint64]bool // hashes of parts that are valid
	ctx                      *cue.Context    // of the rules and of the parts checked against them
	routes, services, limits kind
}

// kind is a kind of parts.
type kind struct {
	field string       // that contains the parts in a configuration
	one   cue.Value    // the rule of a part
	list  cue.Value    // the rule of a list of parts
	read  reflect.Type // into which proxies read a part
}

// New returns a validator.
func New() *Validator {
	v := &Validator{}
	v.reset()
	return v
}

// reset empties the cache and creates a new CUE context.
func (v *Validator) reset() {
	v.seed, v.valid = maphash.MakeSeed(), map[uint64]bool{}
	v.ctx = cuecontext.New()
	compiled := v.ctx.CompileString(rules)
	newKind := func(field, rule string, read reflect.Type) kind {
		return kind{field, compiled.LookupPath(cue.ParsePath(rule)),
			v.ctx.CompileString("[..."+rule+"]", cue.Scope(compiled)), read}
	}
	v.routes = newKind("itineraries", "#Route", reflect.TypeFor[routeconfig.Route]())
	v.services = newKind("carriers", "#Service", reflect.TypeFor[routeconfig.Service]())
	v.limits = newKind("sizeLimits", "#Limits", reflect.TypeFor[routeconfig.Limits]())
}

// parts holds the parts of a configuration as they are written.
type parts struct {
	Version  json.RawMessage   `json:"edition"`
	Routes   []json.RawMessage `json:"itineraries"`
	Services []json.RawMessage `json:"carriers"`
	Limits   json.RawMessage   `json:"sizeLimits"`
}

// Check returns the version of a valid configuration, or an error that names the invalid field. It reads the text as the proxies
// do, and checks both what is written and what is read.
func (v *Validator) Check(text []byte) (uint64, error) {
	config, version, err := routeconfig.Parse(text)
	if err != nil {
		return 0, err
	}
	if version == 0 { // servers and proxies take it for no configuration
		return 0, errors.New("edition: r0 is not a version, the first one is r1")
	}
	var written parts
	if err := checkNames(text, reflect.TypeOf(written)); err != nil {
		return 0, err
	}
	if err := json.Unmarshal(text, &written); err != nil {
		return 0, errors.Wrap(err, "cannot be read in full")
	}
	if config.Routes == nil || config.Services == nil {
		return 0, errors.New("itineraries and carriers: both have to be there")
	}
	if len(v.valid) > maxCached {
		v.reset()
	}
	if err := v.checkParts(&written); err != nil {
		return 0, err
	}
	services := map[string]bool{}
	for _, s := range config.Services {
		services[s.Name] = true
	}
	for i := range config.Routes {
		if err := checkRoute(&config.Routes[i], services); err != nil {
			return 0, errors.Wrapf(err, "itineraries, %s", config.Routes[i].Name)
		}
	}
	return version, nil
}

// Trust records that the parts of a configuration in force are valid, so that a change is checked only where it differs from it.
// Whoever put that configuration in force has checked it by the same rules. Parts that proxies may read differently are left out.
func (v *Validator) Trust(text []byte) {
	var trusted parts
	if json.Unmarshal(text, &trusted) != nil {
		return
	}
	for kind, raws := range v.byKind(&trusted) {
		for _, raw := range raws {
			if checkNames(raw, kind.read) == nil {
				v.valid[v.hash(kind, raw)] = true
			}
		}
	}
}

// byKind iterates over the parts of a configuration, kind by kind.
func (v *Validator) byKind(written *parts) iter.Seq2[*kind, []json.RawMessage] {
	return func(yield func(*kind, []json.RawMessage) bool) {
		if !yield(&v.services, written.Services) || !yield(&v.routes, written.Routes) || written.Limits == nil {
			return
		}
		yield(&v.limits, []json.RawMessage{written.Limits})
	}
}

// checkParts checks each service, each route and the limits.
func (v *Validator) checkParts(written *parts) error {
	for kind, raws := range v.byKind(written) {
		if err := v.checkAll(kind, raws); err != nil {
			return err
		}
	}
	return nil
}

// checkRoute checks a route as proxies read it.
func checkRoute(r *routeconfig.Route, services map[string]bool) error {
	if err := checkServices(r, services); err != nil {
		return err
	}
	if sum := r.WeightSum(); len(r.Shares) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return errors.Newf("allotment: the weights sum to %v", sum)
	}
	return nil
}

// checkServices checks that a route names a service, and that the configuration contains all services that the route names.
func checkServices(r *routeconfig.Route, services map[string]bool) error {
	if r.Service == "" && len(r.Shares) == 0 {
		return errors.New("carrier: neither it nor an allotment is there")
	}
	if r.Service != "" && !services[r.Service] {
		return errors.Newf("carrier: %q is not among the carriers", r.Service)
	}
	for _, s := range r.Shares {
		if !services[s.Service] {
			return errors.Newf("allotment.carrier: %q is not among the carriers", s.Service)
		}
	}
	return nil
}

// maxBatch is the number of parts that are checked at once. Larger: other work of the process waits for longer. Smaller: each part
// costs more, twice as much alone.
const maxBatch = 8

// checkAll checks the parts of one kind that are not known to be valid.
func (v *Validator) checkAll(kind *kind, raws []json.RawMessage) error {
	var batch []json.RawMessage
	for i, raw := range raws {
		if !v.valid[v.hash(kind, raw)] {
			if err := checkNames(raw, kind.read); err != nil {
				return errors.Wrap(err, kind.field)
			}
			batch = append(batch, raw)
		}
		if len(batch) < maxBatch && i < len(raws)-1 {
			continue
		}
		if err := v.checkBatch(kind, batch); err != nil {
			return err
		}
		batch = batch[:0]
		runtime.Gosched() // or all else would wait for a whole slice of the scheduler each time it runs
	}
	return nil
}

// checkBatch checks parts against the rule of a list of them, and if that fails one by one, so that the error names the field.
func (v *Validator) checkBatch(kind *kind, batch []json.RawMessage) error {
	list := slices.Concat([]byte{'['}, bytes.Join(asBytes(batch), []byte{','}), []byte{']'})
	if v.validate(kind.list, list) != nil {
		for _, raw := range batch {
			if err := v.validate(kind.one, raw); err != nil {
				return errors.Newf("%s: %s", kind.field, firstError(err))
			}
		}
	}
	for _, raw := range batch {
		v.valid[v.hash(kind, raw)] = true
	}
	return nil
}

func (v *Validator) validate(rule cue.Value, text []byte) error {
	return rule.Unify(v.ctx.CompileBytes(text)).Validate(cue.Concrete(true))
}

func asBytes(raws []json.RawMessage) (all [][]byte) {
	for _, raw := range raws {
		all = append(all, raw)
	}
	return all
}

// hash returns the hash under which a part is cached.
func (v *Validator) hash(kind *kind, raw json.RawMessage) uint64 {
	return maphash.Bytes(v.seed, append([]byte(kind.field), raw...))
}

// firstError returns the text of the first error in a CUE error list, in one line that starts with the path of the field.
func firstError(err error) string {
	list := cueerrors.Errors(err)
	if len(list) == 0 {
		return err.Error()
	}
	text := list[0].Error()
	if path := list[0].Path(); len(path) > 0 {
		name := strings.Join(path, ".")
		if at := strings.Index(text, ": "); at >= 0 {
			text = text[at+2:]
		}
		text = strings.TrimPrefix(name, "#Route.") + ": " + text
	}
	return strings.Join(strings.Fields(text), " ")
}
