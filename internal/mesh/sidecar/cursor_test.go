package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

func isPull(m *meshpb.Message) bool { return m.Pull != nil }

// told answers the newest pull, and returns the one that follows.
func (c *caller) told(t *testing.T, update *meshpb.Update) (peer string, next *meshpb.Pull) {
	t.Helper()
	peer, q := c.question(t, isPull)
	c.hears(peer, meshpb.Answer(q, &meshpb.Message{Update: update}))
	peer, q = c.question(t, isPull)
	return peer, q.Pull
}

// toldCursor has a control process tell a cursor, which the next pull carries.
func (c *caller) toldCursor(t *testing.T) (peer string) {
	t.Helper()
	peer, pull := c.told(t, &meshpb.Update{FromServer: true, Cursor: &meshpb.Cursor{Life: 7, Position: 40}})
	if pull.Cursor.GetLife() != 7 || pull.Cursor.GetPosition() != 40 || len(pull.Seen) > 0 {
		t.Fatalf("after a cursor was told the pull is %v", pull)
	}
	return peer
}

// A cursor takes the place of the vector in pulls from the server that told it, until that server tells none:
// it has restarted, or the cursor is too old.
func TestCursorInPlaceOfVector(t *testing.T) {
	c := newCaller(1)
	if _, q := c.question(t, isPull); q.Pull.Cursor != nil || len(q.Pull.Seen) != 3 {
		t.Errorf("the first pull is %v", q.Pull)
	}
	c.toldCursor(t)
	_, pull := c.told(t, &meshpb.Update{FromServer: true, Cursor: &meshpb.Cursor{Life: 7, Position: 41}})
	if pull.Cursor.GetPosition() != 41 {
		t.Errorf("the next cursor is %v", pull.Cursor)
	}
	if _, pull = c.told(t, &meshpb.Update{FromServer: true}); pull.Cursor != nil || len(pull.Seen) != 3 {
		t.Errorf("where no cursor is told the pull is %v", pull)
	}
}

// Another server is sent the vector, for it knows nothing of the cursor.
func TestAnotherServerIsSentTheVector(t *testing.T) {
	c := newCaller(1)
	peer := c.toldCursor(t)
	c.pass(pullAgain + 0.1)
	other, q := c.question(t, isPull)
	if other == peer || q.Pull.Cursor != nil || len(q.Pull.Seen) != 3 {
		t.Errorf("after %s, %s is asked %v", peer, other, q.Pull)
	}
}

// A record that comes from another proxy may be unknown to the server: the next pull names everything. So does
// the one after an answer to a pull that was on its way meanwhile.
func TestRecordFromElsewhereEndsTheCursor(t *testing.T) {
	c := newCaller(1)
	c.toldCursor(t)
	own := &meshpb.Record{Source: "p3", Version: 1, Station: "i-3", Carrier: "shop", Condition: AtDock}
	c.hears("p3", &meshpb.Message{Id: 1, Life: 9, Pull: &meshpb.Pull{Own: own}})
	_, pull := c.told(t, &meshpb.Update{FromServer: true, Cursor: &meshpb.Cursor{Life: 7, Position: 50}})
	if pull.Cursor != nil || len(pull.Seen) != 4 {
		t.Errorf("the pull after the answer to an older one is %v", pull)
	}
	c.toldCursor(t)
}

// The same where no pull is open: the only server there is has said that it is alone.
func TestRecordFromElsewhereEndsTheCursorAtRest(t *testing.T) {
	c := newCaller(1)
	c.told(t, &meshpb.Update{FromServer: true, Servers: []string{"hall"}, Epoch: 1})
	c.told(t, &meshpb.Update{FromServer: true, Alone: true})
	c.pass(2 * aloneAgain)
	c.toldCursor(t)
	c.told(t, &meshpb.Update{FromServer: true, Alone: true})
	own := &meshpb.Record{Source: "p3", Version: 1, Station: "i-3", Carrier: "shop", Condition: AtDock}
	c.hears("p3", &meshpb.Message{Id: 1, Life: 9, Pull: &meshpb.Pull{Own: own}})
	c.pass(2 * aloneAgain)
	if _, q := c.question(t, isPull); q.Pull.Cursor != nil || len(q.Pull.Seen) != 4 {
		t.Errorf("the next pull is %v", q.Pull)
	}
}

// A server that is alone takes nothing back; an answer that was overtaken takes the cursor no further back.
func TestCursorDoesNotGoBack(t *testing.T) {
	var c cursor
	c.told("hall", &meshpb.Update{Cursor: &meshpb.Cursor{Life: 7, Position: 40}}, false)
	c.told("hall", &meshpb.Update{Cursor: &meshpb.Cursor{Life: 7, Position: 39}}, false)
	c.told("hall", &meshpb.Update{Alone: true}, false)
	if c.of("hall").GetPosition() != 40 || c.of("annex") != nil {
		t.Errorf("the cursor is %v", c)
	}
	c.told("hall", &meshpb.Update{Cursor: &meshpb.Cursor{Life: 8, Position: 2}}, false)
	if c.of("hall").GetPosition() != 2 {
		t.Errorf("the cursor of the next life is %v", c)
	}
}
