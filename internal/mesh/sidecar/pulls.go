package sidecar

import "slices"

// mostPulls bounds the questions to control processes that are open at once: each goes unanswered for a while
// first.
const maxPulls = 8

// openPull is a question to a control process that has not been answered.
type outstandingPull struct {
	id   uint64
	peer string
}

// open notes a question to a control process. Those before it stay open: where all are slow, an answer that
// comes after the next one was asked is better than none.
func (d *discovery) addPull(pull outstandingPull) {
	d.outstandingPulls = append(d.outstandingPulls, pull)
	if len(d.outstandingPulls) > maxPulls {
		d.outstandingPulls = d.outstandingPulls[1:]
	}
}

// asked is the peer that an open question was put to, and whether it was put to a control process; "": none
// of that id is open.
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

// close takes a question that was answered off the open ones, and all that were put to control processes
// before it: they would be answered by what was known earlier.
func (d *discovery) finishPull(id uint64, from string) {
	if d.watchPulls[from] == id {
		delete(d.watchPulls, from)
		return
	}
	at := slices.IndexFunc(d.outstandingPulls, func(pull outstandingPull) bool { return pull.id == id })
	d.outstandingPulls = d.outstandingPulls[at+1:]
}
