package control

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/packed"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/view"
)

// The configuration is a register of its own. Its value is the newest configuration with the hashes of the versions before it, so
// an order that is sent again, to any server and after any number of changes, is told from another one under the same number. An
// order is answered by what was chosen, after contact with a quorum.

const (
	hashBytes                = 16
	maxHistory               = 1024 // versions whose hashes are remembered; of older ones it is only known that they are older
	resolveAfter             = 0.25 // seconds for which a value may stand that is not known to be chosen
	fetchRetryAfter          = 0.2  // seconds until a configuration that another says is in force is asked for again, twice as long after each time
	maxFetchBackoffDoublings = 4    // times that this grows: it is large, and sending it again delays what is on its way
	maxOpenOrders            = 64
)

// eventNotTaken is the event of a log line that says why an order ends in "no contact".
const eventOrderNotTaken = "order not taken"

var configKey = register.Permanent("configuration")

// OrderResult is the end of an operator's order.
type OrderResult int

const (
	OrderTaken     OrderResult = iota // it is in force, was in force before, or a newer one is
	OrderConflict                     // another configuration was taken under its number: this one never takes effect
	OrderNoContact                    // no quorum is in reach from here: it may or may not take effect
	OrderNotMember                    // this server takes no orders
)

func (r OrderResult) String() string {
	return [...]string{"taken", "conflict", "no contact", "not a member"}[r]
}

type configuration struct {
	chosen          *meshpb.Config // the newest known to be chosen; nil: none is
	chosenHash      []byte         // of its text, for digests
	confirmed       bool           // what is known here was the newest at some time in this life
	newestKnown     uint64         // the newest version that a server said is chosen
	heldBallot      register.Ballot
	heldVersion     uint64 // version on this server's disk
	notedBallot     register.Ballot
	unresolvedSince float64 // since when a value stands that is not known to be chosen
	resolving       bool
	openOrders      int // orders under way
	nextFetchAt     float64
	fetchAttempts   int // since one came
}

// chosenVersion is the newest version known to be in force; 0: none.
func (c *configuration) chosenVersion() uint64 { return c.chosen.GetVersion() }

// setChosen takes the newest configuration known to be chosen.
func (c *configuration) setChosen(chosen *meshpb.Config) {
	c.chosen, c.chosenHash = chosen, hashOf(chosen.GetText())
}

func hashOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:hashBytes]
}

// judge says how an order stands to a configuration that was chosen. open says that its number stands for no text yet, so it has to
// be taken first: it is newer, or it was passed over.
func checkOrder(chosen *meshpb.Config, version uint64, hash []byte) (result OrderResult, open bool) {
	history := chosen.GetHistory()
	at, found := findVersion(history, version)
	switch {
	case found && !bytes.Equal(history[at].Hash, hash):
		return OrderConflict, false
	case found, at == 0 && len(history) >= maxHistory:
		return OrderTaken, false
	}
	return OrderTaken, true
}

func findVersion(history []*meshpb.ConfigDigest, version uint64) (at int, found bool) {
	return slices.BinarySearchFunc(history, version, func(d *meshpb.ConfigDigest, v uint64) int {
		return cmp.Compare(d.Version, v)
	})
}

// succeed is the value of the register after an order. One whose number was passed over changes the history only: a newer one stays
// in force, and no other text is ever taken under that number.
func applyOrder(old *meshpb.Config, version uint64, text, hash []byte) *meshpb.Config {
	at, _ := findVersion(old.GetHistory(), version)
	history := slices.Insert(slices.Clone(old.GetHistory()), at, &meshpb.ConfigDigest{Version: version, Hash: hash})
	if over := len(history) - maxHistory; over > 0 {
		history = history[over:]
	}
	if version < old.GetVersion() {
		version, text = old.Version, old.Text
	}
	return &meshpb.Config{Version: version, Text: text, History: history}
}

func decodeConfig(body []byte) *meshpb.Config {
	c := &meshpb.Config{}
	if len(body) == 0 || proto.Unmarshal(body, c) != nil {
		return nil
	}
	return c
}

