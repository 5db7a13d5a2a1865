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

// disk is the disk of a control server. One batch is written at a time. A power failure loses all or a part of a batch that
// is not synced yet.
type disk struct {
	values  map[string][]byte
	writing []store.Put
}

// apply writes puts to the disk. An empty value deletes its name.
func (d *disk) apply(puts []store.Put) {
	for _, p := range puts {
		if len(p.Value) == 0 {
			delete(d.values, p.Name)
		} else {
			d.values[p.Name] = slices.Clone(p.Value)
		}
	}
}

// ControlServer is a machine with a control server process.
type ControlServer struct {
	w            *World
	addr         string
	seeds        []string
	disk         *disk
	server       *control.Server
	starts       int // number of process starts; identifies the current process
	up           bool
	powerLost    bool
	removed      bool             // permanently
	pendingPuts  []store.Put      // the next batch
	pendingSends []transport.Send // messages to send once the next batch is synced
	syncing      bool             // a batch is being written and synced

	loadedValues int // number of values found on the disk at the start and not rewritten yet

	OnSynced func() // called when a batch is synced, before dependent messages are sent
	freezer
	processor processor
}

func (h *ControlServer) address() string  { return h.addr }
func (h *ControlServer) alive() bool      { return h.up }
func (h *ControlServer) poweredOff() bool { return h.powerLost }
func (h *ControlServer) incarnation() int { return h.starts }

// Start starts the process with the content of its disk.
func (h *ControlServer) Start() {
	if h.removed || h.up {
		return
	}
	h.starts++
	h.w.noteDisturbance(h.addr)
	h.freezer, h.processor = freezer{}, processor{}
	h.up, h.powerLost, h.syncing, h.pendingPuts, h.pendingSends = true, false, false, nil, nil
	values := map[string][]byte{}
	for name, v := range h.disk.values {
		values[name] = slices.Clone(v)
	}
	var err error
	h.server, err = control.New(h.w.Now, control.Options{
		LeaseSeconds: cmp.Or(h.w.LeaseSeconds, sharding.LeaseSeconds(maxHoldSeconds)), Self: h.addr, Seeds: h.seeds,
		Bootstrap: h.w.bootstrap && len(values) == 0,
		Tolerance: h.w.tolerance, RetentionSeconds: dedupWindowSeconds, Life: h.w.Rand.Uint32() | 1, RandomSeed: h.w.Rand.Uint64(),
		Log: func(event string, args ...any) {
			trace("%.3f %s %s %v", h.w.Now, h.addr, event, args)
			h.w.LogEvents[event]++
			if event == "contact" && args[1] == false {
				h.w.QuorumContactLosses++
			}
			if event == control.EventViolation {
				h.w.Checker.fail("INVARIANT", "%s: %v", h.addr, args)
			}
		}}, values)
	if err != nil {
		panic(err)
	}
	h.loadedValues = len(values)
	h.useProcessor(float64(len(values)) * h.w.Processor.Value)
	incarnation := h.starts
	var tick func()
	tick = func() {
		if h.up && h.starts == incarnation {
			h.inputUrgent(func() {
				h.server.Tick(h.w.Now)
				h.w.After(tickSeconds, tick)
			})
		}
	}
	h.w.After(tickSeconds*h.w.Rand.Float64(), tick)
}

// Kill ends the process. The operating system completes a batch that is being written.
func (h *ControlServer) Kill() {
	if h.up {
		h.w.noteDisturbance(h.addr)
		h.up = false
		h.disk.apply(h.disk.writing)
		h.disk.writing = nil
	}
}

// Terminate asks the process to leave the cluster, as SIGTERM does. The process ends when the server has left or after a
// timeout, and is not started again.
func (h *ControlServer) Terminate() {
	const leaveTimeoutSeconds = 3.0
	deadline, incarnation := h.w.Now+leaveTimeoutSeconds, h.starts
	h.input(func() { h.server.Leave(h.w.Now) })
	var poll func()
	poll = func() {
		switch {
		case !h.up || h.starts != incarnation:
		case h.server.MayStop(h.w.Now), h.w.Now > deadline:
			h.Kill()
			h.removed = true
		default:
			h.w.After(tickSeconds, poll)
		}
	}
	h.w.After(tickSeconds, poll)
}

