package register

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// The exhaustive exploration: three servers and one that joins, one register, two changes at two of them, and one exchange of a
// member. Messages and view changes happen in every order; a message that is not delivered within the depth is one that is lost.
// Disks sync at once, the joiner reads a member in one step, and what the register of views would hold is given: the joint view
// follows the founding one, and the stable view the joint one as soon as the joiner has read everything.

const (
	exhaustiveLeast   = 7               // steps that are explored whatever it takes
	exhaustivePlanted = 10              // steps within which a planted fault is found
	exhaustiveMost    = 30              // steps at most
	exhaustiveWithin  = 2 * time.Second // for each beginning: then no further step is explored
	mostSmallSends    = 6               // messages that one step usually sends
)

// smallServer is one server of the exhaustive exploration.
type smallServer struct {
	registers *Registers
	read      []view.Member // of the old members, those that it has read in the joint view
}

// smallChange is one of the changes.
type smallChange struct {
	key     string
	at      int // server
	body    string
	saw     string
	begun   bool
	least   uint64 // the newest version that was answered when it began
	version uint64 // that it was answered with; 0: not yet
	held    string
}

// smallWorld is one state. It is copied before each step.
type smallWorld struct {
	servers []smallServer
	changes []smallChange
	network []modelMessage
	fault   plantedFault
}

// smallStep is one thing that may happen to a server.
type smallStep struct {
	kind, server int
	what         int // which change, message or server it is about
}

const (
	stepBegin   = iota // a change begins
	stepDeliver        // a message comes
	stepAdopt          // a server goes by the next view
	stepRead           // the joiner reads a member
)

// smallSearch explores the states that can be reached in a number of steps.
type smallSearch struct {
	views    []view.View // by epoch - 1
	members  []view.Member
	seen     map[uint64]int8 // by state: the steps that were left when it was explored
	states   int             // that were found
	expanded int             // how often one was explored
	deadline time.Time
	stopped  bool
	broken   string
	path     []smallStep
	seed     maphash.Seed
	buffer   []byte
	keys     []string                              // registers in use
	follows  func(w *smallWorld) (view.View, bool) // what follows the joint view, once that may be chosen
	leaf     func(w *smallWorld) string            // looks at a state whose depth is used up
}

func newSmallSearch() *smallSearch {
	var members []view.Member
	for _, address := range []string{"s0", "s1", "s2", "s3"} {
		members = append(members, view.Member{Address: address, Incarnation: 1})
	}
	first := view.Founding(1, members[:3])
	joint := first.Join(members[3], members[2])
	x := &smallSearch{views: []view.View{first, joint, joint.Complete()}, members: members, seen: map[uint64]int8{},
		seed: maphash.MakeSeed(), keys: []string{smallKey}, leaf: func(*smallWorld) string { return "" }}
	x.follows = func(w *smallWorld) (view.View, bool) { return x.views[2], x.joined(w) }
	return x
}

// smallBeginning is a state from which everything is explored.
type smallBeginning struct {
	name  string
	fill  func(x *smallSearch, w *smallWorld)
	fault plantedFault
	kind  string // of the violation that has to be found
}

// The key has its home at s0.
var smallBeginnings = []smallBeginning{
	{name: "nothing was written", fill: func(*smallSearch, *smallWorld) {}},
	{name: "a is chosen, s1 has not heard of it", fill: chosenBeforeExchange},
	{name: "a is accepted by s0 only", fill: func(x *smallSearch, w *smallWorld) {
		x.accept(w, 0, Ballot{1, 2, 1, 1}, "a")
	}},
	{name: "a is accepted by s0 only, and b by s1 only", fill: func(x *smallSearch, w *smallWorld) {
		x.accept(w, 0, Ballot{1, 2, 1, 1}, "a")
		x.accept(w, 1, Ballot{1, 3, 2, 2}, "b")
	}},
}

