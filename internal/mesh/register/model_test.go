package register

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// The number of seeds that the random exploration runs, and the first seed. To run it for hours:
//
//	MODEL_SEEDS=5000000 go test -run TestModel -timeout 0 ./internal/mesh/register
//
// To repeat one seed with its trace:
//
//	MODEL_FROM=1234 MODEL_SEEDS=1 MODEL_TRACE=1 go test -v -run TestModelRandom ./internal/mesh/register
const (
	modelSeedsVariable     = "MODEL_SEEDS"
	modelFromVariable      = "MODEL_FROM"
	modelTraceVariable     = "MODEL_TRACE"
	modelTimeLimitVariable = "MODEL_WITHIN"
	modelSeeds             = 1500
	modelSeedsRace         = 150 // under the race detector, which finds nothing in a single goroutine
	modelSteps             = 600
	modelKeys              = 4     // number of registers, and of keys of operations
	faultSeeds             = 40000 // maximum number of seeds tried until an injected fault is found
)

func settingOrDefault(name string, otherwise uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}

func defaultSeeds() uint64 {
	if raceDetector {
		return modelSeedsRace
	}
	return modelSeeds
}

// modelRun is one run of the random exploration.
type modelRun struct {
	*modelCluster
	phase       modelPhase
	writes      uint64
	tokens      uint64
	granted     map[string][]uint64 // by key: tokens that were told that they hold it
	settlements map[uint64]State    // by token: the state with which its holder settles
	wipedDisks  int
	keys        int  // number of registers in use
	clockJumps  bool // the clock may jump beyond the window for which keys are kept
}

// modelPhase is how the environment behaves for some steps.
type modelPhase struct {
	stepsLeft     int
	lossy         bool            // messages are lost, duplicated and delayed
	slowDisks     bool            // batches are synced late
	interruptRate int             // twice the number of steps in a thousand that stop or start a process
	isolated      map[string]bool // addresses of servers without network
}

func newModelRun(seed uint64, fault injectedFault) *modelRun {
	members := 3 + 2*int(seed%6/5)
	r := &modelRun{modelCluster: newModelCluster(seed, members, 2, fault), granted: map[string][]uint64{},
		settlements: map[uint64]State{}}
	switch seed % 4 {
	case 0, 1:
		r.claims, r.keys = true, modelKeys
	case 2:
		r.clockJumps, r.keys = true, 2*modelKeys
	default:
		r.keys = 1
	}
	return r
}

// run takes random steps, then repairs everything and reads all registers.
func (r *modelRun) run(steps int) *violation {
	for range steps {
		r.step()
		if r.history.violation != nil {
			return r.history.violation
		}
	}
	r.heal()
	return r.history.violation
}

func (r *modelRun) nextPhase() {
	r.phase = modelPhase{stepsLeft: 10 + r.random.IntN(80), lossy: r.random.IntN(2) == 0, slowDisks: r.random.IntN(3) == 0,
		interruptRate: r.random.IntN(3) * r.random.IntN(30), isolated: map[string]bool{}}
	for range r.random.IntN(3) {
		r.phase.isolated[r.servers[r.random.IntN(len(r.servers))].address] = true
	}
}

// step performs one random event.
func (r *modelRun) step() {
	if r.phase.stepsLeft == 0 {
		r.nextPhase()
	}
	r.phase.stepsLeft--
	s := r.servers[r.random.IntN(len(r.servers))]
	switch n := r.random.IntN(1000); {
	case n < 620:
		r.deliver()
	case n < 820:
		r.syncRandomDisk()
	case n < 850:
		r.tick()
	case n < 900:
		r.clientOperation(s)
	case n < 950:
		r.proposeView(s)
	case n < 950+r.phase.interruptRate/2:
		r.interrupt(s)
	case n >= 997 && r.clockJumps:
		r.now += modelWindow + windowSlack + 1 // long enough for keys to expire, and for the fast path of a later epoch
	}
	if !r.phase.slowDisks {
		r.syncRandomDisk()
	}
}

// deliver delivers a message, loses it, or delivers it and keeps it for a second delivery.
func (r *modelRun) deliver() {
	for len(r.network) > modelMaxPending {
		r.remove(r.random.IntN(len(r.network)))
	}
	if len(r.network) == 0 {
		return
	}
	i := r.random.IntN(len(r.network))
	if r.random.IntN(4) > 0 { // most messages are delivered soon
		i = len(r.network) - 1 - r.random.IntN(min(modelRecentMessages, len(r.network)))
	}
	m := r.network[i]
	if r.phase.isolated[m.to] || r.phase.isolated[m.from.Address] {
		if r.random.IntN(4) > 0 {
			r.remove(i)
		}
		return
	}
	outcome := r.random.IntN(20)
	if !r.phase.lossy || outcome != 0 { // otherwise it will be delivered again
		r.remove(i)
	}
	if !r.phase.lossy || outcome != 1 {
		r.deliverMessage(m)
	}
}

