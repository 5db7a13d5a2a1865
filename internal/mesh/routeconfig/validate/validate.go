// Package validate checks a configuration as it is taken. (The field's term: validation, admission.) Only the control plane
// imports it: the language in which the rules are written takes memory and time that the data plane does not have.
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

// rules is the operators' page in CUE. Open structs: fields that it does not name are none of its business.
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

// mostKnown bounds the pieces whose verdict is kept, and with them what the language keeps of them.
const mostKnown = 4096

// Validator checks configurations. Pieces that it has seen before, byte for byte, are not checked again: a change touches a few
// routes of hundreds. It is single-threaded.
type Validator struct {
	seed                   maphash.Seed
	known                  map[uint64]bool
	ctx                    *cue.Context // of the rules and of the pieces checked against them
	route, service, limits cue.Value
}

// New makes an assayer.
func New() *Validator {
	a := &Validator{}
	a.begin()
	return a
}

func (a *Validator) begin() {
	a.seed, a.known = maphash.MakeSeed(), map[uint64]bool{}
	a.ctx = cuecontext.New()
	v := a.ctx.CompileString(rules)
	a.route = v.LookupPath(cue.ParsePath("#Route"))
	a.service = v.LookupPath(cue.ParsePath("#Service"))
	a.limits = v.LookupPath(cue.ParsePath("#Limits"))
}

// Check says what is wrong with a configuration, naming the field; its version where nothing is.
func (a *Validator) Check(text []byte) (uint64, error) {
	var whole struct {
		Edition     string            `json:"edition"`
		Itineraries []json.RawMessage `json:"itineraries"`
		Carriers    []json.RawMessage `json:"carriers"`
		SizeLimits  json.RawMessage   `json:"sizeLimits"`
	}
	if err := strictJSON(text, &whole); err != nil {
		return 0, err
	}
	edition, err := routeconfig.Edition(whole.Edition)
	if err != nil {
		return 0, err
	}
	if whole.Itineraries == nil || whole.Carriers == nil {
		return 0, errors.New("itineraries and carriers: both have to be there")
	}
	if len(a.known) > mostKnown {
		a.begin()
	}
	services := map[string]bool{}
	for _, raw := range whole.Carriers {
		if err := a.piece("carriers", a.service, raw); err != nil {
			return 0, err
		}
		var s routeconfig.Service
		if err := json.Unmarshal(raw, &s); err != nil {
			return 0, errors.Wrap(err, "carriers")
		}
		services[s.Name] = true
	}
	for _, raw := range whole.Itineraries {
		if err := a.piece("itineraries", a.route, raw); err != nil {
			return 0, err
		}
		var r routeconfig.Route
		if err := json.Unmarshal(raw, &r); err != nil {
			return 0, errors.Wrap(err, "itineraries")
		}
		if err := goesSomewhere(&r, services); err != nil {
			return 0, errors.Wrapf(err, "itineraries, %s", r.Name)
		}
	}
	if whole.SizeLimits != nil {
		if err := a.piece("sizeLimits", a.limits, whole.SizeLimits); err != nil {
			return 0, err
		}
	}
	return edition, nil
}

// goesSomewhere checks that a route's services are ones of the configuration.
func goesSomewhere(r *routeconfig.Route, services map[string]bool) error {
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

func (a *Validator) piece(where string, rule cue.Value, raw json.RawMessage) error {
	h := maphash.Bytes(a.seed, append([]byte(where), raw...))
	if a.known[h] {
		return nil
	}
	v := a.ctx.CompileBytes(raw)
	if err := rule.Unify(v).Validate(cue.Concrete(true)); err != nil {
		return errors.Newf("%s: %s", where, first(err))
	}
	a.known[h] = true
	return nil
}

// first words the first of an error's findings in one line.
func first(err error) string {
	all := cueerrors.Errors(err)
	if len(all) == 0 {
		return err.Error()
	}
	words := all[0].Error()
	if path := all[0].Path(); len(path) > 0 {
		name := strings.Join(path, ".")
		if at := strings.Index(words, ": "); at >= 0 {
			words = words[at+2:]
		}
		words = strings.TrimPrefix(name, "#Route.") + ": " + words
	}
	return strings.Join(strings.Fields(words), " ")
}

// strictJSON reads a text that has to be one whole value.
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
