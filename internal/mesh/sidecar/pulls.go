package sidecar

import "slices"

// mostPulls bounds the questions to control processes that are open at once: each goes unanswered for a while
// first.
const mostPulls = 8

// openPull is a question to a control process that has not been answered.
type openPull struct {
	id   uint64
	peer string
}

// open notes a question to a control process. Those before it stay open: where all are slow, an answer that
// comes after the next one was asked is better than none.
func (n *discovery) open(q openPull) {
	n.pulls = append(n.pulls, q)
	if len(n.pulls) > mostPulls {
		n.pulls = n.pulls[1:]
	}
}

// asked is the peer that an open question was put to, and whether it was put to a control process; "": none
// of that id is open.
func (n *discovery) asked(id uint64, from string) (peer string, server bool) {
	for _, q := range n.pulls {
		if q.id == id {
			return q.peer, true
		}
	}
	if open, found := n.watch[from]; found && open == id {
		return from, false
	}
	return "", false
}

// close takes a question that was answered off the open ones, and all that were put to control processes
// before it: they would be answered by what was known earlier.
func (n *discovery) close(id uint64, from string) {
	if n.watch[from] == id {
		delete(n.watch, from)
		return
	}
	at := slices.IndexFunc(n.pulls, func(q openPull) bool { return q.id == id })
	n.pulls = n.pulls[at+1:]
}
