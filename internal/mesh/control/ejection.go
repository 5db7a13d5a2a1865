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
	decisionInterval = 0.05 // seconds
	maxServiceLists  = 1024
)

// ejectionList is a service's hosts that are out, as this server knows them.
type ejectionList struct {
	version uint64
	entries []ejection.Ejection
	busy    bool // a write is under way
	read    bool // the register has been read in this life
}

type ejections struct {
	votes          ejection.Votes
	lists          map[string]*ejectionList // by service
	newReports     []*meshpb.Report         // for the others, since the last digest
	accused        []string                 // the accused hosts that proxies were asked about last
	nextDecisionAt float64
}

func (e *ejections) init() { e.lists = map[string]*ejectionList{} }

// listKey names the register of a service's list.
func ejectionsKey(service string) string { return register.Permanent("ejections\x00" + service) }

// heardObservations takes what an observer says.
func (s *Server) recordObservations(now float64, observer string, observations []*meshpb.Observation, tell bool) {
	if len(observations) == 0 {
		return
	}
	all := make([]ejection.Observation, 0, len(observations))
	for _, message := range observations {
		all = append(all, ejection.Observation{Host: message.Station, Good: int(message.Good), Bad: int(message.Bad)})
	}
	s.ejections.votes.Record(now, observer, all)
	if tell {
		s.ejections.newReports = append(s.ejections.newReports, &meshpb.Report{Witness: observer, Observations: observations})
		s.propagation.nextDigestAt = 0
	}
}

