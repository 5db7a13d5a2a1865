package register

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// change is a change of a register in progress: one proposer's state across its ballots.
type change struct {
	id               uint64
	key              string
	startedAt        float64
	phaseStartedAt   float64
	preparing        bool // the ballot is in its prepare phase
	ballot           Ballot
	votes            map[view.Member]bool // by member: true if it promised or accepted, false if it rejected
	newestAccepted   Ballot               // the newest accepted ballot in the promises received
	newestAcceptedBy map[view.Member]bool // the members that reported that ballot
	newestValue      *meshpb.Receipt      // the value at newestAccepted
	localAccepted    Ballot               // ballot accepted on this disk when the prepare phase started
	localValue       *meshpb.Receipt      // the value at localAccepted; members that hold the same one do not send it
	proposed         *meshpb.Receipt      // value of the accept phase
	edit             editFunc
	answer           func(state State, held *meshpb.Receipt)
	state            State           // to answer with once proposed is chosen
	supersededBy     Ballot          // the newest ballot because of which a member rejected this one
	prepares         int             // number of prepare phases started
	message          *meshpb.Message // message of the present phase
	recipients       []string        // addresses to which the message was sent
	reserve          []string        // addresses to which it is sent if the recipients are slow
	resends          int             // how often the message was resent

	settlement   *settlement // nil: the change does not record the end of a run
	linearizable bool        // the answer must have been chosen by a quorum, even if nothing changes
}

// editFunc returns the new value of a register for its old one, and the state to answer with. A nil value leaves the register
// unchanged.
type editFunc func(old *meshpb.Receipt) (value *meshpb.Receipt, state State)

// startChange starts a change, or queues it behind the change of the same key that is in progress.
func (rs *Registers) startChange(now float64, c *change) {
	if rs.changes[c.key] != nil {
		rs.waiting[c.key] = append(rs.waiting[c.key], c)
		c.startedAt = now
		return
	}
	rs.lastID++
	c.id, c.startedAt = rs.lastID, now
	rs.changes[c.key], rs.changesByID[c.id] = c, c
	e := rs.entries[c.key]
	switch {
	case e == nil && rs.mayUseFastPath(now, c.key):
		c.ballot = Ballot{rs.view.Epoch, 1, rs.node, rs.life}
		rs.propose(now, c, nil)
	case e != nil && e.chosen && e.accepted.Epoch == rs.view.Epoch && e.promised == e.accepted.next():
		c.ballot = e.promised
		rs.propose(now, c, e.value)
	default:
		rs.prepare(now, c)
	}
}

// mayUseFastPath reports whether the first ballot of a key in this epoch may skip the prepare phase: nothing was chosen for the
// key in an earlier epoch, or whatever was chosen has expired. A permanent register may hold a value from any earlier epoch,
// however old, so only the founding view has a first ballot for it that needs no prepare phase.
func (rs *Registers) mayUseFastPath(now float64, key string) bool {
	switch {
	case !rs.isHome(key):
		return false
	case isPermanent(key):
		return rs.view.Epoch == 1
	}
	return now >= rs.fastPathFrom || rs.homedKeys.complete && !rs.homedKeys.has(key)
}

// prepare starts the prepare phase of a new ballot.
func (rs *Registers) prepare(now float64, c *change) {
	superseded := c.supersededBy.compare(c.ballot) >= 0 || c.ballot.Epoch != rs.view.Epoch
	rs.Checks.Check(invariant.BallotSuperseded, c.prepares == 0 || superseded, "key", c.key, "ballot", c.ballot)
	round := max(rs.promisedBallot(c.key).Round, 1)
	for _, b := range []Ballot{c.ballot, c.supersededBy} {
		if b.Epoch == rs.view.Epoch {
			round = max(round, b.Round)
		}
	}
	c.ballot, c.preparing, c.phaseStartedAt = Ballot{rs.view.Epoch, round + 1, rs.node, rs.life}, true, now
	c.votes, c.newestAccepted, c.newestValue, c.newestAcceptedBy = map[view.Member]bool{}, Ballot{}, nil, map[view.Member]bool{}
	c.prepares++
	c.localAccepted, c.localValue = Ballot{}, nil
	request := &meshpb.Prepare{Key: c.key, Ballot: c.ballot.Wire()}
	// Only for permanent registers: after any other key has expired, its ballots may be used again for another value, so they do
	// not identify a value.
	if e := rs.entries[c.key]; e != nil && isPermanent(c.key) && e.accepted != (Ballot{}) {
		c.localAccepted, c.localValue = e.accepted, e.value
		request.Held = c.localAccepted.Wire()
	}
	m := &meshpb.Message{Id: c.id, Prepare: request}
	rs.effects.Sends = append(rs.effects.Sends, transport.Send{To: rs.self.Address, Message: m})
	rs.sendPhase(now, c, m)
}

