// Package budget limits the load that each of many proxies puts on a shared service, so that all proxies together stay
// within its capacity. Its type QueryPacer says when and how a proxy queries discovery for changes of the host list: with a
// watch (a call that discovery holds until the list changes) or by polling with delays. It decides from the settings and
// from the results of the proxy's calls, and uses neither I/O nor a clock.
package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// maxSmallFleet is the number of proxies up to which all proxies always watch, and call again without a delay.
	maxSmallFleet = 16
	// assumedCallsPerSecond is the capacity of discovery that is assumed until calls have shown more.
	assumedCallsPerSecond = 25.0
	// The gap between two calls is bounded by minGapShare and maxGapShare, as shares of knownAfter. After a failed call,
	// which has taken time of its own, maxRetryShare bounds it. fixedShare is the part of the gap that is not random.
	minGapShare, maxGapShare, maxRetryShare, fixedShare = 0.1, 0.8, 0.5, 0.4

	// A poll is answered without waiting for a change. If it takes longer than slowCall, it has queued behind other calls in
	// discovery; if it takes less than quickCall, it has not.
	slowCall, quickCall = 300 * time.Millisecond, 100 * time.Millisecond
	// A failed call multiplies the gap by failureFactor. A slow call lengthens it by slowGrowthPerSecond for each second over
	// slowCall. A quick call multiplies it by quickFactor. The decrease of the call rate has to be multiplicative, or
	// congestion persists (Chiu and Jain 1989). Latency shows congestion before calls fail.
	failureFactor, slowGrowthPerSecond, quickFactor = 2.0, 1.0, 0.94

	defaultKnownAfter = 10 * time.Second
)

// QueryPacer decides how a proxy queries discovery for changes of the host list. The proxy watches as long as discovery keeps
// up. In a large fleet a change ends all watches at the same time, and all proxies call again at once. A discovery service
// that processes calls one by one then answers each call after its caller has timed out, and does not recover while calls
// arrive at that rate. So once calls are slow or fail, each proxy polls with delays instead, at the rate that discovery can
// take.
//
// A QueryPacer is used by one goroutine.
type QueryPacer struct {
	smallFleet      bool
	polling         bool
	lastFailed      bool // the last call failed
	knownAfter, gap time.Duration
	random          *rand.Rand
}

// NewQueryPacer returns a QueryPacer for one proxy of a fleet with the given number of proxies. If proxies is 0 or less, the
// number is unknown, and the fleet is treated as small. A change of the list counts as known to a proxy after knownAfter,
// even if the proxy has not asked; 0 stands for 10 s.
func NewQueryPacer(proxies int, knownAfter time.Duration, seed uint64) *QueryPacer {
	if knownAfter <= 0 {
		knownAfter = defaultKnownAfter
	}
	p := &QueryPacer{smallFleet: proxies <= maxSmallFleet, knownAfter: knownAfter, random: rand.New(rand.NewPCG(seed, 1))}
	if !p.smallFleet {
		p.gap = min(p.shareOfKnownAfter(maxGapShare/2),
			time.Duration(float64(proxies)/assumedCallsPerSecond*float64(time.Second)))
	}
	return p
}

func (p *QueryPacer) shareOfKnownAfter(share float64) time.Duration {
	return time.Duration(share * float64(p.knownAfter))
}

// Polling reports whether the proxy should poll instead of watching.
func (p *QueryPacer) Polling() bool { return p.polling }

// WatchAnswered records an answered watch. The duration of a watch says nothing about congestion, because the time spent
// waiting for a change cannot be told from the time spent in discovery's queue.
func (p *QueryPacer) WatchAnswered() { p.lastFailed = false }

// PollAnswered records an answered poll, and how long it took.
func (p *QueryPacer) PollAnswered(took time.Duration) {
	p.lastFailed = false
	switch {
	case p.smallFleet:
	case took > slowCall:
		p.polling = true
		p.gap = min(p.shareOfKnownAfter(maxGapShare),
			time.Duration((1+slowGrowthPerSecond*(took-slowCall).Seconds())*float64(p.gap)))
	case took < quickCall && p.polling:
		p.gap = time.Duration(quickFactor * float64(p.gap))
		if p.gap < p.shareOfKnownAfter(minGapShare) {
			p.gap = p.shareOfKnownAfter(minGapShare)
			p.polling = false
		}
	}
}

// CallFailed records a call that was not answered, or was answered with an error.
func (p *QueryPacer) CallFailed() {
	p.lastFailed = true
	if !p.smallFleet {
		p.polling = true
		p.gap = min(p.shareOfKnownAfter(maxGapShare), time.Duration(failureFactor*float64(p.gap)))
	}
}

// FirstDelay returns how long to wait before the first call of a proxy that starts with a list that it can use. The delay is
// random because proxies that were killed together also start together.
func (p *QueryPacer) FirstDelay() time.Duration {
	return time.Duration(p.random.Float64() * float64(p.gap))
}

// NextDelay returns how long to wait before the next call. The delay is partly random, so that proxies that learned of a
// change together do not call together.
func (p *QueryPacer) NextDelay() time.Duration {
	if !p.polling {
		return 0
	}
	gap := p.gap
	if p.lastFailed {
		gap = min(gap, p.shareOfKnownAfter(maxRetryShare))
	}
	return time.Duration((fixedShare + (1-fixedShare)*p.random.Float64()) * float64(gap))
}
