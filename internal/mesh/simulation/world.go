// Package simulation is whole clusters in one process: clock, network and disks are simulated, the state machines are the ones
// that the programs run. A seed replays.
//
// This file has the world: time, links, processes and disks. people.go has the hosts, clients and operators as stand-ins;
// checker.go judges by what those saw, and by nothing else.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
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

	disturbedAt map[string]float64 // by address, when a machine or a link of it was last in trouble

	tolerance int // control servers that may be lost at once

	Processor Processor // of the machines of control servers

	HeartbeatsWait bool // planted: on a full processor heartbeats wait their turn
	ContactsLost   int  // how often a control server lost contact with a quorum

	LeaseTime float64 // planted: seconds after which control servers take a lease for over; 0: as they should

	EndsUntold bool // planted: word on the end of a run does not reach the control servers

	CloseUnheard bool // planted: no proxy hears that a client closes its connection

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
	broke(b transport.Disconnected)
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
		cuts: map[[2]string]bool{}, slow: map[[2]string]float64{}, byAddr: map[string]machine{}, first: true,
		disturbedAt: map[string]float64{}}
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
	for _, host := range hosts {
		w.addProxy(host, seeds[:min(3, servers)])
	}
	return w
}

// addProxy starts a machine with a host and the proxy beside it.
func (w *World) addProxy(host Host, seeds []string) *Proxy {
	s := &Proxy{w: w, addr: fmt.Sprintf("10.0.1.%d:7000", len(w.Proxies)+1), host: host, seeds: seeds}
	w.Proxies = append(w.Proxies, s)
	w.byAddr[s.addr] = s
	s.Start()
	s.StartHost()
	return s
}

// AddHost starts a new machine with a host. Its proxy is told of control servers that are up.
func (w *World) AddHost(host Host) *Proxy { return w.addProxy(host, w.upSeeds()) }

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

// Cut lets nothing pass from one machine to another.
func (w *World) Cut(from, to string) {
	w.disturbed(from, to)
	w.cuts[[2]string{from, to}] = true
}

// Join ends a cut.
func (w *World) Join(from, to string) {
	w.disturbed(from, to)
	delete(w.cuts, [2]string{from, to})
}

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
func (w *World) Slow(from, to string, s float64) {
	w.disturbed(from, to)
	w.slow[[2]string{from, to}] = s
}

// JoinAll ends all cuts and slowness.
func (w *World) JoinAll() {
	for pair := range w.cuts {
		w.disturbed(pair[:]...)
	}
	clear(w.cuts)
	w.EndSlow()
}

// EndSlow ends all slowness.
func (w *World) EndSlow() {
	for pair := range w.slow {
		w.disturbed(pair[:]...)
	}
	clear(w.slow)
}

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
	if w.EndsUntold && p.Settle != nil {
		return number
	}
	parcel := proto.Clone(p).(*meshpb.Message)
	fail := func(after float64, unsent bool) {
		w.After(after, func() {
			if l.dead || !sender.alive() || sender.life() != born {
				return
			}
			l.dead = true
			b := transport.Disconnected{Peer: to, Link: number}
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
