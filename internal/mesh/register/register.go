// Package register keeps registers: one for each key, on the disks of the control processes. (The field's term: a replicated
// compare-and-set register, CASPaxos.) There is no log and no leader.
//
// A change of a register is a ballot: asked for at a majority, which promises to take nothing older and tells what it holds;
// then the changed value is accepted by a majority. The first half is left out where it is known beforehand what it would say:
// every key has a home, named by rendezvous hashing, to which all have promised the first ballot; and who has had a value
// accepted at a ballot is thereby promised the next one. A home writes to its own disk before it sends, so what its disk holds
// is the newest that it ever sent, over restarts as well. One whose disk came back empty is no home to anybody for a window.
//
// A process that lost its disk has forgotten promises. It neither promises nor accepts until Recover has given it what enough
// of the others hold, and asks for that only once every ballot that it may have had a part in has been given up.
package register

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/store"
)

// The states of a key's register. They go over the wire: only add at the end.
const (
	Free    uint32 = iota // nobody has claimed it
	Claimed               // somebody has; its run may be under way
	Done                  // it has run, and this is the answer
	Lost                  // it may have run, and nobody knows how that ended
	Void                  // claimed and given back without a run: the token of it claims no more
	Unsure                // no majority could be asked: nothing was claimed
	Ruled                 // no key of an operation: what is in force for a service
)

var stateNames = map[uint32]string{Free: "free", Claimed: "claimed", Done: "done", Lost: "lost", Void: "void", Ruled: "ruled"}

const (
	widenAfter = 0.04 // seconds until the members in reserve are sent a value
	slowFor    = 2.0  // seconds for which one that did not answer is kept in reserve
	tryFor     = 0.25 // seconds until a ballot is begun anew
	GiveUp     = 0.8  // seconds until a change is given up; no message of it is sent later
	mostVoided = 24   // tokens that a register remembers as voided
	mostWork   = 4096 // changes under way; more are turned away
	// A claim that nobody has settled for so long has lost its holder: the answer no longer says that it is at work.
	holderGone = 5.0
	// Ages are counted from when a process saw a value, and start anew with it, so they err to the side of keeping.
	slack = 15.0
)

// Effects are what a machine wants done. Sends go at once; Puts go to the disk, and After when they are synced there.
type Effects struct {
	Sends []transport.Send
	Puts  []store.Put
	After []transport.Send
}

// Ballot orders the changes of a register.
type Ballot struct{ Round, Node, Life uint32 }

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node), cmp.Compare(b.Life, o.Life))
}

func (b Ballot) next() Ballot { return Ballot{b.Round + 1, b.Node, b.Life} }

func (b Ballot) wire() *meshpb.Ballot {
	return &meshpb.Ballot{Round: b.Round, Node: b.Node, Life: b.Life}
}

func ballot(w *meshpb.Ballot) Ballot { return Ballot{w.GetRound(), w.GetNode(), w.GetLife()} }

// entry is a register as this process's disk has it.
type entry struct {
	promised, accepted Ballot
	value              *meshpb.Receipt
	at                 float64 // when it came here
}

// change is one under way.
type change struct {
	id       uint64
	key      string
	began    float64
	tried    float64
	asking   bool
	ballot   Ballot
	votes    map[string]bool
	best     Ballot
	old      *meshpb.Receipt
	value    *meshpb.Receipt
	work     func(old *meshpb.Receipt) (value *meshpb.Receipt, state uint32) // nil: no change
	answer   func(state uint32, held *meshpb.Receipt)
	state    uint32
	rejected Ballot
	tries    int
	rest     []string // members that were not sent the value yet
	parcel   *meshpb.Message
	sent     []string
}

// Registers is one process's part in all registers. Its methods take the time in seconds on a clock that never jumps.
type Registers struct {
	self    string
	members []string
	node    uint32 // this process's place among the members, from 1; 0: none
	life    uint32
	window  float64
	homeOff float64 // until then it is no home
	voting  bool

	entries   map[string]*entry
	work      map[string]*change
	byID      map[uint64]*change
	waiting   map[string][]*change
	lastID    uint64
	out       Effects
	sweepAt   float64
	slowUntil map[string]float64
}

// New makes a ledger. window is for how long a key's answer is kept, in seconds; life tells this process's lives apart.
func New(self string, life uint32, window float64) *Registers {
	return &Registers{self: self, life: life, window: window + slack, entries: map[string]*entry{}, work: map[string]*change{},
		byID: map[uint64]*change{}, slowUntil: map[string]float64{}, waiting: map[string][]*change{}}
}

