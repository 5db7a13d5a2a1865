package budget

import (
	"testing"
	"time"

	"beechwing/internal/lab/virtual"
)

// discoveryModel is a discovery service in virtual time that processes calls one by one, with the proxies that call it.
type discoveryModel struct {
	virtual.Clock

	serviceTime, callTimeout time.Duration
	busyUntil                time.Duration // when all queued calls are processed
	version                  int

	callsBySecond    map[time.Duration]int
	answered, failed int
}

// proxyModel is one proxy with the version of its list.
type proxyModel struct {
	*QueryPacer
	discovery *discoveryModel
	version   int
	updatedAt time.Duration // when the proxy received its list
	maxAge    time.Duration // longest time between two updates of the list
}

// watchCheckInterval is the interval at which a held watch checks for a new version, in place of an immediate notification.
const watchCheckInterval = 100 * time.Millisecond

func (p *proxyModel) call() {
	d, startedAt := p.discovery, p.discovery.Now()
	d.callsBySecond[d.Now()/time.Second]++
	processedAt := max(d.Now(), d.busyUntil) + d.serviceTime
	d.busyUntil = processedAt
	if processedAt-startedAt > d.callTimeout {
		d.After(d.callTimeout, func() {
			d.failed++
			p.CallFailed()
			d.After(time.Second+p.NextDelay(), p.call)
		})
		return
	}
	watching := !p.Polling()
	var answer func()
	answer = func() {
		if watching && p.version == d.version {
			d.After(watchCheckInterval, answer)
			return
		}
		d.answered++
		p.version = d.version
		p.maxAge, p.updatedAt = max(p.maxAge, d.Now()-p.updatedAt), d.Now()
		if watching {
			p.WatchAnswered()
		} else {
			p.PollAnswered(d.Now() - startedAt)
		}
		d.After(p.NextDelay(), p.call)
	}
	d.After(processedAt-d.Now(), answer)
}

const settleTime = 10 * time.Second // after which the proxies have adapted to the load of discovery

// runFleet starts the proxies together and runs them for 30 s of virtual time while the list changes every 250 ms. The calls
// within settleTime are not counted as answered or failed. Each proxy is told that the fleet has configured proxies.
func runFleet(proxies, configured int, serviceTime time.Duration) (*discoveryModel, []*proxyModel) {
	d := &discoveryModel{serviceTime: serviceTime, callTimeout: 2 * time.Second, callsBySecond: map[time.Duration]int{}}
	var change func()
	change = func() { d.version++; d.After(250*time.Millisecond, change) }
	change()
	all := make([]*proxyModel, proxies)
	for i := range all {
		p := &proxyModel{QueryPacer: NewQueryPacer(configured, 10*time.Second, uint64(i)), discovery: d}
		all[i] = p
		d.After(p.FirstDelay(), p.call)
	}
	d.Run(settleTime)
	d.answered, d.failed = 0, 0
	d.Run(3 * settleTime)
	return d, all
}

// TestCrowdedDiscovery starts a fleet together, with a discovery service that can answer far fewer calls than the changes
// would cause. All proxies must receive updates and few calls may fail, even if the configured number of proxies is half or
// double the real one. A fleet that is configured as small only watches. At least half of its calls must fail, which shows
// that the test overloads discovery.
func TestCrowdedDiscovery(t *testing.T) {
	for _, configured := range []int{40, 80, 160} {
		d, all := runFleet(80, configured, 60*time.Millisecond)
		maxAge, maxCalls := time.Duration(0), 0
		for _, p := range all {
			maxAge = max(maxAge, p.maxAge, d.Now()-p.updatedAt)
		}
		for _, n := range d.callsBySecond {
			maxCalls = max(maxCalls, n)
		}
		if maxAge > 23*time.Second || 8*d.failed > d.answered || maxCalls > 80 {
			t.Errorf("configured for %d proxies: a list was %v old, %d calls failed, %d were answered, at most %d in one second",
				configured, maxAge, d.failed, d.answered, maxCalls)
		}
	}
	if d, _ := runFleet(80, maxSmallFleet, 60*time.Millisecond); d.failed < d.answered {
		t.Errorf("with watches only, %d calls failed and %d were answered; the test does not overload discovery",
			d.failed, d.answered)
	}
}

// TestQuickDiscovery checks that proxies watch a discovery service that keeps up, and that a proxy returns to watching after
// an overload has ended.
func TestQuickDiscovery(t *testing.T) {
	d, all := runFleet(80, 80, 100*time.Microsecond)
	if d.failed > 0 || all[0].Polling() {
		t.Errorf("%d calls failed, polling: %t; want none and a watch", d.failed, all[0].Polling())
	}
	p := NewQueryPacer(80, 0, 1)
	p.CallFailed()
	if delay := p.NextDelay(); !p.Polling() || delay <= 0 || delay > 5*time.Second {
		t.Errorf("after a failed call: polling %t, delay %v", p.Polling(), delay)
	}
	for n := 0; p.Polling(); n++ {
		if p.PollAnswered(time.Millisecond); n > 100 {
			t.Fatal("still polling after 100 quick answers")
		}
	}
	if delay := p.NextDelay(); delay != 0 {
		t.Errorf("delay of a watch is %v, want 0", delay)
	}
}

// TestFewProxies checks that the proxies of a small fleet, and of one with an unknown number of proxies, never poll and never
// wait.
func TestFewProxies(t *testing.T) {
	for _, n := range []int{-1, 0, 1, 4, maxSmallFleet} {
		p := NewQueryPacer(n, 10*time.Second, 1)
		p.CallFailed()
		p.PollAnswered(time.Minute)
		if p.Polling() || p.NextDelay() != 0 || p.FirstDelay() != 0 {
			t.Errorf("%d proxies: polling %t, or a delay other than 0", n, p.Polling())
		}
	}
}