// Beginnings with a planted fault, which has to be found.
var smallFaults = []smallBeginning{
	{"a joiner votes early", chosenBeforeExchange, earlyJoinerVote, staleVersion},
	{"a leaver's values are dropped", chosenBeforeExchange, leaverDropped, staleVersion},
}

// chosenBeforeExchange has the first change answered by s0 and s2: s2 will leave.
func chosenBeforeExchange(x *smallSearch, w *smallWorld) {
	x.accept(w, 0, Ballot{1, 1, 1, 1}, "a")
	x.accept(w, 2, Ballot{1, 1, 1, 1}, "a")
	w.changes[0] = smallChange{key: smallKey, at: 0, body: "a", begun: true, version: 1, held: "a"}
}

// accept puts a value of version 1 on one server.
func (x *smallSearch) accept(w *smallWorld, i int, b Ballot, body string) {
	l := w.servers[i].registers
	l.accept(1, &meshpb.Accept{Key: smallKey, Ballot: b.Wire(),
		Value: &meshpb.Receipt{Token: 1, State: Stored, Body: []byte(body)}})
	l.Take()
}

// world is the state at the beginning: changes are to come at s0 and s1.
func (x *smallSearch) world(fault plantedFault) *smallWorld {
	w := &smallWorld{fault: fault, changes: []smallChange{{key: smallKey, at: 0, body: "c"}, {key: smallKey, at: 1, body: "d"}}}
	for i, m := range x.members {
		l := New(m, uint32(i+1), modelWindow)
		l.SetView(1, x.views[0], 1)
		l.Vote()
		w.servers = append(w.servers, smallServer{registers: l})
	}
	return w
}

// ---- copies of a state

// clone copies a state for a step of one server: the others are shared, and not changed any more.
func (w *smallWorld) clone(stepping int) *smallWorld {
	next := &smallWorld{fault: w.fault, changes: slices.Clone(w.changes), servers: slices.Clone(w.servers),
		network: make([]modelMessage, len(w.network), len(w.network)+mostSmallSends)}
	copy(next.network, w.network)
	s := w.servers[stepping]
	next.servers[stepping] = smallServer{next.cloneRegisters(s.registers), slices.Clone(s.read)}
	return next
}

func (w *smallWorld) cloneRegisters(l *Registers) *Registers {
	next := *l
	next.entries = make(map[string]*entry, len(l.entries))
	for key, e := range l.entries {
		held := *e
		next.entries[key] = &held
	}
	next.work, next.byID = map[string]*change{}, map[uint64]*change{}
	for key, c := range l.work {
		copied := *c
		copied.votes, copied.alike = maps.Clone(c.votes), maps.Clone(c.alike)
		copied.rest, copied.sent = slices.Clone(c.rest), slices.Clone(c.sent)
		w.bind(&copied, slices.IndexFunc(w.changes, func(small smallChange) bool {
			return small.at == int(l.life)-1 && small.key == c.key
		}))
		next.work[key], next.byID[c.id] = &copied, &copied
	}
	next.waiting, next.slowUntil = map[string][]*change{}, maps.Clone(l.slowUntil)
	return &next
}

// bind has a change work on this state, and not on the one that it was copied from.
func (w *smallWorld) bind(c *change, i int) {
	c.work = func(old *meshpb.Receipt) (*meshpb.Receipt, State) {
		w.changes[i].saw = string(old.GetBody())
		if w.changes[i].key == ViewKey && old != nil { // what follows is decided, or about to be
			return nil, Stored
		}
		return &meshpb.Receipt{Token: old.GetToken() + 1, State: Stored, Body: []byte(w.changes[i].body)}, Stored
	}
	c.answer = func(state State, held *meshpb.Receipt) {
		if state != Unsure {
			w.changes[i].version, w.changes[i].held = held.GetToken(), string(held.GetBody())
		}
	}
}

// ---- steps

