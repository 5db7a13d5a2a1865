package proxy

import "time"

// clock is the one clock of the process: Unix seconds at the start plus monotonic time since. So it never jumps, and
// the start times of hosts in the list compare with it.
type clock struct {
	start time.Time
	unix  float64
}

func newClock(start time.Time) clock {
	return clock{start: start, unix: float64(start.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.unix + time.Since(c.start).Seconds() }

// at turns a time of this clock into one that deadlines take.
func (c clock) at(t float64) time.Time { return c.start.Add(seconds(t - c.unix)) }

// seconds turns a number of seconds into a Duration, within what that type holds.
func seconds(s float64) time.Duration {
	const most = 1 << 32 // about 136 years
	return time.Duration(min(max(s, -most), most) * float64(time.Second))
}
