// Package judge evaluates a run of a fleet experiment. Judge takes the schedule of the run and its records and returns a
// Verdict: the rules that were violated and the expectations of the experiment that were not met. The records come from hosts,
// the list service, callers and the operating system. Nothing that a proxy reports about itself is used. A run in which the
// machine itself was the bottleneck proves nothing: its verdict is void instead of passed.
package judge

import (
	"fmt"
	"slices"
	"time"

	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

// The rules, with the names under which violations are reported.
const (
	LostRequest        = "request lost"
	TwoAnswers         = "more than one answer"
	LateAnswer         = "answer too late"
	SentAfterAnswer    = "sent after its answer"
	RanTwice           = "unsafe request ran twice"
	RefusedAndRan      = "refused though it may have run"
	RanOutsideGroup    = "keyed request ran outside its group"
	UnknownOrigin      = "answer that no host sent"
	SentAfterDrain     = "sent to a draining host after the grace period"
	ColdHostOverloaded = "cold host overloaded"
	Crashed            = "crash"
	ResourceGrowth     = "descriptors or memory grow steadily"
	OverLimit          = "over its limit"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule string
	At   time.Duration
	Text string
	// Timed marks a violation that was found by comparing durations, such as a late answer. It means nothing if the machine
	// itself was slow. All other violations follow from the order of events and count at any speed of the machine.
	Timed bool
}

// Verdict is the result of evaluating a run.
type Verdict struct {
	Void       string // why the run proves nothing; empty: the run counts
	Violations []Violation
	Unmet      []string // expectations that were not met
	Totals     Shares
}

// UntimedViolations returns the violations that count no matter how slow or busy the machine was.
func (v *Verdict) UntimedViolations() []Violation {
	return slices.DeleteFunc(slices.Clone(v.Violations), func(b Violation) bool { return b.Timed })
}

// OK reports whether the run counts, no rule was violated and all expectations were met.
func (v *Verdict) OK() bool { return v.Void == "" && len(v.Violations) == 0 && len(v.Unmet) == 0 }

// Slack is the delay that is put down to the machine before a time limit counts as exceeded.
const Slack = 150 * time.Millisecond

// A run is void if the rig's own timers were later than maxTimerDelayP99 in the 99th percentile, or if a larger share of the
// machine than maxMachineBusy was in use.
const (
	maxTimerDelayP99 = 25 * time.Millisecond
	maxMachineBusy   = 0.95
)

// judge holds the records of a run with the indexes that the checks use.
type judge struct {
	schedule   *plan.Schedule
	book       *record.Book
	executions map[string][]*record.Execution // by request id
	down       [][]interval                   // by proxy: times in which its process did not run, so that requests may be lost
	stopped    [][]interval                   // by proxy: times in which the run had its process stopped (SIGSTOP)
	verdict    *Verdict
}

// interval is a time range.
type interval struct{ from, to time.Duration }

// overlaps reports whether any of the intervals overlaps the given time range.
func overlaps(intervals []interval, from, to time.Duration) bool {
	return slices.ContainsFunc(intervals, func(s interval) bool { return from < s.to && to > s.from })
}

// Judge evaluates the records of a run of the schedule.
func Judge(s *plan.Schedule, b *record.Book) *Verdict {
	j := &judge{schedule: s, book: b, executions: map[string][]*record.Execution{}, verdict: &Verdict{}}
	j.down, j.stopped = make([][]interval, len(s.Proxies)), make([][]interval, len(s.Proxies))
	for i := range b.Executions {
		e := &b.Executions[i]
		j.executions[e.ID] = append(j.executions[e.ID], e)
	}
	j.readEvents()
	for i := range b.Asks {
		j.checkRequest(&b.Asks[i])
	}
	for _, x := range j.book.Extras {
		j.addViolation(TwoAnswers, x.At, "%s at proxy %d", x.ID, x.Proxy)
	}
	j.checkDrains()
	j.checkAcknowledgedDrains()
	j.checkSamples()
	slices.SortStableFunc(j.verdict.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	j.verdict.Totals = Count(s, b, nil)
	j.checkExpectations()
	if m := b.Machine; m.LateP99 > maxTimerDelayP99 {
		j.verdict.Void = fmt.Sprintf("the rig's timers were %v late in the 99th percentile", m.LateP99.Round(time.Millisecond))
	} else if m.Busy > maxMachineBusy {
		j.verdict.Void = fmt.Sprintf("%.0f%% of the machine was in use", 100*m.Busy)
	}
	return j.verdict
}

// addViolation adds a violation that follows from the order of events.
func (j *judge) addViolation(rule string, at time.Duration, format string, args ...any) {
	j.verdict.Violations = append(j.verdict.Violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// addTimedViolation adds a violation that follows from the time between two events.
func (j *judge) addTimedViolation(rule string, at time.Duration, format string, args ...any) {
	j.verdict.Violations = append(j.verdict.Violations,
		Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Timed: true})
}

// readEvents collects the times in which each proxy was down or stopped, and adds violations for crashes and overloaded cold
// hosts.
func (j *judge) readEvents() {
	const never = time.Duration(1<<63 - 1)
	open := func(intervals *[]interval, at time.Duration) { *intervals = append(*intervals, interval{at, never}) }
	closeLast := func(intervals []interval, at time.Duration) {
		if n := len(intervals); n > 0 && intervals[n-1].to == never {
			intervals[n-1].to = at
		}
	}
	for _, e := range j.book.Events {
		switch e.Kind {
		case record.Killed:
			open(&j.down[e.Proxy], e.At)
		case record.Exit: // a process that was asked to exit must answer accepted requests; only later ones are excused
			open(&j.down[e.Proxy], e.At)
		case record.Start:
			closeLast(j.down[e.Proxy], e.At)
		case record.Stopped:
			open(&j.stopped[e.Proxy], e.At)
		case record.Resumed:
			closeLast(j.stopped[e.Proxy], e.At)
		case record.Crash:
			j.addViolation(Crashed, e.At, "proxy %d: %s", e.Proxy, e.Text)
			open(&j.down[e.Proxy], e.At)
		case record.HostOverloaded:
			j.addTimedViolation(ColdHostOverloaded, e.At, "host %d at %.0f%% of its full capacity", e.Host, 100*j.parseWarmth(e))
		}
	}
}

// parseWarmth reads the share of its capacity that a cold host had, which the event's text begins with.
func (j *judge) parseWarmth(e record.Event) (w float64) {
	fmt.Sscanf(e.Text, "%f", &w)
	return w
}

// checkRequest checks one request of a caller.
func (j *judge) checkRequest(a *record.Request) {
	executions := j.executions[a.ID]
	ran := 0
	for _, e := range executions {
		if e.HasRun() {
			ran++
		}
	}
	j.checkEffects(a, executions, ran)
	if a.End == record.Unsent || overlaps(j.down[a.Proxy], a.Sent, a.Done) {
		return // the proxy never had the request, or was down during it
	}
	if a.End == record.Lost {
		if overlaps(j.stopped[a.Proxy], a.Sent, a.Done) {
			return // the caller gave up while the run had the proxy stopped
		}
		j.addViolation(LostRequest, a.Done, "%s at proxy %d, sent at %v", a.ID, a.Proxy, a.Sent)
		return
	}
	deadline := a.Sent + a.Deadline
	if a.Done > deadline+Slack && !overlaps(j.stopped[a.Proxy], a.Sent, a.Done) {
		j.addTimedViolation(LateAnswer, a.Done, "%s at proxy %d: %v after its deadline", a.ID, a.Proxy, a.Done-deadline)
	}
	for _, e := range executions {
		if e.Sent > a.Done+Slack {
			j.addTimedViolation(SentAfterAnswer, e.Sent, "%s to host %d, %v after its answer", a.ID, e.Host, e.Sent-a.Done)
		}
	}
	if a.Status == 200 && !slices.ContainsFunc(executions, func(e *record.Execution) bool {
		return e.How == record.Ran && a.Echo == a.ID && a.Host == HostName(e.Host)
	}) {
		j.addViolation(UnknownOrigin, a.Done, "%s at proxy %d: host %q, id %q", a.ID, a.Proxy, a.Host, a.Echo)
	}
}

// HostName returns the name of a host in the list and in its answers.
func HostName(n int) string { return fmt.Sprintf("h%03d", n) }

// checkEffects checks the executions of a request at hosts, whatever answer the caller got. ran is the number of those that had
// an effect.
func (j *judge) checkEffects(a *record.Request, executions []*record.Execution, ran int) {
	class := &j.schedule.Classes[a.Class]
	if class.Effect == "repeatable" || ran == 0 {
		return
	}
	switch {
	case class.Effect == "once" && ran > 1:
		j.addViolation(RanTwice, executions[len(executions)-1].Arrived, "%s ran %d times, %s",
			a.ID, ran, describeExecutions(executions))
	case class.Effect == "by_key" && ran > 1 && !j.withinDedupScope(class, executions):
		j.addViolation(RanOutsideGroup, executions[len(executions)-1].Arrived, "%s: %s", a.ID, describeExecutions(executions))
	}
	if a.Refused() && (class.Effect == "once" || class.Group == "zone") {
		j.addViolation(RefusedAndRan, a.Done, "%s: %s", a.ID, describeExecutions(executions))
	}
}

// withinDedupScope reports whether all executions of a keyed request were in the same deduplication group and within the
// deduplication window, so that the hosts could drop repeats.
func (j *judge) withinDedupScope(class *plan.Class, executions []*record.Execution) bool {
	var first *record.Execution
	for _, e := range executions {
		if e.HasRun() && (first == nil || e.Arrived < first.Arrived) {
			first = e
		}
	}
	for _, e := range executions {
		if !e.HasRun() {
			continue
		}
		if class.Group == "zone" && j.schedule.Hosts[e.Host].Zone != j.schedule.Hosts[first.Host].Zone ||
			e.Arrived-first.Arrived > class.Window.D()+Slack {
			return false
		}
	}
	return true
}

// describeExecutions lists executions for the text of a violation.
func describeExecutions(executions []*record.Execution) string {
	text := ""
	for _, e := range executions {
		text += fmt.Sprintf("[host %d at %v: %s]", e.Host, e.Arrived.Round(time.Millisecond), e.How)
	}
	return text
}

// checkDrains checks the attempts that hosts got after the list service had reported them as draining or gone. A proxy that was
// not told counts as told once it should have asked for the list.
func (j *judge) checkDrains() {
	type pair struct{ proxy, host int }
	told := map[pair]time.Duration{}
	for _, t := range j.book.Tolds {
		k := pair{t.Proxy, t.Host}
		if at, known := told[k]; !known || t.At < at {
			told[k] = t.At
		}
	}
	withdrawn := j.withdrawals()
	for i := range j.book.Executions {
		e := &j.book.Executions[i]
		w := withdrawn[e.Host]
		if !w.contains(e.Sent) {
			continue
		}
		from := w.from + j.schedule.Proxy.AskWithin.D()
		if at, known := told[pair{e.Proxy, e.Host}]; known {
			from = min(from, at)
		}
		if late := e.Sent - from - j.schedule.Proxy.Grace.D(); late > Slack && !overlaps(j.stopped[e.Proxy], from, e.Sent) {
			j.addTimedViolation(SentAfterDrain, e.Sent, "%s from proxy %d to host %d, %v after the grace period",
				e.ID, e.Proxy, e.Host, late)
		}
	}
}

// checkAcknowledgedDrains checks for requests that began after their proxy had acknowledged that a host drains or is gone, and
// were sent to that host nevertheless. This check compares no durations: the proxy's next call to the list service shows that
// the proxy knew.
func (j *judge) checkAcknowledgedDrains() {
	type pair struct{ proxy, host int }
	acks := map[pair][]record.WithdrawalAck{}
	for _, h := range j.book.Heards {
		k := pair{h.Proxy, h.Host}
		acks[k] = append(acks[k], h)
	}
	requests := map[string]*record.Request{}
	for i := range j.book.Asks {
		requests[j.book.Asks[i].ID] = &j.book.Asks[i]
	}
	withdrawn, starts := j.withdrawals(), j.starts()
	for i := range j.book.Executions {
		e := &j.book.Executions[i]
		a, w := requests[e.ID], withdrawn[e.Host]
		if a == nil || !w.contains(e.Sent) {
			continue
		}
		knew := slices.ContainsFunc(acks[pair{e.Proxy, e.Host}], func(h record.WithdrawalAck) bool {
			restarted := slices.ContainsFunc(starts[e.Proxy], func(at time.Duration) bool { return at >= h.At })
			return h.Changed >= w.from && h.At < a.Began && !restarted
		})
		if knew {
			j.addViolation(SentAfterDrain, e.Sent, "%s from proxy %d to host %d, begun after the proxy had acknowledged the drain",
				e.ID, e.Proxy, e.Host)
		}
	}
}

// withdrawals returns, for each host, the last time range in which the list service reported it as draining or gone.
func (j *judge) withdrawals() map[int]interval {
	withdrawn := map[int]interval{}
	for _, e := range j.book.Events {
		switch e.Kind {
		case record.Withdrawn:
			withdrawn[e.Host] = interval{from: e.At, to: 1<<63 - 1}
		case record.Listed:
			withdrawn[e.Host] = interval{from: withdrawn[e.Host].from, to: e.At}
		}
	}
	return withdrawn
}

// contains reports whether the interval contains a time. The zero interval contains none.
func (s interval) contains(at time.Duration) bool { return s.from <= at && at <= s.to && s.to > 0 }

// starts returns the times at which each proxy was started.
func (j *judge) starts() map[int][]time.Duration {
	starts := map[int][]time.Duration{}
	for _, e := range j.book.Events {
		if e.Kind == record.Start {
			starts[e.Proxy] = append(starts[e.Proxy], e.At)
		}
	}
	return starts
}

// checkSamples checks the resources that processes hold against their limits, and for steady growth.
func (j *judge) checkSamples() {
	by := map[int][]record.Sample{}
	for _, s := range j.book.Samples {
		by[s.Proxy] = append(by[s.Proxy], s)
	}
	for p, all := range by {
		for _, s := range all {
			if s.RSS > int64(j.schedule.Proxy.MemoryMB)<<20 || s.Descriptors > j.schedule.Proxy.Sockets {
				j.addViolation(OverLimit, s.At, "proxy %d: %d MB, %d descriptors", p, s.RSS>>20, s.Descriptors)
				break
			}
		}
		if text := describeGrowth(all); text != "" {
			j.addTimedViolation(ResourceGrowth, all[len(all)-1].At, "proxy %d: %s", p, text)
		}
	}
}

// A leak shows as growth from each quarter of the run to the next, by steps too large for chance. At least leakSamples samples
// are needed.
const (
	leakSamples     = 8
	leakDescriptors = 10
	leakBytes       = 8 << 20
)

// describeGrowth returns a description of a leak, or an empty text. It compares the lowest figures of the quarters of the run.
func describeGrowth(all []record.Sample) string {
	if len(all) < leakSamples {
		return ""
	}
	quarter := len(all) / 4
	least := func(n int, of func(record.Sample) int64) int64 {
		low := of(all[n*quarter])
		for _, s := range all[n*quarter : (n+1)*quarter] {
			low = min(low, of(s))
		}
		return low
	}
	for _, what := range []struct {
		name string
		step int64
		of   func(record.Sample) int64
	}{
		{"descriptors", leakDescriptors, func(s record.Sample) int64 { return int64(s.Descriptors) }},
		{"bytes resident", leakBytes, func(s record.Sample) int64 { return s.RSS }},
	} {
		q := [4]int64{}
		for n := range q {
			q[n] = least(n, what.of)
		}
		if q[1]-q[0] >= what.step && q[2]-q[1] >= what.step && q[3]-q[2] >= what.step {
			return fmt.Sprintf("%s by quarters of the run: %v", what.name, q)
		}
	}
	return ""
}
