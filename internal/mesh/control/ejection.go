package control

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/ejection"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/rendezvous"
)

// The ejections of a service stand in one register, so that the bound on how many hosts of it may be out holds whoever writes. The
// home of that register judges; any server takes an operator's order. Observations go to all servers, so the next in order can judge
// when the home is silent.

const (
	judgeEvery = 0.05 // seconds
	mostLists  = 1024
)

// ejectionList is a service's hosts that are out, as this server knows them.
type ejectionList struct {
	version uint64
	entries []ejection.Ejection
	busy    bool // a write is under way
	read    bool // the register has been read in this life
}

type ejections struct {
	votes   ejection.Votes
	lists   map[string]*ejectionList // by service
	news    []*meshpb.Report         // for the others, since the last digest
	asked   []string                 // the accused hosts that proxies were asked about last
	judgeAt float64
}

func (e *ejections) init() { e.lists = map[string]*ejectionList{} }

// listKey names the register of a service's list.
func listKey(service string) string { return register.Permanent("ejections\x00" + service) }

// heardObservations takes what an observer says.
func (s *Server) heardObservations(now float64, observer string, observations []*meshpb.Observation, tell bool) {
	if len(observations) == 0 {
		return
	}
	all := make([]ejection.Observation, 0, len(observations))
	for _, w := range observations {
		all = append(all, ejection.Observation{Host: w.Station, Good: int(w.Good), Bad: int(w.Bad)})
	}
	s.ejections.votes.Record(now, observer, all)
	if tell {
		s.ejections.news = append(s.ejections.news, &meshpb.Report{Witness: observer, Observations: observations})
		s.propagation.digestAt = 0
	}
}

// hostsOf are the counted hosts of a service: listed and not leaving.
func (s *Server) hostsOf(carrier string) (stations []string) {
	for _, r := range s.propagation.records {
		if r.Carrier == carrier && r.Station != "" && r.Condition == meshpb.AtDock {
			stations = append(stations, r.Station)
		}
	}
	slices.Sort(stations)
	return stations
}

// judges says whether this server is the one to judge a service: the first in order that is not silent.
func (s *Server) judges(now float64, carrier string) bool {
	for _, m := range rendezvous.Order(listKey(carrier), s.view().Staying()) {
		if m == s.o.Self {
			return true
		}
		if !s.silent(now, m, contactFor) {
			return false
		}
	}
	return false
}

func (s *Server) ejectionList(carrier string) *ejectionList {
	b := s.ejections.lists[carrier]
	if b == nil {
		b = &ejectionList{}
		if len(s.ejections.lists) < mostLists {
			s.ejections.lists[carrier] = b
		}
	}
	return b
}

// tickEjections judges what it is this server's to judge, and asks proxies about hosts that are newly accused.
func (s *Server) tickEjections(now float64) {
	if now < s.ejections.judgeAt || !s.canPromise(now) {
		return
	}
	s.ejections.judgeAt = now + judgeEvery
	accused := s.ejections.votes.Suspects(now)
	if !slices.Equal(accused, s.ejections.asked) {
		s.ejections.asked = accused
		s.propagation.changed = true
		s.wake(now)
	}
	carriers := map[string]bool{}
	for _, r := range s.propagation.records {
		carriers[r.Carrier] = true
	}
	delete(carriers, "") // a proxy that has not heard of its host
	for _, carrier := range slices.Sorted(maps.Keys(carriers)) {
		b := s.ejectionList(carrier)
		idle := b.read && len(accused) == 0 && len(b.entries) == 0
		if idle || !s.judges(now, carrier) {
			continue
		}
		switch {
		case b.busy:
		case !b.read:
			s.changeEjections(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) { return held, false }, nil)
		case len(accused) > 0 || len(b.entries) > 0:
			if _, changed := s.ejections.votes.Decide(now, s.hostsOf(carrier), b.entries); changed {
				s.changeEjections(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
					return s.ejections.votes.Decide(now, s.hostsOf(carrier), held)
				}, nil)
			}
		}
	}
}

// changeEjections changes what is in force for a service.
func (s *Server) changeEjections(now float64, carrier string, edit func(held []ejection.Ejection) (next []ejection.Ejection, write bool), done func(ok bool)) {
	b := s.ejectionList(carrier)
	b.busy = true
	var wrote []ejection.Ejection
	s.registers.Update(now, listKey(carrier), func(old []byte) []byte {
		next, write := edit(s.merge(now, b, old))
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
			b.read = true
			if wrote == nil {
				wrote = s.merge(now, b, body)
			}
			s.adoptEjections(now, carrier, version, wrote)
		}
		if done != nil {
			done(ok)
		}
	})
}

