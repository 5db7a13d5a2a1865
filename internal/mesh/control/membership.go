package control

import (
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Each view is stored in a register: a quorum of the present view chooses the view of the next epoch, so each view has exactly
// one successor. A server adopts a view once the view is on its disk, and takes part only in ballots of that epoch. A message
// from an older epoch is answered with the present view and has no other effect.
//
// A change of the view replaces or adds one member. A server that asks to join is a standby: while it waits, it reads all
// registers from the members. It joins when a member has lost its disk, is silent or is leaving, or when there are fewer members
// than the tolerance requires. A silent member is not removed unless a standby can replace it. The change first makes a joint
// view of the old and the new members, in which the joiner reads the remaining values, and then the stable view of the new
// members. If the joiner is lost meanwhile, the old members continue.

// Times are in seconds.
const (
	// bootstrapMinWait is how long the bootstrapping server waits for other seeds, and bootstrapQuietPeriod how long no further
	// seed may have joined before it creates the first view. Larger: the first start takes longer. Smaller: a seed that starts
	// slowly is left out and has to join by a change of view.
	bootstrapMinWait     = 1.2
	bootstrapQuietPeriod = 0.6

	// joinInterval is the time between the join requests of a server that is not a member. Larger: a joiner is admitted later,
	// and fewer requests lost in a row exceed standbyTimeout or joinerTimeout. Smaller: more messages to every member.
	joinInterval = 0.15

	// viewRequestInterval is the least time between requests for a newer view. Larger: a member that missed a view votes later.
	// Smaller: the same view is requested several times, and each answer carries the whole view.
	viewRequestInterval = 0.05

	// seedRequestInterval is the time between requests to the seeds while no quorum is reachable. Larger: a member that was
	// replaced while it was down finds the others later. Smaller: more messages to machines that may be gone.
	seedRequestInterval = 0.5

	// standbyTimeout is how long a standby stays a candidate after its last join request. Larger: a change may be proposed with a
	// joiner that is gone, and takes joinerTimeout to abandon. Smaller: a few lost messages remove a standby from the candidates.
	standbyTimeout = 1.0

	// maxStandbys bounds the number of standbys that a server keeps track of.
	maxStandbys = 64
)

// standby is a server that asks to join.
type standby struct {
	member      view.Member
	heardAt     float64
	caughtUp    bool
	syncedEpoch uint64 // joint epoch for which it has read everything
}

type membership struct {
	view                view.View
	adoptedAt           float64
	syncedEpoch         uint64              // epoch of the view that is synced to this server's disk
	standbys            map[string]*standby // by address
	bootstrapMembers    map[string]view.Member
	lastBootstrapJoinAt float64 // when the last server joined the bootstrap
	changeInProgress    bool    // a change of the view is being proposed
	changeWantedSince   float64 // when this server first wanted the present change; 0: it wants none
	leaving             bool    // this server is shutting down and gives up its membership
	epochSettled        bool    // the epoch has lasted longer than keys are retained
	restoring           bool    // the view is being restored from this disk
	foreign             bool    // the disk belongs to another mesh: this server takes no part in this one
	nextJoinAt          float64
	nextViewRequestAt   float64
	nextSeedRequestAt   float64
}

func (m *membership) init() {
	m.standbys, m.bootstrapMembers = map[string]*standby{}, map[string]view.Member{}
}

func (s *Server) view() view.View { return s.membership.view }

// isMember reports whether this server, with its present disk, is a member of the view.
func (s *Server) isMember() bool { return s.view().Has(s.self) }

// restoreView adopts the view stored on disk.
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

// adoptView makes a newer view the present one. The view is written to disk before any message is sent under its epoch.
func (s *Server) adoptView(now float64, v view.View) {
	if s.view().Known() && v.Mesh != s.view().Mesh {
		s.rejectForeignView(v)
		return
	}
	if v.Epoch <= s.view().Epoch {
		return
	}
	s.collectEffects() // messages produced so far belong to the previous epoch
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

// resetMembership discards the registers of a member that was removed from the view, and what it has read to catch up. The server
// takes a new incarnation, so it can ask to join as a new member.
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
	s.whenSynced(func(float64) { s.membership.syncedEpoch = v.Epoch })
	s.startVotingIfReady(now)
	s.propagation.nextDigestAt = 0
}

// sendWithView sends a message that relies on this server's view: at once if the view is on disk, and otherwise once it is.
func (s *Server) sendWithView(to string, m *meshpb.Message) {
	if s.membership.syncedEpoch == s.view().Epoch {
		s.send(to, m)
		return
	}
	s.effects.After = append(s.effects.After, after(to, m))
}

// startVotingIfReady lets this server take part in ballots once it holds every value that it needs.
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
			"remedy", "start this server with an empty data directory")
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