// remove removes a message from the network. The others keep their order.
func (r *modelRun) remove(i int) { r.network = slices.Delete(r.network, i, i+1) }

func (r *modelRun) deliverMessage(m modelMessage) {
	s := r.byAddress[m.to]
	if !s.up {
		return
	}
	r.trace("%s (epoch %d) receives from %s (epoch %d): %v", s.address, s.view.Epoch, m.from.Address, m.epoch, m.message)
	s.handle(m)
	s.collectEffects()
}

// syncRandomDisk completes the sync of one disk that is writing, if any.
func (r *modelRun) syncRandomDisk() {
	first := r.random.IntN(len(r.servers))
	for i := range r.servers {
		if s := r.servers[(first+i)%len(r.servers)]; s.up && s.syncing {
			r.sync(s)
			return
		}
	}
}

func (r *modelRun) sync(s *modelServer) {
	if s.up && s.syncing {
		r.trace("%s: %d values synced to disk", s.address, len(s.syncingBatch.puts))
		s.finishSync()
	}
}

func (r *modelRun) tick() {
	r.now += 0.2 * r.random.Float64()
	for _, s := range r.servers {
		if !s.up {
			continue
		}
		s.registers.Tick(r.now)
		if s.view.Joint() && r.random.IntN(2) == 0 || r.random.IntN(10) == 0 {
			s.requestState()
			s.announceSynced()
		}
		s.collectEffects()
	}
}

// interrupt stops a process, starts it again, or erases its disk.
func (r *modelRun) interrupt(s *modelServer) {
	if !s.up {
		r.trace("%s starts", s.address)
		s.start()
		return
	}
	power := r.random.IntN(2) == 0
	wiped := r.random.IntN(6) == 0 && r.wipedDisks < 2
	s.stop(power)
	r.trace("%s stops, power %v, wiped %v", s.address, power, wiped)
	if wiped {
		r.wipedDisks++
		s.wipe()
	}
	if r.random.IntN(3) > 0 {
		s.start()
	}
}

// ---- views

// proposeView makes a server propose the next view, if it may.
func (r *modelRun) proposeView(s *modelServer) {
	if !s.up || !s.registers.Voting() || s.proposingView {
		return
	}
	if !s.view.Joint() {
		if next, found := r.chooseExchange(s); found {
			s.changeView(next)
		}
		return
	}
	joiner, _ := s.view.Joiner()
	switch {
	case s.joinerSyncedEpochs[joiner] == s.view.Epoch, r.fault == leaverDropped, r.fault == earlyJoinerVote:
		s.changeView(s.view.Complete())
	case r.random.IntN(8) == 0:
		s.changeView(s.view.Abandon())
	}
}

// chooseExchange chooses a server that waits to join, and a member that it replaces. To a view of fewer than five
// members it may add the server without replacing one.
func (r *modelRun) chooseExchange(s *modelServer) (next view.View, found bool) {
	var waiting []view.Member
	for _, other := range r.servers {
		identified := decodeUint64(other.disk[modelIdentity]) == other.self.Incarnation
		if other.up && identified && !s.view.Has(other.self) {
			waiting = append(waiting, other.self)
		}
	}
	if len(waiting) == 0 {
		return view.View{}, false
	}
	joiner := waiting[r.random.IntN(len(waiting))]
	for _, m := range s.view.Members {
		if m.Address == joiner.Address {
			return s.view.Join(joiner, m), true
		}
	}
	if len(s.view.Members) < 5 && r.random.IntN(4) == 0 {
		return s.view.Join(joiner, view.Member{}), true
	}
	return s.view.Join(joiner, s.view.Members[r.random.IntN(len(s.view.Members))]), true
}

// ---- operations

func (r *modelRun) clientOperation(s *modelServer) {
	if !s.up || !s.registers.Voting() {
		return
	}
	if r.fault == unchosenFastPath {
		s.markAcceptedAsChosen()
	}
	if r.claims && r.random.IntN(2) == 0 {
		r.claimOrSettle(s, modelOperation(r.random.IntN(modelKeys)))
		return
	}
	r.update(s, modelRegister(r.random.IntN(r.keys)), r.random.IntN(3) > 0)
}

// update changes a register, or reads it.
func (r *modelRun) update(s *modelServer, key string, write bool) {
	r.writes++
	body, saw := fmt.Sprintf("w%d", r.writes), ""
	least := r.history.register(key).newestVersion
	edit := func(old []byte) []byte {
		saw = string(old)
		if !write {
			return nil
		}
		return []byte(body)
	}
	r.trace("%s is asked: %q, write %v %s, at least version %d", s.address, key, write, body, least)
	s.registers.Update(r.now, key, edit, func(version uint64, held []byte, ok bool) {
		r.trace("%s answers %s: ok %v, version %d %q", s.address, body, ok, version, held)
		if ok {
			r.history.updated(key, least, version, string(held), saw, write)
		}
	})
	s.collectEffects()
}