// Seat names the members, in an order that all agree on. Without it there are no ballots.
func (l *Registers) Seat(members []string) {
	l.members = slices.Clone(members)
	l.node = uint32(slices.Index(members, l.self) + 1)
}

// Vote lets this process take part: its disk holds all that it ever promised.
func (l *Registers) Vote() { l.voting = l.node > 0 }

// Voting says whether it takes part.
func (l *Registers) Voting() bool { return l.voting }

// Held counts the registers by the state of their value, and says how old the oldest claim is that nobody has settled.
func (l *Registers) Held(now float64) (byState map[string]int, oldest float64) {
	byState = map[string]int{}
	for _, e := range l.entries {
		state := Free
		if e.value != nil {
			state = e.value.State
		}
		byState[stateNames[state]]++
		if state == Claimed {
			oldest = max(oldest, now-e.at)
		}
	}
	return byState, oldest
}

// Size is the number of registers held, and of changes under way.
func (l *Registers) Size() (registers, changes int) { return len(l.entries), len(l.work) }

// Take gives what is to be done since the last call.
func (l *Registers) Take() Effects {
	out := l.out
	l.out = Effects{}
	return out
}

func (l *Registers) majority() int { return len(l.members)/2 + 1 }

// Home is the member that a key's claims go to first; the others follow in order.
func Home(key string, members []string) []string { return rendezvous.Order(key, members) }

func (l *Registers) home(key string) uint32 {
	return uint32(slices.Index(l.members, Home(key, l.members)[0]) + 1)
}

// promised is what this process has promised for a key.
func (l *Registers) promised(key string) Ballot {
	if e := l.entries[key]; e != nil {
		return e.promised
	}
	return Ballot{Round: 1, Node: l.home(key)}
}

// ---- what is asked of it

// Claim binds a key to one run. The answer is told once: the state, and what is held. Claimed means that the asker holds it.
func (l *Registers) Claim(now float64, c *meshpb.Claim, answer func(state uint32, held *meshpb.Receipt)) {
	if !l.voting || len(l.work) >= mostWork {
		answer(Unsure, nil)
		return
	}
	if e := l.entries[c.Key]; e != nil && e.value != nil { // what is known here to hold somebody else's needs no ballot
		if _, state := claim(c, e.value); state != Claimed {
			answer(l.aged(now, e, state), e.value)
			return
		}
	}
	if w := l.work[c.Key]; w != nil && w.value != nil && w.value.Token != c.Token {
		answer(Claimed+busy, nil)
		return
	}
	l.begin(now, &change{key: c.Key, answer: answer,
		work: func(old *meshpb.Receipt) (*meshpb.Receipt, uint32) { return claim(c, old) }})
}

// busy is added to Claimed where it is somebody else's.
const busy = 100

// Busy is the state of a key that somebody else has claimed.
const Busy = Claimed + busy

func claim(c *meshpb.Claim, old *meshpb.Receipt) (*meshpb.Receipt, uint32) {
	mine := &meshpb.Receipt{Token: c.Token, State: Claimed, Attempt: c.Attempt, Voided: old.GetVoided()}
	switch {
	case slices.Contains(old.GetVoided(), c.Token): // a late one: its client was promised that it never runs
		return nil, Void
	case old == nil || old.State == Free:
		return mine, Claimed
	case old.State == Void && len(old.Voided) >= mostVoided: // no more can be remembered, so no more may be promised
		return nil, Busy
	case old.State == Void:
		return mine, Claimed
	case old.State == Claimed && old.Token == c.Token && old.Attempt < c.Attempt: // the attempt before it has not run
		return mine, Claimed
	case old.State == Claimed && old.Token == c.Token && old.Attempt == c.Attempt: // asked twice
		return old, Claimed
	case old.State == Claimed:
		return nil, Busy
	}
	return nil, old.State
}

// aged says that a claim's holder is gone where that is so.
func (l *Registers) aged(now float64, e *entry, state uint32) uint32 {
	if state == Busy && now > e.at+holderGone {
		return Lost
	}
	return state
}

