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
	id       uint64
	key      string
	began    float64
	tried    float64
	asking   bool // the ballot is being prepared
	ballot   Ballot
	votes    map[view.Member]bool // true: yes, false: no
	best     Ballot               // the newest accepted ballot that was told
	alike    map[view.Member]bool // who told that one
	old      *meshpb.Receipt
	held     Ballot          // accepted on this disk when the ballot was asked for
	heldHere *meshpb.Receipt // and its value: members that hold the same do not send it
	value    *meshpb.Receipt
	work     edit
	answer   func(state State, held *meshpb.Receipt)
	state    State
	rejected Ballot          // the newest ballot for whose sake a member refused this one
	tries    int             // ballots that were prepared
	message  *meshpb.Message // of the present phase
	sent     []string        // addresses that it went to
	rest     []string        // and those that it goes to if these are slow
	resends  int             // of the message

	end          *settlement // nil: it records no end of a run
	linearizable bool        // what is answered has to be made sure of, even where nothing changes
}

// edit says what a register is to hold, by what it holds: the new value and the state to answer with. A nil value leaves it.
type edit func(old *meshpb.Receipt) (value *meshpb.Receipt, state State)

// begin starts a change, behind those of the same key that are under way.
func (l *Registers) begin(now float64, c *change) {
	if l.work[c.key] != nil {
		l.waiting[c.key] = append(l.waiting[c.key], c)
		c.began = now
		return
	}
	l.lastID++
	c.id, c.began = l.lastID, now
	l.work[c.key], l.byID[c.id] = c, c
	e := l.entries[c.key]
	switch {
	case e == nil && l.mayBeginFirst(now, c.key):
		c.ballot = Ballot{l.view.Epoch, 1, l.node, l.life}
		l.propose(now, c, nil)
	case e != nil && e.chosen && e.accepted.Epoch == l.view.Epoch && e.promised == e.accepted.next():
		c.ballot = e.promised
		l.propose(now, c, e.value)
	default:
		l.ask(now, c)
	}
}

// mayBeginFirst says whether the first ballot of a key in this epoch may go without being prepared: nothing was chosen for it in an
// earlier epoch, or that is forgotten. Of what is permanent something may have been chosen in any earlier epoch, however long ago:
// there only the founding view has a first ballot that needs none.
func (l *Registers) mayBeginFirst(now float64, key string) bool {
	switch {
	case !l.isHome(key):
		return false
	case permanent(key):
		return l.view.Epoch == 1
	}
	return now >= l.fastFrom || l.homed.known && !l.homed.has(key)
}

// ask prepares a ballot.
func (l *Registers) ask(now float64, c *change) {
	refused := c.rejected.compare(c.ballot) >= 0 || c.ballot.Epoch != l.view.Epoch
	l.Checks.Check(invariant.BallotSuperseded, c.tries == 0 || refused, "key", c.key, "ballot", c.ballot)
	round := max(l.promised(c.key).Round, 1)
	for _, b := range []Ballot{c.ballot, c.rejected} {
		if b.Epoch == l.view.Epoch {
			round = max(round, b.Round)
		}
	}
	c.ballot, c.asking, c.tried = Ballot{l.view.Epoch, round + 1, l.node, l.life}, true, now
	c.votes, c.best, c.old, c.alike = map[view.Member]bool{}, Ballot{}, nil, map[view.Member]bool{}
	c.tries++
	c.held, c.heldHere = Ballot{}, nil
	prepare := &meshpb.Prepare{Key: c.key, Ballot: c.ballot.Wire()}
	if e := l.entries[c.key]; e != nil && permanent(c.key) && e.accepted != (Ballot{}) { // other keys' ballots are used again once they are forgotten
		c.held, c.heldHere = e.accepted, e.value
		prepare.Held = c.held.Wire()
	}
	m := &meshpb.Message{Id: c.id, Prepare: prepare}
	l.out.Sends = append(l.out.Sends, transport.Send{To: l.self.Address, Message: m})
	l.spread(now, c, m)
}

