package register

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// Prefixes of the names under which the store keeps registers: valuePrefix for a register with its value, and promisePrefix for
// a promise of a permanent register that is newer than the one stored with the value. Such a promise is stored on its own so
// that a promise does not rewrite a whole configuration.
const (
	valuePrefix   = "k."
	promisePrefix = "p."
)

// HandleMessage handles a message from another server or from this one. The caller has compared the epochs: this server does
// not answer requests of another epoch than its own.
func (rs *Registers) HandleMessage(now float64, from view.Member, m *meshpb.Message) {
	switch {
	case m.Prepare != nil:
		rs.handlePrepare(now, from, m.Id, m.Prepare)
	case m.Accept != nil:
		rs.handleAccept(now, from, m.Id, m.Accept)
	case m.Promise != nil:
		rs.handlePromise(now, from, rs.changesByID[m.Id], m.Promise)
	case m.Accepted != nil:
		rs.handleAccepted(now, from, rs.changesByID[m.Id], m.Accepted)
	}
}

func (rs *Registers) handlePrepare(now float64, from view.Member, id uint64, p *meshpb.Prepare) {
	b := FromWire(p.Ballot)
	if !rs.voting || b.Epoch != rs.view.Epoch {
		return
	}
	if e := rs.entries[p.Key]; e != nil && e.promised == b { // a resent message: the answer may have been lost
		rs.sendPromise(from, id, e, FromWire(p.Held))
		return
	}
	if b.compare(rs.promisedBallot(p.Key)) <= 0 {
		rs.effects.Sends = append(rs.effects.Sends, transport.Send{To: from.Address, Message: &meshpb.Message{Id: id,
			Promise: &meshpb.Promise{Promised: rs.promisedBallot(p.Key).Wire()}}})
		return
	}
	e := rs.entries[p.Key]
	if e == nil {
		e = &entry{receivedAt: now}
		rs.entries[p.Key] = e
	}
	e.promised, e.chosen = b, false
	rs.persistPromise(p.Key, e)
	rs.sendPromise(from, id, e, FromWire(p.Held))
}

// sendPromise sends what a register has promised and accepted, once that is on disk. The value is left out if the proposer
// already holds it.
func (rs *Registers) sendPromise(to view.Member, id uint64, e *entry, askerHolds Ballot) {
	p := &meshpb.Promise{Yes: true, Promised: e.promised.Wire(), Accepted: e.accepted.Wire()}
	if askerHolds == (Ballot{}) || askerHolds != e.accepted {
		p.Value = e.value
	}
	rs.effects.After = append(rs.effects.After, transport.Send{To: to.Address, Message: &meshpb.Message{Id: id, Promise: p}})
}

func (rs *Registers) handleAccept(now float64, from view.Member, id uint64, a *meshpb.Accept) {
	if !rs.voting || FromWire(a.Ballot).Epoch != rs.view.Epoch {
		return
	}
	yes := rs.hasAccepted(a) || rs.accept(now, a)
	answer := &meshpb.Message{Id: id, Accepted: &meshpb.Accepted{Yes: yes, Promised: a.Ballot}}
	if !yes {
		answer.Accepted.Promised = rs.promisedBallot(a.Key).Wire()
	}
	rs.effects.After = append(rs.effects.After, transport.Send{To: from.Address, Message: answer})
}

// hasAccepted reports whether a value was accepted at the ballot of a and nothing newer has been promised since. The message is
// then a duplicate, as no ballot is ever used for two values.
func (rs *Registers) hasAccepted(a *meshpb.Accept) bool {
	e, b := rs.entries[a.Key], FromWire(a.Ballot)
	if e == nil || e.accepted != b || e.promised != b.next() {
		return false
	}
	rs.Checks.Check(invariant.BallotUnique, proto.Equal(e.value, a.Value), "key", a.Key, "ballot", b)
	return true
}