// Settle records how a claimed run ended. A receipt that is void gives the key back, and keeps late claims of its token out.
// With ifFree it only does the latter, and only where no claim was granted: so who asked a proxy that has gone silent learns
// whether the request may still run.
func (l *Registers) Settle(now float64, key string, r *meshpb.Receipt, ifFree bool, answer func(state uint32, held *meshpb.Receipt)) {
	if !l.voting || len(l.work) >= mostWork {
		answer(Unsure, nil)
		return
	}
	l.begin(now, &change{key: key, answer: answer, work: func(old *meshpb.Receipt) (*meshpb.Receipt, uint32) {
		r := proto.Clone(r).(*meshpb.Receipt)
		r.Voided = old.GetVoided()
		if r.State == Void && !slices.Contains(r.Voided, r.Token) {
			r.Voided = append(slices.Clone(r.Voided), r.Token)
		}
		switch {
		case old == nil || old.State == Free, old.State == Void && r.State == Void:
			return r, r.State
		case r.State == Void && old.State == Claimed && old.Token != r.Token: // another holds it: only that this one never will
			kept := proto.Clone(old).(*meshpb.Receipt)
			kept.Voided = r.Voided
			return kept, Void
		case ifFree:
		case old.Token == r.Token && old.State == Claimed, old.Token == r.Token && old.State == Lost && r.State == Done:
			return r, r.State
		}
		return nil, old.State
	}})
}

// Rule changes a register that is no operation's, by what it held: nil leaves it. The answer is what it holds then; ok is false where no
// majority said so. Of what two write at once both see the other's.
func (l *Registers) Rule(now float64, name string, edit func(old []byte) []byte, answer func(version uint64, body []byte, ok bool)) {
	if !l.voting || len(l.work) >= mostWork {
		answer(0, nil, false)
		return
	}
	l.begin(now, &change{key: name,
		answer: func(state uint32, held *meshpb.Receipt) { answer(held.GetToken(), held.GetBody(), state != Unsure) },
		work: func(old *meshpb.Receipt) (*meshpb.Receipt, uint32) {
			body := edit(old.GetBody())
			if body == nil {
				return nil, Ruled
			}
			return &meshpb.Receipt{Token: old.GetToken() + 1, State: Ruled, Body: body}, Ruled
		}})
}

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
	case e == nil && now >= l.homeOff && l.home(c.key) == l.node:
		c.ballot = Ballot{1, l.node, l.life}
		l.propose(now, c, nil)
	case e != nil && now >= l.homeOff && e.promised.Node == l.node && e.promised == e.accepted.next():
		c.ballot = e.promised
		l.propose(now, c, e.value)
	default:
		l.ask(now, c)
	}
}

func (l *Registers) ask(now float64, c *change) {
	round := max(l.promised(c.key).Round, c.ballot.Round, c.rejected.Round, 1) + 1
	c.ballot, c.asking, c.tried = Ballot{round, l.node, l.life}, true, now
	c.votes, c.best, c.old = map[string]bool{}, Ballot{}, nil
	c.tries++
	l.toAll(&l.out.Sends, &meshpb.Message{Id: c.id, Prepare: &meshpb.Prepare{Key: c.key, Ballot: c.ballot.wire()}})
}

// propose has a changed value accepted, or ends the change where nothing changes.
func (l *Registers) propose(now float64, c *change, old *meshpb.Receipt) {
	value, state := c.work(old)
	if value == nil {
		if e := l.entries[c.key]; e != nil {
			state = l.aged(now, e, state)
		}
		l.end(now, c, state, old)
		return
	}
	c.value, c.state, c.asking, c.tried = value, state, false, now
	c.votes = map[string]bool{}
	p := &meshpb.Message{Id: c.id, Accept: &meshpb.Accept{Key: c.key, Ballot: c.ballot.wire(), Value: value}}
	if l.accept(now, p.Accept) { // this disk first
		l.spread(now, c, p)
		l.out.After = append(l.out.After, transport.Send{To: l.self, Message: &meshpb.Message{Id: c.id,
			Accepted: &meshpb.Accepted{Yes: true, Promised: c.ballot.wire()}}})
		return
	}
	c.rejected = l.promised(c.key)
	l.ask(now, c)
}

func (l *Registers) toAll(list *[]transport.Send, p *meshpb.Message) {
	for _, m := range l.members {
		*list = append(*list, transport.Send{To: m, Message: p})
	}
}