// propose has a changed value accepted. Where nothing changes, what is held is made sure of: it is accepted anew unless it is known
// to be chosen.
func (l *Registers) propose(now float64, c *change, old *meshpb.Receipt) {
	value, state := c.work(old)
	if value == nil {
		if e := l.entries[c.key]; e != nil && e.mayBeOver(now, state) && !c.asking { // others may know how the run ended
			l.ask(now, c)
			return
		}
		state = l.agedHere(now, c.key, state)
		if old == nil && c.asking || !c.linearizable || c.asking && l.known(c) {
			l.end(now, c, state, old)
			return
		}
		if value = old; old == nil {
			l.ask(now, c)
			return
		}
	}
	c.value, c.state, c.asking, c.tried = value, state, false, now
	c.votes = map[view.Member]bool{}
	m := &meshpb.Message{Id: c.id, Accept: &meshpb.Accept{Key: c.key, Ballot: c.ballot.Wire(), Value: value}}
	if !l.accept(now, m.Accept) { // this disk first
		c.rejected = l.promised(c.key)
		l.ask(now, c)
		return
	}
	l.spread(now, c, m)
	l.out.After = append(l.out.After, transport.Send{To: l.self.Address, Message: &meshpb.Message{Id: c.id,
		Accepted: &meshpb.Accepted{Yes: true, Promised: c.ballot.Wire()}}})
}

// known says whether a quorum told one ballot of this epoch: what it accepted there was chosen. Of an earlier epoch that does not
// follow: a joiner's part in it is a copy, and a quorum of that epoch may have accepted something else.
func (l *Registers) known(c *change) bool {
	return c.best.Epoch == l.view.Epoch && l.quorum(c.key, func(m view.Member) bool { return c.alike[m] })
}

// spread sends the message of a phase to as many others as make a quorum with this server, and keeps the rest in reserve: answers have
// bodies, and every copy is bytes between zones and work on another's disk. Who did not answer lately comes last. All get what is permanent, as
// all need it, and in a joint view all get everything.
func (l *Registers) spread(now float64, c *change, m *meshpb.Message) {
	order := slices.DeleteFunc(Home(c.key, l.view.Addresses()), func(a string) bool { return a == l.self.Address })
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(l.slow(now, a), l.slow(now, b)) })
	first := l.view.Majority() - 1
	if l.view.Joint() || permanent(c.key) {
		first = len(order)
	}
	c.message, c.sent, c.rest, c.resends = m, order[:first], order[first:], 0
	l.deliver(c, c.sent)
}

// deliver sends the message of the present phase. A value goes once this disk has it.
func (l *Registers) deliver(c *change, addresses []string) {
	for _, address := range addresses {
		send := transport.Send{To: address, Message: c.message}
		if c.asking {
			l.out.Sends = append(l.out.Sends, send)
		} else {
			l.out.After = append(l.out.After, send)
		}
	}
}

// slow is until when the member at an address is kept in reserve.
func (l *Registers) slow(now float64, address string) float64 {
	until := now
	for m, at := range l.slowUntil {
		if m.Address == address {
			until = max(until, at)
		}
	}
	return until
}

// widen sends the message to the rest.
func (l *Registers) widen(now float64, c *change) {
	for _, m := range l.view.All() {
		if _, answered := c.votes[m]; !answered && slices.Contains(c.sent, m.Address) {
			l.slowUntil[m] = now + slowFor
		}
	}
	l.deliver(c, c.rest)
	c.sent, c.rest = slices.Concat(c.sent, c.rest), nil
}

// advance does what is due for a change: a member that does not answer is sent the same message again, and a ballot that was refused is
// followed by a newer one. Slow answers still count: a ballot that is only slow is never given up for another, as that would ask for
// the same work once more where there is too much of it already. The pauses grow, as often as either happens.
func (l *Registers) advance(now float64, c *change) {
	switch {
	case now > c.began+GiveUp:
		l.end(now, c, Unsure, nil)
	case len(c.rest) > 0 && now > c.tried+widenAfter:
		l.widen(now, c)
	case c.rejected.compare(c.ballot) >= 0 && now > c.tried+rivalPause*float64(uint(1)<<c.tries):
		l.ask(now, c)
	case now > c.tried+resendAfter*float64(uint(1)<<c.resends):
		l.resend(now, c)
	}
}

