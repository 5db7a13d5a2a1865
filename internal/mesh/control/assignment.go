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

// The assignment of a sharded service is stored in a register: the members that hold its keys, and the members of the previous
// epoch. A member is the proxy beside a host. It asks a control server which assignment is in force and grants its host the keys
// for a lease that counts from the time of the request. The control server reads the assignment from a quorum after the request
// arrived. So once an epoch is chosen, no lease of the previous epoch can start, and all of them have expired LeaseSeconds later.
//
// One server, selected by rendezvous hashing, starts the epochs of a service. Two servers that both believe to be selected are
// harmless, because the register takes one successor.

// Times are in seconds.
const (
	// updateInterval is the least time between two reads of a service's register. Larger: proxies learn later what they may
	// grant. Smaller: more ballots.
	updateInterval = 0.1

	// firstEpochDelay is how long the hosts of a service have to stay the same before its first epoch, nextEpochDelay before any
	// other. Larger: the epoch starts later. Smaller: hosts that start one after the other cause an epoch each.
	firstEpochDelay = 0.6
	nextEpochDelay  = 0.08

	// recentChangeSeconds is how long every digest carries an assignment after it changed, so that each member receives it
	// several times.
	recentChangeSeconds = 2.0

	// maxWaitingLeaseRequests bounds the lease requests of a service that wait for a read.
	maxWaitingLeaseRequests = 4096
)

// leaseRequest is a lease request of a proxy.
type leaseRequest struct {
	from    string
	message *meshpb.Message
}

// assignment is what this server knows of a sharded service's assignment.
type assignment struct {
	service       string
	table         *sharding.Table // the newest known to be chosen; nil: the register has not been read
	changedAt     float64         // when the newest version was learned
	epochAt       float64         // when the newest epoch was learned: no lease of the previous one has started since
	targetMembers []string        // the members that follow from the hosts known here
	targetSince   float64         // when targetMembers last changed
	nextUpdateAt  float64         // earliest time of the next read
	busy          bool            // a read or write of the register is in progress
	inFlight      []leaseRequest  // requests that the present read answers
	waiting       []leaseRequest  // requests that wait for the next read
}