// spread sends a value to as many others as make a majority with this process, and keeps the rest in reserve: answers have
// bodies, and every copy is bytes between zones and work on another's disk. Who did not answer lately comes last.
func (l *Registers) spread(now float64, c *change, p *meshpb.Message) {
	order := Home(c.key, l.members)
	order = slices.DeleteFunc(order, func(m string) bool { return m == l.self })
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(max(l.slowUntil[a], now), max(l.slowUntil[b], now))
	})
	first := l.majority() - 1
	c.parcel, c.sent, c.rest = p, order[:first], order[first:]
	for _, m := range c.sent {
		l.out.After = append(l.out.After, transport.Send{To: m, Message: p})
	}
}

// widen sends a value to the rest.
func (l *Registers) widen(now float64, c *change) {
	for _, m := range c.sent {
		if !c.votes[m] {
			l.slowUntil[m] = now + slowFor
		}
	}
	for _, m := range c.rest {
		l.out.After = append(l.out.After, transport.Send{To: m, Message: c.parcel})
	}
	c.rest = nil
}

func (l *Registers) end(now float64, c *change, state uint32, held *meshpb.Receipt) {
	delete(l.work, c.key)
	delete(l.byID, c.id)
	c.answer(state, held)
	if next := l.waiting[c.key]; len(next) > 0 {
		if l.waiting[c.key] = next[1:]; len(next) == 1 {
			delete(l.waiting, c.key)
		}
		began := next[0].began
		l.begin(now, next[0])
		next[0].began = began
	}
}

// ---- what comes from the others

// Heard takes a parcel of another process's, or of this one's.
func (l *Registers) Heard(now float64, from string, p *meshpb.Message) {
	switch {
	case p.Prepare != nil && l.voting:
		l.heardAsk(now, from, p.Id, p.Prepare)
	case p.Accept != nil && l.voting:
		yes := l.accept(now, p.Accept)
		answer := &meshpb.Message{Id: p.Id, Accepted: &meshpb.Accepted{Yes: yes, Promised: p.Accept.Ballot}}
		if !yes {
			answer.Accepted.Promised = l.promised(p.Accept.Key).wire()
		}
		l.out.After = append(l.out.After, transport.Send{To: from, Message: answer})
	case p.Promise != nil:
		l.heardPromise(now, from, l.byID[p.Id], p.Promise)
	case p.Accepted != nil:
		l.heardAccepted(now, from, l.byID[p.Id], p.Accepted)
	}
}

func (l *Registers) heardAsk(now float64, from string, id uint64, a *meshpb.Prepare) {
	b := ballot(a.Ballot)
	if b.compare(l.promised(a.Key)) <= 0 {
		l.out.Sends = append(l.out.Sends, transport.Send{To: from, Message: &meshpb.Message{Id: id,
			Promise: &meshpb.Promise{Promised: l.promised(a.Key).wire()}}})
		return
	}
	e := l.entries[a.Key]
	if e == nil {
		e = &entry{at: now}
		l.entries[a.Key] = e
	}
	e.promised = b
	l.keep(a.Key, e)
	l.out.After = append(l.out.After, transport.Send{To: from, Message: &meshpb.Message{Id: id, Promise: &meshpb.Promise{Yes: true,
		Promised: a.Ballot, Accepted: e.accepted.wire(), Value: e.value}}})
}

// accept takes a value where nothing newer was promised.
func (l *Registers) accept(now float64, a *meshpb.Accept) bool {
	b := ballot(a.Ballot)
	if b.compare(l.promised(a.Key)) < 0 {
		return false
	}
	e := l.entries[a.Key]
	if e == nil {
		e = &entry{}
		l.entries[a.Key] = e
	}
	e.promised, e.accepted, e.value, e.at = b.next(), b, a.Value, now
	l.keep(a.Key, e)
	return true
}

func (l *Registers) keep(key string, e *entry) {
	text, err := proto.Marshal(&meshpb.Entry{Key: key, Promised: e.promised.wire(), Accepted: e.accepted.wire(), Value: e.value})
	if err != nil {
		return // a value that came over the wire can be written again
	}
	l.out.Puts = append(l.out.Puts, store.Put{Name: prefix + key, Value: text})
}

// prefix of the names under which registers lie in the vault.
const prefix = "k."

func (l *Registers) heardPromise(now float64, from string, c *change, p *meshpb.Promise) {
	if c == nil || !c.asking {
		return
	}
	if !p.Yes {
		if b := ballot(p.Promised); b.compare(c.ballot) >= 0 && b.compare(c.rejected) > 0 {
			c.rejected = b
		}
		return
	}
	if ballot(p.Promised) != c.ballot || c.votes[from] {
		return
	}
	c.votes[from] = true
	if b := ballot(p.Accepted); b.compare(c.best) > 0 {
		c.best, c.old = b, p.Value
	}
	if len(c.votes) >= l.majority() {
		l.propose(now, c, c.old)
	}
}