func (r *modelRun) claimOrSettle(s *modelServer, key string) {
	holders := r.granted[key]
	switch {
	case len(holders) > 0 && r.random.IntN(2) == 0:
		r.settle(s, key, holders[r.random.IntN(len(holders))])
	case r.tokens > 0 && r.random.IntN(4) == 0:
		r.settleIfFree(s, key, 1+r.random.Uint64N(r.tokens))
	case r.tokens > 0 && r.random.IntN(4) == 0: // a repeated claim
		r.claim(s, key, 1+r.random.Uint64N(r.tokens))
	default:
		r.tokens++
		r.claim(s, key, r.tokens)
	}
}

func (r *modelRun) claim(s *modelServer, key string, token uint64) {
	known := r.history.claim(key)
	voided, recorded := known.voided[token], known.recorded
	r.trace("%s is asked: token %d claims %s", s.address, token, key)
	s.registers.Claim(r.now, &meshpb.Claim{Key: key, Token: token}, func(state State, _ *meshpb.Receipt) {
		r.trace("%s answers: token %d, %s: %s", s.address, token, key, modelStateName(state))
		if r.settlements[token] != Free && state == Claimed { // a late answer to a token that has settled since
			return
		}
		r.history.claimAnswered(key, token, state, voided, recorded)
		if state == Claimed {
			r.granted[key] = append(r.granted[key], token)
		}
	})
	s.collectEffects()
}

// settle ends the run of a token that holds the key. A token always ends in the same state, however often it is settled.
func (r *modelRun) settle(s *modelServer, key string, token uint64) {
	if r.settlements[token] == Free {
		r.settlements[token] = []State{Done, Void, Void}[r.random.IntN(3)]
	}
	r.settleAs(s, key, token, r.settlements[token], false)
}

func (r *modelRun) settleIfFree(s *modelServer, key string, token uint64) {
	r.settleAs(s, key, token, Void, true)
}

func (r *modelRun) settleAs(s *modelServer, key string, token uint64, end State, ifFree bool) {
	if !ifFree {
		r.history.settleRequested(key, token, end)
	}
	r.trace("%s is asked: token %d settles %s as %s, if free %v", s.address, token, key, modelStateName(end), ifFree)
	receipt := &meshpb.Receipt{Token: token, State: end}
	s.registers.Settle(r.now, key, receipt, ifFree, func(state State, _ *meshpb.Receipt) {
		r.trace("%s answers: token %d settled %s: %s", s.address, token, key, modelStateName(state))
		r.history.settled(key, token, end, state)
	})
	s.collectEffects()
}

// ---- the end

// heal starts all servers, delivers everything, and reads all registers.
func (r *modelRun) heal() {
	for _, s := range r.servers {
		if !s.up {
			s.start()
		}
	}
	r.deliverAll()
	for _, s := range r.servers {
		for i := range r.keys {
			if s.registers.Voting() && r.random.IntN(2) == 0 {
				r.update(s, modelRegister(i), false)
			}
			if r.claims && s.registers.Voting() {
				r.tokens++
				r.claim(s, modelOperation(i), r.tokens)
			}
		}
		r.deliverAll()
	}
}

// deliverAll delivers all messages for a while.
func (r *modelRun) deliverAll() {
	for range 6 {
		for limit := 0; len(r.network) > 0 && limit < 2000; limit++ {
			i := r.random.IntN(len(r.network))
			m := r.network[i]
			r.remove(i)
			r.deliverMessage(m)
			for _, s := range r.servers {
				r.sync(s)
			}
		}
		for _, s := range r.servers {
			r.sync(s)
		}
		r.tick()
	}
}

// ---- tests

// Servers are lost, replaced and restored while registers are changed, read, claimed and settled, and messages arrive in any
// order. No answer may ever be contradicted by a later one.
func TestModelRandom(t *testing.T) {
	from, seeds := settingOrDefault(modelFromVariable, 0), settingOrDefault(modelSeedsVariable, defaultSeeds())
	answered, epochs := 0, 0
	for seed := from; seed < from+seeds; seed++ {
		r := newModelRun(seed, noFault)
		if os.Getenv(modelTraceVariable) != "" {
			r.trace = t.Logf
		}
		if violation := r.run(modelSteps); violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
		answered += r.history.answered
		epochs += len(r.history.views)
	}
	t.Logf("%d seeds: %d changes answered, %d views chosen", seeds, answered, epochs)
	if seeds >= modelSeedsRace && (answered < int(seeds) || epochs < int(seeds)) {
		t.Fatalf("only %d changes answered and %d views chosen in %d runs: too few to be meaningful", answered, epochs, seeds)
	}
}
