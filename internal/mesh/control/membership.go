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
	bootstrapMinWait     = 1.2
	bootstrapQuietPeriod = 0.6

	// joinEvery is the pause between questions of a server that is no member. Larger: a joiner is taken in later, and counts as silent
	// sooner (standbyFor, joinerGone). Smaller: more messages to every member.
	joinInterval = 0.15

	// viewAskEvery is the pause between questions for a newer view. Larger: a member that missed a view votes later. Smaller: several
	// answers, each with the view, while one is on its way.
	viewRequestInterval = 0.05

	// seedAskEvery is the pause between questions to the seeds while no quorum is in reach. Larger: a member that was replaced while it
	// was away finds the others later. Smaller: messages to machines that may be gone.
	seedRequestInterval = 0.5

	// standbyFor is how long a server that asks to join counts without a word. Larger: a change may be proposed with a joiner that is gone,
	// and takes joinerGone to abandon. Smaller: lost messages take a joiner out of the choice.
	standbyTimeout = 1.0

	// mostStandbys bounds what is kept of servers that ask to join.
	maxStandbys = 64
)

// standby is a server that asks to join.
type standby struct {
	member      view.Member
	heardAt     float64
	caughtUp    bool
	syncedEpoch uint64
}

type membership struct {
	view                view.View
	adoptedAt           float64
	standbys            map[string]*standby // by address
	bootstrapMembers    map[string]view.Member
	lastBootstrapJoinAt float64 // when the last founder came
	changeInProgress    bool    // a change of the view is being proposed
	changeWantedSince   float64 // since when this server wants to begin a change; 0: it does not
	leaving             bool    // this server is about to end
	epochSettled        bool    // the epoch is older than keys are kept
	restoring           bool    // the view is the one that this disk has
	foreign             bool    // a disk of another mesh: it takes no part here
	nextJoinAt          float64
	nextViewRequestAt   float64
	nextSeedRequestAt   float64
}

func (m *membership) init() {
	m.standbys, m.bootstrapMembers = map[string]*standby{}, map[string]view.Member{}
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
		err = v.Validate()
	}
	if err != nil {
		return err
	}
	s.catchup.syncedEpoch = decodeUint64(values[nameSynced])
	s.membership.epochSettled = v.Epoch == 1 || decodeUint64(values[nameSettled]) == v.Epoch
	s.membership.restoring = true
	s.installView(now, v)
	s.membership.restoring = false
	return nil
}

// adopt goes by a newer view from here on. It is put before anything is said in its name.
func (s *Server) adoptView(now float64, v view.View) {
	if s.view().Known() && v.Mesh != s.view().Mesh {
		s.rejectForeignView(v)
		return
	}
	if v.Epoch <= s.view().Epoch {
		return
	}
	s.collectEffects() // what was said so far was said in the epoch before
	wasMember := s.isMember()
	s.put(nameView, v.Encode())
	s.membership.epochSettled = v.Epoch == 1
	if wasMember && !v.Has(s.self) {
		s.resetMembership(now)
	}
	s.installView(now, v)
	s.counts.ViewChanges++
	s.options.Log("view", "epoch", v.Epoch, "members", v.Members, "next", v.Next, "member", s.isMember(), "voting", s.Voting())
}

// fence ends this server's membership: it keeps nothing, and may ask to join anew as a server with another disk.
func (s *Server) resetMembership(now float64) {
	s.drawIncarnation()
	s.registers.Reset(now, s.self)
	s.catchup.init()
	s.put(nameSynced, nil)
	s.options.Log("replaced", "incarnation", s.self.Incarnation)
}

func (s *Server) installView(now float64, v view.View) {
	m := &s.membership
	m.view, m.adoptedAt = v, now
	fastFrom := now
	if !m.epochSettled {
		fastFrom += s.registers.FastPathDelay()
	}
	s.registers.SetView(now, v, fastFrom)
	s.contact.viewChanged(now, v)
	s.catchup.viewChanged()
	s.homed.viewChanged(now)
	s.startVotingIfReady(now)
	s.propagation.nextDigestAt = 0
}

// vote lets this server take part in ballots if it holds all that it has to.
func (s *Server) startVotingIfReady(now float64) {
	if s.Voting() {
		return
	}
	joiner, _ := s.view().Joiner()
	member := slices.Contains(s.view().Members, s.self)
	if member || joiner == s.self && s.catchup.syncedEpoch == s.view().Epoch {
		synced := s.membership.restoring || s.view().Epoch == 1 || s.catchup.syncedEpoch+1 >= s.view().Epoch
		s.checks.Check(invariant.JoinerCaughtUp, synced, "epoch", s.view().Epoch, "synced", s.catchup.syncedEpoch)
		s.registers.StartVoting()
		s.options.Log("voting", "epoch", s.view().Epoch)
	}
}

func (s *Server) rejectForeignView(v view.View) {
	if !s.membership.foreign {
		s.membership.foreign = true
		s.options.Log("another mesh", "mesh", v.Mesh, "mine", s.view().Mesh,
			"remedy", "start this server with an empty folder")
	}
}

func (s *Server) handleView(now float64, from string, v view.View) {
	if known := s.membership.standbys[from]; known != nil && v.Epoch >= s.view().Epoch {
		known.heardAt = now
	}
	s.contact.answeredAt[from] = now
	switch {
	case !v.Known():
	case v.Validate() != nil:
		s.options.Log("view refused", "from", from, "why", v.Validate())
	case v.Epoch < s.view().Epoch && v.Mesh == s.view().Mesh:
		s.sendView(from)
	default:
		s.adoptView(now, v)
	}
}

