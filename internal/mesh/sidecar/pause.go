package sidecar

const (
	// pauseAfter is how many seconds without any input show that this process did not run: ticks come every few
	// hundredths of a second.
	minPause = 0.3
	// stoppedAfter is how long a pause has to be for what came meanwhile to count as old. Who sent it has long gone
	// elsewhere then. After a shorter one, as a crowded machine has many, a fresh request would lose more by that.
	minLongPause = 5.0
	// bufferedFor is for how many seconds after a pause what comes may have lain in a buffer since before it.
	bufferedFor = 1.0
)

// pauses knows when this process did not run: it was stopped, or its machine was suspended. Nothing can be said
// of others by that time, and what was sent to this process meanwhile is found in its buffers afterwards.
type pauseDetector struct {
	inputAt    float64 // of the newest input
	runSeconds float64 // seconds for which this process has run
	pauseBegan float64 // the newest input before the last long pause
	pauseEnded float64 // the first input after it; 0: there was none
}

// input takes the time of an input.
func (pd *pauseDetector) observe(now float64) {
	gap := now - pd.inputAt
	switch {
	case gap > minPause && pd.mayBeBuffered(pd.inputAt): // what was sent before the long one may still be in a buffer
		pd.pauseEnded = now
	case gap > minLongPause:
		pd.pauseBegan, pd.pauseEnded = pd.inputAt, now
	}
	pd.runSeconds += min(gap, minPause)
	pd.inputAt = now
}

// buffered reports whether what comes now may have been sent before a pause.
func (pd *pauseDetector) mayBeBuffered(now float64) bool {
	return pd.pauseEnded > 0 && now < pd.pauseEnded+bufferedFor
}

// age is how many seconds ago a message that comes now may have been sent, beyond its way.
func (pd *pauseDetector) maxAge(now float64) float64 {
	if !pd.mayBeBuffered(now) {
		return 0
	}
	return now - pd.pauseBegan
}

// input begins an input to this process at a time.
func (p *Sidecar) beginInput(now float64) {
	p.now = now
	p.pauses.observe(now)
}
