// Package control is the state machine of a control server. Control servers keep the state that a mesh agrees on: which servers
// vote (the view), the configuration, the ejections and key assignments of services, and the registers of operations' keys, each
// of which is decided by a quorum. They also collect the records of proxies and hosts and distribute them to proxies.
//
// The main type is Server. The program passes it every message (HandleMessage), every operator's request (Order, OrderEjection,
// Configuration, Leave) and the time (Tick), and after each call performs what TakeEffects returns: messages to send at once,
// values to write to disk, and messages to send once those writes are synced. The package itself does no input or output and
// reads no clock.
//
// An order is an operator's request to put a configuration version in force. A digest is the heartbeat that members of the view
// exchange; it also carries what changed. A source is the proxy that publishes a record.
//
// membership.go holds the view and adopts new ones, coordinator.go proposes changes of the view, contact.go tracks whether a
// quorum is reachable, catchup.go brings a joining server up to date, homed.go restores one-round-trip claims after a change of
// view, configuration.go handles orders, propagation.go distributes changes to proxies and other servers, tombstone.go removes
// sources that have gone, ejection.go decides which hosts get no requests, assignment.go decides which hosts hold which keys,
// disk.go tracks whether the disk accepts writes, and state.go exports the state for operators.
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

// Names under which this package stores values on disk.
const (
	nameIdentity = "identity" // incarnation of this disk
	nameView     = "view"     // view in force
	nameSynced   = "synced"   // joint epoch for which this server holds every value chosen before
	nameChosen   = "chosen"   // ballot at which the configuration on this disk was chosen
	nameSettled  = "settled"  // epoch that has lasted longer than keys are retained
)

// Options configures a Server.
type Options struct {
	Self             string   // this server's address, as other servers reach it
	Seeds            []string // addresses of control servers to contact when no member is known
	Bootstrap        bool     // the whole system starts for the first time
	Tolerance        int      // number of members that may be lost at once
	RetentionSeconds float64  // seconds for which the result of an operation's key is kept
	LeaseSeconds     float64  // seconds after a lease request at which its lease has expired everywhere
	Life             uint32   // identifies this run of the process; drawn at each start, never 0
	RandomSeed       uint64   // drawn at each start
	Log              func(event string, args ...any)
}

// Server is one control server. It is not safe for concurrent use. Each input carries the current time in seconds, read from a
// monotonic clock.
type Server struct {
	options   Options
	startedAt float64
	random    random.Source
	self      view.Member
	registers *register.Registers
	effects   register.Effects
	onSynced  map[uint64]func(now float64) // by message ID: called once all earlier writes are synced
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

// EventViolation is the log event of a violated invariant.
const EventViolation = "invariant violated"

// New returns a server restored from the values on its disk.
func New(now float64, options Options, values map[string][]byte) (*Server, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	s := &Server{options: options, startedAt: now, random: random.Source(options.RandomSeed),
		lastID: uint64(options.Life) << 32, onSynced: map[uint64]func(float64){}}
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

// incarnationBits is the number of random bits in an incarnation. JSON readers represent integers exactly up to 53 bits only.
const incarnationBits = 53

// drawIncarnation gives this server a new identity, as if it had another disk.
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

// TakeEffects returns the sends and writes that are due since the last call.
func (s *Server) TakeEffects() register.Effects {
	s.collectEffects()
	out := s.effects
	s.effects = register.Effects{}
	return out
}

// collectEffects takes over the pending effects of the registers. It stamps every message to another server with the epoch and
// the incarnation under which the message was produced.
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

// stampSender sets the epoch and the incarnation of a message, unless they are set already or the message answers a proxy.
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

// whenSynced calls f once all values put so far are synced to disk.
func (s *Server) whenSynced(f func(now float64)) {
	s.lastID++
	s.onSynced[s.lastID] = f
	s.effects.After = append(s.effects.After, transport.Send{To: s.options.Self,
		Message: &meshpb.Message{Id: s.lastID, Ping: &meshpb.Ping{}}})
}

// HandleMessage processes a message from a proxy, from another control server or from this server itself.
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

// handleServerMessage processes a message from a control server.
func (s *Server) handleServerMessage(now float64, from string, m *meshpb.Message) {
	member := view.Member{Address: from, Incarnation: m.Incarnation}
	switch {
	case m.View != nil:
		s.handleView(now, from, view.FromWire(m.View))
	case m.ViewRequest != nil:
		s.sendView(from)
		s.catchup.retrySyncRequest(from)
		s.homed.retryRequest(from)
	case m.Join != nil:
		s.handleJoin(now, member, m.Epoch, m.Join)
	case m.Epoch < s.view().Epoch: // fenced: the sender acts in a view that is no longer in force
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
	if !s.canCommit(now) { // no quorum can be reached from here: the caller retries at another server at once
		answer(register.Unavailable, nil)
		return
	}
	s.counts.Claims++
	s.registers.Claim(now, m.Claim, answer)
}

// handleSettle records the result of an operation. The reply omits the receipt, because the sender already has it.
func (s *Server) handleSettle(now float64, from string, m *meshpb.Message) {
	s.counts.Settles++
	receipt := m.Settle.Receipt
	s.registers.Settle(now, m.Settle.Key, receipt, m.Settle.IfFree, s.claimAnswer(from, m, receipt.GetToken(), false))
}

// claimAnswer returns the function that answers a claim, or a settle if withReceipt is false.
func (s *Server) claimAnswer(from string, request *meshpb.Message, token uint64, withReceipt bool) func(register.State,
	*meshpb.Receipt) {
	id, life := request.Id, request.Life
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

// Tick runs all periodic work. The program calls it every few tens of milliseconds.
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

// SetSeeds replaces the seeds after the settings file has changed.
func (s *Server) SetSeeds(seeds []string) { s.options.Seeds = slices.Clone(seeds) }

// Voting reports whether this server takes part in ballots.
func (s *Server) Voting() bool { return s.registers.Voting() }
