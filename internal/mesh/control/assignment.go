package control

import (
	"encoding/json"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/packed"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/sharding"
)

// The members that hold the keys of a sharded service stand in one register, with those of the epoch before. Proxies beside hosts ask
// which assignment is in force and grant their host its keys for a lease from the time of the question on; the answer is read from a
// quorum after the question came. So once an epoch is chosen no lease of the one before begins, and all have run out LeaseTime later.
//
// One server, by rendezvous hashing, begins the epochs of a service. Two that believe they are the one are harmless: the register
// takes one successor.

// Times are in seconds.
const (
	// reviseEvery is the least time between two readings of a service's register. Larger: proxies learn later what they may grant.
	// Smaller: more ballots.
	updateInterval = 0.1

	// assignFirst is for how long the hosts of a service have to be the same before its first epoch, assignSoon before any other.
	// Larger: the epoch is later. Smaller: hosts that come one after the other make an epoch each.
	firstEpochDelay = 0.6
	nextEpochDelay  = 0.08

	// assignNews is for how long after a change an assignment stands in every digest: each of the others hears it several times.
	recentChangeSeconds = 2.0

	// mostLeaseRequests bounds the questions that wait for a reading.
	maxWaitingLeaseRequests = 4096
)

// leaseRequest is a proxy's question.
type leaseRequest struct {
	from    string
	message *meshpb.Message
}

// assignment is what this server knows of a sharded service.
type assignment struct {
	service       string
	table         *sharding.Table // the newest known to be chosen; nil: the register has not been read
	changedAt     float64         // when the newest version was learned
	epochAt       float64         // and the newest epoch: no lease of the one before was given since
	targetMembers []string        // the members that the hosts known here make
	targetSince   float64         // since when
	nextUpdateAt  float64         // not before then
	busy          bool            // a reading is under way
	inFlight      []leaseRequest  // that came before it
	waiting       []leaseRequest  // and after
}

type assignments struct {
	services      map[string]*assignment // by name; those that the configuration calls sharded
	configVersion uint64                 // of that configuration
}

func (a *assignments) init() { a.services = map[string]*assignment{} }

func assignmentKey(service string) string { return register.Permanent(sharding.RegisterName(service)) }

func (a *assignment) version() uint64 {
	if a.table == nil {
		return 0
	}
	return a.table.Version
}

func (a *assignment) epoch() uint64 {
	if a.table == nil {
		return 0
	}
	return a.table.Epoch
}

// ofService is what is known of a service's assignment.
func (a *assignments) ofService(service string) *assignment {
	known := a.services[service]
	if known == nil {
		known = &assignment{service: service}
		a.services[service] = known
	}
	return known
}

// shardedServices are the services that a configuration calls sharded.
func shardedServices(text []byte) (names []string) {
	var c struct {
		Carriers []struct {
			Name    string `json:"name"`
			Sharded bool   `json:"sharded"`
		} `json:"carriers"`
	}
	plain, err := packed.Unpack(text)
	if err != nil || json.Unmarshal(plain, &c) != nil {
		return nil
	}
	for _, service := range c.Carriers {
		if service.Sharded {
			names = append(names, service.Name)
		}
	}
	return names
}

// heardLeaseRequest takes a proxy's question. It is answered once the register has been read.
func (s *Server) handleLeaseRequest(now float64, from string, m *meshpb.Message) {
	if !s.canCommit(now) || s.assignments.services[m.LeaseRequest.Carrier] == nil {
		s.answerLease(leaseRequest{from, m}, nil)
		return
	}
	a := s.assignments.services[m.LeaseRequest.Carrier]
	if len(a.waiting) >= maxWaitingLeaseRequests {
		s.answerLease(leaseRequest{from, m}, nil)
		return
	}
	a.waiting = append(a.waiting, leaseRequest{from, m})
	s.updateIfDue(now, a)
}

func (s *Server) answerLease(q leaseRequest, a *meshpb.Assignment) {
	s.send(q.from, &meshpb.Message{Id: q.message.Id, Life: q.message.Life, Lease: &meshpb.Lease{Assignment: a}})
}