// steps are those that can be taken now.
func (x *smallSearch) steps(w *smallWorld) (all []smallStep) {
	for i, c := range w.changes {
		if !c.begun && w.servers[c.at].registers.voting && x.mayBegin(w, c) {
			all = append(all, smallStep{stepBegin, c.at, i})
		}
	}
	for i, m := range w.network {
		all = append(all, smallStep{stepDeliver, x.index(m.to), i})
	}
	for i, s := range w.servers {
		_, followed := x.follows(w)
		if epoch := s.registers.view.Epoch; epoch == 1 || epoch == 2 && followed {
			all = append(all, smallStep{stepAdopt, i, 0})
		}
	}
	joiner := w.servers[3]
	if joiner.registers.view.Epoch == 2 && !joiner.registers.voting {
		for i := range 3 {
			if w.servers[i].registers.view.Epoch == 2 && !slices.Contains(joiner.read, x.members[i]) {
				all = append(all, smallStep{stepRead, 3, i})
			}
		}
	}
	return all
}

// mayBegin says whether a change is one that a server would begin now: only the coordinator of a joint view proposes what follows it,
// and the view of the new members only once the joiner has read everything.
func (x *smallSearch) mayBegin(w *smallWorld, c smallChange) bool {
	return c.key != ViewKey || w.servers[c.at].registers.view.Epoch == 2 && (c.body != completed || x.joined(w))
}

func (x *smallSearch) index(address string) int { return int(address[1] - '0') }

// joined says whether the stable view may have been chosen.
func (x *smallSearch) joined(w *smallWorld) bool {
	l := w.servers[3].registers
	return l.view.Epoch == 3 || l.voting && l.view.Epoch == 2 || w.fault == leaverDropped && l.view.Epoch == 2
}

// take takes a step in a copy of a state.
func (x *smallSearch) take(old *smallWorld, step smallStep) *smallWorld {
	w := old.clone(step.server)
	switch step.kind {
	case stepBegin:
		x.begin(w, step.what)
	case stepDeliver:
		m := w.network[step.what]
		w.network = slices.Delete(w.network, step.what, step.what+1)
		w.servers[step.server].registers.Heard(1, m.from, m.message)
	case stepAdopt:
		x.adopt(w, step.server)
	case stepRead:
		x.read(w, step.what)
	}
	x.collect(w, step.server)
	w.network = slices.DeleteFunc(w.network, func(m modelMessage) bool { return x.dead(w, m) })
	return w
}

// dead says whether a message has no effect any more, whenever it comes.
func (x *smallSearch) dead(w *smallWorld, m modelMessage) bool {
	l := w.servers[x.index(m.to)].registers
	if m.epoch < l.view.Epoch {
		return true
	}
	if m.epoch > l.view.Epoch {
		return false
	}
	c := l.byID[m.message.Id]
	switch {
	case m.message.Promise != nil:
		return c == nil || !c.asking
	case m.message.Accepted != nil:
		return c == nil
	}
	return false
}

func (x *smallSearch) begin(w *smallWorld, i int) {
	c := &w.changes[i]
	c.begun = true
	for _, other := range w.changes {
		if other.key == c.key {
			c.least = max(c.least, other.version)
		}
	}
	begun := &change{key: c.key, linearizable: true}
	w.bind(begun, i)
	w.servers[c.at].registers.begin(1, begun)
}

func (x *smallSearch) adopt(w *smallWorld, i int) {
	l := w.servers[i].registers
	v := x.views[l.view.Epoch]
	if l.view.Epoch == 2 {
		v, _ = x.follows(w)
	}
	left := l.view.Has(l.self) && !v.Has(l.self)
	if left {
		l.Reset(1, view.Member{Address: l.self.Address, Incarnation: 2})
	}
	l.SetView(1, v, modelWindow)
	joiner, _ := v.Joiner()
	if slices.Contains(v.Members, l.self) || joiner == l.self && w.fault == earlyJoinerVote {
		l.Vote()
	}
}