// Order has a valid configuration taken. It is answered once.
func (s *Server) Order(now float64, version uint64, text []byte, answer func(OrderResult)) {
	reply := func(r OrderResult) {
		s.counts.order(r)
		answer(r)
	}
	c := &s.configuration
	switch {
	case !s.isMember():
		reply(OrderNotMember)
		return
	case !s.canCommit(now):
		s.options.Log(eventOrderNotTaken, "edition", version, "why", s.commitObstacle(now))
		reply(OrderNoContact)
		return
	case c.openOrders >= maxOpenOrders:
		s.options.Log(eventOrderNotTaken, "edition", version, "why", "too many orders are under way")
		reply(OrderNoContact)
		return
	}
	hash := hashOf(text)
	if c.chosen != nil {
		if result, open := checkOrder(c.chosen, version, hash); !open {
			reply(result)
			return
		}
	}
	c.openOrders++
	kept := packed.Pack(text)
	var result OrderResult
	edit := func(old []byte) []byte {
		held := decodeConfig(old)
		var open bool
		if result, open = checkOrder(held, version, hash); !open {
			return nil
		}
		body, err := proto.Marshal(applyOrder(held, version, kept, hash))
		if err != nil {
			return nil
		}
		return body
	}
	s.registers.Update(now, configKey, edit, func(_ uint64, body []byte, ok bool) {
		c.openOrders--
		if !ok {
			s.options.Log(eventOrderNotTaken, "edition", version, "why", "no quorum has answered in time")
			reply(OrderNoContact)
			return
		}
		s.learnConfig(now, decodeConfig(body))
		s.checks.Check(invariant.ConfirmedIsChosen, result != OrderTaken || s.configuration.chosenVersion() >= version, "version", version)
		reply(result)
	})
}

// Configuration reads the newest configuration from a quorum. text is nil where none was ever taken.
func (s *Server) Configuration(now float64, answer func(text []byte, result OrderResult)) {
	switch {
	case !s.isMember():
		answer(nil, OrderNotMember)
		return
	case !s.canCommit(now):
		answer(nil, OrderNoContact)
		return
	}
	s.readConfig(now, func(ok bool) {
		if !ok {
			answer(nil, OrderNoContact)
			return
		}
		text, err := packed.Unpack(s.configuration.chosen.GetText())
		if err != nil {
			s.options.Log("configuration not understood", "edition", s.configuration.chosenVersion(), "error", err)
			answer(nil, OrderNoContact)
			return
		}
		answer(text, OrderTaken)
	})
}

// readConfig learns what a quorum holds.
func (s *Server) readConfig(now float64, done func(ok bool)) {
	s.registers.Update(now, configKey, func([]byte) []byte { return nil }, func(_ uint64, body []byte, ok bool) {
		if ok {
			s.learnConfig(now, decodeConfig(body))
		}
		done(ok)
	})
}

// learnConfig takes a configuration that was chosen, and lets the proxies and the other servers know.
func (s *Server) learnConfig(now float64, chosen *meshpb.Config) {
	c := &s.configuration
	if chosen.GetVersion() <= c.chosenVersion() {
		return
	}
	s.checks.Check(invariant.ConfigurationMonotonic, chosen.GetVersion() > c.chosenVersion(), "from", c.chosenVersion(), "to", chosen.GetVersion())
	c.setChosen(chosen)
	c.fetchAttempts = 0
	c.newestKnown = max(c.newestKnown, chosen.Version)
	s.persistChosen()
	s.options.Log("in force", "edition", chosen.Version, "bytes", len(chosen.Text))
	s.propagation.changed, s.propagation.nextDigestAt = true, 0
	s.answerHeldPulls(now)
}

// putChosen notes on the disk that the value there is chosen, for the next start: what was chosen once stays so. It has to be the
// same value: another one under its version, or with another history, may stand on this disk alone.
func (s *Server) persistChosen() {
	value, ballot := s.registers.LocalValue(configKey)
	if !proto.Equal(decodeConfig(value.GetBody()), s.configuration.chosen) {
		return
	}
	if text, err := proto.Marshal(ballot.Wire()); err == nil {
		s.put(nameChosen, text)
	}
}

// restoreChosen takes what the disk says of the configuration. It was in force once, and need not be the newest.
func (s *Server) restoreChosen(values map[string][]byte) {
	noted := &meshpb.Ballot{}
	if len(values[nameChosen]) == 0 || proto.Unmarshal(values[nameChosen], noted) != nil {
		return
	}
	if value, ballot := s.registers.LocalValue(configKey); ballot == register.FromWire(noted) {
		s.configuration.setChosen(decodeConfig(value.GetBody()))
	}
}