// tickAssignments begins what is due for each sharded service.
func (s *Server) tickAssignments(now float64) {
	if c := &s.configuration; c.chosenVersion() > s.assignments.configVersion {
		s.assignments.configVersion = c.chosenVersion()
		for _, name := range shardedServices(c.chosen.Text) {
			s.assignments.ofService(name)
		}
	}
	if !s.canCommit(now) {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.assignments.services)) {
		a := s.assignments.services[service]
		s.trackTargetMembers(now, a)
		s.updateIfDue(now, a)
	}
}

// noteWanted notes which members the hosts that are known make, and since when.
func (s *Server) trackTargetMembers(now float64, a *assignment) {
	if targets := s.computeTargetMembers(now, a); !slices.Equal(targets, a.targetMembers) {
		a.targetMembers, a.targetSince = targets, now
	}
}

// wantedMembers are the proxies beside the counted hosts of a service. A member of which nothing is known, as this server or that
// proxy has just started, stays until it counts as silent.
func (s *Server) computeTargetMembers(now float64, a *assignment) (members []string) {
	for source, r := range s.propagation.records {
		if r.Carrier == a.service && r.Station != "" && r.Condition == meshpb.AtDock && !s.isSilentSource(now, source) {
			members = append(members, source)
		}
	}
	if a.table != nil {
		for _, member := range a.table.Members {
			r := s.propagation.records[member]
			unknown := r == nil || r.IsTombstone() || r.Station == "" && r.Carrier == a.service
			if unknown && !s.isSilentSource(now, member) {
				members = append(members, member)
			}
		}
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// silentSource says whether nobody has heard of a proxy for long. Before this server has run for as long, it does not know.
func (s *Server) isSilentSource(now float64, source string) bool {
	return now > max(s.startedAt, s.propagation.lastHeard[source])+silentAfter
}

// begins says whether this server is the one to begin the epochs of a service.
func (s *Server) isAssignmentCoordinator(now float64, service string) bool {
	for _, m := range rendezvous.Order(sharding.RegisterName(service), s.view().RetainedAddresses()) {
		if m == s.options.Self {
			return true
		}
		if !s.silent(now, m, contactTimeout) {
			return false
		}
	}
	return false
}

// reviseIfDue reads and changes a service's register where proxies wait for that, or this server has something to change.
func (s *Server) updateIfDue(now float64, a *assignment) {
	if a.busy || now < a.nextUpdateAt {
		return
	}
	coordinates := s.isAssignmentCoordinator(now, a.service)
	due := len(a.waiting) > 0 || coordinates && a.table == nil && len(a.targetMembers) > 0
	if a.table != nil && coordinates {
		due = due || s.formerLeasesExpired(now, a) || s.needsEpoch(now, a, a.table)
	}
	if due {
		s.updateAssignment(now, a)
	}
}

// expired says that members have not released what they have lost, and that every lease of the epoch before has run out.
func (s *Server) formerLeasesExpired(now float64, a *assignment) bool {
	return now > a.epochAt+s.options.LeaseSeconds && len(a.table.AwaitedMembers()) > 0
}

// wantsEpoch says whether other members are to follow those of an assignment now.
func (s *Server) needsEpoch(now float64, a *assignment, held *sharding.Table) bool {
	delay := nextEpochDelay
	if held.Epoch == 0 {
		delay = firstEpochDelay
	}
	return len(a.targetMembers) > 0 && now > a.targetSince+delay && !slices.Equal(a.targetMembers, held.Members) && len(held.AwaitedMembers()) == 0
}

// revise reads a service's register and changes it where something is to change. Who asked before is told what it holds.
func (s *Server) updateAssignment(now float64, a *assignment) {
	a.busy, a.nextUpdateAt = true, now+updateInterval
	a.inFlight, a.waiting = a.waiting, nil
	coordinates := s.isAssignmentCoordinator(now, a.service)
	edit := func(old []byte) []byte {
		held := decodeAssignment(a.service, old)
		next, changed := s.nextAssignment(now, a, held, coordinates)
		if !changed {
			return nil
		}
		body, err := proto.Marshal(next)
		if err != nil {
			return nil
		}
		return body
	}
	s.registers.Update(now, assignmentKey(a.service), edit, func(version uint64, body []byte, ok bool) {
		a.busy = false
		var known *meshpb.Assignment
		if ok {
			known = decodeAssignment(a.service, body)
			known.Version = version
			s.adoptAssignment(now, known)
		}
		inFlight := a.inFlight
		a.inFlight = nil
		for _, q := range inFlight {
			s.answerLease(q, known)
		}
	})
}

func decodeAssignment(service string, body []byte) *meshpb.Assignment {
	held := &meshpb.Assignment{}
	if proto.Unmarshal(body, held) != nil {
		held = &meshpb.Assignment{}
	}
	held.Carrier = service
	return held
}

// nextAssignment is what follows an assignment: members that have released what they lost are cleared, all are once their leases have
// run out, and the next epoch begins where nobody waits any more.
func (s *Server) nextAssignment(now float64, a *assignment, held *meshpb.Assignment, coordinates bool) (next *meshpb.Assignment, changed bool) {
	next = proto.Clone(held).(*meshpb.Assignment)
	for _, q := range a.inFlight {
		if clearReleased(next, q) {
			changed = true
		}
	}
	if !coordinates {
		return next, changed
	}
	table := sharding.NewTable(next)
	if waiting := table.AwaitedMembers(); len(waiting) > 0 && a.epoch() == held.Epoch && now > a.epochAt+s.options.LeaseSeconds {
		next.Cleared, changed = append(next.Cleared, waiting...), true
		table = sharding.NewTable(next)
	}
	if s.needsEpoch(now, a, table) {
		s.options.Log("assignment", "carrier", a.service, "epoch", held.Epoch+1, "members", len(a.targetMembers), "before", len(held.Members))
		return &meshpb.Assignment{Carrier: a.service, Epoch: held.Epoch + 1, Members: a.targetMembers, Previous: held.Members}, true
	}
	return next, changed
}

// clearReleased notes that a proxy's host has released what it has lost.
func clearReleased(next *meshpb.Assignment, q leaseRequest) bool {
	r := q.message.LeaseRequest
	if r.Released != next.Epoch || !slices.Contains(next.Previous, q.from) || slices.Contains(next.Cleared, q.from) {
		return false
	}
	next.Cleared = append(next.Cleared, q.from)
	next.Handovers = append(next.Handovers, r.Handovers...)
	return true
}

// adoptAssignment takes an assignment that was chosen, and lets the proxies know.
func (s *Server) adoptAssignment(now float64, known *meshpb.Assignment) {
	a := s.assignments.ofService(known.Carrier)
	if a.table != nil && known.Version <= a.version() {
		return
	}
	if known.Epoch > a.epoch() || a.table == nil {
		a.epochAt = now
	}
	a.table, a.changedAt = sharding.NewTable(known), now
	s.propagation.changed, s.propagation.nextDigestAt = true, 0
	s.answerHeldPulls(now)
}

// heardAssignments takes what another server knows to be chosen.
func (s *Server) handleAssignments(now float64, all []*meshpb.Assignment) {
	for _, known := range all {
		if s.assignments.services[known.Carrier] != nil || len(s.assignments.services) < maxServiceLists {
			s.adoptAssignment(now, known)
		}
	}
}

// version grows with each assignment's.
func (a *assignments) version() (sum uint64) {
	for _, known := range a.services {
		sum += known.version()
	}
	return sum
}

// wire are the assignments that changed since a time, in order.
func (a *assignments) changedSince(since float64) (all []*meshpb.Assignment) {
	for _, service := range slices.Sorted(maps.Keys(a.services)) {
		if known := a.services[service]; known.version() > 0 && known.changedAt >= since {
			all = append(all, known.table.Assignment)
		}
	}
	return all
}

// AssignmentState is what an operator sees of a sharded service.
type AssignmentState struct {
	Service         string   `json:"carrier"`
	Epoch           uint64   `json:"epoch"` // the fence of what is granted
	EpochAgeSeconds float64  `json:"epochSeconds"`
	Members         int      `json:"members"`
	Wanted          int      `json:"wanted"`     // members that the hosts known here make
	Waiting         []string `json:"waitingFor"` // former members that have not released what they lost
}

// state is what is known of the sharded services, in order. It is not read anew.
func (a *assignments) state(now float64) (all []AssignmentState) {
	for _, service := range slices.Sorted(maps.Keys(a.services)) {
		known := a.services[service]
		if known.table == nil {
			continue
		}
		all = append(all, AssignmentState{Service: service, Epoch: known.epoch(), EpochAgeSeconds: now - known.epochAt, Members: len(known.table.Members),
			Wanted: len(known.targetMembers), Waiting: known.table.AwaitedMembers()})
	}
	return all
}