type assignments struct {
	services      map[string]*assignment // by name; those that the configuration declares sharded
	configVersion uint64                 // the configuration from which services was derived
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

// ofService returns the assignment of a service, and creates an empty one if there is none.
func (a *assignments) ofService(service string) *assignment {
	known := a.services[service]
	if known == nil {
		known = &assignment{service: service}
		a.services[service] = known
	}
	return known
}

// shardedServices returns the services that a configuration declares sharded.
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

// handleLeaseRequest queues a proxy's request, which is answered once the register has been read. The request is refused at once
// if this server cannot read the register, the service is not sharded, or too many requests wait.
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

// tickAssignments starts the reads and writes that are due for the sharded services.
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

// trackTargetMembers updates the members that follow from the known hosts, and when they last changed.
func (s *Server) trackTargetMembers(now float64, a *assignment) {
	if targets := s.computeTargetMembers(now, a); !slices.Equal(targets, a.targetMembers) {
		a.targetMembers, a.targetSince = targets, now
	}
}

// computeTargetMembers returns the proxies beside the hosts of a service that are listed and not leaving. A present member
// whose record or host is not known here, because this server or the proxy has just started, stays until it counts as silent.
func (s *Server) computeTargetMembers(now float64, a *assignment) (members []string) {
	for source, r := range s.propagation.records {
		if r.Carrier == a.service && r.Station != "" && r.Condition == meshpb.Serving && !s.isSilentSource(now, source) {
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

// isSilentSource reports whether no server has heard of a proxy for silentAfter. A server that has not run for that long cannot
// tell.
func (s *Server) isSilentSource(now float64, source string) bool {
	return now > max(s.startedAt, s.propagation.lastHeard[source])+silentAfter
}

// isAssignmentCoordinator reports whether this server starts the epochs of a service: it is the first member in rendezvous order
// that is not silent.
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

// updateIfDue reads and updates a service's register if proxies wait for a read or this server has a change to write.
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

// formerLeasesExpired reports whether former members have not released their ranges although all leases of the previous epoch
// have expired.
func (s *Server) formerLeasesExpired(now float64, a *assignment) bool {
	return now > a.epochAt+s.options.LeaseSeconds && len(a.table.AwaitedMembers()) > 0
}

// needsEpoch reports whether the next epoch should start now with other members than those held.
func (s *Server) needsEpoch(now float64, a *assignment, held *sharding.Table) bool {
	delay := nextEpochDelay
	if held.Epoch == 0 {
		delay = firstEpochDelay
	}
	return len(a.targetMembers) > 0 && now > a.targetSince+delay && !slices.Equal(a.targetMembers, held.Members) &&
		len(held.AwaitedMembers()) == 0
}

// updateAssignment reads a service's register, writes a change if there is one, and answers the requests that came before the
// read.
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

// nextAssignment returns the successor of an assignment. Members that have released their lost ranges are cleared, and so are all
// others once their leases have expired. The next epoch starts when no member has to be waited for.
func (s *Server) nextAssignment(now float64, a *assignment, held *meshpb.Assignment, coordinates bool) (
	next *meshpb.Assignment, changed bool) {
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
		s.options.Log("assignment", "carrier", a.service, "epoch", held.Epoch+1, "members", len(a.targetMembers),
			"before", len(held.Members))
		return &meshpb.Assignment{Carrier: a.service, Epoch: held.Epoch + 1, Members: a.targetMembers,
			Previous: held.Members}, true
	}
	return next, changed
}

// clearReleased marks a member as cleared if its proxy reports that the host has released the ranges that it lost.
func clearReleased(next *meshpb.Assignment, q leaseRequest) bool {
	r := q.message.LeaseRequest
	if r.Released != next.Epoch || !slices.Contains(next.Previous, q.from) || slices.Contains(next.Cleared, q.from) {
		return false
	}
	next.Cleared = append(next.Cleared, q.from)
	next.Handovers = append(next.Handovers, r.Handovers...)
	return true
}

// adoptAssignment takes a chosen assignment and distributes it to the proxies.
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

// handleAssignments takes over assignments that another server knows to be chosen.
func (s *Server) handleAssignments(now float64, all []*meshpb.Assignment) {
	for _, known := range all {
		if s.assignments.services[known.Carrier] != nil || len(s.assignments.services) < maxServiceLists {
			s.adoptAssignment(now, known)
		}
	}
}

// version is the sum of the assignments' versions. It grows whenever one of them does.
func (a *assignments) version() (sum uint64) {
	for _, known := range a.services {
		sum += known.version()
	}
	return sum
}

// changedSince returns the assignments that changed at or after the given time, in order of service.
func (a *assignments) changedSince(since float64) (all []*meshpb.Assignment) {
	for _, service := range slices.Sorted(maps.Keys(a.services)) {
		if known := a.services[service]; known.version() > 0 && known.changedAt >= since {
			all = append(all, known.table.Assignment)
		}
	}
	return all
}

// AssignmentState is a snapshot of a sharded service's assignment for operators.
type AssignmentState struct {
	Service         string   `json:"carrier"`
	Epoch           uint64   `json:"epoch"` // fencing token of the grants
	EpochAgeSeconds float64  `json:"epochSeconds"`
	Members         int      `json:"members"`
	TargetMembers   int      `json:"wanted"`     // number of members that follow from the hosts known here
	AwaitedMembers  []string `json:"waitingFor"` // former members that have not released the ranges that they lost
}

// state returns a snapshot of the assignments as this server knows them, without a read of the registers.
func (a *assignments) state(now float64) (all []AssignmentState) {
	for _, service := range slices.Sorted(maps.Keys(a.services)) {
		known := a.services[service]
		if known.table == nil {
			continue
		}
		all = append(all, AssignmentState{Service: service, Epoch: known.epoch(), EpochAgeSeconds: now - known.epochAt,
			Members: len(known.table.Members), TargetMembers: len(known.targetMembers),
			AwaitedMembers: known.table.AwaitedMembers()})
	}
	return all
}