func (x *smallSearch) read(w *smallWorld, from int) {
	joiner := &w.servers[3]
	page, _, _ := w.servers[from].registers.Page(0)
	joiner.registers.Merge(1, page)
	joiner.read = append(joiner.read, x.members[from])
	if joiner.registers.view.OldQuorum(func(m view.Member) bool { return slices.Contains(joiner.read, m) }) {
		joiner.registers.Vote()
	}
}

// collect puts what a server sends into the network.
func (x *smallSearch) collect(w *smallWorld, i int) {
	l := w.servers[i].registers
	for {
		out := l.Take()
		sends := append(out.Sends, out.After...)
		for _, send := range sends {
			if send.To == l.self.Address {
				l.Heard(1, l.self, send.Message)
				continue
			}
			w.network = append(w.network, modelMessage{l.self, send.To, l.view.Epoch, send.Message})
		}
		if len(sends) == 0 {
			return
		}
	}
}

// ---- search

// explore takes every step from a state, to a depth.
func (x *smallSearch) explore(w *smallWorld, depth int) {
	if x.broken = w.check(); x.broken != "" {
		return
	}
	if depth == 0 {
		x.broken = x.leaf(w)
		return
	}
	key := x.key(w)
	if int(x.seen[key]) >= depth {
		return
	}
	if x.seen[key] == 0 {
		x.states++
	}
	x.seen[key] = int8(depth)
	if x.expanded++; x.expanded%1024 == 0 && !x.deadline.IsZero() && time.Now().After(x.deadline) {
		x.stopped = true
	}
	for _, step := range x.steps(w) {
		x.path = append(x.path, step)
		x.explore(x.take(w, step), depth-1)
		if x.broken != "" || x.stopped {
			return
		}
		x.path = x.path[:len(x.path)-1]
	}
}

// check says what is wrong with the answers so far.
func (w *smallWorld) check() string {
	a, b := w.changes[0], w.changes[1]
	for _, c := range []smallChange{a, b} {
		if c.version > 0 && c.version <= c.least {
			return staleVersion
		}
	}
	if wrong := checkSuccessors(w); wrong != "" {
		return wrong
	}
	switch {
	case a.version == 0 || b.version == 0:
	case a.version == b.version:
		return twoValuesOneVersion
	case b.version == a.version+1 && b.saw != a.held, a.version == b.version+1 && a.saw != b.held:
		return brokenChain
	}
	return ""
}

// ---- the key of a state

