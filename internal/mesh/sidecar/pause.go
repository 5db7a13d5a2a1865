package sidecar

const (
	// minPause is the time in seconds without any input that shows that this process did not run: ticks come every few
	// hundredths of a second.
	minPause = 0.3
	// minLongPause is the length in seconds of a pause from which on messages received during it count as old. By then
	// their senders have long gone elsewhere. After shorter pauses, which are frequent on a crowded machine, fresh
	// requests would suffer more from being treated as old.
	minLongPause = 5.0
	// bufferedFor is the time in seconds after a long pause during which an arriving message may have waited in a
	// buffer since before its end.
	bufferedFor = 1.0
)

// pauseDetector detects when this process did not run, because it was stopped or its machine was suspended. Such a time
// shows nothing about other processes. Messages that were sent to this process meanwhile are found in its buffers
// afterwards.
type pauseDetector struct {
	inputAt    float64 // time of the newest input
	runSeconds float64 // seconds for which this process has run; each pause counts as minPause
	pauseBegan float64 // the newest input before the last long pause
	pauseEnded float64 // the first input after that pause; 0: there was none
}

// observe takes the time of an input.
func (pd *pauseDetector) observe(now float64) {
	gap := now - pd.inputAt
	switch {
	case gap > minPause && pd.mayBeBuffered(pd.inputAt):
		// Messages sent before the long pause may still be in a buffer, so this pause, however short, extends the long one.
		pd.pauseEnded = now
	case gap > minLongPause:
		pd.pauseBegan, pd.pauseEnded = pd.inputAt, now
	}
	pd.runSeconds += min(gap, minPause)
	pd.inputAt = now
}

// mayBeBuffered reports whether a message that arrives now may have been sent before or during a long pause.
func (pd *pauseDetector) mayBeBuffered(now float64) bool {
	return pd.pauseEnded > 0 && now < pd.pauseEnded+bufferedFor
}

// maxAge returns how many seconds ago a message that arrives now may have been sent, apart from its time on the
// network.
func (pd *pauseDetector) maxAge(now float64) float64 {
	if !pd.mayBeBuffered(now) {
		return 0
	}
	return now - pd.pauseBegan
}

// beginInput records the time of an input and makes it the current time.
func (p *Sidecar) beginInput(now float64) {
	p.now = now
	p.pauses.observe(now)
}
