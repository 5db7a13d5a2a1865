package sidecar

const (
	// pauseAfter is how many seconds without any input show that this process did not run: ticks come every few
	// hundredths of a second.
	pauseAfter = 0.3
	// stoppedAfter is how long a pause has to be for what came meanwhile to count as old. Who sent it has long gone
	// elsewhere then. After a shorter one, as a crowded machine has many, a fresh request would lose more by that.
	stoppedAfter = 5.0
	// bufferedFor is for how many seconds after a pause what comes may have lain in a buffer since before it.
	bufferedFor = 1.0
)

// pauses knows when this process did not run: it was stopped, or its machine was suspended. Nothing can be said
// of others by that time, and what was sent to this process meanwhile is found in its buffers afterwards.
type pauses struct {
	inputAt float64 // of the newest input
	ran     float64 // seconds for which this process has run
	began   float64 // the newest input before the last long pause
	ended   float64 // the first input after it; 0: there was none
}

// input takes the time of an input.
func (s *pauses) input(now float64) {
	gap := now - s.inputAt
	switch {
	case gap > pauseAfter && s.buffered(s.inputAt): // what was sent before the long one may still be in a buffer
		s.ended = now
	case gap > stoppedAfter:
		s.began, s.ended = s.inputAt, now
	}
	s.ran += min(gap, pauseAfter)
	s.inputAt = now
}

// buffered reports whether what comes now may have been sent before a pause.
func (s *pauses) buffered(now float64) bool { return s.ended > 0 && now < s.ended+bufferedFor }

// age is how many seconds ago a message that comes now may have been sent, beyond its way.
func (s *pauses) age(now float64) float64 {
	if !s.buffered(now) {
		return 0
	}
	return now - s.began
}

// input begins an input to this process at a time.
func (p *Sidecar) input(now float64) {
	p.now = now
	p.pauses.input(now)
}