// propose starts the accept phase for the changed value. If nothing changes, a linearizable change still has to confirm the
// value held: the value is accepted again unless it is known to be chosen.
func (rs *Registers) propose(now float64, c *change, old *meshpb.Receipt) {
	value, state := c.edit(old)
	if value == nil {
		if e := rs.entries[c.key]; e != nil && e.mayHaveEnded(now, state) && !c.preparing { // others may know how the run ended
			rs.prepare(now, c)
			return
		}
		state = rs.localBusyOrLost(now, c.key, state)
		if old == nil && c.preparing || !c.linearizable || c.preparing && rs.knownChosen(c) {
			rs.finish(now, c, state, old)
			return
		}
		if value = old; old == nil {
			rs.prepare(now, c)
			return
		}
	}
	c.proposed, c.state, c.preparing, c.phaseStartedAt = value, state, false, now
	c.votes = map[view.Member]bool{}
	m := &meshpb.Message{Id: c.id, Accept: &meshpb.Accept{Key: c.key, Ballot: c.ballot.Wire(), Value: value}}
	if !rs.accept(now, m.Accept) { // the local acceptor first
		c.supersededBy = rs.promisedBallot(c.key)
		rs.prepare(now, c)
		return
	}
	rs.sendPhase(now, c, m)
	rs.effects.After = append(rs.effects.After, transport.Send{To: rs.self.Address, Message: &meshpb.Message{Id: c.id,
		Accepted: &meshpb.Accepted{Yes: true, Promised: c.ballot.Wire()}}})
}

// knownChosen reports whether a quorum reported the same ballot of this epoch, in which case its value was chosen. This does
// not follow for a ballot of an earlier epoch: a joiner holds only a copy of that value, and a quorum of the earlier epoch may
// have accepted another one.
func (rs *Registers) knownChosen(c *change) bool {
	return c.newestAccepted.Epoch == rs.view.Epoch && rs.hasQuorum(c.key, func(m view.Member) bool { return c.newestAcceptedBy[m] })
}

// sendPhase sends the message of a phase to as many other members as form a quorum with this server, and keeps the rest in
// reserve: answers contain bodies, and every copy costs bandwidth between zones and work on another disk. Members that did not
// answer recently come last. Messages for permanent registers go to all members, as all of them need the value, and in a joint
// view all messages go to all members.
func (rs *Registers) sendPhase(now float64, c *change, m *meshpb.Message) {
	order := slices.DeleteFunc(HomeOrder(c.key, rs.view.Addresses()), func(a string) bool { return a == rs.self.Address })
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(rs.reservedUntil(now, a), rs.reservedUntil(now, b)) })
	first := rs.view.Majority() - 1
	if rs.view.Joint() || isPermanent(c.key) {
		first = len(order)
	}
	c.message, c.recipients, c.reserve, c.resends = m, order[:first], order[first:], 0
	rs.sendPhaseTo(c, c.recipients)
}

// sendPhaseTo sends the message of the present phase. A value is sent once it is on this server's disk.
func (rs *Registers) sendPhaseTo(c *change, addresses []string) {
	for _, address := range addresses {
		send := transport.Send{To: address, Message: c.message}
		if c.preparing {
			rs.effects.Sends = append(rs.effects.Sends, send)
		} else {
			rs.effects.After = append(rs.effects.After, send)
		}
	}
}

// reservedUntil returns the time until which the member at an address is kept in reserve.
func (rs *Registers) reservedUntil(now float64, address string) float64 {
	until := now
	for m, at := range rs.slowUntil {
		if m.Address == address {
			until = max(until, at)
		}
	}
	return until
}

// widen sends the message to the members in reserve. For slowPeriod, recipients that have not answered come last in later phases.
func (rs *Registers) widen(now float64, c *change) {
	for _, m := range rs.view.All() {
		if _, answered := c.votes[m]; !answered && slices.Contains(c.recipients, m.Address) {
			rs.slowUntil[m] = now + slowPeriod
		}
	}
	rs.sendPhaseTo(c, c.reserve)
	c.recipients, c.reserve = slices.Concat(c.recipients, c.reserve), nil
}

// advance takes the steps of a change that are due: members that have not answered are sent the message again, and a ballot
// that was rejected is followed by a newer one. Slow answers still count: a ballot that is only slow is never replaced, as a
// new one would repeat the same work on servers that are already overloaded. The delays grow with each resend and each ballot.
func (rs *Registers) advance(now float64, c *change) {
	switch {
	case now > c.startedAt+ChangeTimeout:
		rs.finish(now, c, Unsure, nil)
	case len(c.reserve) > 0 && now > c.phaseStartedAt+widenDelay:
		rs.widen(now, c)
	case c.supersededBy.compare(c.ballot) >= 0 && now > c.phaseStartedAt+conflictBackoff*float64(uint(1)<<c.prepares):
		rs.prepare(now, c)
	case now > c.phaseStartedAt+resendDelay*float64(uint(1)<<c.resends):
		rs.resend(now, c)
	}
}

