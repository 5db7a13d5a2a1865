// Package simulation runs whole clusters in one process. Clock, network, disks and processors are simulated; the state
// machines of the control servers (package control) and of the proxies (package sidecar) are the ones that the programs run.
// All random decisions come from one seed, so a run with the same seed is repeated exactly.
//
// The main type is World, a discrete-event simulation. A test creates a World with New, schedules requests, configuration
// changes and faults with After, advances the clock with Run, and then reads the violations that the Checker has recorded.
//
// world.go has the clock, the network and the machines. servers.go and proxies.go embed the two state machines. actors.go has
// the simulated hosts, clients and operators, and keys.go the shard keys that hosts hold. faults.go, disturbance.go and
// processor.go have network faults, the record of recent faults, and processor time. checker.go judges a run only by what
// hosts, clients and operators observed.
//
// A proxy is the sidecar of one host: it sends the host's requests and admits the requests of others to the host. In the
// names of the protocol, a carrier is a service and a station is the ID of a host instance.
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
	tickSeconds        = 0.02  // interval between ticks of a process
	syncSeconds        = 0.001 // duration of a disk sync
	unreachableSeconds = 1.5   // time until the connection to an unreachable machine fails
	dedupWindowSeconds = 60.0  // time for which idempotency keys prevent a second run
)

// trace receives the log events of the control servers. Set it to a printing function to debug a failed seed.
var trace = func(format string, args ...any) {}

// World is one simulated cluster with its clock.
type World struct {
	Now            float64 // seconds on the simulated clock
	LatencySeconds float64 // one-way network latency between machines, varied by 20 % up and down
	Rand           *rand.Rand
	Checker        *Checker
	Servers        []*ControlServer
	Proxies        []*Proxy

	events       events
	seq          uint64                // of events, links and client requests
	links        map[[2]string]*link   // by addresses of sender and receiver
	blocked      map[[2]string]bool    // by addresses of sender and receiver
	addedLatency map[[2]string]float64 // seconds, by addresses of sender and receiver
	machines     map[string]machine    // by address
	bootstrap    bool                  // the whole system starts for the first time

	disturbedAt map[string]float64 // by address: time of the last fault of a machine or of one of its links

	tolerance int // number of control servers that may be lost at once

	Processor Processor // processing times of the control servers

	QueueHeartbeats     bool           // deliberate bug: heartbeats queue behind all other work on a busy processor
	LogEvents           map[string]int // number of log lines of the control servers, by event
	QuorumContactLosses int            // number of times that a control server lost contact with a quorum

	LeaseSeconds float64 // deliberate bug if not 0: control servers assume that leases expire after this time

	DropSettles bool // deliberate bug: messages that report the end of a run (Settle) do not arrive

	IgnoreDisconnects bool // deliberate bug: proxies are not told that a client has closed its connection

	VaryHostSpelling bool // clients write the host name with and without a port and in either case

	AgreedEjection bool   // proxies eject hosts for tracked operations only if the control plane has agreed
	Faults         Faults // of the network
	Messages       int    // sent between control servers
	Bytes          int    // total size of Messages
}

// machine is a machine with one process: a control server or a proxy.
type machine interface {
	address() string
	alive() bool      // the process is running
	poweredOff() bool // the machine has no power
	incarnation() int // number of the current start of the process
	receive(from string, p *meshpb.Message)
	connectionLost(b transport.Disconnected)
}

// link is the sending direction of a connection between two machines.
type link struct {
	number              uint64
	senderIncarnation   int
	receiverIncarnation int
	lastArrival         float64 // time at which the latest message arrives
	established         bool    // the receiver was running when the link was opened, so messages may have arrived
	closed              bool
}

// event is a function to call at a simulated time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at  float64
	seq uint64
	do  func()
}

// events is a heap of events by time.
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

// Host describes a host: the service that it is part of, and its zone.
type Host struct{ Service, Zone string }

// New returns a cluster of the given number of control servers, with a proxy for each host. All of them are started.
func New(seed uint64, servers int, hosts ...Host) *World {
	w := &World{Now: 1, LatencySeconds: 0.001, Rand: rand.New(rand.NewPCG(seed, 7)), links: map[[2]string]*link{},
		blocked: map[[2]string]bool{}, addedLatency: map[[2]string]float64{}, machines: map[string]machine{}, bootstrap: true,
		disturbedAt: map[string]float64{}, LogEvents: map[string]int{}}
	w.Checker = newChecker(w)
	w.tolerance = (servers - 1) / 2
	var seeds []string
	for i := range servers {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	for _, addr := range seeds {
		server := &ControlServer{w: w, addr: addr, seeds: seeds[:min(3, servers)], disk: &disk{values: map[string][]byte{}}}
		w.Servers = append(w.Servers, server)
		w.machines[addr] = server
		server.Start()
	}
	for _, host := range hosts {
		w.addProxy(host, seeds[:min(3, servers)])
	}
	return w
}

// addProxy starts a machine with a host and its proxy.
func (w *World) addProxy(host Host, seeds []string) *Proxy {
	p := &Proxy{w: w, addr: fmt.Sprintf("10.0.1.%d:7000", len(w.Proxies)+1), host: host, seeds: seeds}
	w.Proxies = append(w.Proxies, p)
	w.machines[p.addr] = p
	p.Start()
	p.StartHost()
	return p
}

// AddHost starts a new machine with a host and its proxy. The seed addresses of the proxy are those of running control servers.
func (w *World) AddHost(host Host) *Proxy { return w.addProxy(host, w.runningSeeds()) }

// AddServer starts a control server with an empty disk at an unused address. Its seed addresses are those of running servers.
func (w *World) AddServer() *ControlServer {
	addr := fmt.Sprintf("10.0.0.%d:7000", len(w.Servers)+1)
	server := &ControlServer{w: w, addr: addr, seeds: w.runningSeeds(), disk: &disk{values: map[string][]byte{}}}
	w.bootstrap = false
	w.Servers = append(w.Servers, server)
	w.machines[addr] = server
	server.Start()
	return server
}

// runningSeeds returns the addresses of up to three running servers, as an operator would configure them.
func (w *World) runningSeeds() (seeds []string) {
	for _, h := range w.Servers {
		if h.up && len(seeds) < 3 {
			seeds = append(seeds, h.addr)
		}
	}
	return seeds
}

// Remove powers a control server off permanently.
func (w *World) Remove(h *ControlServer) {
	h.PowerOff()
	h.removed = true
}

// Replace removes a control server and adds a new one at another address a second later.
func (w *World) Replace(h *ControlServer) {
	w.Remove(h)
	w.Run(1)
	w.AddServer()
}

// LoseDisk powers a control server off, erases its disk, and starts it again after downSeconds.
func (w *World) LoseDisk(h *ControlServer, downSeconds float64) {
	h.PowerOff()
	h.Wipe()
	w.Run(downSeconds)
	h.Start()
}

// Members returns the running servers that vote.
func (w *World) Members() (all []*ControlServer) {
	for _, h := range w.Servers {
		if h.up && h.server.Voting() {
			all = append(all, h)
		}
	}
	return all
}

// After schedules do to be called the given number of seconds from now.
func (w *World) After(seconds float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now + seconds, w.seq, do})
}

