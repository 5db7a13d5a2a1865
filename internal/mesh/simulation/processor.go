package simulation

// Processor is how long the processor of a control server's machine takes for its work. With the zero value nothing takes time.
//
// The figures of loadedProcessor are those of a load of five times the operations: measured were 0.033 ms a message on 0.176 of a core, 0.4 ms a sync
// and 0.05 ms a value, at 565 operations a second over four servers.
type Processor struct {
	Message float64 // seconds for each message that comes or goes
	Sync    float64 // seconds for each sync of the disk, besides the disk's own time
	Value   float64 // seconds for each value that is read at the start, or written
}

// processor is the processor of one machine: work waits for the work that came before it.
type processor struct {
	freeAt float64
	urgent []func() // heartbeats: they go before all other work
	queue  []func()
	asked  bool // the next piece of work has its time
}

// spend occupies a machine's processor.
func (h *ControlServer) spend(seconds float64) {
	h.processor.freeAt = max(h.processor.freeAt, h.w.Now) + seconds
}

// idle says that an input can be worked on at once.
func (h *ControlServer) idle() bool {
	p := &h.processor
	return h.w.Processor == (Processor{}) || len(p.urgent)+len(p.queue) == 0 && p.freeAt <= h.w.Now
}

// waits keeps an input until the processor is free. Inputs keep their order.
func (h *ControlServer) waits(f func()) bool {
	if h.idle() {
		return false
	}
	h.processor.queue = append(h.processor.queue, f)
	h.workLater()
	return true
}

// next takes the input that is to be worked on now.
func (p *processor) next() (f func()) {
	queue := &p.queue
	if len(p.urgent) > 0 {
		queue = &p.urgent
	}
	f = (*queue)[0]
	*queue = (*queue)[1:]
	return f
}

// workLater takes the next input from the queue as the processor is free.
func (h *ControlServer) workLater() {
	if h.processor.asked || len(h.processor.urgent)+len(h.processor.queue) == 0 {
		return
	}
	h.processor.asked = true
	life := h.lives
	h.w.After(max(0, h.processor.freeAt-h.w.Now), func() {
		if !h.up || h.lives != life {
			return
		}
		h.processor.asked = false
		if h.processor.freeAt > h.w.Now { // a write has taken it meanwhile
			h.workLater()
			return
		}
		h.work(h.processor.next())
		h.workLater()
	})
}
