package register

import (
	"hash/maphash"
	"maps"
	"slices"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// The exhaustive exploration: three servers and a joiner, one register, changes of it at two of the servers, and one exchange
// of a member. Messages and view changes happen in every order, and a message that is not delivered within the depth counts as
// lost. Disks sync immediately, the joiner reads a member in one step, and the content of the view register is given: the joint
// view follows the founding view, and the stable view follows the joint view once the joiner has read everything.

const (
	exhaustiveMinDepth   = 7               // depth that is always explored
	exhaustiveFaultDepth = 10              // depth within which an injected fault is found
	exhaustiveMaxDepth   = 30              // greatest depth
	exhaustiveTimeLimit  = 2 * time.Second // for each initial state; after it no greater depth is explored
	typicalSends         = 6               // number of messages that a step usually sends
)

// searchServer is one server of the exhaustive exploration.
type searchServer struct {
	registers   *Registers
	readMembers []view.Member // old members that it has read in the joint view
}

// searchChange is one of the changes.
type searchChange struct {
	key          string
	server       int    // index of the server that makes the change
	body         string // body that the change writes
	editedBody   string // body that the change was made from
	started      bool
	minVersion   uint64 // newest version that had been answered when the change started
	version      uint64 // version in the answer; 0: not answered yet
	answeredBody string
}

// searchState is one state. It is copied before each step.
type searchState struct {
	servers []searchServer
	changes []searchChange
	network []modelMessage
	fault   injectedFault
}

// searchStep is one event that may happen at a server.
type searchStep struct {
	kind, server int
	target       int // index of the change, message or server concerned
}

const (
	stepStart   = iota // a change starts
	stepDeliver        // a message is delivered
	stepAdopt          // a server adopts the next view
	stepRead           // the joiner reads a member
)

// stateSearch explores the states that can be reached in a number of steps.
type stateSearch struct {
	views            []view.View // by epoch - 1
	members          []view.Member
	explored         map[uint64]int8 // by state: the remaining depth with which it was explored
	states           int             // number of states found
	expansions       int             // number of times that a state was explored
	deadline         time.Time
	stopped          bool
	violation        string
	path             []searchStep
	seed             maphash.Seed
	buffer           []byte
	keys             []string                               // registers in use
	successorOfJoint func(w *searchState) (view.View, bool) // the successor of the joint view, once it may be chosen
	checkLeaf        func(w *searchState) string            // checks a state at the greatest depth
}

func newStateSearch() *stateSearch {
	var members []view.Member
	for _, address := range []string{"s0", "s1", "s2", "s3"} {
		members = append(members, view.Member{Address: address, Incarnation: 1})
	}
	first := view.Initial(1, members[:3])
	joint := first.Join(members[3], members[2])
	x := &stateSearch{views: []view.View{first, joint, joint.Complete()}, members: members, explored: map[uint64]int8{},
		seed: maphash.MakeSeed(), keys: []string{searchKey}, checkLeaf: func(*searchState) string { return "" }}
	x.successorOfJoint = func(w *searchState) (view.View, bool) { return x.views[2], x.stableViewAllowed(w) }
	return x
}

// initialState is a state from which the search starts.
type initialState struct {
	name      string
	prepare   func(x *stateSearch, w *searchState)
	fault     injectedFault
	violation string // kind of violation that must be found
}

// The home of the key is s0.
var initialStates = []initialState{
	{name: "nothing was written", prepare: func(*stateSearch, *searchState) {}},
	{name: "a is chosen, s1 has not received it", prepare: chosenBeforeMemberExchange},
	{name: "a is accepted by s0 only", prepare: func(x *stateSearch, w *searchState) {
		x.accept(w, 0, Ballot{1, 2, 1, 1}, "a")
	}},
	{name: "a is accepted by s0 only, and b by s1 only", prepare: func(x *stateSearch, w *searchState) {
		x.accept(w, 0, Ballot{1, 2, 1, 1}, "a")
		x.accept(w, 1, Ballot{1, 3, 2, 2}, "b")
	}},
}

// Initial states with an injected fault, which must be found.
var faultyInitialStates = []initialState{
	{"a joiner votes early", chosenBeforeMemberExchange, earlyJoinerVote, staleVersion},
	{"a leaver's values are dropped", chosenBeforeMemberExchange, leaverDropped, staleVersion},
}

// chosenBeforeMemberExchange makes s0 and s2 accept the first change. s2 is the member that will leave.
func chosenBeforeMemberExchange(x *stateSearch, w *searchState) {
	x.accept(w, 0, Ballot{1, 1, 1, 1}, "a")
	x.accept(w, 2, Ballot{1, 1, 1, 1}, "a")
	w.changes[0] = searchChange{key: searchKey, server: 0, body: "a", started: true, version: 1, answeredBody: "a"}
}

// accept stores a value of version 1 on one server.
func (x *stateSearch) accept(w *searchState, i int, b Ballot, body string) {
	rs := w.servers[i].registers
	rs.accept(1, &meshpb.Accept{Key: searchKey, Ballot: b.Wire(),
		Value: &meshpb.Receipt{Token: 1, State: Stored, Body: []byte(body)}})
	rs.TakeEffects()
}

// initial returns the initial state: changes are still to be made at s0 and s1.
func (x *stateSearch) initial(fault injectedFault) *searchState {
	w := &searchState{fault: fault, changes: []searchChange{{key: searchKey, server: 0, body: "c"},
		{key: searchKey, server: 1, body: "d"}}}
	for i, m := range x.members {
		rs := New(m, uint32(i+1), modelWindow)
		rs.SetView(1, x.views[0], 1)
		rs.StartVoting()
		w.servers = append(w.servers, searchServer{registers: rs})
	}
	return w
}

// ---- copies of a state

// clone copies a state for a step of one server. The other servers are shared with the original and not modified any more.
func (w *searchState) clone(stepping int) *searchState {
	next := &searchState{fault: w.fault, changes: slices.Clone(w.changes), servers: slices.Clone(w.servers),
		network: make([]modelMessage, len(w.network), len(w.network)+typicalSends)}
	copy(next.network, w.network)
	s := w.servers[stepping]
	next.servers[stepping] = searchServer{next.cloneRegisters(s.registers), slices.Clone(s.readMembers)}
	return next
}

func (w *searchState) cloneRegisters(rs *Registers) *Registers {
	next := *rs
	next.entries = make(map[string]*entry, len(rs.entries))
	for key, e := range rs.entries {
		held := *e
		next.entries[key] = &held
	}
	next.changes, next.changesByID = map[string]*change{}, map[uint64]*change{}
	for key, c := range rs.changes {
		copied := *c
		copied.votes, copied.newestAcceptedBy = maps.Clone(c.votes), maps.Clone(c.newestAcceptedBy)
		copied.reserve, copied.recipients = slices.Clone(c.reserve), slices.Clone(c.recipients)
		w.bindChange(&copied, slices.IndexFunc(w.changes, func(other searchChange) bool {
			return other.server == int(rs.life)-1 && other.key == c.key
		}))
		next.changes[key], next.changesByID[c.id] = &copied, &copied
	}
	next.waiting, next.slowUntil = map[string][]*change{}, maps.Clone(rs.slowUntil)
	return &next
}

// bindChange makes a copied change operate on this state instead of the state that it was copied from.
func (w *searchState) bindChange(c *change, i int) {
	c.edit = func(old *meshpb.Receipt) (*meshpb.Receipt, State) {
		w.changes[i].editedBody = string(old.GetBody())
		if w.changes[i].key == ViewKey && old != nil { // the successor is decided, or is being decided
			return nil, Stored
		}
		return &meshpb.Receipt{Token: old.GetToken() + 1, State: Stored, Body: []byte(w.changes[i].body)}, Stored
	}
	c.answer = func(state State, held *meshpb.Receipt) {
		if state != Unsure {
			w.changes[i].version, w.changes[i].answeredBody = held.GetToken(), string(held.GetBody())
		}
	}
}

// ---- steps

// steps returns the steps that are possible in a state.
func (x *stateSearch) steps(w *searchState) (all []searchStep) {
	for i, c := range w.changes {
		if !c.started && w.servers[c.server].registers.voting && x.mayStart(w, c) {
			all = append(all, searchStep{stepStart, c.server, i})
		}
	}
	for i, m := range w.network {
		all = append(all, searchStep{stepDeliver, x.index(m.to), i})
	}
	for i, s := range w.servers {
		_, followed := x.successorOfJoint(w)
		if epoch := s.registers.view.Epoch; epoch == 1 || epoch == 2 && followed {
			all = append(all, searchStep{stepAdopt, i, 0})
		}
	}
	joiner := w.servers[3]
	if joiner.registers.view.Epoch == 2 && !joiner.registers.voting {
		for i := range 3 {
			if w.servers[i].registers.view.Epoch == 2 && !slices.Contains(joiner.readMembers, x.members[i]) {
				all = append(all, searchStep{stepRead, 3, i})
			}
		}
	}
	return all
}

// mayStart reports whether a server would start the change now. Only a server that uses the joint view proposes its successor,
// and it proposes the view of the new members only once the joiner has read everything.
func (x *stateSearch) mayStart(w *searchState, c searchChange) bool {
	return c.key != ViewKey || w.servers[c.server].registers.view.Epoch == 2 && (c.body != completedBody || x.stableViewAllowed(w))
}

func (x *stateSearch) index(address string) int { return int(address[1] - '0') }

// stableViewAllowed reports whether the stable view may have been chosen.
func (x *stateSearch) stableViewAllowed(w *searchState) bool {
	rs := w.servers[3].registers
	return rs.view.Epoch == 3 || rs.voting && rs.view.Epoch == 2 || w.fault == leaverDropped && rs.view.Epoch == 2
}

// apply applies a step to a copy of a state.
func (x *stateSearch) apply(old *searchState, step searchStep) *searchState {
	w := old.clone(step.server)
	switch step.kind {
	case stepStart:
		x.startChange(w, step.target)
	case stepDeliver:
		m := w.network[step.target]
		w.network = slices.Delete(w.network, step.target, step.target+1)
		w.servers[step.server].registers.HandleMessage(1, m.from, m.message)
	case stepAdopt:
		x.adopt(w, step.server)
	case stepRead:
		x.read(w, step.target)
	}
	x.collectEffects(w, step.server)
	w.network = slices.DeleteFunc(w.network, func(m modelMessage) bool { return x.isMoot(w, m) })
	return w
}

// isMoot reports whether a message can have no effect any more, whenever it arrives.
func (x *stateSearch) isMoot(w *searchState, m modelMessage) bool {
	rs := w.servers[x.index(m.to)].registers
	if m.epoch < rs.view.Epoch {
		return true
	}
	if m.epoch > rs.view.Epoch {
		return false
	}
	c := rs.changesByID[m.message.Id]
	switch {
	case m.message.Promise != nil:
		return c == nil || !c.preparing
	case m.message.Accepted != nil:
		return c == nil
	}
	return false
}

func (x *stateSearch) startChange(w *searchState, i int) {
	c := &w.changes[i]
	c.started = true
	for _, other := range w.changes {
		if other.key == c.key {
			c.minVersion = max(c.minVersion, other.version)
		}
	}
	started := &change{key: c.key, linearizable: true}
	w.bindChange(started, i)
	w.servers[c.server].registers.startChange(1, started)
}

func (x *stateSearch) adopt(w *searchState, i int) {
	rs := w.servers[i].registers
	v := x.views[rs.view.Epoch]
	if rs.view.Epoch == 2 {
		v, _ = x.successorOfJoint(w)
	}
	left := rs.view.Has(rs.self) && !v.Has(rs.self)
	if left {
		rs.Reset(1, view.Member{Address: rs.self.Address, Incarnation: 2})
	}
	rs.SetView(1, v, modelWindow)
	joiner, _ := v.Joiner()
	if slices.Contains(v.Members, rs.self) || joiner == rs.self && w.fault == earlyJoinerVote {
		rs.StartVoting()
	}
}

func (x *stateSearch) read(w *searchState, from int) {
	joiner := &w.servers[3]
	page, _, _ := w.servers[from].registers.Page(0)
	joiner.registers.Merge(1, page)
	joiner.readMembers = append(joiner.readMembers, x.members[from])
	if joiner.registers.view.OldQuorum(func(m view.Member) bool { return slices.Contains(joiner.readMembers, m) }) {
		joiner.registers.StartVoting()
	}
}

// collectEffects adds the messages that a server sends to the network.
func (x *stateSearch) collectEffects(w *searchState, i int) {
	rs := w.servers[i].registers
	for {
		effects := rs.TakeEffects()
		sends := append(effects.Sends, effects.After...)
		for _, send := range sends {
			if send.To == rs.self.Address {
				rs.HandleMessage(1, rs.self, send.Message)
				continue
			}
			w.network = append(w.network, modelMessage{rs.self, send.To, rs.view.Epoch, send.Message})
		}
		if len(sends) == 0 {
			return
		}
	}
}

// ---- search

// explore applies every possible step to a state, down to a depth.
func (x *stateSearch) explore(w *searchState, depth int) {
	if x.violation = w.check(); x.violation != "" {
		return
	}
	if depth == 0 {
		x.violation = x.checkLeaf(w)
		return
	}
	key := x.stateHash(w)
	if int(x.explored[key]) >= depth {
		return
	}
	if x.explored[key] == 0 {
		x.states++
	}
	x.explored[key] = int8(depth)
	if x.expansions++; x.expansions%1024 == 0 && !x.deadline.IsZero() && time.Now().After(x.deadline) {
		x.stopped = true
	}
	for _, step := range x.steps(w) {
		x.path = append(x.path, step)
		x.explore(x.apply(w, step), depth-1)
		if x.violation != "" || x.stopped {
			return
		}
		x.path = x.path[:len(x.path)-1]
	}
}

// check returns the violation that the answers so far show, if any.
func (w *searchState) check() string {
	a, b := w.changes[0], w.changes[1]
	for _, c := range []searchChange{a, b} {
		if c.version > 0 && c.version <= c.minVersion {
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
	case b.version == a.version+1 && b.editedBody != a.answeredBody, a.version == b.version+1 && a.editedBody != b.answeredBody:
		return brokenChain
	}
	return ""
}

// ---- tests

// searchKey is a register whose home is s0, and s3 once s3 has joined. Messages of a change go to the home first.
var searchKey = func() string {
	for i := 0; ; i++ {
		key := modelRegister(i)
		if order := HomeOrder(key, []string{"s0", "s1", "s2", "s3"}); order[0] == "s3" && order[1] == "s0" {
			return key
		}
	}
}()

// exploreDeeper explores all states to increasing depths until the time limit. It returns the last depth that was completed.
func (x *stateSearch) exploreDeeper(t *testing.T, b initialState, least int) (finished int) {
	start := time.Now()
	for depth := exhaustiveMinDepth; depth <= exhaustiveMaxDepth; depth++ {
		clear(x.explored)
		x.states = 0
		if depth > least {
			x.deadline = start.Add(exhaustiveTimeLimit)
		}
		w := x.initial(b.fault)
		b.prepare(x, w)
		x.explore(w, depth)
		if x.stopped || x.violation != "" {
			return finished
		}
		t.Logf("%s: %d states to depth %d, %.1f s", b.name, x.states, depth, time.Since(start).Seconds())
		finished = depth
	}
	return finished
}

// Two servers change one register while one member is exchanged, in every order of events up to the explored depth.
func TestModelExhaustive(t *testing.T) {
	for _, b := range initialStates {
		x := newStateSearch()
		if x.exploreDeeper(t, b, exhaustiveMinDepth); x.violation != "" {
			t.Fatalf("%s: %s after steps %v", b.name, x.violation, x.path)
		}
	}
}

// The exploration detects the injected faults.
func TestModelExhaustiveFindsPlantedFaults(t *testing.T) {
	for _, b := range faultyInitialStates {
		x := newStateSearch()
		finished := x.exploreDeeper(t, b, exhaustiveFaultDepth)
		if x.violation != b.violation {
			t.Errorf("%s: found %q to depth %d, want %q", b.name, x.violation, finished, b.violation)
			continue
		}
		t.Logf("%s: %s after steps %v", b.name, x.violation, x.path)
	}
}
