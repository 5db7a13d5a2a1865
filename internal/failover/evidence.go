// Package failover decides which share of each zone's requests goes to which zone: for a fleet of proxies in common, or for
// one alone. It keeps traffic near while that is safe, leaves a zone fast and returns to it slowly, and fills no zone over
// what it has been seen to bear. It keeps no clock, starts no goroutine and does no I/O: times are seconds from any start,
// rates are requests a second. docs/failover.md says why it decides so.
package failover

import (
	"maps"
	"slices"
)

const (
	slotTime   = 0.25 // seconds
	slots      = 16
	leastSlots = 4
	enough     = 30 // answers or requests that make a window long enough
)

// Report is what one member saw over its window.
type Report struct {
	Member string  `codec:"m"`
	Zone   string  `codec:"z"` // where it is
	Span   float64 `codec:"d"` // seconds that the rates are of
	Taken  float64 `codec:"t"` // requests a second from its callers
	Flows  []Flow  `codec:"f"` // by the zones that it sent to
}

// Flow is what it saw of a zone's hosts.
type Flow struct {
	Zone     string  `codec:"z"`
	Answered float64 `codec:"a"` // a second
	Lost     float64 `codec:"l"` // a second: no connection, no answer in time, an answer that broke off, an error
	Late     float64 `codec:"w"` // those of the lost that were waited for until they were late
	Load     float64 `codec:"u"` // mean over what came back of how near it came to being late; 1: late, or turned away
	Row      int     `codec:"r"` // lost since the last answer: 1 for each that was late, 2 for others
	Since    float64 `codec:"s"` // seconds since that answer
	LostAgo  float64 `codec:"g"` // seconds since the last loss
}

// never is an age that counts as none.
const never = 1e6

// Window gathers what one member sees. It is not safe for use by several goroutines.
type Window struct {
	slots [slots]slot
	last  int64 // number of the newest slot
	began float64
	ends  map[string]*ends
}

type slot struct {
	taken float64
	flows map[string]*sum
}

type sum struct{ answered, lost, late, load, weighed float64 }

// ends is how the latest attempts to a zone ended.
type ends struct {
	row            int
	answered, lost float64 // when
}

// NewWindow makes a window that begins now.
func NewWindow(now float64) *Window {
	return &Window{last: int64(now / slotTime), began: now, ends: map[string]*ends{}}
}

// at is the present slot; those passed over are empty.
func (w *Window) at(now float64) *slot {
	n := int64(now / slotTime)
	for ; w.last < n; w.last++ {
		if n-w.last > slots {
			w.last = n - slots
		}
		w.slots[(w.last+1)%slots] = slot{}
	}
	return &w.slots[w.last%slots]
}

func (w *Window) flow(now float64, zone string) (*sum, *ends) {
	s := w.at(now)
	if s.flows == nil {
		s.flows = map[string]*sum{}
	}
	if s.flows[zone] == nil {
		s.flows[zone] = &sum{}
	}
	if w.ends[zone] == nil {
		w.ends[zone] = &ends{answered: now - never, lost: now - never}
	}
	return s.flows[zone], w.ends[zone]
}

// RequestReceived notes a request of a caller.
func (w *Window) RequestReceived(now float64) { w.at(now).taken++ }

// Answered notes that a host answered, and how near that came to being late.
func (w *Window) Answered(now float64, zone string, load float64) {
	f, e := w.flow(now, zone)
	f.answered++
	f.load, f.weighed = f.load+min(1, load), f.weighed+1
	e.row, e.answered = 0, now
}

// Rejected notes that a host refused for want of room: it is there, and full.
func (w *Window) Rejected(now float64, zone string) {
	f, e := w.flow(now, zone)
	f.load, f.weighed = f.load+1, f.weighed+1
	e.row, e.answered = 0, now
}

// Failed notes an attempt that got no answer; late: it was waited for until it was late.
func (w *Window) Failed(now float64, zone string, late bool) {
	f, e := w.flow(now, zone)
	f.lost++
	e.row, e.lost = e.row+2, now
	if late { // which overload makes too
		f.late, f.load, f.weighed = f.late+1, f.load+1, f.weighed+1
		e.row--
	}
}

// Report sums up the shortest stretch that says enough.
func (w *Window) Report(now float64, member, zone string) Report {
	w.at(now)
	sums, taken, n, seen := map[string]*sum{}, 0.0, 0, 0.0
	for n < slots && (n < leastSlots || seen < enough || taken < enough) {
		s := &w.slots[(w.last-int64(n)+slots)%slots]
		taken += s.taken
		for name, f := range s.flows {
			if sums[name] == nil {
				sums[name] = &sum{}
			}
			t := sums[name]
			t.answered, t.lost, t.late = t.answered+f.answered, t.lost+f.lost, t.late+f.late
			t.load, t.weighed = t.load+f.load, t.weighed+f.weighed
			seen += f.weighed
		}
		n++
	}
	passed := now - float64(w.last-int64(n-1))*slotTime // the newest slot is not over yet
	span := max(slotTime, min(passed, now-w.began))
	r := Report{Member: member, Zone: zone, Span: span, Taken: taken / span}
	for _, name := range slices.Sorted(maps.Keys(w.ends)) {
		e := w.ends[name]
		f := Flow{Zone: name, Row: e.row, Since: min(never, now-e.answered), LostAgo: min(never, now-e.lost)}
		if s := sums[name]; s != nil {
			f.Answered, f.Lost, f.Late = s.answered/span, s.lost/span, s.late/span
			f.Load = s.load / max(1, s.weighed)
		} else if f.Since > forgetEnds && f.LostAgo > forgetEnds {
			delete(w.ends, name)
			continue
		}
		r.Flows = append(r.Flows, f)
	}
	return r
}

const forgetEnds = 60.0 // seconds after which a zone that got nothing is forgotten
