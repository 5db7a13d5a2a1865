package control

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// lone is the only server of a mesh, and what it told proxies.
type lone struct {
	*Server
	now  float64
	told []transport.Send
}

// newLone starts a server that is in contact with itself and tells proxies what it knows.
func newLone(t testing.TB, life uint32) *lone {
	t.Helper()
	s, err := New(1, Options{Self: "hall", Seeds: []string{"hall"}, First: true, Life: life, Random: uint64(life)},
		map[string][]byte{})
	if err != nil {
		t.Fatal(err)
	}
	l := &lone{Server: s, now: 1}
	for range 200 {
		l.pass(0.02)
		if !l.behind(l.now) {
			return l
		}
	}
	t.Fatal("the server does not start")
	return nil
}

// take carries out what the server wants done.
func (l *lone) take() {
	out := l.Take()
	for len(out.Sends)+len(out.After) > 0 {
		for _, send := range append(out.Sends, out.After...) {
			if send.To == l.o.Self {
				l.Heard(l.now, l.o.Self, send.Message)
			} else {
				l.told = append(l.told, send)
			}
		}
		out = l.Take()
	}
}

func (l *lone) pass(seconds float64) {
	l.now += seconds
	l.Tick(l.now)
	l.take()
}

// pulls gives the server a pull, and returns its answer; nil: it is held.
func (l *lone) pulls(from string, id uint64, pull *meshpb.Pull) *meshpb.Update {
	l.told = nil
	l.Heard(l.now, from, &meshpb.Message{Id: id, Life: 3, Pull: pull})
	l.take()
	return l.answer(id)
}

func (l *lone) answer(id uint64) *meshpb.Update {
	for _, send := range l.told {
		if send.Message.Id == id && send.Message.Update != nil {
			return send.Message.Update
		}
	}
	return nil
}

func record(source string, version uint64) *meshpb.Record {
	return &meshpb.Record{Source: source, Version: version, Station: "i-" + source, Condition: meshpb.AtDock}
}

func sourcesOf(w *meshpb.Update) (sources []string) {
	for _, r := range w.GetRecords() {
		sources = append(sources, r.Source)
	}
	return sources
}

// The first pull is answered by all that its vector lacks, and by a cursor. A pull with that cursor is held
// until another source's record changes, and is told just that one.
func TestCursorIsToldWhatChanged(t *testing.T) {
	l := newLone(t, 5)
	for i := range 9 {
		l.learn(l.now, record(fmt.Sprintf("p%d", i), 1), true)
	}
	seen := []*meshpb.Seen{{Source: "p1", Version: 1}, {Source: "here", Version: 1}}
	first := l.pulls("here", 1, &meshpb.Pull{Own: record("here", 1), Seen: seen})
	if len(first.GetRecords()) != 8 || first.GetCursor().GetLife() != 5 {
		t.Fatalf("the vector is answered by %v", first)
	}
	held := &meshpb.Pull{Own: record("here", 2), Hold: true, Cursor: first.Cursor, Epoch: first.Epoch}
	if w := l.pulls("here", 2, held); w != nil {
		t.Fatalf("a pull that lacks nothing but its own change is answered by %v", w)
	}
	l.learn(l.now, record("p3", 2), true)
	l.take()
	w := l.answer(2)
	if got := sourcesOf(w); len(got) != 1 || got[0] != "p3" || len(w.Servers) > 0 {
		t.Errorf("p3 has changed, told %v, servers %v", got, w.GetServers())
	}
	if w.GetCursor().GetPosition() <= first.Cursor.Position {
		t.Errorf("the cursor goes from %v to %v", first.Cursor, w.GetCursor())
	}
}

// A cursor of another life, of a position that is not there yet, or from before a tombstone was dropped, is
// answered at once by no records and no cursor.
func TestUnknownCursorIsToldSo(t *testing.T) {
	l := newLone(t, 5)
	l.learn(l.now, record("p1", 1), true)
	l.learn(l.now, record("p2", 1), true)
	old := l.propagation.changes.position
	l.learn(l.now, meshpb.NewTombstone("p2", 1), true)
	l.now += meshpb.TombstoneSeconds
	l.pass(0.3)
	position := l.propagation.changes.position
	for name, cursor := range map[string]*meshpb.Cursor{
		"another life": {Life: 6, Position: position},
		"to come":      {Life: 5, Position: position + 9},
		"old":          {Life: 5, Position: old},
	} {
		w := l.pulls("here", 1, &meshpb.Pull{Hold: true, Cursor: cursor})
		if w == nil || w.Cursor != nil || len(w.Records) > 0 {
			t.Errorf("%s: answered by %v", name, w)
		}
	}
	if w := l.pulls("here", 2, &meshpb.Pull{Hold: true, Cursor: &meshpb.Cursor{Life: 5, Position: position}, Epoch: 1}); w != nil {
		t.Errorf("the cursor of the newest position is answered at once by %v", w)
	}
}

// A pull by vector that is held is told what changes after it came, and its proxy a cursor.
func TestHeldVectorIsToldWhatChanged(t *testing.T) {
	l := newLone(t, 5)
	l.learn(l.now, record("p1", 1), true)
	seen := []*meshpb.Seen{{Source: "p1", Version: 1}}
	if w := l.pulls("here", 1, &meshpb.Pull{Hold: true, Seen: seen}); w != nil {
		t.Fatalf("answered by %v", w)
	}
	l.learn(l.now, record("p1", 2), true)
	l.take()
	if w := l.answer(1); len(w.GetRecords()) != 1 || w.GetCursor() == nil {
		t.Errorf("answered by %v", w)
	}
}

// The work to answer a held pull after one change does not depend on how many records there are.
func BenchmarkHeldPull(b *testing.B) {
	for _, records := range []int{100, 1000, 8000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			l := newLone(b, 5)
			for i := range records {
				l.learn(l.now, record(fmt.Sprintf("p%d", i), 1), false)
			}
			cursor := &meshpb.Cursor{Life: 5, Position: l.propagation.changes.position}
			l.learn(l.now, record("p7", 2), false)
			m := &meshpb.Message{Id: 1, Pull: &meshpb.Pull{Hold: true, Cursor: cursor}}
			for b.Loop() {
				l.Heard(l.now, "here", m)
				l.out.Sends = nil
			}
		})
	}
}
