// Package simulation is whole clusters in one process: clock, network and disks are simulated, the state machines are the ones
// that the programs run. A seed replays.
//
// This file has the world: time, links, processes and disks. people.go has the hosts, clients and operators as stand-ins;
// checker.go judges by what those saw, and by nothing else.
package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/mesh/store"
)

const (
	tickEvery   = 0.02
	syncTakes   = 0.001
	silentTakes = 1.5 // seconds until a connection to a silent machine is given up
	window      = 60.0
)

// trace tells what servers log. It is for looking at a failed seed.
var trace = func(format string, args ...any) {}

// World is one cluster.
type World struct {
	Now     float64
	Delay   float64 // one way, between machines
	Rand    *rand.Rand
	Checker *Checker
	Servers []*ControlServer
	Proxies []*Proxy

	events events
	seq    uint64
	links  map[[2]string]*link
	cuts   map[[2]string]bool
	slow   map[[2]string]float64
	byAddr map[string]machine
	first  bool

	tolerance int // control servers that may be lost at once

	Processor Processor // of the machines of control servers

	Agreed   bool   // proxies leave hosts out for operations by agreement only
	Faults   Faults // of the network
	Messages int    // parcels sent between control processes
	Bytes    int    // in them
}

// machine is one with a process on it.
type machine interface {
	address() string
	alive() bool // its process runs
	dark() bool  // it has no power
	life() int
	heard(from string, p *meshpb.Message)
	broke(b transport.Broke)
}

type link struct {
	number uint64
	born   int // life of the process at this end
	life   int // and of the one at the other
	last   float64
	made   bool // the other end was there: what went by it may have arrived
	dead   bool
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// Host says which service a proxy's host belongs to.
type Host struct{ Carrier, Zone string }

// New makes a cluster of so many control processes, and a proxy for each host.
func New(seed uint64, servers int, hosts ...Host) *World {
	w := &World{Now: 1, Delay: 0.001, Rand: rand.New(rand.NewPCG(seed, 7)), links: map[[2]string]*link{},
		cuts: map[[2]string]bool{}, slow: map[[2]string]float64{}, byAddr: map[string]machine{}, first: true}
	w.Checker = newChecker(w)
	w.tolerance = (servers - 1) / 2
	var seeds []string
	for i := range servers {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	for _, addr := range seeds {
		h := &ControlServer{w: w, addr: addr, seeds: seeds[:min(3, servers)], disk: &disk{held: map[string][]byte{}}}
		w.Servers = append(w.Servers, h)
		w.byAddr[addr] = h
		h.Start()
	}
	for i, host := range hosts {
		s := &Proxy{w: w, addr: fmt.Sprintf("10.0.1.%d:7000", i+1), host: host, seeds: seeds[:min(3, servers)]}
		w.Proxies = append(w.Proxies, s)
		w.byAddr[s.addr] = s
		s.Start()
		s.StartHost()
	}
	return w
}

// Add starts a control server with an empty disk at an address that nobody had before. It is told of servers that are up.
func (w *World) Add() *ControlServer {
	addr := fmt.Sprintf("10.0.0.%d:7000", len(w.Servers)+1)
	h := &ControlServer{w: w, addr: addr, seeds: w.upSeeds(), disk: &disk{held: map[string][]byte{}}}
	w.first = false
	w.Servers = append(w.Servers, h)
	w.byAddr[addr] = h
	h.Start()
	return h
}

// upSeeds names three servers that are up, as the operator's list would.
func (w *World) upSeeds() (seeds []string) {
	for _, h := range w.Servers {
		if h.up && len(seeds) < 3 {
			seeds = append(seeds, h.addr)
		}
	}
	return seeds
}

// Remove takes a machine away for good.
func (w *World) Remove(h *ControlServer) {
	h.PowerOff()
	h.gone = true
}

// Replace takes a machine away for good; a second later another one comes at an address of its own.
func (w *World) Replace(h *ControlServer) {
	w.Remove(h)
	w.Run(1)
	w.Add()
}

// LoseDisk takes a machine's power and its disk's content; so many seconds later it is back with an empty disk.
func (w *World) LoseDisk(h *ControlServer, down float64) {
	h.PowerOff()
	h.Wipe()
	w.Run(down)
	h.Start()
}

// Members are the servers that vote, and are up.
func (w *World) Members() (all []*ControlServer) {
	for _, h := range w.Servers {
		if h.up && h.server.Voting() {
			all = append(all, h)
		}
	}
	return all
}

// After does something so many seconds from now.
func (w *World) After(s float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now + s, w.seq, do})
}

