package sidecar

import "beechwing/internal/mesh/meshpb"

// cursor is how far a control process has told this one what it knows. It stands for the vector of versions in
// questions to that process, so all that is known here has to be known there too: what comes from elsewhere
// ends it, and the next question names everything again.
type cursor struct {
	server string
	place  *meshpb.Cursor
}

// of is the cursor for a question to a peer; nil: it told none that counts.
func (c *cursor) of(peer string) *meshpb.Cursor {
	if c.server != peer {
		return nil
	}
	return c.place
}

// told takes the cursor of a control process's answer. behind: more is known here than the question named. A
// process that is alone tells none, and keeps what it told before.
func (c *cursor) told(from string, w *meshpb.Update, behind bool) {
	switch {
	case w.Alone:
	case w.Cursor == nil || behind:
		*c = cursor{}
	case c.of(from).GetLife() == w.Cursor.Life && c.place.Position > w.Cursor.Position: // answers have overtaken each other
	default:
		*c = cursor{from, w.Cursor}
	}
}

// learned notes that a record was taken from a process: no other is known to have it.
func (n *news) learned(from string) {
	if n.cursor.server != from {
		n.cursor = cursor{}
	}
	for i := range n.pulls {
		if n.pulls[i].peer != from {
			n.pulls[i].behind = true
		}
	}
}

// vector is what this proxy has, by source.
func (n *news) vector() (all []*meshpb.Seen) {
	for _, source := range n.sources() {
		all = append(all, &meshpb.Seen{Source: source, Version: n.records[source].Version})
	}
	return all
}
