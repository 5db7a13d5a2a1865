package store

// tickCounts is how many seconds between two ticks count at most as time in which this process ran. Ticks come about every 0.03 s; one that
// comes later shows that the process waited for the processor, and so did whatever it had to do with a write.
const tickCounts = 0.05

// running is how long this process has run, as far as its ticks show it: a write that takes long because the process gets no processor says
// nothing of the disk.
type running struct {
	began    bool
	seconds  float64 // up to the last tick
	tickedAt float64
}

// tick notes that the process runs now.
func (r *running) tick(now float64) {
	r.seconds = r.at(now)
	r.began, r.tickedAt = true, now
}

// at is how many seconds the process has run.
func (r *running) at(now float64) float64 {
	if !r.began { // nothing is known of what was before
		return 0
	}
	return r.seconds + max(0, min(now-r.tickedAt, tickCounts))
}
