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

// The configuration is stored in a register. Its value is the newest configuration with the hashes of earlier versions, so an
// order that is sent again, to any server and after any number of changes, can be distinguished from a different order of the
// same version. An order is answered according to the chosen value, after contact with a quorum.

const (
	hashBytes                = 16
	maxHistory               = 1024 // versions whose hashes are kept; an older version counts as taken
	resolveAfter             = 0.25 // seconds for which a value may stay without being known to be chosen
	fetchRetryAfter          = 0.2  // seconds between requests for a newer configuration; doubles with each retry
	maxFetchBackoffDoublings = 4    // number of times that the delay doubles: each answer is large and delays other messages
	maxOpenOrders            = 64
)

// eventOrderNotTaken is the log event that explains why an order ended in "no contact".
const eventOrderNotTaken = "order not taken"

// eventConfigurationNotRead is the log event that explains why an operator's read of the configuration ended in "no contact".
const eventConfigurationNotRead = "configuration not read"

var configKey = register.Permanent("configuration")

// OrderResult is the outcome of an order.
type OrderResult int

const (
	OrderTaken     OrderResult = iota // the version counts as taken: it or a newer one is in force
	OrderConflict                     // another configuration was taken under this version: this one never takes effect
	OrderNoContact                    // no quorum is reachable from here: the order may or may not take effect
	OrderNotMember                    // this server is not a member and takes no orders
)

func (r OrderResult) String() string {
	return [...]string{"taken", "conflict", "no contact", "not a member"}[r]
}

type configuration struct {
	chosen          *meshpb.Config  // the newest known to be chosen; nil: none is
	chosenHash      []byte          // hash of its text, for digests
	confirmed       bool            // the known configuration was the newest one at some time in this run of the process
	newestKnown     uint64          // newest version that any server reported as chosen
	heldBallot      register.Ballot // ballot of the value synced to this server's disk
	heldVersion     uint64          // version on this server's disk: found there at the start, or synced since
	notedBallot     register.Ballot // ballot of the newest value on this server, synced or not
	unresolvedSince float64         // since when it has been unknown whether the newest value is chosen; 0: it is known
	resolving       bool            // a read that finds out whether the newest value is chosen is in progress
	openOrders      int             // orders in progress
	nextFetchAt     float64
	fetchAttempts   int // since the last configuration arrived
}

// chosenVersion returns the newest version known to be in force; 0: none.
func (c *configuration) chosenVersion() uint64 { return c.chosen.GetVersion() }

// setChosen sets the newest configuration known to be chosen.
func (c *configuration) setChosen(chosen *meshpb.Config) {
	c.chosen, c.chosenHash = chosen, hashOf(chosen.GetText())
}

func hashOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:hashBytes]
}

// checkOrder compares an order with the chosen configuration. open is true if the order still has to be written, because no text
// has been taken under its version yet: the version is newer than all versions taken, or is an older one that was skipped.
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

// applyOrder returns the register's value after an order. An order with a skipped version changes the history only: the newer
// configuration stays in force, and no other text can be taken under the skipped version.
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

// Order submits a valid configuration. answer is called exactly once.
func (s *Server) Order(now float64, version uint64, text []byte, answer func(OrderResult)) {
	reply := func(r OrderResult) {
		s.counts.countOrder(r)
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
		s.options.Log(eventOrderNotTaken, "edition", version, "why", "too many orders are in progress")
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
	packedText := packed.Pack(text)
	var result OrderResult
	edit := func(old []byte) []byte {
		held := decodeConfig(old)
		var open bool
		if result, open = checkOrder(held, version, hash); !open {
			return nil
		}
		body, err := proto.Marshal(applyOrder(held, version, packedText, hash))
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
		s.checks.Check(invariant.ConfirmedIsChosen, result != OrderTaken || s.configuration.chosenVersion() >= version,
			"version", version)
		reply(result)
	})
}

// WasTaken reports whether a configuration with this text is known to have been taken under this version.
func (s *Server) WasTaken(version uint64, text []byte) bool {
	history := s.configuration.chosen.GetHistory()
	at, found := findVersion(history, version)
	return found && bytes.Equal(history[at].Hash, hashOf(text))
}

// ConfigInForce returns the newest configuration known here to be in force, with its text packed.
func (s *Server) ConfigInForce() (version uint64, packedText []byte) {
	chosen := s.configuration.chosen
	return chosen.GetVersion(), chosen.GetText()
}

