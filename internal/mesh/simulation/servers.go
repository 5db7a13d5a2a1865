package simulation

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/sharding"
	"beechwing/internal/mesh/store"
)

// Control servers with their disks.

// disk keeps batches. One is on its way at a time; what has not been synced is lost with power, all of it or some.
type disk struct {
	held    map[string][]byte
	writing []store.Put
}

func (d *disk) apply(puts []store.Put) {
	for _, p := range puts {
		if len(p.Value) == 0 {
			delete(d.held, p.Name)
		} else {
			d.held[p.Name] = slices.Clone(p.Value)
		}
	}
}

// ---- control processes

// ControlServer is a control process.
type ControlServer struct {
	w      *World
	addr   string
	seeds  []string
	disk   *disk
	server *control.Server
	lives  int
	up     bool
	unlit  bool
	gone   bool // for good
	puts   []store.Put
	after  []transport.Send
	busy   bool

	startValues int // that it found on its disk and has not written anew yet

	Synced func() // called as a batch is on the disk, before anything is said of it
	freezer
	processor processor
}

func (h *ControlServer) address() string { return h.addr }
func (h *ControlServer) alive() bool     { return h.up }
func (h *ControlServer) dark() bool      { return h.unlit }
func (h *ControlServer) life() int       { return h.lives }

// Start starts the process on what its disk holds.
func (h *ControlServer) Start() {
	if h.gone || h.up {
		return
	}
	h.lives++
	h.w.disturbed(h.addr)
	h.freezer, h.processor = freezer{}, processor{}
	h.up, h.unlit, h.busy, h.puts, h.after = true, false, false, nil, nil
	values := map[string][]byte{}
	for name, v := range h.disk.held {
		values[name] = slices.Clone(v)
	}
	var err error
	h.server, err = control.New(h.w.Now, control.Options{LeaseSeconds: cmp.Or(h.w.LeaseTime, sharding.LeaseSeconds(holdMost)), Self: h.addr, Seeds: h.seeds, Bootstrap: h.w.first && len(values) == 0,
		Tolerance: h.w.tolerance, RetentionSeconds: window, Life: h.w.Rand.Uint32() | 1, RandomSeed: h.w.Rand.Uint64(),
		Log: func(event string, args ...any) {
			trace("%.3f %s %s %v", h.w.Now, h.addr, event, args)
			if event == "contact" && args[1] == false {
				h.w.ContactsLost++
			}
			if event == control.EventViolation {
				h.w.Checker.fail("INVARIANT", "%s: %v", h.addr, args)
			}
		}}, values)
	if err != nil {
		panic(err)
	}
	h.startValues = len(values)
	h.spend(float64(len(values)) * h.w.Processor.Value)
	life := h.lives
	var tick func()
	tick = func() {
		if h.up && h.lives == life {
			h.inputFirst(func() {
				h.server.Tick(h.w.Now)
				h.w.After(tickEvery, tick)
			})
		}
	}
	h.w.After(tickEvery*h.w.Rand.Float64(), tick)
}

// Kill ends the process: what it had begun to write is on the disk.
func (h *ControlServer) Kill() {
	if h.up {
		h.w.disturbed(h.addr)
		h.up = false
		h.disk.apply(h.disk.writing)
		h.disk.writing = nil
	}
}

// Term tells the process to end as planned. It ends when its place is taken or nobody waits for it, and is not started again.
func (h *ControlServer) Term() {
	const leaveWithin = 3.0
	late, life := h.w.Now+leaveWithin, h.lives
	h.input(func() { h.server.Leave(h.w.Now) })
	var look func()
	look = func() {
		switch {
		case !h.up || h.lives != life:
		case h.server.MayStop(h.w.Now), h.w.Now > late:
			h.Kill()
			h.gone = true
		default:
			h.w.After(tickEvery, look)
		}
	}
	h.w.After(tickEvery, look)
}

// PowerOff takes the power away: of what was not synced some may be on the disk.
func (h *ControlServer) PowerOff() {
	if n := len(h.disk.writing); h.up && n > 0 && h.w.Rand.IntN(2) == 0 {
		h.disk.apply(h.disk.writing[:h.w.Rand.IntN(n)])
	}
	h.disk.writing = nil
	h.w.disturbed(h.addr)
	h.up, h.unlit = false, true
}

// Wipe takes the disk's content away. The process has to be down.
func (h *ControlServer) Wipe() {
	h.disk.held, h.disk.writing = map[string][]byte{}, nil
	h.w.first = false
}

// Voting says whether the process takes part in ballots.
func (h *ControlServer) Voting() bool { return h.up && h.server.Voting() }

func (h *ControlServer) heard(from string, p *meshpb.Message) {
	f := func() { h.server.HandleMessage(h.w.Now, from, p) }
	if meshpb.IsHeartbeat(p) {
		h.inputFirst(f)
		return
	}
	h.input(f)
}

// inputFirst gives the machine an input that goes before what waits: a heartbeat, and a tick, which in the program competes with the
// inbox's one worker for each message anew, and so waits for one message at most.
func (h *ControlServer) inputFirst(f func()) {
	if h.frozen || h.idle() || h.w.HeartbeatsWait {
		h.input(f)
		return
	}
	h.processor.urgent = append(h.processor.urgent, f)
	h.workLater()
}

func (h *ControlServer) broke(transport.Disconnected) {}

// input gives the machine something, and does what it wants done.
func (h *ControlServer) input(f func()) {
	if h.holds(f, h.input) || h.waits(f) {
		return
	}
	h.work(f)
}

// work gives the machine an input that has the processor.
func (h *ControlServer) work(f func()) {
	h.spend(h.w.Processor.Message)
	f()
	for {
		out := h.server.TakeEffects()
		h.puts, h.after = append(h.puts, out.Puts...), append(h.after, out.After...)
		h.sync()
		if len(out.Sends) == 0 {
			return
		}
		h.send(out.Sends)
	}
}

func (h *ControlServer) send(all []transport.Send) {
	for _, s := range all {
		if s.To == h.addr {
			h.server.HandleMessage(h.w.Now, h.addr, s.Message)
			continue
		}
		h.spend(h.w.Processor.Message)
		h.w.send(h.addr, s.To, s.Message)
	}
}

func (h *ControlServer) sync() {
	if h.busy || len(h.puts)+len(h.after) == 0 {
		return
	}
	h.busy = true
	h.disk.writing = h.puts
	after, life := h.after, h.lives
	h.puts, h.after = nil, nil
	values := len(h.disk.writing) + h.startValues // the first write of a process holds all that it found
	h.startValues = 0
	h.spend(h.w.Processor.Sync + float64(values)*h.w.Processor.Value)
	h.w.After(max(0, h.processor.freeAt-h.w.Now)+syncTakes, func() {
		if !h.up || h.lives != life {
			return
		}
		h.disk.apply(h.disk.writing)
		h.disk.writing = nil
		h.busy = false
		if h.Synced != nil {
			h.Synced()
			if !h.up {
				return
			}
		}
		h.input(func() { h.send(after) })
	})
}
