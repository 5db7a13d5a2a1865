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
	reviseEvery = 0.1

	// assignFirst is for how long the hosts of a service have to be the same before its first epoch, assignSoon before any other.
	// Larger: the epoch is later. Smaller: hosts that come one after the other make an epoch each.
	assignFirst = 0.6
	assignSoon  = 0.08

	// assignNews is for how long after a change an assignment stands in every digest: each of the others hears it several times.
	assignNews = 2.0

	// mostLeaseRequests bounds the questions that wait for a reading.
	mostLeaseRequests = 4096
)

// leaseRequest is a proxy's question.
type leaseRequest struct {
	from    string
	message *meshpb.Message
}

// assignment is what this server knows of a sharded service.
type assignment struct {
	carrier   string
	table     *sharding.Table // the newest known to be chosen; nil: the register has not been read
	changedAt float64         // when the newest version was learned
	epochAt   float64         // and the newest epoch: no lease of the one before was given since
	wanted    []string        // the members that the hosts known here make
	wantedAt  float64         // since when
	reviseAt  float64         // not before then
	busy      bool            // a reading is under way
	asked     []leaseRequest  // that came before it
	waiting   []leaseRequest  // and after
}

type assignments struct {
	services map[string]*assignment // by name; those that the configuration calls sharded
	edition  uint64                 // of that configuration
}

func (a *assignments) init() { a.services = map[string]*assignment{} }