// Configuration reads the newest configuration from a quorum. text is nil if no configuration was ever taken.
func (s *Server) Configuration(now float64, answer func(text []byte, result OrderResult)) {
	switch {
	case !s.isMember():
		answer(nil, OrderNotMember)
		return
	case !s.canCommit(now):
		s.options.Log(eventConfigurationNotRead, "why", s.commitObstacle(now))
		answer(nil, OrderNoContact)
		return
	}
	s.readConfig(now, func(ok bool) {
		if !ok {
			s.options.Log(eventConfigurationNotRead, "why", "no quorum has answered in time")
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

// readConfig reads the configuration register from a quorum.
func (s *Server) readConfig(now float64, done func(ok bool)) {
	s.registers.Update(now, configKey, func([]byte) []byte { return nil }, func(_ uint64, body []byte, ok bool) {
		if ok {
			s.learnConfig(now, decodeConfig(body))
		}
		done(ok)
	})
}

// learnConfig adopts a chosen configuration and distributes it to proxies and other servers.
func (s *Server) learnConfig(now float64, chosen *meshpb.Config) {
	c := &s.configuration
	if chosen.GetVersion() <= c.chosenVersion() {
		return
	}
	s.checks.Check(invariant.ConfigurationMonotonic, chosen.GetVersion() > c.chosenVersion(),
		"from", c.chosenVersion(), "to", chosen.GetVersion())
	c.setChosen(chosen)
	c.fetchAttempts = 0
	c.newestKnown = max(c.newestKnown, chosen.Version)
	s.persistChosen()
	s.options.Log("in force", "edition", chosen.Version, "bytes", len(chosen.Text))
	s.propagation.changed, s.propagation.nextDigestAt = true, 0
	s.answerHeldPulls(now)
}

// persistChosen records on disk that the value there is chosen, for the next start; a chosen value stays chosen. The value on
// disk has to be the chosen one: a value of the same version, or with another history, may exist on this disk only.
func (s *Server) persistChosen() {
	value, ballot := s.registers.LocalValue(configKey)
	if !proto.Equal(decodeConfig(value.GetBody()), s.configuration.chosen) {
		return
	}
	if text, err := proto.Marshal(ballot.Wire()); err == nil {
		s.put(nameChosen, text)
	}
}

// restoreChosen restores the chosen configuration from disk. It was in force once, but may not be the newest. The version on the
// disk is reported from the first digest on, as another server may take the absence of a newer one for confirmation.
func (s *Server) restoreChosen(values map[string][]byte) {
	onDisk, _ := s.registers.LocalValue(configKey)
	s.configuration.heldVersion = decodeConfig(onDisk.GetBody()).GetVersion()
	stored := &meshpb.Ballot{}
	if len(values[nameChosen]) == 0 || proto.Unmarshal(values[nameChosen], stored) != nil {
		return
	}
	if value, ballot := s.registers.LocalValue(configKey); ballot == register.FromWire(stored) {
		s.configuration.setChosen(decodeConfig(value.GetBody()))
	}
}

// checkConfirmed determines whether the known configuration is the newest: it is if no member of a quorum holds a newer one,
// because a newer chosen configuration would be held by at least one of them.
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
	if c.confirmed {
		s.options.Log("configuration confirmed", "edition", newest, "held", s.heldVersions())
	}
}

// heldVersions returns how many other members have reported each version as the newest that they hold.
func (s *Server) heldVersions() map[uint64]int {
	members := map[uint64]int{}
	for address, p := range s.contact.peers {
		if address != s.options.Self {
			members[p.config.GetHeldVersion()]++
		}
	}
	return members
}

// trackHeld notices a new value of the register on this server. Other servers are told about it once it is synced to disk.
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

// configState returns the state of the configuration register for digests.
func (s *Server) configState() *meshpb.ConfigState {
	c := &s.configuration
	return &meshpb.ConfigState{ChosenVersion: c.chosenVersion(), ChosenHash: c.chosenHash, HeldVersion: c.heldVersion,
		HeldBallot: c.heldBallot.Wire()}
}

// handleConfigState processes the state of the configuration register in another member's digest.
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

// learnFromHolders concludes that a value is chosen when a quorum reports holding it at the same ballot of this epoch. Nothing
// is concluded while the newest value on this server is not synced, because digests report synced values only.
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

// tickConfiguration makes the coordinator read the register if it has been unknown for resolveAfter whether a value is chosen:
// the proposer of the value may be gone.
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
