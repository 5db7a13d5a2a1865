package proxy

import (
	"time"

	"beechwing/internal/site"
)

// timing holds the time limits. The operator sets the first two and firstRequestTimeout; the others are fixed.
type timing struct {
	idleTimeout         time.Duration // a client connection is closed after this time without another request
	idleTimeoutFull     time.Duration // the same while the connection limit is reached
	warmWait            time.Duration // the goroutine of an idle connection waits this long for a request before parking
	firstRequestTimeout time.Duration // to receive the first request on a connection; slow bytes do not extend it
	requestTimeout      time.Duration // to receive a further request, from its first byte
	lateGrace           time.Duration // to read what has arrived but was not read by the deadline
	refuseTimeout       time.Duration // to receive a request that is going to be refused
	responseTimeout     time.Duration // for a client to take its response
	lingerTimeout       time.Duration // for a client to read the response to an invalid request

	// The last byte of a request is held back for this long. A host that rejects a connection resets it within a round
	// trip.
	lastByteDelay time.Duration

	listCallTimeout time.Duration // for a call to discovery without a wait; an overloaded discovery answers or refuses within 2 s
	// How long a watch is held open after its last answer. Discovery takes a call that comes 200 ms or more after an
	// answer as a new watch.
	watchHold time.Duration
	// How much longer than its wait a watch call may take. After 2 s, discovery counts the changes that the
	// call should report as delivered.
	watchGrace time.Duration

	firstListTimeout time.Duration // after this, the process serves with the host list it was given, without one from discovery

	// New connections may arrive for up to 0.4 s after SIGTERM. The rest of drainPeriod is a reserve for a slow
	// machine.
	drainPeriod       time.Duration
	backlogPeriod     time.Duration // to accept what is then still in the listen backlog
	lastRequestPeriod time.Duration // for the connections accepted last to send their request
	finalWritePeriod  time.Duration // part of shutdownSpare, to write the last responses
	shutdownSpare     time.Duration // after the longest deadline; SIGKILL may follow 0.7 s after that deadline
}

func defaultTiming() timing {
	return timing{
		warmWait: 100 * time.Millisecond, requestTimeout: 2500 * time.Millisecond,
		lateGrace: 50 * time.Millisecond, refuseTimeout: 250 * time.Millisecond, responseTimeout: 5 * time.Second,
		lingerTimeout: 500 * time.Millisecond, lastByteDelay: time.Millisecond,
		listCallTimeout: 2200 * time.Millisecond, watchGrace: 1500 * time.Millisecond, watchHold: 250 * time.Millisecond,
		drainPeriod: 550 * time.Millisecond, backlogPeriod: 50 * time.Millisecond, lastRequestPeriod: 250 * time.Millisecond,
		shutdownSpare: 600 * time.Millisecond, finalWritePeriod: 150 * time.Millisecond,
		firstListTimeout: 1500 * time.Millisecond,
	}
}

// set applies the configured connection settings.
func (t *timing) set(c site.Connections) {
	t.idleTimeout, t.idleTimeoutFull, t.firstRequestTimeout =
		time.Duration(c.Idle), time.Duration(c.IdleFull), time.Duration(c.First)
}