// merge reads what a register held. How long ago it was written is not known: of an ejection that this server knows its own time holds, of
// another nothing is left of the term, so that nothing stays out because nobody knows since when.
func (s *Server) merge(now float64, b *ejectionList, body []byte) (entries []ejection.Ejection) {
	w := &meshpb.EjectionList{}
	if proto.Unmarshal(body, w) != nil {
		return nil
	}
	for _, r := range w.Ejections {
		entry := unwire(now, r)
		entry.Until = min(entry.Until, now)
		if at := slices.IndexFunc(b.entries, func(k ejection.Ejection) bool { return k.Host == r.Station }); at >= 0 {
			entry.Until = b.entries[at].Until
		}
		entries = append(entries, entry)
	}
	return entries
}

// adoptEjections takes a newer version of what is in force, and lets the proxies know.
func (s *Server) adoptEjections(now float64, carrier string, version uint64, entries []ejection.Ejection) {
	b := s.ejectionList(carrier)
	if version <= b.version {
		return
	}
	b.version, b.entries = version, entries
	s.propagation.changed, s.propagation.digestAt = true, 0
	for _, r := range entries {
		s.o.Log("ejection", "carrier", carrier, "station", r.Host, "out", r.InForce(now), "count", r.Count, "by", r.By, "why", r.Why,
			"against", r.Against, "observers", r.Observers)
	}
	s.wake(now)
}

// version grows with each list's.
func (e *ejections) version() (sum uint64) {
	for _, b := range e.lists {
		sum += b.version
	}
	return sum
}

func (s *Server) wireEjections(now float64) (all []*meshpb.EjectionList) {
	for _, carrier := range slices.Sorted(maps.Keys(s.ejections.lists)) {
		if b := s.ejections.lists[carrier]; b.version > 0 {
			all = append(all, wire(now, carrier, b.version, b.entries))
		}
	}
	return all
}

func wire(now float64, carrier string, version uint64, entries []ejection.Ejection) *meshpb.EjectionList {
	w := &meshpb.EjectionList{Carrier: carrier, Version: version}
	for _, r := range entries {
		w.Ejections = append(w.Ejections, &meshpb.Ejection{Station: r.Host, LeftMs: uint32(max(0, r.Until-now) * 1000),
			EndedMs: uint32(min(1e6, max(0, now-r.Until)) * 1000), Count: uint32(r.Count), Hand: r.Manual, By: r.By, Why: r.Why,
			Against: uint32(r.Against), Witnesses: uint32(r.Observers)})
	}
	return w
}

func unwire(now float64, r *meshpb.Ejection) ejection.Ejection {
	until := ejection.Until(now, r.LeftMs)
	if r.LeftMs == 0 {
		until = now - float64(r.EndedMs)/1000
	}
	return ejection.Ejection{Host: r.Station, Until: until, Count: int(r.Count), Manual: r.Hand, By: r.By, Why: r.Why,
		Against: int(r.Against), Observers: int(r.Witnesses)}
}

// heardEjections takes what another control process knows to be in force.
func (s *Server) heardEjections(now float64, lists []*meshpb.EjectionList) {
	for _, w := range lists {
		if b := s.ejectionList(w.Carrier); w.Version > b.version {
			var entries []ejection.Ejection
			for _, r := range w.Ejections {
				entries = append(entries, unwire(now, r))
			}
			s.adoptEjections(now, w.Carrier, w.Version, entries)
		}
	}
}

// ErrNoHost tells that no host of that name is known.
var ErrNoHost = errors.New("no such host is known")

// ErrNoMajority tells that an order could not be written.
var ErrNoMajority = errors.New("no majority of the control processes can be reached from here now")

// OrderEjection takes a host out by hand, or back, for all proxies and over restarts.
func (s *Server) OrderEjection(now float64, station string, out, force bool, by, why string, answer func(error)) {
	carrier := ""
	for _, r := range s.propagation.records {
		if r.Station == station {
			carrier = r.Carrier
		}
	}
	if carrier == "" {
		for name, b := range s.ejections.lists { // one that is gone can be called back
			if slices.ContainsFunc(b.entries, func(r ejection.Ejection) bool { return r.Host == station }) {
				carrier = name
			}
		}
	}
	if carrier == "" {
		answer(ErrNoHost)
		return
	}
	var refused error
	s.changeEjections(now, carrier, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
		next, err := ejection.ApplyOrder(now, s.hostsOf(carrier), held, station, out, force, by, why)
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
