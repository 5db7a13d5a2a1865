package proxy

import (
	"time"

	"beechwing/internal/site"
)

// timing holds the time limits that no setting gives.
type timing struct {
	idle      time.Duration // a client's connection that has brought a request is closed after this without another
	idleLeast time.Duration // the same when all places are taken
	warm      time.Duration // after a request its connection\'s goroutine waits for this before it is parked
	fresh     time.Duration // one that has brought none yet has to bring it whole within this; bytes sent slowly do not renew it
	head      time.Duration // a further request has to come whole within this after its first byte
	late      time.Duration // for what has come but was not read when its time was over
	refuse    time.Duration // a request that is refused unread has to come whole within this
	answer    time.Duration // a client has to take its answer within this
	linger    time.Duration // for which a client that sent something malformed may read the answer

	// The last byte of a request is held back for this. A host resets what it does not want within a round trip.
	settle time.Duration

	call    time.Duration // for a call to discovery that need not wait: under load it answers, or says that it cannot, in 2 s
	stepOut time.Duration // for which a watch is held after its last answer; a later call counts as a new watch after 200 ms
	watch   time.Duration // by which a watch may take longer than its wait; what it should tell counts as told 2 s after

	firstList time.Duration // that discovery may take before a process serves with the list that it was given

	// New connections go on coming for up to 0.4 s after SIGTERM; the rest covers a machine that is slow just then.
	drain   time.Duration
	backlog time.Duration // for what then still waits in the listener's backlog
	last    time.Duration // in which a connection accepted last may yet bring its request
	wind    time.Duration // of spare, in which answers given last are written
	spare   time.Duration // after the longest deadline; SIGKILL may come 0.7 s after it
}

func defaultTiming() timing {
	return timing{
		warm: 100 * time.Millisecond, head: 2500 * time.Millisecond,
		late: 50 * time.Millisecond, refuse: 250 * time.Millisecond, answer: 5 * time.Second, linger: 500 * time.Millisecond, settle: time.Millisecond,
		call: 2200 * time.Millisecond, watch: 1500 * time.Millisecond, stepOut: 250 * time.Millisecond,
		drain: 550 * time.Millisecond, backlog: 50 * time.Millisecond, last: 250 * time.Millisecond,
		spare: 600 * time.Millisecond, wind: 150 * time.Millisecond, firstList: 1500 * time.Millisecond,
	}
}

// set takes over what the operator says of connections.
func (t *timing) set(c site.Connections) {
	t.idle, t.idleLeast, t.fresh = time.Duration(c.Idle), time.Duration(c.IdleFull), time.Duration(c.First)
}
