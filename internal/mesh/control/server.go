// Package control is the control plane's state machine: which control servers vote, the configuration, the records of hosts and
// proxies, and the registers of operations' keys. It takes inputs and returns what to send, to write and to answer; sockets, disk
// and clock are the program's.
//
// Its files: membership.go knows the view, coordinator.go changes it; contact.go knows whether a quorum is in reach; catchup.go brings a server that joins up
// to date; homed.go has claims take one round trip after a change; configuration.go takes orders; propagation.go tells proxies and the other servers what is new; ejection.go leaves hosts
// out by agreement; assignment.go says which hosts hold which keys; state.go is what an operator sees.
package control

import (
	"encoding/binary"
	"slices"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/random"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// The names of what this package keeps in the store.
const (
	nameIdentity = "identity" // the incarnation of this disk
	nameView     = "view"     // the view in force
	nameSynced   = "synced"   // the joint epoch for which this server holds all that was chosen before
	nameChosen   = "chosen"   // the ballot at which the configuration on this disk was chosen
	nameSettled  = "settled"  // the epoch that has lasted longer than keys are kept
)

// Options is what a server is told at its start.
type Options struct {
	Self             string   // its address for the others
	Seeds            []string // control servers that may be up
	Bootstrap        bool     // the whole system starts for the first time
	Tolerance        int      // members that may be lost at once
	RetentionSeconds float64  // seconds for which a key's answer is kept
	LeaseSeconds     float64  // seconds after the question for it within which a lease of a host's keys has run out
	Life             uint32   // drawn anew for each start, not 0
	RandomSeed       uint64   // drawn anew for each start
	Log              func(event string, args ...any)
}

// Server is one control server. It is single-threaded; every input carries the time in seconds on a clock that never jumps.
type Server struct {
	options   Options
	startedAt float64
	random    random.Source
	self      view.Member
	registers *register.Registers
	effects   register.Effects
	onSynced  map[uint64]func(now float64) // by token: to be called when what was put so far is on the disk
	lastID    uint64

	disk          diskState
	membership    membership
	contact       contact
	catchup       catchup
	homed         homedState
	configuration configuration
	propagation   propagation
	ejections     ejections
	assignments   assignments
	counts        Counts
	checks        invariant.Checks
}

// EventViolation is the event of a log line that tells of a violated invariant.
const EventViolation = "invariant violated"

// New makes a server from what its disk held.
func New(now float64, options Options, values map[string][]byte) (*Server, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	s := &Server{options: options, startedAt: now, random: random.Source(options.RandomSeed), lastID: uint64(options.Life) << 32, onSynced: map[uint64]func(float64){}}
	s.self = view.Member{Address: options.Self, Incarnation: decodeUint64(values[nameIdentity])}
	if s.self.Incarnation == 0 {
		s.drawIncarnation()
	}
	s.checks.OnViolation = func(name invariant.Name, args ...any) {
		s.options.Log(EventViolation, append([]any{"invariant", string(name)}, args...)...)
	}
	s.registers = register.New(s.self, options.Life, options.RetentionSeconds)
	s.registers.Checks = &s.checks
	s.contact.init()
	s.catchup.init()
	s.propagation.init()
	s.ejections.init()
	s.assignments.init()
	s.membership.init()
	if err := s.registers.Restore(now, values); err != nil {
		return nil, err
	}
	s.restoreChosen(values)
	if err := s.restoreView(now, values); err != nil {
		return nil, err
	}
	return s, nil
}

// incarnationBits of an incarnation are drawn: JSON's readers keep no more of a number.
const incarnationBits = 53

// drawIncarnation makes this disk another one for the others.
func (s *Server) drawIncarnation() {
	s.self.Incarnation = s.random.Next()>>(64-incarnationBits) | 1
	s.put(nameIdentity, encodeUint64(s.self.Incarnation))
}

func decodeUint64(text []byte) uint64 {
	if len(text) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(text)
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// TakeEffects gives what is to be done since the last call.
func (s *Server) TakeEffects() register.Effects {
	s.collectEffects()
	out := s.effects
	s.effects = register.Effects{}
	return out
}

// collect takes over what the registers want done, and marks all that goes to other servers with the epoch and the disk in whose name
// it was said.
func (s *Server) collectEffects() {
	out := s.registers.TakeEffects()
	s.effects.Sends = append(s.effects.Sends, out.Sends...)
	s.effects.Puts = append(s.effects.Puts, out.Puts...)
	s.effects.After = append(s.effects.After, out.After...)
	for _, sends := range [][]transport.Send{s.effects.Sends, s.effects.After} {
		for _, send := range sends {
			s.stampSender(send.Message)
		}
	}
}

func (s *Server) stampSender(m *meshpb.Message) {
	if m.Incarnation != 0 || m.Update != nil || m.Claimed != nil || m.Pong != nil || m.Lease != nil {
		return
	}
	m.Epoch, m.Incarnation = s.view().Epoch, s.self.Incarnation
}

func (s *Server) send(to string, m *meshpb.Message) {
	s.effects.Sends = append(s.effects.Sends, transport.Send{To: to, Message: m})
}

func (s *Server) sendOthers(m *meshpb.Message) {
	for _, address := range s.view().Addresses() {
		if address != s.options.Self {
			s.send(address, m)
		}
	}
}

func (s *Server) put(name string, value []byte) {
	s.effects.Puts = append(s.effects.Puts, store.Put{Name: name, Value: value})
}

// whenSynced calls f once everything put so far is on the disk.
func (s *Server) whenSynced(f func(now float64)) {
	s.lastID++
	s.onSynced[s.lastID] = f
	s.effects.After = append(s.effects.After, transport.Send{To: s.options.Self,
		Message: &meshpb.Message{Id: s.lastID, Ping: &meshpb.Ping{}}})
}

// HandleMessage takes a message.
func (s *Server) HandleMessage(now float64, from string, m *meshpb.Message) {
	switch {
	case from == s.options.Self && m.Ping != nil:
		f := s.onSynced[m.Id]
		delete(s.onSynced, m.Id)
		if f != nil {
			f(now)
		}
	case m.Ping != nil:
		s.send(from, &meshpb.Message{Id: m.Id, Life: m.Life, Pong: m.Ping})
	case m.Pull != nil:
		s.handlePull(now, from, m)
	case m.LeaseRequest != nil:
		s.handleLeaseRequest(now, from, m)
	case m.Claim != nil:
		s.handleClaim(now, from, m)
	case m.Settle != nil:
		s.handleSettle(now, from, m)
	default:
		s.handleServerMessage(now, from, m)
	}
}

// heardServer takes what another control server says, or this one.
func (s *Server) handleServerMessage(now float64, from string, m *meshpb.Message) {
	member := view.Member{Address: from, Incarnation: m.Incarnation}
	switch {
	case m.View != nil:
		s.handleView(now, from, view.FromWire(m.View))
	case m.ViewRequest != nil:
		s.sendView(from)
		s.catchup.retrySyncRequest(from)
	case m.Join != nil:
		s.handleJoin(now, member, m.Epoch, m.Join)
	case m.Epoch < s.view().Epoch: // fenced: what it says belongs to a view that is no longer in force
		s.sendView(from)
	case m.Epoch > s.view().Epoch:
		s.requestView(now, from)
	case m.Digest != nil:
		s.handleDigest(now, member, m.Digest)
	case m.SyncRequest != nil:
		s.handleSyncRequest(from, m.Id, m.SyncRequest)
	case m.SyncPage != nil:
		s.handleSyncPage(now, member, m.Id, m.SyncPage)
	case m.HomedRequest != nil:
		s.handleHomedRequest(from, m.Id, m.HomedRequest)
	case m.Homed != nil:
		s.handleHomed(now, member, m.Id, m.Homed)
	case m.ConfigRequest != nil:
		s.handleConfigRequest(from, m.ConfigRequest)
	case m.Config != nil:
		s.learnConfig(now, m.Config)
	default:
		s.registers.HandleMessage(now, member, m)
	}
}

func (s *Server) handleClaim(now float64, from string, m *meshpb.Message) {
	answer := s.claimAnswer(from, m, m.Claim.Token, true)
	if !s.canCommit(now) { // nothing can be bound from here: the asker goes elsewhere at once
		answer(register.Unavailable, nil)
		return
	}
	s.counts.Claims++
	s.registers.Claim(now, m.Claim, answer)
}

// heardSettle takes the end of a run. Who settles has the receipt and needs none.
func (s *Server) handleSettle(now float64, from string, m *meshpb.Message) {
	s.counts.Settles++
	receipt := m.Settle.Receipt
	s.registers.Settle(now, m.Settle.Key, receipt, m.Settle.IfFree, s.claimAnswer(from, m, receipt.GetToken(), false))
}

func (s *Server) claimAnswer(from string, question *meshpb.Message, token uint64, withReceipt bool) func(register.State,
	*meshpb.Receipt) {
	id, life := question.Id, question.Life
	return func(state register.State, held *meshpb.Receipt) {
		c := &meshpb.Claimed{State: state, Token: token}
		switch {
		case state == register.Unavailable, state == register.Overloaded:
			c.State, c.Untouched, c.Overloaded = register.Unsure, true, state == register.Overloaded
			s.counts.Untouched++
		case state == register.Unsure:
			s.counts.Unsure++
		case withReceipt && state == register.Claimed:
			s.counts.Granted++
		}
		if withReceipt && state == register.Done {
			c.Receipt = held
		}
		s.send(from, &meshpb.Message{Id: id, Life: life, Claimed: c})
	}
}

// Tick does what is due. It is to be called every few hundredths of a second.
func (s *Server) Tick(now float64) {
	s.tickMembership(now)
	s.tickCatchup(now)
	s.tickHomed(now)
	s.tickContact(now)
	s.registers.Tick(now)
	s.tickConfiguration(now)
	s.tickEjections(now)
	s.tickAssignments(now)
	s.tickPropagation(now)
}

// SetSeeds takes over other seeds: the settings file has changed.
func (s *Server) SetSeeds(seeds []string) { s.options.Seeds = slices.Clone(seeds) }

// Voting says whether this server takes part in ballots.
func (s *Server) Voting() bool { return s.registers.Voting() }
