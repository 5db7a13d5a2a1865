package sidecar

import "slices"

// maxPulls bounds the number of pulls from control servers that are outstanding at once. A further pull is sent when the
// newest one went unanswered for a while or its server was lost, and at once when something changed here that the servers
// need to know.
const maxPulls = 8

// outstandingPull is an unanswered pull from a control server.
type outstandingPull struct {
	id   uint64
	peer string
}

// addPull adds a pull from a control server. Earlier pulls stay outstanding: where all servers are slow, an answer that
// comes after the next pull was sent is better than none.
func (d *discovery) addPull(pull outstandingPull) {
	d.outstandingPulls = append(d.outstandingPulls, pull)
	if len(d.outstandingPulls) > maxPulls {
		d.outstandingPulls = d.outstandingPulls[1:]
	}
}

// pullTarget returns the peer to which an outstanding pull was sent, and whether that is a control server. The peer is
// empty if no pull with that ID is outstanding.
func (d *discovery) pullTarget(id uint64, from string) (peer string, server bool) {
	for _, pull := range d.outstandingPulls {
		if pull.id == id {
			return pull.peer, true
		}
	}
	if open, found := d.watchPulls[from]; found && open == id {
		return from, false
	}
	return "", false
}

// finishPull removes an answered pull. It also removes all earlier pulls from control servers, whose answers would rest
// on older knowledge.
func (d *discovery) finishPull(id uint64, from string) {
	if d.watchPulls[from] == id {
		delete(d.watchPulls, from)
		return
	}
	at := slices.IndexFunc(d.outstandingPulls, func(pull outstandingPull) bool { return pull.id == id })
	d.outstandingPulls = d.outstandingPulls[at+1:]
}
