// Package failover decides which fraction of each zone's requests goes to which zone, either for a fleet of proxies in
// common or for a single proxy. It prefers the local zone while that is safe, leaves a failing zone quickly and returns
// to it slowly, and sends no zone more than that zone has been observed to handle.
//
// A Window collects what one proxy observes and summarises it in a Report. An Agent takes these reports at each Tick,
// exchanges Messages with the agents of the other proxies, and gives the ZonePlan in force. A Planner makes plans from
// reports; the agent has one for itself, and another while it leads the fleet.
//
// The package reads no clock, starts no goroutine and does no I/O. Times are seconds from an arbitrary start; only the
// times of orders are compared between members, and are shown to operators as Unix time. Rates are requests per second.
// docs/failover.md gives the reasons for the design.
package failover

import (
	"maps"
	"slices"
)

const (
	slotSeconds = 0.25
	slotCount   = 16
	minSlots    = 4
	minSamples  = 30 // both of requests and of answers, which a report should cover
)

// Report is what one member observed over the latest part of its window.
type Report struct {
	Member      string      `codec:"m"`
	Zone        string      `codec:"z"` // the member's own zone
	SpanSeconds float64     `codec:"d"` // period that the rates refer to
	RequestRate float64     `codec:"t"` // requests per second from its clients
	Targets     []ZoneStats `codec:"f"` // by target zone
}

// ZoneStats is what a member observed of the hosts of one zone. The late limit is the answer time from which the caller of
// Window counts an answer as late.
type ZoneStats struct {
	Zone          string  `codec:"z"`
	AnsweredRate  float64 `codec:"a"` // per second
	FailedRate    float64 `codec:"l"` // per second: no connection, no answer in time, a truncated answer, an error
	TimedOutRate  float64 `codec:"w"` // the failures that timed out, per second
	Load          float64 `codec:"u"` // mean of the answer time relative to the late limit; 1: late, or rejected
	FailureStreak int     `codec:"r"` // failures since the last answer or rejection: 1 for each time-out, 2 for any other
	SinceAnswer   float64 `codec:"s"` // seconds since the last answer or rejection
	SinceFailure  float64 `codec:"g"` // seconds since the last failure
}

// never is the age in seconds of an event that has not happened.
const never = 1e6

// Window collects what one proxy observes over a few seconds. It is not safe for concurrent use.
type Window struct {
	slots     [slotCount]slot
	newest    int64 // number of the newest slot
	startedAt float64
	outcomes  map[string]*lastOutcomes
}

type slot struct {
	requests float64
	zones    map[string]*zoneCounts
}

type zoneCounts struct{ answered, failed, timedOut, loadSum, loadSamples float64 }

// lastOutcomes describes how the latest attempts to a zone ended.
type lastOutcomes struct {
	failureStreak        int
	answeredAt, failedAt float64
}

// NewWindow returns a window that starts now.
func NewWindow(now float64) *Window {
	return &Window{newest: int64(now / slotSeconds), startedAt: now, outcomes: map[string]*lastOutcomes{}}
}

// slotAt returns the current slot. It clears the slots that were skipped since the last call.
func (w *Window) slotAt(now float64) *slot {
	n := int64(now / slotSeconds)
	for ; w.newest < n; w.newest++ {
		if n-w.newest > slotCount {
			w.newest = n - slotCount
		}
		w.slots[(w.newest+1)%slotCount] = slot{}
	}
	return &w.slots[w.newest%slotCount]
}

// countsFor returns the counts of a zone in the current slot, and its last outcomes. It creates what does not exist yet.
func (w *Window) countsFor(now float64, zone string) (*zoneCounts, *lastOutcomes) {
	s := w.slotAt(now)
	if s.zones == nil {
		s.zones = map[string]*zoneCounts{}
	}
	if s.zones[zone] == nil {
		s.zones[zone] = &zoneCounts{}
	}
	if w.outcomes[zone] == nil {
		w.outcomes[zone] = &lastOutcomes{answeredAt: now - never, failedAt: now - never}
	}
	return s.zones[zone], w.outcomes[zone]
}

// RequestReceived records a request from a client.
func (w *Window) RequestReceived(now float64) { w.slotAt(now).requests++ }

// Answered records an answer from a host. load is the answer time relative to the late limit.
func (w *Window) Answered(now float64, zone string, load float64) {
	counts, outcome := w.countsFor(now, zone)
	counts.answered++
	counts.loadSum, counts.loadSamples = counts.loadSum+min(1, load), counts.loadSamples+1
	outcome.failureStreak, outcome.answeredAt = 0, now
}

// Rejected records that a host rejected a request for lack of capacity: the host is reachable, and full.
func (w *Window) Rejected(now float64, zone string) {
	counts, outcome := w.countsFor(now, zone)
	counts.loadSum, counts.loadSamples = counts.loadSum+1, counts.loadSamples+1
	outcome.failureStreak, outcome.answeredAt = 0, now
}

// Failed records an attempt without an answer. timedOut tells that the attempt lasted to the late limit.
func (w *Window) Failed(now float64, zone string, timedOut bool) {
	counts, outcome := w.countsFor(now, zone)
	counts.failed++
	outcome.failureStreak, outcome.failedAt = outcome.failureStreak+2, now
	if timedOut { // overload causes time-outs too
		counts.timedOut, counts.loadSum, counts.loadSamples = counts.timedOut+1, counts.loadSum+1, counts.loadSamples+1
		outcome.failureStreak--
	}
}

// Report summarises the shortest recent period that has enough samples.
func (w *Window) Report(now float64, member, zone string) Report {
	w.slotAt(now)
	totals, requests, n, samples := map[string]*zoneCounts{}, 0.0, 0, 0.0
	for n < slotCount && (n < minSlots || samples < minSamples || requests < minSamples) {
		counts := &w.slots[(w.newest-int64(n)+slotCount)%slotCount]
		requests += counts.requests
		for name, stats := range counts.zones {
			if totals[name] == nil {
				totals[name] = &zoneCounts{}
			}
			total := totals[name]
			total.answered, total.failed, total.timedOut =
				total.answered+stats.answered, total.failed+stats.failed, total.timedOut+stats.timedOut
			total.loadSum, total.loadSamples = total.loadSum+stats.loadSum, total.loadSamples+stats.loadSamples
			samples += stats.loadSamples
		}
		n++
	}
	elapsed := now - float64(w.newest-int64(n-1))*slotSeconds // the newest slot is not over yet
	span := max(slotSeconds, min(elapsed, now-w.startedAt))
	report := Report{Member: member, Zone: zone, SpanSeconds: span, RequestRate: requests / span}
	for _, name := range slices.Sorted(maps.Keys(w.outcomes)) {
		outcome := w.outcomes[name]
		stats := ZoneStats{Zone: name, FailureStreak: outcome.failureStreak,
			SinceAnswer: min(never, now-outcome.answeredAt), SinceFailure: min(never, now-outcome.failedAt)}
		if counts := totals[name]; counts != nil {
			stats.AnsweredRate, stats.FailedRate, stats.TimedOutRate =
				counts.answered/span, counts.failed/span, counts.timedOut/span
			stats.Load = counts.loadSum / max(1, counts.loadSamples)
		} else if stats.SinceAnswer > forgetSeconds && stats.SinceFailure > forgetSeconds {
			delete(w.outcomes, name)
			continue
		}
		report.Targets = append(report.Targets, stats)
	}
	return report
}

const forgetSeconds = 60.0 // without attempts, after which a zone is forgotten
