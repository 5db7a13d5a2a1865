package control

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/ejection"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
)

// What is in force for a service stands in one register, so that the bound on how many hosts of it may be out holds whoever writes. The
// home of that register judges; any control process takes an operator's order. Words of witnesses go to all control processes, so the next
// in order can judge when the home is silent.

const (
	benchPrefix = "\x00assize\x00" // of the registers' names, before the service's: no host name begins so, and keys of operations begin with one
	judgeEvery  = 0.05
	handRenew   = 20.0 // seconds after which orders by hand are written anew: registers grow old
	mostBenches = 1024
)

// bench is a service's, as this process knows it.
type bench struct {
	version uint64
	rulings []ejection.Ejection
	busy    bool    // a write is under way
	read    bool    // the register has been read in this life
	wrote   float64 // when this process wrote it last
}

type court struct {
	judge   ejection.Judge
	benches map[string]*bench
	news    []*meshpb.Report // for the others, since the last digest
	told    []string         // the accused that proxies were asked about last
	judgeAt float64
}

// heardWords takes what a witness says.
func (h *Server) heardWords(now float64, witness string, words []*meshpb.Observation, tell bool) {
	if len(words) == 0 {
		return
	}
	all := make([]ejection.Observation, 0, len(words))
	for _, w := range words {
		all = append(all, ejection.Observation{Station: w.Station, Good: int(w.Good), Bad: int(w.Bad)})
	}
	h.court.judge.Hear(now, witness, all)
	if tell {
		h.court.news = append(h.court.news, &meshpb.Report{Witness: witness, Observations: words})
		h.digestAt = 0
	}
}

// hostsOf are the counted hosts of a service: listed and not leaving.
func (h *Server) hostsOf(carrier string) (stations []string) {
	for _, r := range h.records {
		if r.Carrier == carrier && r.Station != "" && r.Condition == meshpb.AtDock {
			stations = append(stations, r.Station)
		}
	}
	slices.Sort(stations)
	return stations
}

// judges says whether this process is the one to judge a service: the first in order that is not silent.
func (h *Server) judges(now float64, carrier string) bool {
	for _, m := range rendezvous.Order(benchPrefix+carrier, h.members) {
		if m == h.o.Self {
			return true
		}
		if h.met[m] > 0 && now < h.met[m]+aloneAfter {
			return false
		}
	}
	return false
}

func (h *Server) bench(carrier string) *bench {
	b := h.court.benches[carrier]
	if b == nil {
		b = &bench{}
		if len(h.court.benches) < mostBenches {
			h.court.benches[carrier] = b
		}
	}
	return b
}

// tickCourt judges what it is this process's to judge, and asks proxies about hosts that are newly accused.
func (h *Server) tickCourt(now float64) {
	if now < h.court.judgeAt || h.members == nil || !h.registers.Voting() || h.alone(now) {
		return
	}
	h.court.judgeAt = now + judgeEvery
	accused := h.court.judge.Accused(now)
	if !slices.Equal(accused, h.court.told) {
		h.court.told = accused
		h.newer = true
		h.wake(now)
	}
	carriers := map[string]bool{}
	for _, r := range h.records {
		carriers[r.Carrier] = true
	}
	delete(carriers, "") // a proxy that has not heard of its host
	for _, carrier := range slices.Sorted(maps.Keys(carriers)) {
		b := h.bench(carrier)
		idle := b.read && len(accused) == 0 && len(b.rulings) == 0
		if idle || !h.judges(now, carrier) {
			continue
		}
		hand := slices.ContainsFunc(b.rulings, func(r ejection.Ejection) bool { return r.Hand })
		switch {
		case b.busy:
		case !b.read, hand && now > b.wrote+handRenew:
			h.rule(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) { return held, b.read }, nil)
		case len(accused) > 0 || len(b.rulings) > 0:
			if _, changed := h.court.judge.Weigh(now, h.hostsOf(carrier), b.rulings); changed {
				h.rule(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
					return h.court.judge.Weigh(now, h.hostsOf(carrier), held)
				}, nil)
			}
		}
	}
}

// rule changes what is in force for a service.
func (h *Server) rule(now float64, carrier string, edit func(held []ejection.Ejection) (next []ejection.Ejection, write bool), done func(ok bool)) {
	b := h.bench(carrier)
	b.busy = true
	var wrote []ejection.Ejection
	h.registers.Rule(now, benchPrefix+carrier, func(old []byte) []byte {
		next, write := edit(h.merge(now, b, old))
		if wrote = nil; !write {
			return nil
		}
		wrote = append([]ejection.Ejection{}, next...)
		body, err := proto.Marshal(wire(now, carrier, 0, next))
		if err != nil {
			return nil
		}
		return body
	}, func(version uint64, body []byte, ok bool) {
		b.busy = false
		if ok {
			b.read, b.wrote = true, now
			if wrote == nil {
				wrote = h.merge(now, b, body)
			}
			h.adopt(now, carrier, version, wrote)
		}
		if done != nil {
			done(ok)
		}
	})
}