// resend sends the message again to members that have not answered: the message may have been lost with a connection or a
// process.
func (rs *Registers) resend(now float64, c *change) {
	c.resends++
	unanswered := slices.DeleteFunc(slices.Clone(c.recipients), func(address string) bool {
		for _, m := range rs.view.All() {
			if _, answered := c.votes[m]; answered && m.Address == address {
				return true
			}
		}
		return false
	})
	rs.sendPhaseTo(c, unanswered)
}

// finish answers a change and starts the next one that waits for the same key.
func (rs *Registers) finish(now float64, c *change, state State, held *meshpb.Receipt) {
	delete(rs.changes, c.key)
	delete(rs.changesByID, c.id)
	c.answer(state, held)
	if next := rs.waiting[c.key]; len(next) > 0 && rs.changes[c.key] == nil {
		if rs.waiting[c.key] = next[1:]; len(next) == 1 {
			delete(rs.waiting, c.key)
		}
		startedAt := next[0].startedAt
		rs.startChange(now, next[0])
		next[0].startedAt = startedAt
	}
}

// Abort ends all changes, in progress and waiting, as Unsure. It is called when this server can complete no change: no quorum is
// reachable, its disk accepts no writes, or it does not vote.
func (rs *Registers) Abort(now float64) {
	waiting := rs.waiting
	rs.waiting = map[string][]*change{}
	for _, c := range rs.orderedChanges() {
		rs.finish(now, c, Unsure, nil)
	}
	for _, key := range sortedKeys(waiting) {
		for _, c := range waiting[key] {
			c.answer(Unsure, nil)
		}
	}
}

func (rs *Registers) handlePromise(now float64, from view.Member, c *change, p *meshpb.Promise) {
	if c == nil || !c.preparing || !rs.view.Has(from) {
		return
	}
	if !p.Yes {
		rs.handlePrepareRejected(now, from, c, FromWire(p.Promised))
		return
	}
	if FromWire(p.Promised) != c.ballot || c.votes[from] {
		return
	}
	c.votes[from] = true
	switch b := FromWire(p.Accepted); b.compare(c.newestAccepted) {
	case 1:
		c.newestAccepted, c.newestValue, c.newestAcceptedBy = b, p.Value, map[view.Member]bool{from: true}
		if b == c.localAccepted { // the member does not send back a value that this server holds
			c.newestValue = c.localValue
		}
	case 0:
		c.newestAcceptedBy[from] = true
	}
	if rs.hasQuorum(c.key, func(m view.Member) bool { return c.votes[m] }) {
		rs.propose(now, c, c.newestValue)
	}
}

// handlePrepareRejected handles the answer that a member has promised a newer ballot than the one being prepared.
func (rs *Registers) handlePrepareRejected(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // the answer is for an older ballot of this change
		return
	}
	if newer.compare(c.supersededBy) > 0 {
		c.supersededBy = newer
	}
	if !c.votes[from] {
		c.votes[from] = false
	}
	if len(c.reserve) > 0 {
		rs.widen(now, c)
	}
}

func (rs *Registers) handleAccepted(now float64, from view.Member, c *change, a *meshpb.Accepted) {
	if c == nil || c.preparing || !rs.view.Has(from) {
		return
	}
	if !a.Yes {
		rs.handleAcceptRejected(now, from, c, FromWire(a.Promised))
		return
	}
	if FromWire(a.Promised) != c.ballot {
		return
	}
	c.votes[from] = true
	if !rs.hasQuorum(c.key, func(m view.Member) bool { return c.votes[m] }) {
		return
	}
	if e := rs.entries[c.key]; e != nil && e.accepted == c.ballot {
		e.chosen = true
	}
	if took := now - c.phaseStartedAt; rs.minRoundTrip == 0 || took < rs.minRoundTrip {
		rs.minRoundTrip = took
	}
	rs.finish(now, c, c.state, c.proposed)
}

// handleAcceptRejected handles the answer that a member has promised a newer ballot than the one being accepted.
func (rs *Registers) handleAcceptRejected(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // the answer is for an older ballot of this change
		return
	}
	if newer.compare(c.supersededBy) > 0 {
		c.supersededBy = newer
	}
	if len(c.reserve) > 0 {
		rs.widen(now, c)
	}
	if !c.votes[from] {
		c.votes[from] = false
	}
	if rs.quorumImpossible(c) && c.prepares < 2 { // a newer ballot won: retry at once the first time only
		rs.prepare(now, c)
	}
}

// quorumImpossible reports whether so many members have rejected the ballot that no quorum can accept it.
func (rs *Registers) quorumImpossible(c *change) bool {
	return !rs.hasQuorum(c.key, func(m view.Member) bool {
		yes, answered := c.votes[m]
		return yes || !answered
	})
}
