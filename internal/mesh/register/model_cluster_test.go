package register

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/view"
)

// The model: servers with registers, a view and a disk, and a network that delivers messages in any order, late, twice or
// never. The driver stands in for the control plane's membership protocol, with the least that the registers need. Every choice
// comes from the seed.

const (
	modelWindow         = 60.0 // seconds for which keys are kept
	modelMaxPending     = 60   // messages in flight; beyond this number some are lost
	modelRecentMessages = 8    // number of the latest messages that count as just sent
	modelIdentity       = "identity"
	modelViewName       = "view"
	modelSyncedName     = "synced"
)

var modelViewKey = ViewKey

// modelRegister and modelOperation return the keys in use: those of permanent registers and those of operations.
func modelRegister(i int) string  { return Permanent(fmt.Sprintf("register%d", i)) }
func modelOperation(i int) string { return fmt.Sprintf("operation%d", i) }

// injectedFault is a deliberate fault of the driver. It shows that the checker finds such a fault.
type injectedFault int

const (
	noFault          injectedFault = iota
	versionOnlyVote                // an acceptor accepts a value if it holds the value's version, whatever the content
	otherEpochVote                 // an acceptor votes in ballots of an epoch that it has left
	earlyJoinerVote                // a joiner votes before it has read what was chosen
	leaverDropped                  // the stable view is chosen before the joiner has read what was chosen
	reusedLife                     // a process reuses the ids and ballots of the process before it
	unchosenFastPath               // the fast path continues from a value on this disk whether or not it was chosen
	wipedMemberVotes               // a server whose disk lost its content votes as the same member as before
	homedKeysIgnored               // a home uses the fast path without knowing which keys were chosen without it
)

// modelMessage is a message in flight.
type modelMessage struct {
	from    view.Member
	to      string
	epoch   uint64 // of the sender's view
	message *meshpb.Message
}

// modelBatch is a batch of disk writes, and what is done once they are synced.
type modelBatch struct {
	puts      []store.Put
	afterSync []func()
}

func (b *modelBatch) empty() bool { return len(b.puts)+len(b.afterSync) == 0 }

// modelSource is how far a server that is no member has read the registers of another server.
type modelSource struct {
	requestID uint64 // id of the pending request
	life      uint32
	position  uint64
	member    view.Member
	epoch     uint64 // of the view in which everything was read
}

type modelServer struct {
	cluster *modelCluster
	address string

	disk         map[string][]byte
	syncingBatch modelBatch // being written while syncing is set
	queuedBatch  modelBatch
	syncing      bool

	up                 bool
	life               uint32
	self               view.Member
	view               view.View
	registers          *Registers
	lastID             uint64
	sources            map[string]*modelSource
	syncedEpoch        uint64                 // the joint epoch for which this server has read everything
	syncFinishing      bool                   // the last values read are being written to disk
	joinerSyncedEpochs map[view.Member]uint64 // by joiner: the epoch for which it announced that it has read everything
	proposingView      bool
}

type modelCluster struct {
	random    *rand.Rand
	fault     injectedFault
	now       float64
	servers   []*modelServer
	byAddress map[string]*modelServer
	network   []modelMessage
	history   *modelHistory
	trace     func(format string, args ...any)
	lastLife  uint32
	claims    bool // keys of operations are in use, so the clock does not advance beyond their window
}