// hostsOf are the counted hosts of a service: listed and not leaving.
func (s *Server) hostsOf(service string) (hosts []string) {
	for _, r := range s.propagation.records {
		if r.Carrier == service && r.Station != "" && r.Condition == meshpb.AtDock {
			hosts = append(hosts, r.Station)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// judges says whether this server is the one to judge a service: the first in order that is not silent.
func (s *Server) isEjectionCoordinator(now float64, service string) bool {
	for _, m := range rendezvous.Order(ejectionsKey(service), s.view().RetainedAddresses()) {
		if m == s.options.Self {
			return true
		}
		if !s.silent(now, m, contactTimeout) {
			return false
		}
	}
	return false
}

func (s *Server) ejectionList(service string) *ejectionList {
	list := s.ejections.lists[service]
	if list == nil {
		list = &ejectionList{}
		if len(s.ejections.lists) < maxServiceLists {
			s.ejections.lists[service] = list
		}
	}
	return list
}

// tickEjections judges what it is this server's to judge, and asks proxies about hosts that are newly accused.
func (s *Server) tickEjections(now float64) {
	if now < s.ejections.nextDecisionAt || !s.canCommit(now) {
		return
	}
	s.ejections.nextDecisionAt = now + decisionInterval
	accused := s.ejections.votes.Suspects(now)
	if !slices.Equal(accused, s.ejections.accused) {
		s.ejections.accused = accused
		s.propagation.changed = true
		s.answerHeldPulls(now)
	}
	services := map[string]bool{}
	for _, r := range s.propagation.records {
		services[r.Carrier] = true
	}
	delete(services, "") // a proxy that has not heard of its host
	for _, service := range slices.Sorted(maps.Keys(services)) {
		list := s.ejectionList(service)
		idle := list.read && len(accused) == 0 && len(list.entries) == 0
		if idle || !s.isEjectionCoordinator(now, service) {
			continue
		}
		switch {
		case list.busy:
		case !list.read:
			s.updateEjections(now, service, func(held []ejection.Ejection) ([]ejection.Ejection, bool) { return held, false }, nil)
		case len(accused) > 0 || len(list.entries) > 0:
			if _, changed := s.ejections.votes.Decide(now, s.hostsOf(service), list.entries); changed {
				s.updateEjections(now, service, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
					return s.ejections.votes.Decide(now, s.hostsOf(service), held)
				}, nil)
			}
		}
	}
}

// changeEjections changes what is in force for a service.
func (s *Server) updateEjections(now float64, service string, edit func(held []ejection.Ejection) (next []ejection.Ejection, write bool), done func(ok bool)) {
	list := s.ejectionList(service)
	list.busy = true
	var wrote []ejection.Ejection
	s.registers.Update(now, ejectionsKey(service), func(old []byte) []byte {
		next, write := edit(s.decodeHeldEjections(now, list, old))
		if wrote = nil; !write {
			return nil
		}
		wrote = append([]ejection.Ejection{}, next...)
		body, err := proto.Marshal(ejectionListToWire(now, service, 0, next))
		if err != nil {
			return nil
		}
		return body
	}, func(version uint64, body []byte, ok bool) {
		list.busy = false
		if ok {
			list.read = true
			if wrote == nil {
				wrote = s.decodeHeldEjections(now, list, body)
			}
			s.adoptEjections(now, service, version, wrote)
		}
		if done != nil {
			done(ok)
		}
	})
}

// merge reads what a register held. How long ago it was written is not known: of an ejection that this server knows its own time holds, of
// another nothing is left of the term, so that nothing stays out because nobody knows since when.
func (s *Server) decodeHeldEjections(now float64, list *ejectionList, body []byte) (entries []ejection.Ejection) {
	message := &meshpb.EjectionList{}
	if proto.Unmarshal(body, message) != nil {
		return nil
	}
	for _, r := range message.Ejections {
		entry := ejectionFromWire(now, r)
		entry.Until = min(entry.Until, now)
		if at := slices.IndexFunc(list.entries, func(k ejection.Ejection) bool { return k.Host == r.Station }); at >= 0 {
			entry.Until = list.entries[at].Until
		}
		entries = append(entries, entry)
	}
	return entries
}

// adoptEjections takes a newer version of what is in force, and lets the proxies know.
func (s *Server) adoptEjections(now float64, service string, version uint64, entries []ejection.Ejection) {
	list := s.ejectionList(service)
	if version <= list.version {
		return
	}
	list.version, list.entries = version, entries
	s.propagation.changed, s.propagation.nextDigestAt = true, 0
	for _, r := range entries {
		s.options.Log("ejection", "carrier", service, "station", r.Host, "out", r.InForce(now), "count", r.Count, "by", r.By, "why", r.Why,
			"against", r.Against, "observers", r.Observers)
	}
	s.answerHeldPulls(now)
}

// version grows with each list's.
func (e *ejections) version() (sum uint64) {
	for _, list := range e.lists {
		sum += list.version
	}
	return sum
}

func (s *Server) wireEjections(now float64) (all []*meshpb.EjectionList) {
	for _, service := range slices.Sorted(maps.Keys(s.ejections.lists)) {
		if list := s.ejections.lists[service]; list.version > 0 {
			all = append(all, ejectionListToWire(now, service, list.version, list.entries))
		}
	}
	return all
}

func ejectionListToWire(now float64, service string, version uint64, entries []ejection.Ejection) *meshpb.EjectionList {
	message := &meshpb.EjectionList{Carrier: service, Version: version}
	for _, r := range entries {
		message.Ejections = append(message.Ejections, &meshpb.Ejection{Station: r.Host, LeftMs: uint32(max(0, r.Until-now) * 1000),
			EndedMs: uint32(min(1e6, max(0, now-r.Until)) * 1000), Count: uint32(r.Count), Hand: r.Manual, By: r.By, Why: r.Why,
			Against: uint32(r.Against), Witnesses: uint32(r.Observers)})
	}
	return message
}

func ejectionFromWire(now float64, r *meshpb.Ejection) ejection.Ejection {
	until := ejection.Until(now, r.LeftMs)
	if r.LeftMs == 0 {
		until = now - float64(r.EndedMs)/1000
	}
	return ejection.Ejection{Host: r.Station, Until: until, Count: int(r.Count), Manual: r.Hand, By: r.By, Why: r.Why,
		Against: int(r.Against), Observers: int(r.Witnesses)}
}

// heardEjections takes what another control process knows to be in force.
func (s *Server) handleEjections(now float64, lists []*meshpb.EjectionList) {
	for _, message := range lists {
		if list := s.ejectionList(message.Carrier); message.Version > list.version {
			var entries []ejection.Ejection
			for _, r := range message.Ejections {
				entries = append(entries, ejectionFromWire(now, r))
			}
			s.adoptEjections(now, message.Carrier, message.Version, entries)
		}
	}
}

// ErrNoHost tells that no host of that name is known.
var ErrNoHost = errors.New("no such host is known")

// ErrNoMajority tells that an order could not be written.
var ErrNoMajority = errors.New("no majority of the control processes can be reached from here now")

// OrderEjection takes a host out by hand, or back, for all proxies and over restarts.
func (s *Server) OrderEjection(now float64, host string, out, force bool, by, reason string, answer func(error)) {
	service := ""
	for _, r := range s.propagation.records {
		if r.Station == host {
			service = r.Carrier
		}
	}
	if service == "" {
		for name, list := range s.ejections.lists { // one that is gone can be called back
			if slices.ContainsFunc(list.entries, func(r ejection.Ejection) bool { return r.Host == host }) {
				service = name
			}
		}
	}
	if service == "" {
		answer(ErrNoHost)
		return
	}
	var refused error
	s.updateEjections(now, service, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
		next, err := ejection.ApplyOrder(now, s.hostsOf(service), held, host, out, force, by, reason)
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
