package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Counts are totals since the process started.
type Counts struct {
	Claims      uint64            `json:"claims"`
	Granted     uint64            `json:"granted"`
	Settles     uint64            `json:"settles"`
	Unsure      uint64            `json:"unsure"`    // claims and settles for which no quorum was found in time
	Untouched   uint64            `json:"untouched"` // claims that were not started: no contact, no disk, or overload
	Pulls       uint64            `json:"pulls"`
	Orders      map[string]uint64 `json:"orders"` // by result
	ViewChanges uint64            `json:"viewChanges"`

	Violations map[invariant.Name]uint64 `json:"violations,omitempty"` // by invariant; any value above 0 is a fault
}

func (c *Counts) countOrder(r OrderResult) {
	if c.Orders == nil {
		c.Orders = map[string]uint64{}
	}
	c.Orders[r.String()]++
}

// State is a snapshot of a server for operators.
type State struct {
	Epoch               uint64                 `json:"epoch"`
	Members             []view.Member          `json:"members"`
	Next                []view.Member          `json:"next,omitempty"` // members after the change in progress
	Incarnation         uint64                 `json:"incarnation"`
	Member              bool                   `json:"member"`
	Voting              bool                   `json:"voting"`
	InContact           bool                   `json:"inContact"`
	SinceContactSeconds float64                `json:"lastContactSeconds"` // since a quorum was known to be reachable; -1: never
	Behind              bool                   `json:"behind"`
	CaughtUp            bool                   `json:"caughtUp"`
	ForeignDisk         bool                   `json:"foreignDisk"`
	DiskFailing         string                 `json:"diskFailing,omitempty"` // why the disk accepts no writes; empty: it does
	Standbys            []string               `json:"standbys"`
	SilentMembers       []string               `json:"silentMembers"`
	HeldVersion         uint64                 `json:"held"`
	InForceVersion      uint64                 `json:"inForce"`
	Registers           int                    `json:"registers"`
	Keys                map[string]int         `json:"keys"`
	OldestClaimSeconds  float64                `json:"oldestClaimSeconds"`
	ChangesInProgress   int                    `json:"changes"`
	HeldPulls           int                    `json:"heldPulls"`
	EjectionLists       []*meshpb.EjectionList `json:"ejectionLists"`
	SilentProxies       []string               `json:"silent"`
	Assignments         []AssignmentState      `json:"assignments"`
	Counts              Counts                 `json:"counts"`
	Records             []*meshpb.Record       `json:"roll"`
}

// State returns a snapshot of this server.
func (s *Server) State(now float64) State {
	v := s.view()
	state := State{Epoch: v.Epoch, Members: v.Members, Next: v.Next, Incarnation: s.self.Incarnation, Member: s.isMember(),
		Voting: s.Voting(), InContact: s.inContact(now), SinceContactSeconds: -1, Behind: s.mayBeStale(now),
		CaughtUp: s.catchup.caughtUp, ForeignDisk: s.membership.foreign, Standbys: sorted(s.membership.standbys),
		HeldVersion: s.configuration.heldVersion, InForceVersion: s.configuration.chosenVersion(),
		HeldPulls: len(s.propagation.heldPulls), EjectionLists: s.wireEjections(now),
		SilentProxies: s.silentSources(now), Assignments: s.assignments.state(now), Counts: s.counts}
	if s.disk.failing {
		state.DiskFailing = cmp.Or(s.disk.reason, "stalled")
	}
	if at := s.lastContact(); at > 0 {
		state.SinceContactSeconds = now - at
	}
	for _, address := range v.Addresses() {
		if address != s.options.Self && s.silent(now, address, replaceAfter) {
			state.SilentMembers = append(state.SilentMembers, address)
		}
	}
	state.Registers, state.ChangesInProgress = s.registers.Size()
	state.Keys, state.OldestClaimSeconds = s.registers.StateCounts(now)
	for _, r := range s.propagation.records {
		if !r.IsTombstone() {
			state.Records = append(state.Records, proto.Clone(r).(*meshpb.Record))
		}
	}
	slices.SortFunc(state.Records, func(a, b *meshpb.Record) int { return cmp.Compare(a.Source, b.Source) })
	state.Counts.Violations = s.checks.Counts()
	state.Counts.Orders = map[string]uint64{}
	for result, n := range s.counts.Orders {
		state.Counts.Orders[result] = n
	}
	return state
}

// Counts returns the totals since the process started.
func (s *Server) Counts() Counts { return s.counts }

// Size returns the number of registers held and of register changes in progress.
func (s *Server) Size() (registers, changes int) { return s.registers.Size() }

// HomeLookups returns how often the home of a register was computed since the start.
func (s *Server) HomeLookups() uint64 { return s.registers.HomeLookups() }

// Redirect returns the address of a member that answered recently, for clients of a server that is not a member. It is empty if
// there is none.
func (s *Server) Redirect(now float64) string {
	for _, address := range s.view().RetainedAddresses() {
		if at := s.contact.answeredAt[address]; address != s.options.Self && at > 0 && now < at+standbyTimeout {
			return address
		}
	}
	return ""
}