// newModelCluster starts a mesh of some members. The spare servers are running and belong to no view.
func newModelCluster(seed uint64, members, spares int, fault injectedFault) *modelCluster {
	c := &modelCluster{random: rand.New(rand.NewPCG(seed, 11)), fault: fault, now: 1, byAddress: map[string]*modelServer{},
		history: newModelHistory(), trace: func(string, ...any) {}}
	var founders []view.Member
	for i := range members + spares {
		s := &modelServer{cluster: c, address: fmt.Sprintf("s%d", i), disk: map[string][]byte{}}
		c.servers, c.byAddress[s.address] = append(c.servers, s), s
		member := view.Member{Address: s.address, Incarnation: c.random.Uint64() | 1}
		s.disk[modelIdentity] = encodeUint64(member.Incarnation)
		if i < members {
			founders = append(founders, member)
		}
	}
	founding := view.Initial(1, founders)
	for _, s := range c.servers {
		s.disk[modelViewName] = founding.Encode()
		s.start()
	}
	return c
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func decodeUint64(text []byte) uint64 {
	if len(text) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(text)
}

// start starts the process with the content of its disk.
func (s *modelServer) start() {
	c := s.cluster
	s.up, s.syncing, s.syncingBatch, s.queuedBatch = true, false, modelBatch{}, modelBatch{}
	c.lastLife++
	s.life = c.lastLife
	if c.fault == reusedLife {
		s.life = 1
	}
	s.lastID = uint64(s.life) << 32
	s.sources, s.joinerSyncedEpochs = map[string]*modelSource{}, map[view.Member]uint64{}
	s.proposingView, s.syncFinishing, s.view = false, false, view.View{}
	s.self = view.Member{Address: s.address, Incarnation: decodeUint64(s.disk[modelIdentity])}
	if s.self.Incarnation == 0 {
		s.drawIncarnation()
	}
	s.syncedEpoch = decodeUint64(s.disk[modelSyncedName])
	s.registers = New(s.self, s.life, modelWindow)
	if c.fault == noFault { // an injected fault is for the history checker to find
		s.registers.Checks.OnViolation = func(name invariant.Name, args ...any) {
			c.history.fail("invariant violated", "%s by %s: %v", name, s.address, args)
		}
	}
	if err := s.registers.Restore(c.now, s.disk); err != nil {
		panic(err)
	}
	if held, err := view.Decode(s.disk[modelViewName]); err == nil && held.Known() {
		s.setView(held)
	}
	s.collectEffects()
}

func (s *modelServer) drawIncarnation() {
	s.self.Incarnation = s.cluster.random.Uint64() | 1
	s.put(modelIdentity, encodeUint64(s.self.Incarnation))
}

func (s *modelServer) put(name string, value []byte) {
	s.queuedBatch.puts = append(s.queuedBatch.puts, store.Put{Name: name, Value: value})
}

// whenSynced calls f once everything written so far is synced to disk.
func (s *modelServer) whenSynced(f func()) {
	s.queuedBatch.afterSync = append(s.queuedBatch.afterSync, f)
}

func (s *modelServer) isMember() bool { return s.view.Has(s.self) }

// ---- disks

// collectEffects carries out the effects that the registers request.
func (s *modelServer) collectEffects() {
	for {
		effects := s.registers.TakeEffects()
		s.queuedBatch.puts = append(s.queuedBatch.puts, effects.Puts...)
		for _, send := range effects.After {
			m := s.newMessage(send.To, send.Message)
			s.whenSynced(func() { s.post(m) })
		}
		for _, send := range effects.Sends {
			s.post(s.newMessage(send.To, send.Message))
		}
		if len(effects.Sends) == 0 {
			break
		}
	}
	if !s.syncing && !s.queuedBatch.empty() {
		s.syncingBatch, s.queuedBatch, s.syncing = s.queuedBatch, modelBatch{}, true
	}
}

// finishSync completes the sync of the batch that is being written.
func (s *modelServer) finishSync() {
	done := s.syncingBatch
	s.apply(done.puts)
	s.syncingBatch, s.syncing = modelBatch{}, false
	for _, f := range done.afterSync {
		f()
	}
	s.collectEffects()
}

func (s *modelServer) apply(puts []store.Put) {
	for _, p := range puts {
		if len(p.Value) == 0 {
			delete(s.disk, p.Name)
		} else {
			s.disk[p.Name] = slices.Clone(p.Value)
		}
	}
}

// stop ends the process. After a kill the disk has the whole batch that was being written, and after a loss of power any part of
// it. The queued batch is lost.
func (s *modelServer) stop(power bool) {
	puts := s.syncingBatch.puts
	if power {
		puts = slices.Clone(puts)
		slices.SortStableFunc(puts, func(a, b store.Put) int { return cmp.Compare(a.Name, b.Name) })
		puts = slices.DeleteFunc(puts, func(store.Put) bool { return s.cluster.random.IntN(2) == 0 })
	}
	s.apply(puts)
	s.up, s.syncing, s.syncingBatch, s.queuedBatch = false, false, modelBatch{}, modelBatch{}
}

// wipe erases the disk.
func (s *modelServer) wipe() {
	oldDisk := s.disk
	s.disk = map[string][]byte{}
	if s.cluster.fault == wipedMemberVotes {
		s.disk[modelIdentity], s.disk[modelViewName] = oldDisk[modelIdentity], oldDisk[modelViewName]
	}
}

// ---- network

func (s *modelServer) newMessage(to string, m *meshpb.Message) modelMessage {
	return modelMessage{s.self, to, s.view.Epoch, m}
}

func (s *modelServer) send(to string, m *meshpb.Message) { s.post(s.newMessage(to, m)) }

// sendSynced sends a message once everything written so far is synced to disk.
func (s *modelServer) sendSynced(to string, m *meshpb.Message) {
	message := s.newMessage(to, m)
	s.whenSynced(func() { s.post(message) })
}

func (s *modelServer) post(m modelMessage) {
	if m.to == s.address {
		s.handle(m)
		return
	}
	s.cluster.network = append(s.cluster.network, m)
}

func (s *modelServer) handle(m modelMessage) {
	switch {
	case m.message.View != nil:
		s.adopt(view.FromWire(m.message.View))
	case m.message.ViewRequest != nil:
		s.sendView(m.from.Address)
	case m.epoch < s.view.Epoch:
		if s.cluster.fault == otherEpochVote && s.voteInOtherEpoch(m) {
			return
		}
		s.sendView(m.from.Address)
	case m.epoch > s.view.Epoch:
		s.send(m.from.Address, &meshpb.Message{ViewRequest: &meshpb.Ping{}})
	case m.message.Join != nil:
		s.joinerSyncedEpochs[m.from] = m.message.Join.SyncedEpoch
	case m.message.SyncRequest != nil:
		s.handleSyncRequest(m)
	case m.message.SyncPage != nil:
		s.handleSyncPage(m)
	case m.message.HomedRequest != nil:
		s.handleHomedRequest(m)
	case m.message.Homed != nil:
		s.handleHomed(m)
	case s.cluster.fault == versionOnlyVote && m.message.Accept != nil && s.voteByVersionOnly(m):
	default:
		s.registers.HandleMessage(s.cluster.now, m.from, m.message)
	}
}

// voteByVersionOnly is an injected fault: it answers that a value is accepted, without storing it, if this server holds the same
// version. It reports whether it answered.
func (s *modelServer) voteByVersionOnly(m modelMessage) bool {
	accept := m.message.Accept
	held, _ := s.registers.LocalValue(accept.Key)
	if held.GetToken() == 0 || held.GetToken() != accept.Value.GetToken() {
		return false
	}
	s.sendSynced(m.from.Address, &meshpb.Message{Id: m.message.Id, Accepted: &meshpb.Accepted{Yes: true,
		Promised: accept.Ballot}})
	return true
}

// voteInOtherEpoch is an injected fault: it votes in an epoch that this server has left. It reports whether it did.
func (s *modelServer) voteInOtherEpoch(m modelMessage) bool {
	answer := &meshpb.Message{Id: m.message.Id}
	switch {
	case m.message.Accept != nil:
		a := m.message.Accept
		s.registers.Merge(s.cluster.now, []*meshpb.Entry{{Key: a.Key, Accepted: a.Ballot, Value: a.Value}})
		answer.Accepted = &meshpb.Accepted{Yes: true, Promised: a.Ballot}
	case m.message.Prepare != nil:
		held, accepted := s.registers.LocalValue(m.message.Prepare.Key)
		answer.Promise = &meshpb.Promise{Yes: true, Promised: m.message.Prepare.Ballot, Accepted: accepted.Wire(), Value: held}
	default:
		return false
	}
	message := s.newMessage(m.from.Address, answer)
	message.epoch = m.epoch
	s.whenSynced(func() { s.post(message) })
	return true
}

// markAcceptedAsChosen is an injected fault: whatever this server has accepted counts as chosen by its own ballot.
func (s *modelServer) markAcceptedAsChosen() {
	for _, e := range s.registers.entries {
		e.chosen = e.value != nil
	}
}

// ---- views

func (s *modelServer) sendView(to string) {
	s.sendSynced(to, &meshpb.Message{View: s.view.Wire()})
}

// adopt switches to a newer view. A member that is not in it deletes everything and rejoins as another member.
func (s *modelServer) adopt(v view.View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	s.collectEffects()
	wasMember := s.isMember()
	s.put(modelViewName, v.Encode())
	if wasMember && !v.Has(s.self) {
		s.fence()
	}
	s.setView(v)
	s.cluster.trace("%s adopts epoch %d %v -> %v, voting %v", s.address, v.Epoch, v.Members, v.Next, s.registers.Voting())
}

// fence deletes the registers and makes the server another member, with a new incarnation.
func (s *modelServer) fence() {
	s.drawIncarnation()
	s.registers.Reset(s.cluster.now, s.self)
	s.sources, s.syncedEpoch, s.syncFinishing = map[string]*modelSource{}, 0, false
	s.put(modelSyncedName, nil)
}

func (s *modelServer) setView(v view.View) {
	s.view, s.syncFinishing = v, false
	fastPathFrom := s.cluster.now
	if v.Epoch > 1 {
		fastPathFrom += s.registers.FastPathDelay()
	}
	s.registers.SetView(s.cluster.now, v, fastPathFrom)
	s.startVotingIfAllowed()
}

// startVotingIfAllowed starts voting if this server is an old member of the view, or is the joiner and has read everything.
func (s *modelServer) startVotingIfAllowed() {
	joiner, _ := s.view.Joiner()
	member := slices.Contains(s.view.Members, s.self)
	if member || joiner == s.self && (s.syncedEpoch == s.view.Epoch || s.cluster.fault == earlyJoinerVote) {
		s.registers.StartVoting()
	}
}

// changeView proposes the next view.
func (s *modelServer) changeView(next view.View) {
	s.proposingView = true
	s.cluster.trace("%s proposes epoch %d %v -> %v", s.address, next.Epoch, next.Members, next.Next)
	edit := func(old []byte) []byte {
		held, err := view.Decode(old)
		if err != nil || held.Epoch >= next.Epoch {
			return nil
		}
		return next.Encode()
	}
	s.registers.Update(s.cluster.now, modelViewKey, edit, func(_ uint64, body []byte, ok bool) {
		s.proposingView = false
		chosen, err := view.Decode(body)
		if !ok || err != nil || chosen.Epoch != s.view.Epoch+1 {
			return
		}
		s.cluster.history.choseView(chosen)
		s.adopt(chosen)
		for _, other := range s.cluster.servers {
			if other != s {
				s.sendView(other.address)
			}
		}
	})
	s.collectEffects()
}
