package control

import (
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// The view is a register of its own: its value for the next epoch is chosen by a quorum of the present one, so there is one
// successor to each view. A server acts by a view once it is on its disk, and takes part in ballots of that epoch only; what comes
// from an older one is answered with the view and has no effect.
//
// A change exchanges one member. Who asks to join reads everything from the members while it waits. It joins when a member has lost
// its disk, is silent, says that it leaves, or when there are fewer members than the tolerance needs; silent members are not
// removed while nobody is there to take the place. The change goes by a joint view, in which the joiner reads the rest, to the
// stable view of the new members. If the joiner is lost on the way the old members go on.

// Times are in seconds.
const (
	// foundAfter is how long the founder waits for others to come, and foundQuiet for how long nobody may have come before it decides.
	// Larger: the first start takes longer. Smaller: a seed that is slow to start is left out, and has to join by a change of view.
	foundAfter = 1.2
	foundQuiet = 0.6

	// joinEvery is the pause between questions of a server that is no member. Larger: a joiner is taken in later, and counts as silent
	// sooner (standbyFor, joinerGone). Smaller: more messages to every member.
	joinEvery = 0.15

	// viewAskEvery is the pause between questions for a newer view. Larger: a member that missed a view votes later. Smaller: several
	// answers, each with the view, while one is on its way.
	viewAskEvery = 0.05

	// seedAskEvery is the pause between questions to the seeds while no quorum is in reach. Larger: a member that was replaced while it
	// was away finds the others later. Smaller: messages to machines that may be gone.
	seedAskEvery = 0.5

	// standbyFor is how long a server that asks to join counts without a word. Larger: a change may be proposed with a joiner that is gone,
	// and takes joinerGone to abandon. Smaller: lost messages take a joiner out of the choice.
	standbyFor = 1.0

	// mostStandbys bounds what is kept of servers that ask to join.
	mostStandbys = 64
)

// standby is a server that asks to join.
type standby struct {
	member      view.Member
	heardAt     float64
	caughtUp    bool
	syncedEpoch uint64
}

type membership struct {
	view      view.View
	adoptedAt float64
	standbys  map[string]*standby // by address
	founders  map[string]view.Member
	foundAt   float64 // when the last founder came
	changing  bool    // a change of the view is being proposed
	wantedAt  float64 // since when this server wants to begin a change; 0: it does not
	leaving   bool    // this server is about to end
	settled   bool    // the epoch is older than keys are kept
	restoring bool    // the view is the one that this disk has
	foreign   bool    // a disk of another mesh: it takes no part here
	joinAt    float64
	askAt     float64
	seedAskAt float64
}

func (m *membership) init() {
	m.standbys, m.founders = map[string]*standby{}, map[string]view.Member{}
}

func (s *Server) view() view.View { return s.membership.view }

// isMember says whether this server, with this disk, belongs to the view.
func (s *Server) isMember() bool { return s.view().Has(s.self) }

// restoreView takes what the disk says of the view.
func (s *Server) restoreView(now float64, values map[string][]byte) error {
	if len(values[nameView]) == 0 {
		return nil
	}
	v, err := view.Decode(values[nameView])
	if err == nil {
		err = v.Check()
	}
	if err != nil {
		return err
	}
	s.catchup.syncedEpoch = number(values[nameSynced])
	s.membership.settled = v.Epoch == 1 || number(values[nameSettled]) == v.Epoch
	s.membership.restoring = true
	s.takeView(now, v)
	s.membership.restoring = false
	return nil
}

// adopt goes by a newer view from here on. It is put before anything is said in its name.
func (s *Server) adopt(now float64, v view.View) {
	if s.view().Known() && v.Mesh != s.view().Mesh {
		s.foreignView(v)
		return
	}
	if v.Epoch <= s.view().Epoch {
		return
	}
	s.collect() // what was said so far was said in the epoch before
	wasMember := s.isMember()
	s.put(nameView, v.Encode())
	s.membership.settled = v.Epoch == 1
	if wasMember && !v.Has(s.self) {
		s.fence(now)
	}
	s.takeView(now, v)
	s.count.ViewChanges++
	s.o.Log("view", "epoch", v.Epoch, "members", v.Members, "next", v.Next, "member", s.isMember(), "voting", s.Voting())
}

// fence ends this server's membership: it keeps nothing, and may ask to join anew as a server with another disk.
func (s *Server) fence(now float64) {
	s.drawIncarnation()
	s.registers.Reset(now, s.self)
	s.catchup.init()
	s.put(nameSynced, nil)
	s.o.Log("replaced", "incarnation", s.self.Incarnation)
}

func (s *Server) takeView(now float64, v view.View) {
	m := &s.membership
	m.view, m.adoptedAt = v, now
	fastFrom := now
	if !m.settled {
		fastFrom += s.registers.FastPathDelay()
	}
	s.registers.SetView(now, v, fastFrom)
	s.contact.viewChanged(now, v)
	s.catchup.viewChanged()
	s.homed.viewChanged(now)
	s.vote(now)
	s.propagation.digestAt = 0
}

// vote lets this server take part in ballots if it holds all that it has to.
func (s *Server) vote(now float64) {
	if s.Voting() {
		return
	}
	joiner, _ := s.view().Joiner()
	member := slices.Contains(s.view().Members, s.self)
	if member || joiner == s.self && s.catchup.syncedEpoch == s.view().Epoch {
		synced := s.membership.restoring || s.view().Epoch == 1 || s.catchup.syncedEpoch+1 >= s.view().Epoch
		s.checks.Check(invariant.JoinerCaughtUp, synced, "epoch", s.view().Epoch, "synced", s.catchup.syncedEpoch)
		s.registers.StartVoting()
		s.o.Log("voting", "epoch", s.view().Epoch)
	}
}

func (s *Server) foreignView(v view.View) {
	if !s.membership.foreign {
		s.membership.foreign = true
		s.o.Log("another mesh", "mesh", v.Mesh, "mine", s.view().Mesh,
			"remedy", "start this server with an empty folder")
	}
}

func (s *Server) heardView(now float64, from string, v view.View) {
	if known := s.membership.standbys[from]; known != nil && v.Epoch >= s.view().Epoch {
		known.heardAt = now
	}
	s.contact.answeredAt[from] = now
	switch {
	case !v.Known():
	case v.Check() != nil:
		s.o.Log("view refused", "from", from, "why", v.Check())
	case v.Epoch < s.view().Epoch && v.Mesh == s.view().Mesh:
		s.tellView(from)
	default:
		s.adopt(now, v)
	}
}

// tellView answers with the view. It goes after the disk has it.
func (s *Server) tellView(to string) {
	if s.view().Known() {
		s.out.After = append(s.out.After, after(to, &meshpb.Message{View: s.view().Wire()}))
	}
}

func (s *Server) askView(now float64, from string) {
	if now >= s.membership.askAt {
		s.membership.askAt = now + viewAskEvery
		s.send(from, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
	}
}

// heardJoin takes word of a server that is no member.
func (s *Server) heardJoin(now float64, from view.Member, epoch uint64, j *meshpb.Join) {
	m := &s.membership
	if !s.view().Known() {
		if _, known := m.founders[from.Address]; !known {
			m.foundAt = now
		}
		m.founders[from.Address] = from
		return
	}
	s.tellView(from.Address)
	if !s.Voting() || epoch != s.view().Epoch || s.view().Has(from) && !s.joins(from) {
		return
	}
	waiting := m.standbys[from.Address]
	if waiting == nil || waiting.member != from {
		if waiting == nil && len(m.standbys) >= mostStandbys {
			return
		}
		waiting = &standby{member: from}
		m.standbys[from.Address] = waiting
	}
	waiting.heardAt, waiting.caughtUp = now, j.CaughtUp
	waiting.syncedEpoch = max(waiting.syncedEpoch, j.SyncedEpoch) // words may overtake each other
}

func (s *Server) joins(m view.Member) bool {
	joiner, found := s.view().Joiner()
	return found && joiner == m
}

func (s *Server) tickMembership(now float64) {
	m := &s.membership
	switch {
	case !s.view().Known() && s.o.First && slices.Min(s.o.Seeds) == s.o.Self:
		s.found(now)
	case (!s.Voting() || s.joins(s.self)) && !m.leaving && now >= m.joinAt: // a joiner until it is a member: its word may be lost
		m.joinAt = now + joinEvery
		s.askToJoin()
	}
	if s.view().Known() && !s.inContact(now) && now >= m.seedAskAt {
		m.seedAskAt = now + seedAskEvery
		s.askSeeds()
	}
	s.settle(now)
	s.coordinate(now)
}

// found makes the first view, as the first of the seeds by address: at the first start all servers have the same seeds, and they
// are up.
func (s *Server) found(now float64) {
	m := &s.membership
	if _, come := m.founders[s.o.Self]; !come { // others may have come before
		m.founders[s.o.Self], m.foundAt = s.self, now
	}
	for _, seed := range s.o.Seeds {
		if _, come := m.founders[seed]; !come {
			return
		}
	}
	if now < s.began+foundAfter || now < m.foundAt+foundQuiet {
		return
	}
	var members []view.Member
	for _, founder := range m.founders {
		members = append(members, founder)
	}
	s.configuration.confirmed = true
	s.adopt(now, view.Founding(s.random.Next()|1, members))
	s.tellAll(s.view())
}

// askToJoin goes to the members that are known, and to the seeds where none are. The disk has this server's identity by then.
func (s *Server) askToJoin() {
	j := &meshpb.Join{CaughtUp: s.catchup.caughtUp, SyncedEpoch: s.catchup.syncedEpoch}
	to := slices.Clone(s.view().Addresses())
	for _, seed := range s.o.Seeds {
		if !slices.Contains(to, seed) && (len(to) == 0 || !s.answered(s.view().Addresses())) {
			to = append(to, seed)
		}
	}
	for _, address := range to {
		if address != s.o.Self {
			s.out.After = append(s.out.After, after(address, &meshpb.Message{Join: j}))
		}
	}
}

// answered says whether any of these servers has said something.
func (s *Server) answered(addresses []string) bool {
	return slices.ContainsFunc(addresses, func(a string) bool { return s.contact.answeredAt[a] > 0 })
}

// askSeeds asks for a newer view: all that this server knows may have been replaced while it was away.
func (s *Server) askSeeds() {
	for _, seed := range s.o.Seeds {
		if seed != s.o.Self {
			s.send(seed, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
		}
	}
}

// tellAll announces a view to all whom it concerns.
func (s *Server) tellAll(v view.View) {
	for _, address := range v.Addresses() {
		if address != s.o.Self {
			s.tellView(address)
		}
	}
}

// settle notes, also for the next start, that the epoch has lasted longer than keys are kept.
func (s *Server) settle(now float64) {
	m := &s.membership
	if m.settled || !s.Voting() || s.view().Joint() || now < m.adoptedAt+s.registers.FastPathDelay() {
		return
	}
	m.settled = true
	s.put(nameSettled, word(s.view().Epoch))
}

// Leave begins the planned end of this server: its place is given to a server that waits for one, if there is any.
func (s *Server) Leave(now float64) {
	s.membership.leaving = true
	s.propagation.digestAt = 0
	s.tickPropagation(now)
}

// Left says whether the planned end may come: nobody waits for the place, or it has been given away.
func (s *Server) Left(now float64) bool {
	if !s.Voting() {
		return true
	}
	for _, waiting := range s.membership.standbys {
		if now <= waiting.heardAt+standbyFor && !s.view().Has(waiting.member) || s.joins(waiting.member) {
			return false
		}
	}
	return true
}