// resend sends the message again to those that have not answered: it was lost with a connection, or with a process.
func (l *Registers) resend(now float64, c *change) {
	c.resends++
	silent := slices.DeleteFunc(slices.Clone(c.sent), func(address string) bool {
		for _, m := range l.view.All() {
			if _, answered := c.votes[m]; answered && m.Address == address {
				return true
			}
		}
		return false
	})
	l.deliver(c, silent)
}

func (l *Registers) end(now float64, c *change, state State, held *meshpb.Receipt) {
	delete(l.work, c.key)
	delete(l.byID, c.id)
	c.answer(state, held)
	if next := l.waiting[c.key]; len(next) > 0 && l.work[c.key] == nil {
		if l.waiting[c.key] = next[1:]; len(next) == 1 {
			delete(l.waiting, c.key)
		}
		began := next[0].began
		l.begin(now, next[0])
		next[0].began = began
	}
}

// Abort ends all changes under way: no quorum can be asked from here now.
func (l *Registers) Abort(now float64) {
	waiting := l.waiting
	l.waiting = map[string][]*change{}
	for _, c := range l.ordered() {
		l.end(now, c, Unsure, nil)
	}
	for _, key := range sortedKeys(waiting) {
		for _, c := range waiting[key] {
			c.answer(Unsure, nil)
		}
	}
}

func (l *Registers) heardPromise(now float64, from view.Member, c *change, p *meshpb.Promise) {
	if c == nil || !c.asking || !l.view.Has(from) {
		return
	}
	if !p.Yes {
		l.heardNoPromise(now, from, c, FromWire(p.Promised))
		return
	}
	if FromWire(p.Promised) != c.ballot || c.votes[from] {
		return
	}
	c.votes[from] = true
	switch b := FromWire(p.Accepted); b.compare(c.best) {
	case 1:
		c.best, c.old, c.alike = b, p.Value, map[view.Member]bool{from: true}
		if b == c.held { // it is not sent back
			c.old = c.heldHere
		}
	case 0:
		c.alike[from] = true
	}
	if l.quorum(c.key, func(m view.Member) bool { return c.votes[m] }) {
		l.propose(now, c, c.old)
	}
}

// heardNoPromise takes word that a member has promised a newer ballot than the one that is being prepared.
func (l *Registers) heardNoPromise(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // of an older ballot of this change
		return
	}
	if newer.compare(c.rejected) > 0 {
		c.rejected = newer
	}
	if !c.votes[from] {
		c.votes[from] = false
	}
	if len(c.rest) > 0 {
		l.widen(now, c)
	}
}

func (l *Registers) heardAccepted(now float64, from view.Member, c *change, a *meshpb.Accepted) {
	if c == nil || c.asking || !l.view.Has(from) {
		return
	}
	if !a.Yes {
		l.heardRefusal(now, from, c, FromWire(a.Promised))
		return
	}
	if FromWire(a.Promised) != c.ballot {
		return
	}
	c.votes[from] = true
	if !l.quorum(c.key, func(m view.Member) bool { return c.votes[m] }) {
		return
	}
	if e := l.entries[c.key]; e != nil && e.accepted == c.ballot {
		e.chosen = true
	}
	if took := now - c.tried; l.quickest == 0 || took < l.quickest {
		l.quickest = took
	}
	l.end(now, c, c.state, c.value)
}

func (l *Registers) heardRefusal(now float64, from view.Member, c *change, newer Ballot) {
	if newer.compare(c.ballot) < 0 { // of an older ballot of this change
		return
	}
	if newer.compare(c.rejected) > 0 {
		c.rejected = newer
	}
	if len(c.rest) > 0 {
		l.widen(now, c)
	}
	if !c.votes[from] {
		c.votes[from] = false
	}
	if l.refused(c) && c.tries < 2 { // somebody else's ballot is newer; the second try waits
		l.ask(now, c)
	}
}

// refused says whether a quorum can no longer come together.
func (l *Registers) refused(c *change) bool {
	return !l.quorum(c.key, func(m view.Member) bool {
		yes, answered := c.votes[m]
		return yes || !answered
	})
}