// sendView sends the present view once the view is on disk.
func (s *Server) sendView(to string) {
	if s.view().Known() {
		s.sendWithView(to, &meshpb.Message{View: s.view().Wire()})
	}
}

func (s *Server) requestView(now float64, from string) {
	if now >= s.membership.nextViewRequestAt {
		s.membership.nextViewRequestAt = now + viewRequestInterval
		s.send(from, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
	}
}

// handleJoin processes a join request.
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
	candidate := m.standbys[from.Address]
	if candidate == nil || candidate.member != from {
		if candidate == nil && len(m.standbys) >= maxStandbys {
			return
		}
		candidate = &standby{member: from}
		m.standbys[from.Address] = candidate
	}
	candidate.heardAt, candidate.caughtUp = now, j.CaughtUp
	candidate.syncedEpoch = max(candidate.syncedEpoch, j.SyncedEpoch) // requests may arrive out of order
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
	case (!s.Voting() || s.isJoiner(s.self)) && !m.leaving && now >= m.nextJoinAt:
		// A joiner repeats its request until it is a member, because a request may be lost.
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

// bootstrap creates the first view. The seed with the lowest address does so: at the first start all servers have the same seeds,
// and all seeds are up.
func (s *Server) bootstrap(now float64) {
	m := &s.membership
	if _, joined := m.bootstrapMembers[s.options.Self]; !joined { // others may have joined before
		m.bootstrapMembers[s.options.Self], m.lastBootstrapJoinAt = s.self, now
	}
	for _, seed := range s.options.Seeds {
		if _, joined := m.bootstrapMembers[seed]; !joined {
			return
		}
	}
	if now < s.startedAt+bootstrapMinWait || now < m.lastBootstrapJoinAt+bootstrapQuietPeriod {
		return
	}
	var members []view.Member
	for _, member := range m.bootstrapMembers {
		members = append(members, member)
	}
	s.configuration.confirmed = true
	s.adoptView(now, view.Initial(s.random.Next()|1, members))
	s.broadcastView(s.view())
}

// sendJoin sends a join request to the known members, and to the seeds as long as no member has answered. The requests go out
// once the disk holds this server's identity.
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

// anyAnswered reports whether any of these servers has sent its view.
func (s *Server) anyAnswered(addresses []string) bool {
	return slices.ContainsFunc(addresses, func(a string) bool { return s.contact.answeredAt[a] > 0 })
}

// requestViewFromSeeds asks the seeds for a newer view: all members that this server knows may have been replaced while it was
// down.
func (s *Server) requestViewFromSeeds() {
	for _, seed := range s.options.Seeds {
		if seed != s.options.Self {
			s.send(seed, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
		}
	}
}

// broadcastView sends the present view to all members of v except this server.
func (s *Server) broadcastView(v view.View) {
	for _, address := range v.Addresses() {
		if address != s.options.Self {
			s.sendView(address)
		}
	}
}

// markEpochSettled records, also for the next start, that the epoch has lasted longer than keys are retained.
func (s *Server) markEpochSettled(now float64) {
	m := &s.membership
	if m.epochSettled || !s.Voting() || s.view().Joint() || now < m.adoptedAt+s.registers.FastPathDelay() {
		return
	}
	m.epochSettled = true
	s.put(nameSettled, encodeUint64(s.view().Epoch))
}

// Leave starts the planned shutdown of this server: a standby takes over its membership, if there is one.
func (s *Server) Leave(now float64) {
	s.membership.leaving = true
	s.propagation.nextDigestAt = 0
	s.tickPropagation(now)
}

// MayStop reports whether a planned shutdown may complete: no standby can take over this server's membership, or one has done so.
func (s *Server) MayStop(now float64) bool {
	if !s.Voting() {
		return true
	}
	for _, candidate := range s.membership.standbys {
		if now <= candidate.heardAt+standbyTimeout && !s.view().Has(candidate.member) || s.isJoiner(candidate.member) {
			return false
		}
	}
	return true
}
