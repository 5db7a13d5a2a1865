package proxy

import "time"

// clock is the only clock of the process: the Unix time at the start plus the monotonic time since. It never jumps, and
// its times are comparable with the start times of hosts in the list.
type clock struct {
	start time.Time
	unix  float64
}

func newClock(start time.Time) clock {
	return clock{start: start, unix: float64(start.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.unix + time.Since(c.start).Seconds() }

// at converts a time of this clock to a time.Time.
func (c clock) at(t float64) time.Time { return c.start.Add(seconds(t - c.unix)) }

// seconds converts a number of seconds to a Duration, limited to what that type holds.
func seconds(s float64) time.Duration {
	const limit = 1 << 32 // about 136 years
	return time.Duration(min(max(s, -limit), limit) * float64(time.Second))
}