// key is a hash of all that decides what can follow.
func (x *smallSearch) key(w *smallWorld) uint64 {
	x.buffer = x.buffer[:0]
	for _, s := range w.servers {
		x.addServer(s)
	}
	for _, c := range w.changes {
		x.add(flag(c.begun), c.least, c.version)
		x.buffer = append(append(append(x.buffer, c.saw...), 0), c.held...)
	}
	head := maphash.Bytes(x.seed, x.buffer)
	var network uint64 // the same in any order
	for _, m := range w.network {
		x.buffer = x.buffer[:0]
		x.addMessage(m)
		network += maphash.Bytes(x.seed, x.buffer)
	}
	return head ^ network*0x9e3779b97f4a7c15
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (x *smallSearch) add(words ...uint64) {
	for _, n := range words {
		x.buffer = binary.AppendUvarint(x.buffer, n)
	}
}

func (x *smallSearch) addBallot(b Ballot) {
	x.add(b.Epoch, uint64(b.Round), uint64(b.Node), uint64(b.Life))
}

func (x *smallSearch) addValue(r *meshpb.Receipt) {
	x.add(r.GetToken(), uint64(len(r.GetBody())))
	x.buffer = append(x.buffer, r.GetBody()...)
}

func (x *smallSearch) addServer(s smallServer) {
	l := s.registers
	x.add(l.view.Epoch, uint64(len(l.view.Members)), flag(l.view.Has(x.members[2])), flag(l.voting), uint64(len(s.read)))
	for _, m := range x.members {
		x.add(flag(slices.Contains(s.read, m)))
	}
	for _, key := range x.keys {
		x.addRegister(l, key)
	}
}

func (x *smallSearch) addRegister(l *Registers, key string) {
	if e := l.entries[key]; e != nil {
		x.add(1, flag(e.chosen))
		x.addBallot(e.promised)
		x.addBallot(e.accepted)
		x.addValue(e.value)
	}
	c := l.work[key]
	if c == nil {
		x.add(0)
		return
	}
	x.add(1, flag(c.asking), uint64(c.tries), uint64(len(c.rest)))
	x.addBallot(c.ballot)
	x.addBallot(c.best)
	x.addBallot(c.rejected)
	x.addValue(c.old)
	x.addValue(c.value)
	for _, m := range x.members {
		yes, voted := c.votes[m]
		x.add(flag(yes), flag(voted), flag(c.alike[m]))
	}
}

func (x *smallSearch) addMessage(m modelMessage) {
	x.buffer = append(append(x.buffer, m.from.Address...), m.to...)
	x.add(m.from.Incarnation, m.epoch, m.message.Id)
	switch {
	case m.message.Prepare != nil:
		x.add(1)
		x.addBallot(FromWire(m.message.Prepare.Ballot))
	case m.message.Accept != nil:
		x.add(2)
		x.addBallot(FromWire(m.message.Accept.Ballot))
		x.addValue(m.message.Accept.Value)
	case m.message.Promise != nil:
		x.add(3, flag(m.message.Promise.Yes))
		x.addBallot(FromWire(m.message.Promise.Promised))
		x.addBallot(FromWire(m.message.Promise.Accepted))
		x.addValue(m.message.Promise.Value)
	case m.message.Accepted != nil:
		x.add(4, flag(m.message.Accepted.Yes))
		x.addBallot(FromWire(m.message.Accepted.Promised))
	}
}

// ---- tests

// smallKey is a register whose home is s0, and s3 once that has joined: values go there first.
var smallKey = func() string {
	for i := 0; ; i++ {
		key := modelRegister(i)
		if order := Home(key, []string{"s0", "s1", "s2", "s3"}); order[0] == "s3" && order[1] == "s0" {
			return key
		}
	}
}()

// deepen explores all states to a depth, and then to greater ones, until time is up. It gives the last depth that was finished.
func (x *smallSearch) deepen(t *testing.T, b smallBeginning, least int) (finished int) {
	began := time.Now()
	for depth := exhaustiveLeast; depth <= exhaustiveMost; depth++ {
		clear(x.seen)
		x.states = 0
		if depth > least {
			x.deadline = began.Add(exhaustiveWithin)
		}
		w := x.world(b.fault)
		b.fill(x, w)
		x.explore(w, depth)
		if x.stopped || x.broken != "" {
			return finished
		}
		t.Logf("%s: %d states to depth %d, %.1f s", b.name, x.states, depth, time.Since(began).Seconds())
		finished = depth
	}
	return finished
}

// Changes of one register at two servers, in every order with one exchange of a member.
func TestModelExhaustive(t *testing.T) {
	for _, b := range smallBeginnings {
		x := newSmallSearch()
		if x.deepen(t, b, exhaustiveLeast); x.broken != "" {
			t.Fatalf("%s: %s by %v", b.name, x.broken, x.path)
		}
	}
}

// The exploration finds what is planted.
func TestModelExhaustiveFindsPlantedFaults(t *testing.T) {
	for _, b := range smallFaults {
		x := newSmallSearch()
		finished := x.deepen(t, b, exhaustivePlanted)
		if x.broken != b.kind {
			t.Errorf("%s: found %q to depth %d, want %q", b.name, x.broken, finished, b.kind)
			continue
		}
		t.Logf("%s: %s by %v", b.name, x.broken, x.path)
	}
}
