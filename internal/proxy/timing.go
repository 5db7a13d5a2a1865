package proxy

import (
	"time"

	"beechwing/internal/site"
)

// timing holds the time limits that no setting gives.
type timing struct {
	idleTimeout         time.Duration // a client's connection that has brought a request is closed after this without another
	idleTimeoutFull     time.Duration // the same when all places are taken
	warmWait            time.Duration // after a request its connection\'s goroutine waits for this before it is parked
	firstRequestTimeout time.Duration // one that has brought none yet has to bring it whole within this; bytes sent slowly do not renew it
	requestTimeout      time.Duration // a further request has to come whole within this after its first byte
	lateGrace           time.Duration // for what has come but was not read when its time was over
	refuseTimeout       time.Duration // a request that is refused unread has to come whole within this
	responseTimeout     time.Duration // a client has to take its answer within this
	lingerTimeout       time.Duration // for which a client that sent something malformed may read the answer

	// The last byte of a request is held back for this. A host resets what it does not want within a round trip.
	lastByteDelay time.Duration

	listCallTimeout time.Duration // for a call to discovery that need not wait: under load it answers, or says that it cannot, in 2 s
	watchHold       time.Duration // for which a watch is held after its last answer; a later call counts as a new watch after 200 ms
	watchGrace      time.Duration // by which a watch may take longer than its wait; what it should tell counts as told 2 s after

	firstListTimeout time.Duration // that discovery may take before a process serves with the list that it was given

	// New connections go on coming for up to 0.4 s after SIGTERM; the rest covers a machine that is slow just then.
	drainPeriod       time.Duration
	backlogPeriod     time.Duration // for what then still waits in the listener's backlog
	lastRequestPeriod time.Duration // in which a connection accepted last may yet bring its request
	finalWritePeriod  time.Duration // of spare, in which answers given last are written
	shutdownSpare     time.Duration // after the longest deadline; SIGKILL may come 0.7 s after it
}

func defaultTiming() timing {
	return timing{
		warmWait: 100 * time.Millisecond, requestTimeout: 2500 * time.Millisecond,
		lateGrace: 50 * time.Millisecond, refuseTimeout: 250 * time.Millisecond, responseTimeout: 5 * time.Second, lingerTimeout: 500 * time.Millisecond, lastByteDelay: time.Millisecond,
		listCallTimeout: 2200 * time.Millisecond, watchGrace: 1500 * time.Millisecond, watchHold: 250 * time.Millisecond,
		drainPeriod: 550 * time.Millisecond, backlogPeriod: 50 * time.Millisecond, lastRequestPeriod: 250 * time.Millisecond,
		shutdownSpare: 600 * time.Millisecond, finalWritePeriod: 150 * time.Millisecond, firstListTimeout: 1500 * time.Millisecond,
	}
}

// set takes over what the operator says of connections.
func (t *timing) set(c site.Connections) {
	t.idleTimeout, t.idleTimeoutFull, t.firstRequestTimeout = time.Duration(c.Idle), time.Duration(c.IdleFull), time.Duration(c.First)
}
