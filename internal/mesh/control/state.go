package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Counts add up since the process started.
type Counts struct {
	Claims      uint64            `json:"claims"`
	Granted     uint64            `json:"granted"`
	Settles     uint64            `json:"settles"`
	Unsure      uint64            `json:"unsure"`    // claims and ends of runs for which no quorum was found
	Untouched   uint64            `json:"untouched"` // claims for which nothing was begun: no contact, no disk, or too much under way
	Pulls       uint64            `json:"pulls"`
	Orders      map[string]uint64 `json:"orders"` // by their end
	ViewChanges uint64            `json:"viewChanges"`

	Violations map[invariant.Name]uint64 `json:"violations,omitempty"` // of invariants: none is ever due
}

func (c *Counts) order(r OrderResult) {
	if c.Orders == nil {
		c.Orders = map[string]uint64{}
	}
	c.Orders[r.String()]++
}

// State is what an operator sees of a server.
type State struct {
	Epoch               uint64                 `json:"epoch"`
	Members             []view.Member          `json:"members"`
	Next                []view.Member          `json:"next,omitempty"` // of a change that is under way
	Incarnation         uint64                 `json:"incarnation"`
	Member              bool                   `json:"member"`
	Voting              bool                   `json:"voting"`
	InContact           bool                   `json:"inContact"`
	SinceContactSeconds float64                `json:"lastContactSeconds"` // since a quorum was known to be in reach; -1: never
	Behind              bool                   `json:"behind"`
	CaughtUp            bool                   `json:"caughtUp"`
	ForeignDisk         bool                   `json:"foreignDisk"`
	DiskFailing         string                 `json:"diskFailing,omitempty"` // why the disk takes no writes; empty: it does
	Standbys            []string               `json:"standbys"`
	Silent              []string               `json:"silentMembers"`
	HeldVersion         uint64                 `json:"held"`
	InForceVersion      uint64                 `json:"inForce"`
	Registers           int                    `json:"registers"`
	Keys                map[string]int         `json:"keys"`
	OldestClaimSeconds  float64                `json:"oldestClaimSeconds"`
	Changes             int                    `json:"changes"`
	HeldPulls           int                    `json:"heldPulls"`
	EjectionLists       []*meshpb.EjectionList `json:"ejectionLists"`
	SilentProxies       []string               `json:"silent"`
	Assignments         []AssignmentState      `json:"assignments"`
	Counts              Counts                 `json:"counts"`
	Roll                []*meshpb.Record       `json:"roll"`
}

// State tells what is known here.
func (s *Server) State(now float64) State {
	v := s.view()
	state := State{Epoch: v.Epoch, Members: v.Members, Next: v.Next, Incarnation: s.self.Incarnation, Member: s.isMember(),
		Voting: s.Voting(), InContact: s.inContact(now), SinceContactSeconds: -1, Behind: s.mayBeStale(now), CaughtUp: s.catchup.caughtUp,
		ForeignDisk: s.membership.foreign, Standbys: sorted(s.membership.standbys), HeldVersion: s.configuration.heldVersion,
		InForceVersion: s.configuration.chosenVersion(), HeldPulls: len(s.propagation.heldPulls), EjectionLists: s.wireEjections(now),
		SilentProxies: s.silentSources(now), Assignments: s.assignments.state(now), Counts: s.counts}
	if s.disk.failing {
		state.DiskFailing = cmp.Or(s.disk.reason, "stalled")
	}
	if at := s.lastContact(); at > 0 {
		state.SinceContactSeconds = now - at
	}
	for _, address := range v.Addresses() {
		if address != s.options.Self && s.silent(now, address, replaceAfter) {
			state.Silent = append(state.Silent, address)
		}
	}
	state.Registers, state.Changes = s.registers.Size()
	state.Keys, state.OldestClaimSeconds = s.registers.StateCounts(now)
	for _, r := range s.propagation.records {
		if !r.IsTombstone() {
			state.Roll = append(state.Roll, proto.Clone(r).(*meshpb.Record))
		}
	}
	slices.SortFunc(state.Roll, func(a, b *meshpb.Record) int { return cmp.Compare(a.Source, b.Source) })
	state.Counts.Violations = s.checks.Counts()
	state.Counts.Orders = map[string]uint64{}
	for end, n := range s.counts.Orders {
		state.Counts.Orders[end] = n
	}
	return state
}

// Counts are what has been counted since the process started.
func (s *Server) Counts() Counts { return s.counts }

// Size is the number of registers held, and of changes under way.
func (s *Server) Size() (registers, changes int) { return s.registers.Size() }

// Redirect is the server to ask in place of one that is no member: a member that answered lately; empty: none did.
func (s *Server) Redirect(now float64) string {
	for _, address := range s.view().RetainedAddresses() {
		if at := s.contact.answeredAt[address]; address != s.options.Self && at > 0 && now < at+standbyTimeout {
			return address
		}
	}
	return ""
}