// accept accepts a value unless a newer ballot was promised.
func (rs *Registers) accept(now float64, a *meshpb.Accept) bool {
	b := FromWire(a.Ballot)
	if b.compare(rs.promisedBallot(a.Key)) < 0 {
		return false
	}
	e := rs.entries[a.Key]
	if e == nil {
		e = &entry{}
		rs.entries[a.Key] = e
	}
	rs.Checks.Check(invariant.PromiseKept, b.compare(e.accepted) > 0, "key", a.Key, "ballot", b, "accepted", e.accepted)
	e.promised, e.accepted, e.value, e.receivedAt, e.chosen = b.next(), b, a.Value, now, false
	rs.persist(a.Key, e)
	return true
}

// persist writes an entry to disk and assigns it the next position in the order of changes.
func (rs *Registers) persist(key string, e *entry) {
	rs.position++
	e.position = rs.position
	rs.entryOrder.add(rs.position, key)
	text, err := proto.Marshal(wireEntry(key, e))
	if err != nil {
		return // cannot happen: a value that was decoded from the wire can be encoded again
	}
	rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: valuePrefix + key, Value: text})
}

// persistPromise writes a promise to disk: together with the value, or on its own if the register is permanent and its value is
// already stored. A joiner needs no promises of other members, so the entry keeps its position.
func (rs *Registers) persistPromise(key string, e *entry) {
	if !isPermanent(key) || e.accepted == (Ballot{}) {
		rs.persist(key, e)
		return
	}
	text, err := proto.Marshal(e.promised.Wire())
	if err != nil {
		return // cannot happen: a ballot can always be encoded
	}
	rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: promisePrefix + key, Value: text})
}

func wireEntry(key string, e *entry) *meshpb.Entry {
	return &meshpb.Entry{Key: key, Promised: e.promised.Wire(), Accepted: e.accepted.Wire(), Value: e.value}
}

// Restore loads the registers from the store's values. Ages start again from now. A value under the name of another key was
// put there by an earlier version, whose store confused names that end in "/0" or "/1". Such values are moved to their own
// names; the newest value of a key counts.
func (rs *Registers) Restore(now float64, values map[string][]byte) error {
	var misplaced []string // keys of values under names of other keys
	for _, name := range sortedKeys(values) {
		if len(name) <= len(valuePrefix) || name[:len(valuePrefix)] != valuePrefix {
			continue
		}
		w := &meshpb.Entry{}
		if err := proto.Unmarshal(values[name], w); err != nil {
			return err
		}
		rs.restoreEntry(now, w)
		if name != valuePrefix+w.Key {
			misplaced = append(misplaced, w.Key)
			rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: name})
		}
	}
	for _, key := range misplaced {
		rs.persist(key, rs.entries[key])
	}
	return rs.restorePromises(values)
}

// restoreEntry loads one register, unless a newer state of it has been loaded.
func (rs *Registers) restoreEntry(now float64, w *meshpb.Entry) {
	e := &entry{promised: FromWire(w.Promised), accepted: FromWire(w.Accepted), value: w.Value, receivedAt: now}
	if loaded := rs.entries[w.Key]; loaded != nil && e.promised.compare(loaded.promised) <= 0 {
		return
	}
	rs.position++
	e.position = rs.position
	rs.entries[w.Key] = e
	rs.entryOrder.add(rs.position, w.Key)
}

// restorePromises loads promises that are newer than those stored with their registers.
func (rs *Registers) restorePromises(values map[string][]byte) error {
	for name, value := range values {
		key, found := strings.CutPrefix(name, promisePrefix)
		e := rs.entries[key]
		if !found || e == nil || len(value) == 0 {
			continue
		}
		w := &meshpb.Ballot{}
		if err := proto.Unmarshal(value, w); err != nil {
			return err
		}
		if promised := FromWire(w); promised.compare(e.promised) > 0 {
			e.promised = promised
		}
	}
	return nil
}