// merge reads what a register held. How long ago it was written is not known: of a ruling that this process knows its own time holds, of
// another nothing is left of the term, so that nothing stays out because nobody knows since when.
func (h *Server) merge(now float64, b *bench, body []byte) (rulings []ejection.Ejection) {
	w := &meshpb.EjectionList{}
	if proto.Unmarshal(body, w) != nil {
		return nil
	}
	for _, r := range w.Ejections {
		ruling := unwire(now, r)
		ruling.Until = min(ruling.Until, now)
		if at := slices.IndexFunc(b.rulings, func(k ejection.Ejection) bool { return k.Station == r.Station }); at >= 0 {
			ruling.Until = b.rulings[at].Until
		}
		rulings = append(rulings, ruling)
	}
	return rulings
}

// adopt takes a newer version of what is in force, and lets the proxies know.
func (h *Server) adopt(now float64, carrier string, version uint64, rulings []ejection.Ejection) {
	b := h.bench(carrier)
	if version <= b.version {
		return
	}
	b.version, b.rulings = version, rulings
	h.newer, h.digestAt = true, 0
	for _, r := range rulings {
		h.o.Log("ruling", "carrier", carrier, "station", r.Station, "out", r.InForce(now), "count", r.Count, "by", r.By, "why", r.Why,
			"against", r.Against, "witnesses", r.Witness)
	}
	h.wake(now)
}

// benchesVersion grows with each bench's.
func (h *Server) benchesVersion() (sum uint64) {
	for _, b := range h.court.benches {
		sum += b.version
	}
	return sum
}

func (h *Server) wireBenches(now float64) (all []*meshpb.EjectionList) {
	for _, carrier := range slices.Sorted(maps.Keys(h.court.benches)) {
		if b := h.court.benches[carrier]; b.version > 0 {
			all = append(all, wire(now, carrier, b.version, b.rulings))
		}
	}
	return all
}

func wire(now float64, carrier string, version uint64, rulings []ejection.Ejection) *meshpb.EjectionList {
	w := &meshpb.EjectionList{Carrier: carrier, Version: version}
	for _, r := range rulings {
		w.Ejections = append(w.Ejections, &meshpb.Ejection{Station: r.Station, LeftMs: uint32(max(0, r.Until-now) * 1000),
			EndedMs: uint32(min(1e6, max(0, now-r.Until)) * 1000), Count: uint32(r.Count), Hand: r.Hand, By: r.By, Why: r.Why,
			Against: uint32(r.Against), Witnesses: uint32(r.Witness)})
	}
	return w
}

func unwire(now float64, r *meshpb.Ejection) ejection.Ejection {
	until := ejection.Until(now, r.LeftMs)
	if r.LeftMs == 0 {
		until = now - float64(r.EndedMs)/1000
	}
	return ejection.Ejection{Station: r.Station, Until: until, Count: int(r.Count), Hand: r.Hand, By: r.By, Why: r.Why,
		Against: int(r.Against), Witness: int(r.Witnesses)}
}

// heardBenches takes what another control process knows to be in force.
func (h *Server) heardBenches(now float64, benches []*meshpb.EjectionList) {
	for _, w := range benches {
		if b := h.bench(w.Carrier); w.Version > b.version {
			var rulings []ejection.Ejection
			for _, r := range w.Ejections {
				rulings = append(rulings, unwire(now, r))
			}
			h.adopt(now, w.Carrier, w.Version, rulings)
		}
	}
}

// ErrNoHost tells that no host of that name is known.
var ErrNoHost = errors.New("no such host is known")

// ErrNoMajority tells that an order could not be written.
var ErrNoMajority = errors.New("no majority of the control processes can be reached from here now")

// Order takes a host out by hand, or back, for all proxies and over restarts.
func (h *Server) Order(now float64, station string, out, force bool, by, why string, answer func(error)) {
	carrier := ""
	for _, r := range h.records {
		if r.Station == station {
			carrier = r.Carrier
		}
	}
	if carrier == "" {
		for name, b := range h.court.benches { // one that is gone can be called back
			if slices.ContainsFunc(b.rulings, func(r ejection.Ejection) bool { return r.Station == station }) {
				carrier = name
			}
		}
	}
	if carrier == "" {
		answer(ErrNoHost)
		return
	}
	var refused error
	h.rule(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
		next, err := ejection.Order(now, h.hostsOf(carrier), held, station, out, force, by, why)
		refused = err
		return next, err == nil
	}, func(ok bool) {
		switch {
		case refused != nil:
			answer(refused)
		case !ok:
			answer(ErrNoMajority)
		default:
			answer(nil)
		}
	})
}
