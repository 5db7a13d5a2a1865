package register

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// change is one under way.
type change struct {
	id               uint64
	key              string
	startedAt        float64
	phaseStartedAt   float64
	preparing        bool // the ballot is being prepared
	ballot           Ballot
	votes            map[view.Member]bool // true: yes, false: no
	newestAccepted   Ballot               // the newest accepted ballot that was told
	newestAcceptedBy map[view.Member]bool // who told that one
	newestValue      *meshpb.Receipt
	localAccepted    Ballot          // accepted on this disk when the ballot was asked for
	localValue       *meshpb.Receipt // and its value: members that hold the same do not send it
	proposed         *meshpb.Receipt
	edit             editFunc
	answer           func(state State, held *meshpb.Receipt)
	state            State
	supersededBy     Ballot          // the newest ballot for whose sake a member refused this one
	prepares         int             // ballots that were prepared
	message          *meshpb.Message // of the present phase
	recipients       []string        // addresses that it went to
	reserve          []string        // and those that it goes to if these are slow
	resends          int             // of the message

	settlement   *settlement // nil: it records no end of a run
	linearizable bool        // what is answered has to be made sure of, even where nothing changes
}

// edit says what a register is to hold, by what it holds: the new value and the state to answer with. A nil value leaves it.
type editFunc func(old *meshpb.Receipt) (value *meshpb.Receipt, state State)

// begin starts a change, behind those of the same key that are under way.
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

// mayBeginFirst says whether the first ballot of a key in this epoch may go without being prepared: nothing was chosen for it in an
// earlier epoch, or that is forgotten. Of what is permanent something may have been chosen in any earlier epoch, however long ago:
// there only the founding view has a first ballot that needs none.
func (rs *Registers) mayUseFastPath(now float64, key string) bool {
	switch {
	case !rs.isHome(key):
		return false
	case isPermanent(key):
		return rs.view.Epoch == 1
	}
	return now >= rs.fastPathFrom || rs.homedKeys.complete && !rs.homedKeys.has(key)
}

// ask prepares a ballot.
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
	if e := rs.entries[c.key]; e != nil && isPermanent(c.key) && e.accepted != (Ballot{}) { // other keys' ballots are used again once they are forgotten
		c.localAccepted, c.localValue = e.accepted, e.value
		request.Held = c.localAccepted.Wire()
	}
	m := &meshpb.Message{Id: c.id, Prepare: request}
	rs.effects.Sends = append(rs.effects.Sends, transport.Send{To: rs.self.Address, Message: m})
	rs.sendPhase(now, c, m)
}

// propose has a changed value accepted. Where nothing changes, what is held is made sure of: it is accepted anew unless it is known
// to be chosen.
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
	if !rs.accept(now, m.Accept) { // this disk first
		c.supersededBy = rs.promisedBallot(c.key)
		rs.prepare(now, c)
		return
	}
	rs.sendPhase(now, c, m)
	rs.effects.After = append(rs.effects.After, transport.Send{To: rs.self.Address, Message: &meshpb.Message{Id: c.id,
		Accepted: &meshpb.Accepted{Yes: true, Promised: c.ballot.Wire()}}})
}

// known says whether a quorum told one ballot of this epoch: what it accepted there was chosen. Of an earlier epoch that does not
// follow: a joiner's part in it is a copy, and a quorum of that epoch may have accepted something else.
func (rs *Registers) knownChosen(c *change) bool {
	return c.newestAccepted.Epoch == rs.view.Epoch && rs.hasQuorum(c.key, func(m view.Member) bool { return c.newestAcceptedBy[m] })
}

// spread sends the message of a phase to as many others as make a quorum with this server, and keeps the rest in reserve: answers have
// bodies, and every copy is bytes between zones and work on another's disk. Who did not answer lately comes last. All get what is permanent, as
// all need it, and in a joint view all get everything.
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

// deliver sends the message of the present phase. A value goes once this disk has it.
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

// slow is until when the member at an address is kept in reserve.
func (rs *Registers) reservedUntil(now float64, address string) float64 {
	until := now
	for m, at := range rs.slowUntil {
		if m.Address == address {
			until = max(until, at)
		}
	}
	return until
}

// widen sends the message to the rest.
func (rs *Registers) widen(now float64, c *change) {
	for _, m := range rs.view.All() {
		if _, answered := c.votes[m]; !answered && slices.Contains(c.recipients, m.Address) {
			rs.slowUntil[m] = now + slowPeriod
		}
	}
	rs.sendPhaseTo(c, c.reserve)
	c.recipients, c.reserve = slices.Concat(c.recipients, c.reserve), nil
}

// advance does what is due for a change: a member that does not answer is sent the same message again, and a ballot that was refused is
// followed by a newer one. Slow answers still count: a ballot that is only slow is never given up for another, as that would ask for
// the same work once more where there is too much of it already. The pauses grow, as often as either happens.
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

// resend sends the message again to those that have not answered: it was lost with a connection, or with a process.
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

// Abort ends all changes under way: no quorum can be asked from here now.
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
		if b == c.localAccepted { // it is not sent back
			c.newestValue = c.localValue
		}
	case 0:
		c.newestAcceptedBy[from] = true
	}
	if rs.hasQuorum(c.key, func(m view.Member) bool { return c.votes[m] }) {
		rs.propose(now, c, c.newestValue)
	}
}

// heardNoPromise takes word that a member has promised a newer ballot than the one that is being prepared.
func (rs *Registers) handlePrepareRejected(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // of an older ballot of this change
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

func (rs *Registers) handleAcceptRejected(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // of an older ballot of this change
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
	if rs.quorumImpossible(c) && c.prepares < 2 { // somebody else's ballot is newer; the second try waits
		rs.prepare(now, c)
	}
}

// refused says whether a quorum can no longer come together.
func (rs *Registers) quorumImpossible(c *change) bool {
	return !rs.hasQuorum(c.key, func(m view.Member) bool {
		yes, answered := c.votes[m]
		return yes || !answered
	})
}