// tellView answers with the view. It goes after the disk has it.
func (s *Server) sendView(to string) {
	if s.view().Known() {
		s.effects.After = append(s.effects.After, after(to, &meshpb.Message{View: s.view().Wire()}))
	}
}

func (s *Server) requestView(now float64, from string) {
	if now >= s.membership.nextViewRequestAt {
		s.membership.nextViewRequestAt = now + viewRequestInterval
		s.send(from, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
	}
}

// heardJoin takes word of a server that is no member.
func (s *Server) handleJoin(now float64, from view.Member, epoch uint64, j *meshpb.Join) {
	m := &s.membership
	if !s.view().Known() {
		if _, known := m.bootstrapMembers[from.Address]; !known {
			m.lastBootstrapJoinAt = now
		}
		m.bootstrapMembers[from.Address] = from
		return
	}
	s.sendView(from.Address)
	if !s.Voting() || epoch != s.view().Epoch || s.view().Has(from) && !s.isJoiner(from) {
		return
	}
	waiting := m.standbys[from.Address]
	if waiting == nil || waiting.member != from {
		if waiting == nil && len(m.standbys) >= maxStandbys {
			return
		}
		waiting = &standby{member: from}
		m.standbys[from.Address] = waiting
	}
	waiting.heardAt, waiting.caughtUp = now, j.CaughtUp
	waiting.syncedEpoch = max(waiting.syncedEpoch, j.SyncedEpoch) // words may overtake each other
}

func (s *Server) isJoiner(m view.Member) bool {
	joiner, found := s.view().Joiner()
	return found && joiner == m
}

func (s *Server) tickMembership(now float64) {
	m := &s.membership
	switch {
	case !s.view().Known() && s.options.Bootstrap && slices.Min(s.options.Seeds) == s.options.Self:
		s.bootstrap(now)
	case (!s.Voting() || s.isJoiner(s.self)) && !m.leaving && now >= m.nextJoinAt: // a joiner until it is a member: its word may be lost
		m.nextJoinAt = now + joinInterval
		s.sendJoin()
	}
	if s.view().Known() && !s.inContact(now) && now >= m.nextSeedRequestAt {
		m.nextSeedRequestAt = now + seedRequestInterval
		s.requestViewFromSeeds()
	}
	s.markEpochSettled(now)
	s.tickCoordinator(now)
}

// found makes the first view, as the first of the seeds by address: at the first start all servers have the same seeds, and they
// are up.
func (s *Server) bootstrap(now float64) {
	m := &s.membership
	if _, come := m.bootstrapMembers[s.options.Self]; !come { // others may have come before
		m.bootstrapMembers[s.options.Self], m.lastBootstrapJoinAt = s.self, now
	}
	for _, seed := range s.options.Seeds {
		if _, come := m.bootstrapMembers[seed]; !come {
			return
		}
	}
	if now < s.startedAt+bootstrapMinWait || now < m.lastBootstrapJoinAt+bootstrapQuietPeriod {
		return
	}
	var members []view.Member
	for _, founder := range m.bootstrapMembers {
		members = append(members, founder)
	}
	s.configuration.confirmed = true
	s.adoptView(now, view.Initial(s.random.Next()|1, members))
	s.broadcastView(s.view())
}

// askToJoin goes to the members that are known, and to the seeds where none are. The disk has this server's identity by then.
func (s *Server) sendJoin() {
	j := &meshpb.Join{CaughtUp: s.catchup.caughtUp, SyncedEpoch: s.catchup.syncedEpoch}
	to := slices.Clone(s.view().Addresses())
	for _, seed := range s.options.Seeds {
		if !slices.Contains(to, seed) && (len(to) == 0 || !s.anyAnswered(s.view().Addresses())) {
			to = append(to, seed)
		}
	}
	for _, address := range to {
		if address != s.options.Self {
			s.effects.After = append(s.effects.After, after(address, &meshpb.Message{Join: j}))
		}
	}
}

// answered says whether any of these servers has said something.
func (s *Server) anyAnswered(addresses []string) bool {
	return slices.ContainsFunc(addresses, func(a string) bool { return s.contact.answeredAt[a] > 0 })
}

// askSeeds asks for a newer view: all that this server knows may have been replaced while it was away.
func (s *Server) requestViewFromSeeds() {
	for _, seed := range s.options.Seeds {
		if seed != s.options.Self {
			s.send(seed, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
		}
	}
}

// tellAll announces a view to all whom it concerns.
func (s *Server) broadcastView(v view.View) {
	for _, address := range v.Addresses() {
		if address != s.options.Self {
			s.sendView(address)
		}
	}
}

// settle notes, also for the next start, that the epoch has lasted longer than keys are kept.
func (s *Server) markEpochSettled(now float64) {
	m := &s.membership
	if m.epochSettled || !s.Voting() || s.view().Joint() || now < m.adoptedAt+s.registers.FastPathDelay() {
		return
	}
	m.epochSettled = true
	s.put(nameSettled, encodeUint64(s.view().Epoch))
}

// Leave begins the planned end of this server: its place is given to a server that waits for one, if there is any.
func (s *Server) Leave(now float64) {
	s.membership.leaving = true
	s.propagation.nextDigestAt = 0
	s.tickPropagation(now)
}

// MayStop says whether the planned end may come: nobody waits for the place, or it has been given away.
func (s *Server) MayStop(now float64) bool {
	if !s.Voting() {
		return true
	}
	for _, waiting := range s.membership.standbys {
		if now <= waiting.heardAt+standbyTimeout && !s.view().Has(waiting.member) || s.isJoiner(waiting.member) {
			return false
		}
	}
	return true
}
