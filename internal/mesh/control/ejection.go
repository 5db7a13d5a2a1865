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

// The ejections of each service are stored in one register, so the limit on ejected hosts holds whichever server writes. The
// first member in rendezvous order that is not silent decides on ejections; any server takes an operator's order. All servers
// receive all observations, so the next member in order can take over.

const (
	decisionInterval = 0.05 // seconds between decisions
	maxServiceLists  = 1024 // services whose ejections, or whose assignments, are tracked
)

// ejectionList is what this server knows of a service's ejections.
type ejectionList struct {
	version uint64
	entries []ejection.Ejection
	busy    bool // a read or write of the register is in progress
	read    bool // the register has been read since the process started
}

type ejections struct {
	votes          ejection.Votes
	lists          map[string]*ejectionList // by service
	newReports     []*meshpb.Report         // reports for the other servers, since the last digest
	accused        []string                 // the accused hosts that proxies were last asked about
	nextDecisionAt float64
}

func (e *ejections) init() { e.lists = map[string]*ejectionList{} }

// ejectionsKey returns the key of the register of a service's ejections.
func ejectionsKey(service string) string { return register.Permanent("ejections\x00" + service) }

// recordObservations records an observer's observations. forward passes them on to the other servers.
func (s *Server) recordObservations(now float64, observer string, observations []*meshpb.Observation, forward bool) {
	if len(observations) == 0 {
		return
	}
	all := make([]ejection.Observation, 0, len(observations))
	for _, o := range observations {
		all = append(all, ejection.Observation{Host: o.Station, Good: int(o.Good), Bad: int(o.Bad)})
	}
	s.ejections.votes.Record(now, observer, all)
	if forward {
		s.ejections.newReports = append(s.ejections.newReports, &meshpb.Report{Witness: observer, Observations: observations})
		s.propagation.nextDigestAt = 0
	}
}

// hostsOf returns the hosts of a service that are listed and not leaving.
func (s *Server) hostsOf(service string) (hosts []string) {
	for _, r := range s.propagation.records {
		if r.Carrier == service && r.Station != "" && r.Condition == meshpb.Serving {
			hosts = append(hosts, r.Station)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// isEjectionCoordinator reports whether this server decides on a service's ejections: it is the first member in rendezvous order
// that is not silent.
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

// tickEjections decides for the services that this server coordinates, and asks proxies about newly accused hosts.
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
	delete(services, "") // a proxy that does not know its host's service yet
	for _, service := range slices.Sorted(maps.Keys(services)) {
		list := s.ejectionList(service)
		idle := list.read && len(accused) == 0 && len(list.entries) == 0
		if idle || !s.isEjectionCoordinator(now, service) {
			continue
		}
		switch {
		case list.busy:
		case !list.read:
			s.updateEjections(now, service, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
				return held, false
			}, nil)
		case len(accused) > 0 || len(list.entries) > 0:
			if _, changed := s.ejections.votes.Decide(now, s.hostsOf(service), list.entries); changed {
				s.updateEjections(now, service, func(held []ejection.Ejection) ([]ejection.Ejection, bool) {
					return s.ejections.votes.Decide(now, s.hostsOf(service), held)
				}, nil)
			}
		}
	}
}

// updateEjections reads a service's register and writes the ejections that edit returns.
func (s *Server) updateEjections(now float64, service string,
	edit func(held []ejection.Ejection) (next []ejection.Ejection, write bool), done func(ok bool)) {
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

// decodeHeldEjections decodes a register's value, whose age is unknown. An ejection that this server knows keeps the end known
// here. Any other counts as ended unless an operator ordered it, so that no host stays ejected because the start of its
// ejection is unknown.
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

// adoptEjections takes a newer version of a service's ejections and distributes it to proxies and other servers.
func (s *Server) adoptEjections(now float64, service string, version uint64, entries []ejection.Ejection) {
	list := s.ejectionList(service)
	if version <= list.version {
		return
	}
	list.version, list.entries = version, entries
	s.propagation.changed, s.propagation.nextDigestAt = true, 0
	for _, r := range entries {
		s.options.Log("ejection", "carrier", service, "station", r.Host, "out", r.InForce(now), "count", r.Count,
			"by", r.By, "why", r.Why, "against", r.Against, "observers", r.Observers)
	}
	s.answerHeldPulls(now)
}

// version is the sum of the lists' versions. It grows whenever one of them does.
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
		message.Ejections = append(message.Ejections, &meshpb.Ejection{Station: r.Host,
			LeftMs:  uint32(max(0, r.Until-now) * 1000),
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

// handleEjections takes over newer lists from another server.
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

// ErrNoHost is returned for a host that is not known.
var ErrNoHost = errors.New("no such host is known")

// ErrNoMajority is returned for an order that could not be written.
var ErrNoMajority = errors.New("no majority of the control processes can be reached from here now")

// OrderEjection ejects a host by an operator's order, or ends its ejection. The order applies to all proxies and persists over
// restarts.
func (s *Server) OrderEjection(now float64, host string, out, force bool, by, reason string, answer func(error)) {
	service := ""
	for _, r := range s.propagation.records {
		if r.Station == host {
			service = r.Carrier
		}
	}
	if service == "" {
		for name, list := range s.ejections.lists { // the ejection of a host that has gone can still be ended
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
