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

// Prefixes of the names under which the store has registers: each with its value, and, of what is permanent, promises that are newer than
// what stands there. A promise is a ballot: it does not write a configuration anew.
const (
	prefix        = "k."
	promisePrefix = "p."
)

// Heard takes a message of another server's, or of this one's. Whoever calls it has compared the epochs: questions of another epoch
// than this server's are not its to answer.
func (l *Registers) Heard(now float64, from view.Member, m *meshpb.Message) {
	switch {
	case m.Prepare != nil:
		l.heardPrepare(now, from, m.Id, m.Prepare)
	case m.Accept != nil:
		l.heardAccept(now, from, m.Id, m.Accept)
	case m.Promise != nil:
		l.heardPromise(now, from, l.byID[m.Id], m.Promise)
	case m.Accepted != nil:
		l.heardAccepted(now, from, l.byID[m.Id], m.Accepted)
	}
}

func (l *Registers) heardPrepare(now float64, from view.Member, id uint64, p *meshpb.Prepare) {
	b := FromWire(p.Ballot)
	if !l.voting || b.Epoch != l.view.Epoch {
		return
	}
	if e := l.entries[p.Key]; e != nil && e.promised == b { // the same message again: its answer may be lost
		l.promise(from, id, e, FromWire(p.Held))
		return
	}
	if b.compare(l.promised(p.Key)) <= 0 {
		l.out.Sends = append(l.out.Sends, transport.Send{To: from.Address, Message: &meshpb.Message{Id: id,
			Promise: &meshpb.Promise{Promised: l.promised(p.Key).Wire()}}})
		return
	}
	e := l.entries[p.Key]
	if e == nil {
		e = &entry{at: now}
		l.entries[p.Key] = e
	}
	e.promised, e.chosen = b, false
	l.keepPromise(p.Key, e)
	l.promise(from, id, e, FromWire(p.Held))
}

// promise tells what a register has promised and accepted, once the disk has it. A value that the asker holds is not sent.
func (l *Registers) promise(to view.Member, id uint64, e *entry, held Ballot) {
	p := &meshpb.Promise{Yes: true, Promised: e.promised.Wire(), Accepted: e.accepted.Wire()}
	if held == (Ballot{}) || held != e.accepted {
		p.Value = e.value
	}
	l.out.After = append(l.out.After, transport.Send{To: to.Address, Message: &meshpb.Message{Id: id, Promise: p}})
}

func (l *Registers) heardAccept(now float64, from view.Member, id uint64, a *meshpb.Accept) {
	if !l.voting || FromWire(a.Ballot).Epoch != l.view.Epoch {
		return
	}
	yes := l.hasAccepted(a) || l.accept(now, a)
	answer := &meshpb.Message{Id: id, Accepted: &meshpb.Accepted{Yes: yes, Promised: a.Ballot}}
	if !yes {
		answer.Accepted.Promised = l.promised(a.Key).Wire()
	}
	l.out.After = append(l.out.After, transport.Send{To: from.Address, Message: answer})
}

// hasAccepted says whether a value was accepted at a ballot, and nothing newer was promised since: the same message comes again, as no
// ballot is ever used for two values.
func (l *Registers) hasAccepted(a *meshpb.Accept) bool {
	e, b := l.entries[a.Key], FromWire(a.Ballot)
	if e == nil || e.accepted != b || e.promised != b.next() {
		return false
	}
	l.Checks.Check(invariant.BallotUnique, proto.Equal(e.value, a.Value), "key", a.Key, "ballot", b)
	return true
}

// accept takes a value where nothing newer was promised.
func (l *Registers) accept(now float64, a *meshpb.Accept) bool {
	b := FromWire(a.Ballot)
	if b.compare(l.promised(a.Key)) < 0 {
		return false
	}
	e := l.entries[a.Key]
	if e == nil {
		e = &entry{}
		l.entries[a.Key] = e
	}
	l.Checks.Check(invariant.PromiseKept, b.compare(e.accepted) > 0, "key", a.Key, "ballot", b, "accepted", e.accepted)
	e.promised, e.accepted, e.value, e.at, e.chosen = b.next(), b, a.Value, now, false
	l.keep(a.Key, e)
	return true
}

// keep has an entry written, and gives it the next position in the order of changes.
func (l *Registers) keep(key string, e *entry) {
	l.position++
	e.position = l.position
	l.order.add(l.position, key)
	text, err := proto.Marshal(wireEntry(key, e))
	if err != nil {
		return // a value that came over the wire can be written again
	}
	l.out.Puts = append(l.out.Puts, store.Put{Name: prefix + key, Value: text})
}

// keepPromise has a promise written: with the value, or without where that is permanent and on the disk already. Who joins needs no promises
// of others, so the entry keeps its position.
func (l *Registers) keepPromise(key string, e *entry) {
	if !permanent(key) || e.accepted == (Ballot{}) {
		l.keep(key, e)
		return
	}
	text, err := proto.Marshal(e.promised.Wire())
	if err != nil {
		return // a ballot can always be written
	}
	l.out.Puts = append(l.out.Puts, store.Put{Name: promisePrefix + key, Value: text})
}

func wireEntry(key string, e *entry) *meshpb.Entry {
	return &meshpb.Entry{Key: key, Promised: e.promised.Wire(), Accepted: e.accepted.Wire(), Value: e.value}
}

// Restore takes what the store held. Ages begin anew.
func (l *Registers) Restore(now float64, values map[string][]byte) error {
	for _, name := range sortedKeys(values) {
		if len(name) <= len(prefix) || name[:len(prefix)] != prefix {
			continue
		}
		w := &meshpb.Entry{}
		if err := proto.Unmarshal(values[name], w); err != nil {
			return err
		}
		l.position++
		l.entries[w.Key] = &entry{promised: FromWire(w.Promised), accepted: FromWire(w.Accepted), value: w.Value, at: now,
			position: l.position}
		l.order.add(l.position, w.Key)
	}
	return l.restorePromises(values)
}

// restorePromises takes promises that are newer than what stands with their registers.
func (l *Registers) restorePromises(values map[string][]byte) error {
	for name, value := range values {
		key, found := strings.CutPrefix(name, promisePrefix)
		e := l.entries[key]
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