// Run plays the world for so many seconds.
func (w *World) Run(s float64) {
	until := w.Now + s
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// Cut lets nothing pass from one machine to another; Join ends that.
func (w *World) Cut(from, to string)  { w.cuts[[2]string{from, to}] = true }
func (w *World) Join(from, to string) { delete(w.cuts, [2]string{from, to}) }

// CutOff cuts a machine off from some others, both ways.
func (w *World) CutOff(one string, others ...string) {
	for _, o := range others {
		if o != one {
			w.Cut(one, o)
			w.Cut(o, one)
		}
	}
}

// Slow has what one machine sends another take so many seconds longer, as on a link that is full.
func (w *World) Slow(from, to string, s float64) { w.slow[[2]string{from, to}] = s }

// JoinAll ends all cuts and slowness.
func (w *World) JoinAll() { clear(w.cuts); clear(w.slow) }

// send carries a parcel, in order on its link. A link to a process that has ended is reset; one to a silent machine is given up
// after a while, and what was sent by it may have arrived.
func (w *World) send(from, to string, p *meshpb.Message) uint64 {
	key := [2]string{from, to}
	sender, target := w.byAddr[from], w.byAddr[to]
	if target == nil {
		return 0
	}
	l := w.links[key]
	if l == nil || l.dead || l.born != sender.life() {
		w.seq++
		l = &link{number: w.seq, born: sender.life(), life: target.life(), made: target.alive()}
		w.links[key] = l
		back := [2]string{to, from} // answers go by the connection that the question came by, and not by one to an earlier life
		if r := w.links[back]; r != nil && r.life != sender.life() {
			delete(w.links, back)
		}
	}
	if _, ok := sender.(*ControlServer); ok {
		if _, ok := target.(*ControlServer); ok {
			w.Messages++
			w.Bytes += proto.Size(p)
		}
	}
	number, born, made := l.number, sender.life(), l.made
	parcel := proto.Clone(p).(*meshpb.Message)
	fail := func(after float64, unsent bool) {
		w.After(after, func() {
			if l.dead || !sender.alive() || sender.life() != born {
				return
			}
			l.dead = true
			b := transport.Broke{Peer: to, Link: number}
			if unsent {
				b.Unsent = []uint64{parcel.Id}
			}
			sender.broke(b)
		})
	}
	arrive := max(l.last, w.Now+w.slow[key]+w.Delay*(0.8+0.4*w.Rand.Float64()))
	l.last = arrive
	late := w.disturb(from, to, parcel)
	if late {
		return number
	}
	garbled, lost := w.garbles(from, to), w.loses(from, to)
	w.After(arrive-w.Now, func() {
		switch {
		case l.dead, w.cuts[key] || w.cuts[[2]string{to, from}] || target.dark():
			fail(silentTakes, false)
		case !target.alive() || target.life() != l.life:
			fail(w.Delay, !made)
		case lost:
			w.endBoth(l, from, to)
		case garbled:
			w.garble(l, from, to, parcel)
		default:
			target.heard(from, parcel)
		}
	})
	return number
}

// ---- disks

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
	h.freezer, h.processor = freezer{}, processor{}
	h.up, h.unlit, h.busy, h.puts, h.after = true, false, false, nil, nil
	values := map[string][]byte{}
	for name, v := range h.disk.held {
		values[name] = slices.Clone(v)
	}
	var err error
	h.server, err = control.New(h.w.Now, control.Options{Self: h.addr, Seeds: h.seeds, First: h.w.first && len(values) == 0,
		Tolerance: h.w.tolerance, Window: window, Life: h.w.Rand.Uint32() | 1, Random: h.w.Rand.Uint64(),
		Log: func(event string, args ...any) {
			trace("%.3f %s %s %v", h.w.Now, h.addr, event, args)
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
			h.input(func() {
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
		case h.server.Left(h.w.Now), h.w.Now > late:
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
	h.input(func() { h.server.Heard(h.w.Now, from, p) })
}

func (h *ControlServer) broke(transport.Broke) {}

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
		out := h.server.Take()
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
			h.server.Heard(h.w.Now, h.addr, s.Message)
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

// ---- data plane

// Proxy is a proxy with the host beside it.
type Proxy struct {
	w        *World
	addr     string
	host     Host
	seeds    []string
	sidecar  *sidecar.Sidecar
	lives    int
	up       bool
	unlit    bool
	version  uint64
	station  *station
	stations int
	seed     uint64 // of its state machine; 0: drawn for each life
	freezer
}

func (s *Proxy) address() string { return s.addr }
func (s *Proxy) alive() bool     { return s.up }
func (s *Proxy) dark() bool      { return s.unlit }
func (s *Proxy) life() int       { return s.lives }

// Start starts the process.
func (s *Proxy) Start() {
	s.lives++
	s.up, s.unlit, s.freezer = true, false, freezer{}
	s.version += uint64(1000 * s.w.Rand.Float64()) // the time of day may have gone back
	s.sidecar = sidecar.New(s.w.Now, sidecar.Options{Self: s.addr, Zone: s.host.Zone, Sender: s.host.Carrier, Seeds: s.seeds, Beat: beat,
		Ratio: 0.2, Slack: 60, Version: s.version, Seed: cmp.Or(s.seed, s.w.Rand.Uint64()), Memory: 1 << 24, Agreed: s.w.Agreed})
	life := s.lives
	var tick func()
	tick = func() {
		if s.up && s.lives == life {
			s.input(func() { s.sidecar.Tick(s.w.Now) })
			s.w.Checker.edition(s)
			s.w.After(tickEvery, tick)
		}
	}
	s.w.After(tickEvery*s.w.Rand.Float64(), tick)
}

// Kill ends the process. Its clients see their connections closed.
func (s *Proxy) Kill() { s.up = false }

// PowerOff takes the power of proxy and host away.
func (s *Proxy) PowerOff() {
	s.up, s.unlit = false, true
	s.station = nil
}

// Term tells the process to end, and ends it once nothing is under way, as its program does. ended is called then.
func (s *Proxy) Term(ended func()) {
	const notice, grace = 2.2, 5.0
	began, life := s.w.Now, s.lives
	s.input(func() { s.sidecar.Term(s.w.Now, notice) })
	var look func()
	look = func() {
		switch {
		case !s.up || s.lives != life:
		case s.w.Now > began+notice && s.sidecar.Idle(), s.w.Now > began+grace:
			s.up = false
			ended()
		default:
			s.w.After(tickEvery, look)
		}
	}
	s.w.After(notice, look)
}

// State is what the proxy knows.
func (s *Proxy) State() sidecar.State { return s.sidecar.State(s.w.Now) }

func (s *Proxy) heard(from string, p *meshpb.Message) {
	s.input(func() { s.sidecar.Message(s.w.Now, from, p) })
}

func (s *Proxy) broke(b transport.Broke) { s.input(func() { s.sidecar.Broke(s.w.Now, b) }) }

func (s *Proxy) input(f func()) {
	if !s.up || s.holds(f, s.input) {
		return
	}
	f()
	for {
		out := s.sidecar.Take()
		for _, send := range out.Sends {
			number := s.w.send(s.addr, send.To, send.Message)
			if send.Via != nil {
				*send.Via = number
			}
		}
		for _, do := range out.Dos {
			switch do := do.(type) {
			case sidecar.Tell:
				do.Order.Slot.(func(sidecar.Reply))(do.Reply)
			case sidecar.Exchange:
				s.exchange(do)
			case sidecar.Probe:
				s.probe()
			}
		}
		if len(out.Sends) == 0 && len(out.Dos) == 0 {
			return
		}
	}
}