func assignmentKey(carrier string) string { return register.Permanent(sharding.RegisterName(carrier)) }

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
func (a *assignments) ofService(carrier string) *assignment {
	known := a.services[carrier]
	if known == nil {
		known = &assignment{carrier: carrier}
		a.services[carrier] = known
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
func (s *Server) heardLeaseRequest(now float64, from string, m *meshpb.Message) {
	if !s.canPromise(now) || s.assignments.services[m.LeaseRequest.Carrier] == nil {
		s.answerLease(leaseRequest{from, m}, nil)
		return
	}
	a := s.assignments.services[m.LeaseRequest.Carrier]
	if len(a.waiting) >= mostLeaseRequests {
		s.answerLease(leaseRequest{from, m}, nil)
		return
	}
	a.waiting = append(a.waiting, leaseRequest{from, m})
	s.reviseIfDue(now, a)
}

func (s *Server) answerLease(q leaseRequest, a *meshpb.Assignment) {
	s.send(q.from, &meshpb.Message{Id: q.message.Id, Life: q.message.Life, Lease: &meshpb.Lease{Assignment: a}})
}

// tickAssignments begins what is due for each sharded service.
func (s *Server) tickAssignments(now float64) {
	if c := &s.configuration; c.chosenVersion() > s.assignments.edition {
		s.assignments.edition = c.chosenVersion()
		for _, name := range shardedServices(c.chosen.Text) {
			s.assignments.ofService(name)
		}
	}
	if !s.canPromise(now) {
		return
	}
	for _, carrier := range slices.Sorted(maps.Keys(s.assignments.services)) {
		a := s.assignments.services[carrier]
		s.noteWanted(now, a)
		s.reviseIfDue(now, a)
	}
}

// noteWanted notes which members the hosts that are known make, and since when.
func (s *Server) noteWanted(now float64, a *assignment) {
	if wanted := s.wantedMembers(now, a); !slices.Equal(wanted, a.wanted) {
		a.wanted, a.wantedAt = wanted, now
	}
}

// wantedMembers are the proxies beside the counted hosts of a service. A member of which nothing is known, as this server or that
// proxy has just started, stays until it counts as silent.
func (s *Server) wantedMembers(now float64, a *assignment) (members []string) {
	for source, r := range s.propagation.records {
		if r.Carrier == a.carrier && r.Station != "" && r.Condition == meshpb.AtDock && !s.silentSource(now, source) {
			members = append(members, source)
		}
	}
	if a.table != nil {
		for _, member := range a.table.Members {
			r := s.propagation.records[member]
			unknown := r == nil || r.IsTombstone() || r.Station == "" && r.Carrier == a.carrier
			if unknown && !s.silentSource(now, member) {
				members = append(members, member)
			}
		}
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// silentSource says whether nobody has heard of a proxy for long. Before this server has run for as long, it does not know.
func (s *Server) silentSource(now float64, source string) bool {
	return now > max(s.began, s.propagation.heard[source])+silentAfter
}

// begins says whether this server is the one to begin the epochs of a service.
func (s *Server) begins(now float64, carrier string) bool {
	for _, m := range rendezvous.Order(sharding.RegisterName(carrier), s.view().Staying()) {
		if m == s.o.Self {
			return true
		}
		if !s.silent(now, m, contactFor) {
			return false
		}
	}
	return false
}

// reviseIfDue reads and changes a service's register where proxies wait for that, or this server has something to change.
func (s *Server) reviseIfDue(now float64, a *assignment) {
	if a.busy || now < a.reviseAt {
		return
	}
	begins := s.begins(now, a.carrier)
	due := len(a.waiting) > 0 || begins && a.table == nil && len(a.wanted) > 0
	if a.table != nil && begins {
		due = due || s.expired(now, a) || s.wantsEpoch(now, a, a.table)
	}
	if due {
		s.revise(now, a)
	}
}

// expired says that members have not released what they have lost, and that every lease of the epoch before has run out.
func (s *Server) expired(now float64, a *assignment) bool {
	return now > a.epochAt+s.o.LeaseTime && len(a.table.Waiting()) > 0
}

// wantsEpoch says whether other members are to follow those of an assignment now.
func (s *Server) wantsEpoch(now float64, a *assignment, held *sharding.Table) bool {
	patience := assignSoon
	if held.Epoch == 0 {
		patience = assignFirst
	}
	return len(a.wanted) > 0 && now > a.wantedAt+patience && !slices.Equal(a.wanted, held.Members) && len(held.Waiting()) == 0
}

// revise reads a service's register and changes it where something is to change. Who asked before is told what it holds.
func (s *Server) revise(now float64, a *assignment) {
	a.busy, a.reviseAt = true, now+reviseEvery
	a.asked, a.waiting = a.waiting, nil
	begins := s.begins(now, a.carrier)
	edit := func(old []byte) []byte {
		held := decodeAssignment(a.carrier, old)
		next, changed := s.nextAssignment(now, a, held, begins)
		if !changed {
			return nil
		}
		body, err := proto.Marshal(next)
		if err != nil {
			return nil
		}
		return body
	}
	s.registers.Update(now, assignmentKey(a.carrier), edit, func(version uint64, body []byte, ok bool) {
		a.busy = false
		var known *meshpb.Assignment
		if ok {
			known = decodeAssignment(a.carrier, body)
			known.Version = version
			s.adoptAssignment(now, known)
		}
		asked := a.asked
		a.asked = nil
		for _, q := range asked {
			s.answerLease(q, known)
		}
	})
}

func decodeAssignment(carrier string, body []byte) *meshpb.Assignment {
	held := &meshpb.Assignment{}
	if proto.Unmarshal(body, held) != nil {
		held = &meshpb.Assignment{}
	}
	held.Carrier = carrier
	return held
}

// nextAssignment is what follows an assignment: members that have released what they lost are cleared, all are once their leases have
// run out, and the next epoch begins where nobody waits any more.
func (s *Server) nextAssignment(now float64, a *assignment, held *meshpb.Assignment, begins bool) (next *meshpb.Assignment, changed bool) {
	next = proto.Clone(held).(*meshpb.Assignment)
	for _, q := range a.asked {
		if clearReleased(next, q) {
			changed = true
		}
	}
	if !begins {
		return next, changed
	}
	table := sharding.Compile(next)
	if waiting := table.Waiting(); len(waiting) > 0 && a.epoch() == held.Epoch && now > a.epochAt+s.o.LeaseTime {
		next.Cleared, changed = append(next.Cleared, waiting...), true
		table = sharding.Compile(next)
	}
	if s.wantsEpoch(now, a, table) {
		s.o.Log("assignment", "carrier", a.carrier, "epoch", held.Epoch+1, "members", len(a.wanted), "before", len(held.Members))
		return &meshpb.Assignment{Carrier: a.carrier, Epoch: held.Epoch + 1, Members: a.wanted, Previous: held.Members}, true
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
	a.table, a.changedAt = sharding.Compile(known), now
	s.propagation.changed, s.propagation.digestAt = true, 0
	s.wake(now)
}

// heardAssignments takes what another server knows to be chosen.
func (s *Server) heardAssignments(now float64, all []*meshpb.Assignment) {
	for _, known := range all {
		if s.assignments.services[known.Carrier] != nil || len(s.assignments.services) < mostLists {
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
func (a *assignments) wire(since float64) (all []*meshpb.Assignment) {
	for _, carrier := range slices.Sorted(maps.Keys(a.services)) {
		if known := a.services[carrier]; known.version() > 0 && known.changedAt >= since {
			all = append(all, known.table.Assignment)
		}
	}
	return all
}

// AssignmentState is what an operator sees of a sharded service.
type AssignmentState struct {
	Carrier string   `json:"carrier"`
	Epoch   uint64   `json:"epoch"` // the fence of what is granted
	Age     float64  `json:"epochSeconds"`
	Members int      `json:"members"`
	Wanted  int      `json:"wanted"`     // members that the hosts known here make
	Waiting []string `json:"waitingFor"` // former members that have not released what they lost
}

// state is what is known of the sharded services, in order. It is not read anew.
func (a *assignments) state(now float64) (all []AssignmentState) {
	for _, carrier := range slices.Sorted(maps.Keys(a.services)) {
		known := a.services[carrier]
		if known.table == nil {
			continue
		}
		all = append(all, AssignmentState{Carrier: carrier, Epoch: known.epoch(), Age: now - known.epochAt, Members: len(known.table.Members),
			Wanted: len(known.wanted), Waiting: known.table.Waiting()})
	}
	return all
}
