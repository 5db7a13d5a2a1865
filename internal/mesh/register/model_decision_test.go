package register

import (
	"slices"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// The exhaustive exploration of how a joint view ends: three members that go by it, one that joins, a coordinator that would complete the
// change, and another that would abandon it. In every order of messages, reading and adoption, lost messages included, one successor is
// decided; and from every state that is reached, with the joiner and one member gone for good, the other two can still leave the
// joint view. For longer: MODEL_WITHIN=600 go test -v -run TestModelJointViewEnds ./internal/mesh/register

const (
	completedBody            = "complete"
	abandonedBody            = "abandon"
	twoSuccessors            = "a joint view has two successors"
	stuckView                = "nobody can leave a joint view any more"
	decisionMinDepth         = 8                 // steps that are explored whatever it takes
	decisionTimeLimitSeconds = 4                 // seconds, or MODEL_WITHIN: then no further step is explored
	unchosenViewAdopted      = injectedFault(99) // planted: a server goes by its own proposal before it is chosen
)

// decisionSearch explores the end of a joint view.
func decisionSearch() *stateSearch {
	x := newStateSearch()
	x.keys = []string{searchKey, ViewKey}
	x.successorOfJoint = x.decidedSuccessor
	x.checkLeaf = x.canLeave
	return x
}

// decisionWorld is the beginning: the members go by the joint view, the joiner has read nothing, and a value was confirmed before.
func (x *stateSearch) decisionState(fault injectedFault) *searchState {
	w := x.initial(fault)
	chosenBeforeMemberExchange(x, w)
	w.changes[1].started = true // no other change of the ordinary register: TestModelExhaustive has those
	w.changes = append(w.changes, searchChange{key: ViewKey, server: 0, body: completedBody}, searchChange{key: ViewKey, server: 1, body: abandonedBody})
	for i := range w.servers {
		x.adopt(w, i)
		x.collectEffects(w, i)
	}
	return w
}

// decided is the successor of the joint view that a server was told.
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

// canLeave takes the joiner away, and each old member in turn, and looks whether the other two decide what follows. A joiner that has
// read everything counts as a member: it is lost then, and nobody else.
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

// leaves has some servers go on by themselves, with all that was on its way lost, until a view follows the joint one.
func (x *stateSearch) canDecideAlone(old *searchState, alive []int) bool {
	w := old
	for _, i := range alive {
		w = w.clone(i)
	}
	w.network = nil
	var held string
	proposer := w.servers[alive[0]].registers
	for _, i := range alive {
		if w.servers[i].registers.view.Epoch > 2 {
			return true // it tells the others
		}
	}
	proposer.Tick(1 + 2*ChangeTimeout) // what was under way is given up
	begun := &change{key: ViewKey, linearizable: true}
	begun.edit = func(old *meshpb.Receipt) (*meshpb.Receipt, State) {
		if old != nil {
			return nil, Stored
		}
		return &meshpb.Receipt{Token: 1, State: Stored, Body: []byte(abandonedBody)}, Stored
	}
	begun.answer = func(state State, r *meshpb.Receipt) {
		if state != Unsure {
			held = string(r.GetBody())
		}
	}
	proposer.startChange(1+2*ChangeTimeout, begun)
	for round := 0; round < 100 && held == ""; round++ {
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
	return held != ""
}

// checkSuccessors says whether two servers were told different successors, or go by different ones.
func checkSuccessors(w *searchState) string {
	told := map[string]bool{}
	for _, c := range w.changes {
		if c.key == ViewKey && c.answeredBody != "" {
			told[c.answeredBody] = true
		}
	}
	for _, s := range w.servers {
		if v := s.registers.view; v.Epoch == 3 && w.fault == unchosenViewAdopted {
			told[map[bool]string{true: abandonedBody, false: completedBody}[v.Has(view.Member{Address: "s2", Incarnation: 1})]] = true
		}
	}
	if len(told) > 1 {
		return twoSuccessors
	}
	return ""
}

// decide explores to greater and greater depths.
func (x *stateSearch) exploreDecision(t *testing.T, fault injectedFault) {
	began := time.Now()
	for depth := decisionMinDepth; depth <= exhaustiveMaxDepth; depth++ {
		clear(x.explored)
		x.states = 0
		if depth > decisionMinDepth {
			x.deadline = began.Add(time.Duration(settingOrDefault(modelTimeLimitVariable, decisionTimeLimitSeconds)) * time.Second)
		}
		x.explore(x.decisionState(fault), depth)
		if x.stopped || x.violation != "" {
			return
		}
		t.Logf("%d states to depth %d, %.1f s", x.states, depth, time.Since(began).Seconds())
	}
}

// How a joint view ends, in every order.
func TestModelJointViewEnds(t *testing.T) {
	x := decisionSearch()
	if x.exploreDecision(t, 0); x.violation != "" {
		t.Fatalf("%s by %v", x.violation, x.path)
	}
}

// The exploration finds a server that goes by a view that is not chosen.
func TestModelJointViewFindsAPlantedFault(t *testing.T) {
	x := decisionSearch()
	if x.exploreDecision(t, unchosenViewAdopted); x.violation != twoSuccessors {
		t.Fatalf("found %q", x.violation)
	}
}
