package store

// maxTickSeconds bounds how much of the time between two ticks counts as running time. Ticks come about every
// 0.03 s. A later tick shows that the process waited for the processor, and its disk writes waited with it.
const maxTickSeconds = 0.05

// runClock estimates how long this process has been running, from the times of its ticks. A write that takes
// long because the process gets no processor time says nothing about the disk.
type runClock struct {
	started  bool
	seconds  float64 // up to the last tick
	tickedAt float64
}

// tick records that the process is running.
func (r *runClock) tick(now float64) {
	r.seconds = r.elapsed(now)
	r.started, r.tickedAt = true, now
}

// elapsed returns for how many seconds the process has been running.
func (r *runClock) elapsed(now float64) float64 {
	if !r.started { // no tick yet, so the running time is unknown
		return 0
	}
	return r.seconds + max(0, min(now-r.tickedAt, maxTickSeconds))
}