func (l *Registers) heardAccepted(now float64, from string, c *change, a *meshpb.Accepted) {
	if c == nil || c.asking {
		return
	}
	if !a.Yes {
		if b := ballot(a.Promised); b.compare(c.rejected) > 0 {
			c.rejected = b
		}
		if len(c.rest) > 0 {
			l.widen(now, c)
		}
		if c.votes["!"+from] = true; l.refused(c) && c.tries < 2 { // somebody else's ballot is newer; the second try waits
			l.ask(now, c)
		}
		return
	}
	if ballot(a.Promised) != c.ballot {
		return
	}
	c.votes[from] = true
	yes := 0
	for name := range c.votes {
		if name[0] != '!' {
			yes++
		}
	}
	if yes >= l.majority() {
		l.end(now, c, c.state, c.value)
	}
}

// refused says whether a majority can no longer come together.
func (l *Registers) refused(c *change) bool {
	no := 0
	for name := range c.votes {
		if name[0] == '!' {
			no++
		}
	}
	return no > len(l.members)-l.majority()
}

// Tick begins anew what got no majority, gives up what took too long, and forgets what is older than the window.
func (l *Registers) Tick(now float64) {
	for _, c := range l.ordered() {
		switch {
		case now > c.began+GiveUp:
			l.end(now, c, Unsure, nil)
		case !c.asking && len(c.rest) > 0 && now > c.tried+widenAfter:
			l.widen(now, c)
		case now > c.tried+tryFor || c.asking && c.rejected.compare(c.ballot) >= 0 && now > c.tried+tryFor/4:
			l.ask(now, c)
		}
	}
	if now < l.sweepAt {
		return
	}
	l.sweepAt = now + 1
	for key, e := range l.entries {
		if now > e.at+l.window && l.work[key] == nil {
			delete(l.entries, key)
			l.out.Puts = append(l.out.Puts, store.Put{Name: prefix + key})
		}
	}
}

func (l *Registers) ordered() []*change {
	all := make([]*change, 0, len(l.work))
	for _, c := range l.byID {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *change) int { return cmp.Compare(a.id, b.id) })
	return all
}

// ---- over restarts and lost disks

// Restore takes what the vault held. Ages begin anew.
func (l *Registers) Restore(now float64, values map[string][]byte) error {
	for name, text := range values {
		if len(name) <= len(prefix) || name[:len(prefix)] != prefix {
			continue
		}
		w := &meshpb.Entry{}
		if err := proto.Unmarshal(text, w); err != nil {
			return err
		}
		l.entries[w.Key] = &entry{promised: ballot(w.Promised), accepted: ballot(w.Accepted), value: w.Value, at: now}
	}
	return nil
}

// pageBytes bounds one page of a dump.
const pageBytes = 256 << 10

// Dump gives a page of what is held, for a process that lost its disk.
func (l *Registers) Dump(after string) (page []*meshpb.Entry, last bool) {
	keys := make([]string, 0, len(l.entries))
	for key := range l.entries {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys {
		e := l.entries[key]
		w := &meshpb.Entry{Key: key, Promised: e.promised.wire(), Accepted: e.accepted.wire(), Value: e.value}
		page = append(page, w)
		if size += proto.Size(w); size > pageBytes {
			return page, false
		}
	}
	return page, true
}

// Recover takes a page of another's into an empty ledger. The newest accepted value holds, and the newest promise.
func (l *Registers) Recover(now float64, page []*meshpb.Entry) {
	for _, w := range page {
		e := l.entries[w.Key]
		if e == nil {
			e = &entry{at: now}
			l.entries[w.Key] = e
		}
		if b := ballot(w.Promised); b.compare(e.promised) > 0 {
			e.promised = b
		}
		if b := ballot(w.Accepted); b.compare(e.accepted) > 0 {
			e.accepted, e.value = b, w.Value
		}
		l.keep(w.Key, e)
	}
}

// Recovered ends the recovery. What this process once sent as a home is not known, so it is none until that is of no account.
func (l *Registers) Recovered(now float64) {
	l.homeOff = now + l.window
	l.Vote()
}