// confirm learns that what is known here is the newest: a quorum holds nothing newer, and a newer one would be on one of them.
func (s *Server) checkConfirmed(now float64) {
	c := &s.configuration
	if c.confirmed || !s.Voting() || !s.inContact(now) {
		return
	}
	newest := c.chosenVersion()
	value, _ := s.registers.LocalValue(configKey)
	if decodeConfig(value.GetBody()).GetVersion() > newest {
		return
	}
	c.confirmed = s.view().Quorum(func(m view.Member) bool {
		p := s.contact.peers[m.Address]
		return m == s.self || p != nil && p.member == m && p.config != nil && p.config.HeldVersion <= newest
	})
}

// noteHeld looks what the disk has of the register; it is told to others once it is synced.
func (s *Server) trackHeld() {
	c := &s.configuration
	value, ballot := s.registers.LocalValue(configKey)
	if ballot == c.notedBallot {
		return
	}
	c.notedBallot = ballot
	version := decodeConfig(value.GetBody()).GetVersion()
	s.whenSynced(func(float64) {
		c.heldVersion, c.heldBallot = version, ballot
		s.propagation.nextDigestAt = 0
	})
}

// configState is what digests tell of the register.
func (s *Server) configState() *meshpb.ConfigState {
	c := &s.configuration
	return &meshpb.ConfigState{ChosenVersion: c.chosenVersion(), ChosenHash: c.chosenHash, HeldVersion: c.heldVersion,
		HeldBallot: c.heldBallot.Wire()}
}

// heardConfigState takes what another member says of the register.
func (s *Server) handleConfigState(now float64, from view.Member, state *meshpb.ConfigState) {
	c := &s.configuration
	c.newestKnown = max(c.newestKnown, state.GetChosenVersion())
	if state.GetChosenVersion() > c.chosenVersion() {
		value, _ := s.registers.LocalValue(configKey)
		held := decodeConfig(value.GetBody())
		if held.GetVersion() == state.ChosenVersion && bytes.Equal(hashOf(held.Text), state.ChosenHash) {
			s.learnConfig(now, held)
		} else if now >= c.nextFetchAt {
			c.nextFetchAt = now + fetchRetryAfter*float64(uint(1)<<min(c.fetchAttempts, maxFetchBackoffDoublings))
			c.fetchAttempts++
			s.send(from.Address, &meshpb.Message{ConfigRequest: &meshpb.ConfigRequest{After: c.chosenVersion()}})
		}
	}
	s.learnFromHolders(now)
	s.checkConfirmed(now)
}

// countHolders learns that a value is chosen where a quorum says that it has it at one ballot of this epoch. This disk may have a
// newer one by now, which nobody has told of.
func (s *Server) learnFromHolders(now float64) {
	c := &s.configuration
	value, ballot := s.registers.LocalValue(configKey)
	if ballot != c.heldBallot || ballot.Epoch != s.view().Epoch || c.heldVersion <= c.chosenVersion() || !s.Voting() {
		return
	}
	if s.view().Quorum(func(m view.Member) bool {
		if m == s.self {
			return true
		}
		p := s.contact.peers[m.Address]
		return p != nil && p.member == m && register.FromWire(p.config.GetHeldBallot()) == c.heldBallot
	}) {
		s.learnConfig(now, decodeConfig(value.GetBody()))
	}
}

func (s *Server) handleConfigRequest(from string, r *meshpb.ConfigRequest) {
	if chosen := s.configuration.chosen; chosen.GetVersion() > r.After {
		s.send(from, &meshpb.Message{Config: chosen})
	}
}

// tickConfiguration makes sure of a value that stands for long without being known to be chosen: whoever proposed it may be gone.
func (s *Server) tickConfiguration(now float64) {
	c := &s.configuration
	s.trackHeld()
	s.checkConfirmed(now)
	open := !c.confirmed || c.heldVersion > c.chosenVersion()
	for _, p := range s.contact.peers {
		open = open || p.config.GetHeldVersion() > c.chosenVersion()
	}
	switch {
	case !open || !s.canCommit(now):
		c.unresolvedSince = 0
	case c.unresolvedSince == 0:
		c.unresolvedSince = now
	case now > c.unresolvedSince+resolveAfter && !c.resolving && s.isCoordinator(now):
		c.resolving, c.unresolvedSince = true, 0
		s.readConfig(now, func(bool) { c.resolving = false })
	}
}