// Run advances the simulation by the given number of seconds.
func (w *World) Run(seconds float64) {
	until := w.Now + seconds
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// Block stops all traffic from one machine to another.
func (w *World) Block(from, to string) {
	w.noteDisturbance(from, to)
	w.blocked[[2]string{from, to}] = true
}

// Unblock ends a Block.
func (w *World) Unblock(from, to string) {
	w.noteDisturbance(from, to)
	delete(w.blocked, [2]string{from, to})
}

// Isolate blocks the traffic between a machine and some others, in both directions.
func (w *World) Isolate(addr string, others ...string) {
	for _, o := range others {
		if o != addr {
			w.Block(addr, o)
			w.Block(o, addr)
		}
	}
}

// AddLatency delays everything that one machine sends to another by the given seconds, as on a congested link.
func (w *World) AddLatency(from, to string, seconds float64) {
	w.noteDisturbance(from, to)
	w.addedLatency[[2]string{from, to}] = seconds
}

// HealNetwork ends all blocked links and added latencies.
func (w *World) HealNetwork() {
	for pair := range w.blocked {
		w.noteDisturbance(pair[:]...)
	}
	clear(w.blocked)
	w.ClearLatency()
}

// ClearLatency ends all added latencies.
func (w *World) ClearLatency() {
	for pair := range w.addedLatency {
		w.noteDisturbance(pair[:]...)
	}
	clear(w.addedLatency)
}

// send transmits a message over the connection between two machines, which keeps the order of messages, and returns the
// number of that connection. A connection to a process that has ended is reset. A connection to an unreachable machine fails
// after unreachableSeconds; messages sent over it before may have arrived.
func (w *World) send(from, to string, p *meshpb.Message) uint64 {
	pair := [2]string{from, to}
	sender, target := w.machines[from], w.machines[to]
	if target == nil {
		return 0
	}
	conn := w.links[pair]
	if conn == nil || conn.closed || conn.senderIncarnation != sender.incarnation() {
		w.seq++
		conn = &link{number: w.seq, senderIncarnation: sender.incarnation(), receiverIncarnation: target.incarnation(),
			established: target.alive()}
		w.links[pair] = conn
		back := [2]string{to, from} // responses must not use a connection to an earlier incarnation of the sender
		if r := w.links[back]; r != nil && r.receiverIncarnation != sender.incarnation() {
			delete(w.links, back)
		}
	}
	if _, ok := sender.(*ControlServer); ok {
		if _, ok := target.(*ControlServer); ok {
			w.Messages++
			w.Bytes += proto.Size(p)
		}
	}
	number, senderIncarnation, established := conn.number, sender.incarnation(), conn.established
	if w.DropSettles && p.Settle != nil {
		return number
	}
	message := proto.Clone(p).(*meshpb.Message)
	breakLink := func(after float64, unsent bool) {
		w.After(after, func() {
			if conn.closed || !sender.alive() || sender.incarnation() != senderIncarnation {
				return
			}
			conn.closed = true
			b := transport.Disconnected{Peer: to, Link: number}
			if unsent {
				b.Unsent = []uint64{message.Id}
			}
			sender.connectionLost(b)
		})
	}
	arrival := max(conn.lastArrival, w.Now+w.addedLatency[pair]+w.LatencySeconds*(0.8+0.4*w.Rand.Float64()))
	conn.lastArrival = arrival
	delayed := w.duplicateOrDelay(from, to, message)
	if delayed {
		return number
	}
	corrupted, dropped := w.drawCorruption(from, to), w.drawDrop(from, to)
	w.After(arrival-w.Now, func() {
		switch {
		case conn.closed, w.blocked[pair] || w.blocked[[2]string{to, from}] || target.poweredOff():
			breakLink(unreachableSeconds, false)
		case !target.alive() || target.incarnation() != conn.receiverIncarnation:
			breakLink(w.LatencySeconds, !established)
		case dropped:
			w.closeBoth(conn, from, to)
		case corrupted:
			w.corrupt(conn, from, to, message)
		default:
			target.receive(from, message)
		}
	})
	return number
}