// PowerOff cuts the power of the machine. A part of a batch that is not synced yet may be on the disk.
func (h *ControlServer) PowerOff() {
	if n := len(h.disk.writing); h.up && n > 0 && h.w.Rand.IntN(2) == 0 {
		h.disk.apply(h.disk.writing[:h.w.Rand.IntN(n)])
	}
	h.disk.writing = nil
	h.w.noteDisturbance(h.addr)
	h.up, h.powerLost = false, true
}

// Wipe erases the disk. The process must not be running.
func (h *ControlServer) Wipe() {
	h.disk.values, h.disk.writing = map[string][]byte{}, nil
	h.w.bootstrap = false
}

// Voting reports whether the process is running and votes.
func (h *ControlServer) Voting() bool { return h.up && h.server.Voting() }

// receive passes a message to the process.
func (h *ControlServer) receive(from string, p *meshpb.Message) {
	f := func() { h.server.HandleMessage(h.w.Now, from, p) }
	if meshpb.IsHeartbeat(p) {
		h.inputUrgent(f)
		return
	}
	h.input(f)
}

// inputUrgent passes an input to the process ahead of all queued inputs. Heartbeats and ticks are urgent: in the program, a
// tick competes with the single inbox worker for each message separately, so it waits for one message at most.
func (h *ControlServer) inputUrgent(f func()) {
	if h.frozen || h.idle() || h.w.QueueHeartbeats {
		h.input(f)
		return
	}
	h.processor.urgent = append(h.processor.urgent, f)
	h.scheduleNext()
}

// connectionLost does nothing: control servers are not told about lost connections.
func (h *ControlServer) connectionLost(transport.Disconnected) {}

// input passes an input to the process and carries out its output, once the process is not frozen and its processor is free.
func (h *ControlServer) input(f func()) {
	if h.deferWhileFrozen(f, h.input) || h.queueIfBusy(f) {
		return
	}
	h.process(f)
}

// process handles an input, whose turn on the processor has come, and carries out the output.
func (h *ControlServer) process(f func()) {
	lookups := h.server.HomeLookups()
	f()
	h.useProcessor(h.w.Processor.Message + float64(h.server.HomeLookups()-lookups)*h.w.Processor.Home)
	for {
		out := h.server.TakeEffects()
		h.pendingPuts, h.pendingSends = append(h.pendingPuts, out.Puts...), append(h.pendingSends, out.After...)
		h.sync()
		if len(out.Sends) == 0 {
			return
		}
		h.send(out.Sends)
	}
}

// send sends messages. Those to the server itself are handled without the network.
func (h *ControlServer) send(sends []transport.Send) {
	for _, s := range sends {
		if s.To == h.addr {
			h.server.HandleMessage(h.w.Now, h.addr, s.Message)
			continue
		}
		h.useProcessor(h.w.Processor.Message)
		h.w.send(h.addr, s.To, s.Message)
	}
}

// sync writes the pending batch to the disk, and sends the messages that wait for this batch once it is synced.
func (h *ControlServer) sync() {
	if h.syncing || len(h.pendingPuts)+len(h.pendingSends) == 0 {
		return
	}
	h.syncing = true
	h.disk.writing = h.pendingPuts
	sends, incarnation := h.pendingSends, h.starts
	h.pendingPuts, h.pendingSends = nil, nil
	values := len(h.disk.writing) + h.loadedValues // the first write of a process also rewrites all values that it loaded
	h.loadedValues = 0
	h.useProcessor(h.w.Processor.Sync + float64(values)*h.w.Processor.Value)
	h.w.After(max(0, h.processor.freeAt-h.w.Now)+syncSeconds, func() {
		if !h.up || h.starts != incarnation {
			return
		}
		h.disk.apply(h.disk.writing)
		h.disk.writing = nil
		h.syncing = false
		if h.OnSynced != nil {
			h.OnSynced()
			if !h.up {
				return
			}
		}
		h.input(func() { h.send(sends) })
	})
}
