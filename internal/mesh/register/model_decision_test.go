package register

import (
	"slices"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// An exhaustive exploration of how a joint view ends: three members that use it, one joiner, a coordinator that tries to
// complete the change, and another that tries to abandon it. In every order of messages, reads and adoptions, lost messages
// included, exactly one successor is decided. From every state reached, with the joiner and one member lost for good, the other
// two members can still leave the joint view.
//
// To run it for longer: MODEL_WITHIN=600 go test -v -run TestModelJointViewEnds ./internal/mesh/register

const (
	completedBody            = "complete"
	abandonedBody            = "abandon"
	twoSuccessors            = "a joint view has two successors"
	stuckView                = "a joint view cannot be left any more"
	decisionMinDepth         = 8                 // depth that is always explored
	decisionTimeLimitSeconds = 4                 // overridden by MODEL_WITHIN; after it no greater depth is explored
	unchosenViewAdopted      = injectedFault(99) // injected fault: a server adopts its own proposal before the proposal is chosen
)

// decisionSearch returns a search for the end of a joint view.
func decisionSearch() *stateSearch {
	x := newStateSearch()
	x.keys = []string{searchKey, ViewKey}
	x.successorOfJoint = x.decidedSuccessor
	x.checkLeaf = x.canLeave
	return x
}

// decisionState returns the initial state: the members use the joint view, the joiner has read nothing, and one value was
// chosen and answered before.
func (x *stateSearch) decisionState(fault injectedFault) *searchState {
	w := x.initial(fault)
	chosenBeforeMemberExchange(x, w)
	w.changes[1].started = true // no second change of the ordinary register: TestModelExhaustive covers those
	w.changes = append(w.changes, searchChange{key: ViewKey, server: 0, body: completedBody},
		searchChange{key: ViewKey, server: 1, body: abandonedBody})
	for i := range w.servers {
		x.adopt(w, i)
		x.collectEffects(w, i)
	}
	return w
}

// decidedSuccessor returns the successor of the joint view that a server was told.
func (x *stateSearch) decidedSuccessor(w *searchState) (view.View, bool) {
	for _, c := range w.changes {
		body := c.answeredBody
		if w.fault == unchosenViewAdopted && c.started {
			body = c.body
		}
		if c.key == ViewKey && body != "" {
			return x.successor(body), true
		}
	}
	return view.View{}, false
}

func (x *stateSearch) successor(body string) view.View {
	if body == completedBody {
		return x.views[1].Complete()
	}
	return x.views[1].Abandon()
}

// canLeave removes the joiner and each old member in turn, and checks that the other two can decide the next view. A joiner
// that has read everything counts as a member, and is then the only one removed.
func (x *stateSearch) canLeave(w *searchState) string {
	if w.fault == unchosenViewAdopted {
		return ""
	}
	joinerCounts := w.servers[3].registers.voting
	for lost := range 3 {
		if joinerCounts && lost > 0 {
			break // the joiner is the one that is lost
		}
		alive := []int{0, 1, 2}
		if !joinerCounts {
			alive = slices.Delete(alive, lost, lost+1)
		}
		if !x.canDecideAlone(w, alive) {
			return stuckView
		}
	}
	return ""
}

// canDecideAlone runs the given servers without the others, with all messages in flight lost, and reports whether they decide
// the successor of the joint view.
func (x *stateSearch) canDecideAlone(old *searchState, alive []int) bool {
	w := old
	for _, i := range alive {
		w = w.clone(i)
	}
	w.network = nil
	var decided string
	proposer := w.servers[alive[0]].registers
	for _, i := range alive {
		if w.servers[i].registers.view.Epoch > 2 {
			return true // this server already uses the successor and passes it on to the others
		}
	}
	proposer.Tick(1 + 2*ChangeTimeout) // changes in progress are given up
	proposal := &change{key: ViewKey, linearizable: true}
	proposal.edit = func(old *meshpb.Receipt) (*meshpb.Receipt, State) {
		if old != nil {
			return nil, Stored
		}
		return &meshpb.Receipt{Token: 1, State: Stored, Body: []byte(abandonedBody)}, Stored
	}
	proposal.answer = func(state State, r *meshpb.Receipt) {
		if state != Unsure {
			decided = string(r.GetBody())
		}
	}
	proposer.startChange(1+2*ChangeTimeout, proposal)
	for round := 0; round < 100 && decided == ""; round++ {
		now := 1 + 2*ChangeTimeout + 0.02*float64(round)
		for _, i := range alive {
			x.collectEffects(w, i)
		}
		sent := w.network
		w.network = nil
		for _, m := range sent {
			if i := x.index(m.to); slices.Contains(alive, i) {
				w.servers[i].registers.HandleMessage(now, m.from, m.message)
			}
		}
		for _, i := range alive {
			w.servers[i].registers.Tick(now)
		}
	}
	return decided != ""
}

// checkSuccessors returns a violation if two servers were told different successors or use different ones.
func checkSuccessors(w *searchState) string {
	decided := map[string]bool{}
	for _, c := range w.changes {
		if c.key == ViewKey && c.answeredBody != "" {
			decided[c.answeredBody] = true
		}
	}
	for _, s := range w.servers {
		if v := s.registers.view; v.Epoch == 3 && w.fault == unchosenViewAdopted {
			decided[map[bool]string{true: abandonedBody, false: completedBody}[v.Has(view.Member{Address: "s2", Incarnation: 1})]] = true
		}
	}
	if len(decided) > 1 {
		return twoSuccessors
	}
	return ""
}

// exploreDecision explores to increasing depths.
func (x *stateSearch) exploreDecision(t *testing.T, fault injectedFault) {
	start := time.Now()
	for depth := decisionMinDepth; depth <= exhaustiveMaxDepth; depth++ {
		clear(x.explored)
		x.states = 0
		if depth > decisionMinDepth {
			x.deadline = start.Add(time.Duration(settingOrDefault(modelTimeLimitVariable, decisionTimeLimitSeconds)) * time.Second)
		}
		x.explore(x.decisionState(fault), depth)
		if x.stopped || x.violation != "" {
			return
		}
		t.Logf("%d states to depth %d, %.1f s", x.states, depth, time.Since(start).Seconds())
	}
}

// A joint view has one successor and can always be left, in every order of events up to the explored depth.
func TestModelJointViewEnds(t *testing.T) {
	x := decisionSearch()
	if x.exploreDecision(t, 0); x.violation != "" {
		t.Fatalf("%s after steps %v", x.violation, x.path)
	}
}

// The exploration detects a server that uses a view that was not chosen.
func TestModelJointViewFindsAPlantedFault(t *testing.T) {
	x := decisionSearch()
	if x.exploreDecision(t, unchosenViewAdopted); x.violation != twoSuccessors {
		t.Fatalf("found %q", x.violation)
	}
}
