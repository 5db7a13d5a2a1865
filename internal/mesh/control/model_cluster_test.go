package control

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// The model runs control servers on a simulated clock, network and disks. Every choice follows from the seed.

const (
	modelTick             = 0.02  // seconds
	modelRetentionSeconds = 60.0  // seconds for which keys are retained
	modelBootstrapSeconds = 3.0   // seconds within which the first view is created
	modelMaxDelay         = 0.010 // greatest usual delay of a message, in seconds
	modelMaxLateDelay     = 0.500 // greatest delay of a late message
	modelMaxSync          = 0.010 // greatest usual time to sync a batch, in seconds
	modelMaxLateSync      = 0.200 // greatest time of a slow sync
)

// modelEvent is an action at a simulated time.
type modelEvent struct {
	at       float64
	sequence uint64 // orders events of the same time
	do       func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = modelEvent{}
	*h = (*h)[:last]
	return e
}

// modelCluster is a cluster of control servers with its network.
type modelCluster struct {
	seed         uint64
	links        map[[2]string]*rand.Rand // by sender and receiver: links do not affect each other's random choices
	now          float64
	events       modelEvents
	lastSequence uint64
	tolerance    int
	seeds        []string
	machines     []*modelMachine
	byName       map[string]*modelMachine
	cuts         map[[2]string]bool // links that drop all messages, by sender and receiver
	lossy        bool               // messages are lost, duplicated and delayed, and disks are slow
	dropMessage  func(from, to string, m *meshpb.Message) bool
	onWrite      func(name string, value []byte)
	trace        func(format string, args ...any)
	orders       *orderHistory
}

// modelMachine is a machine with a disk, and with a server while it is up.
type modelMachine struct {
	cluster *modelCluster
	random  *rand.Rand
	address string
	disk    map[string][]byte
	server  *Server
	up      bool
	starts  uint32
	first   bool // the whole system starts for the first time
	cutAt   float64

	writing []store.Put
	puts    []store.Put
	after   []transport.Send
	syncing bool
}

// newModelCluster bootstraps a mesh with as many members as the tolerance requires, and starts the spare servers.
func newModelCluster(seed uint64, tolerance, spares int) *modelCluster {
	return newModelClusterOf(seed, 2*tolerance+1, tolerance, spares)
}

func newModelClusterOf(seed uint64, members, tolerance, spares int) *modelCluster {
	c := &modelCluster{seed: seed, links: map[[2]string]*rand.Rand{}, now: 1, tolerance: tolerance,
		byName: map[string]*modelMachine{}, cuts: map[[2]string]bool{}, trace: func(string, ...any) {},
		dropMessage: func(string, string, *meshpb.Message) bool { return false }, onWrite: func(string, []byte) {},
		orders: newOrderHistory()}
	for i := range members + spares {
		address := fmt.Sprintf("s%d", i)
		m := &modelMachine{cluster: c, random: newRandom(seed, address), address: address, disk: map[string][]byte{},
			first: i < members}
		c.machines, c.byName[m.address] = append(c.machines, m), m
		if m.first {
			c.seeds = append(c.seeds, m.address)
		}
	}
	for _, m := range c.machines[:members] {
		m.start()
	}
	c.run(modelBootstrapSeconds)
	for _, m := range c.machines {
		m.first = false
		if !m.up {
			m.start()
		}
	}
	return c
}

// newRandom returns an independent source of random numbers for each name. If a code change makes one source be used more or
// less, the numbers from the others stay the same, so a recorded run remains nearly the same run.
func newRandom(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, name)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// linkRandom returns the random source of the messages from one machine to another.
func (c *modelCluster) linkRandom(from, to string) *rand.Rand {
	key := [2]string{from, to}
	if c.links[key] == nil {
		c.links[key] = newRandom(c.seed, from+" to "+to)
	}
	return c.links[key]
}

// after schedules an action in the given number of seconds.
func (c *modelCluster) after(seconds float64, do func()) {
	c.lastSequence++
	heap.Push(&c.events, modelEvent{c.now + seconds, c.lastSequence, do})
}

// run advances the clock and performs the actions that become due.
func (c *modelCluster) run(seconds float64) {
	until := c.now + seconds
	for len(c.events) > 0 && c.events[0].at <= until && c.orders.violation == nil {
		e := heap.Pop(&c.events).(modelEvent)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// ---- machines

// start starts the server with the contents of the disk.
func (m *modelMachine) start() {
	c := m.cluster
	m.starts++
	m.up, m.syncing, m.writing, m.puts, m.after = true, false, nil, nil, nil
	values := map[string][]byte{}
	for name, value := range m.disk {
		values[name] = slices.Clone(value)
	}
	server, err := New(c.now, Options{Self: m.address, Seeds: c.seeds, Bootstrap: m.first && len(values) == 0,
		Tolerance: c.tolerance, RetentionSeconds: modelRetentionSeconds, Life: m.random.Uint32() | 1,
		RandomSeed: m.random.Uint64(),
		Log: func(event string, args ...any) {
			c.trace("%.3f %s: %s %v", c.now, m.address, event, args)
			if event == EventViolation {
				c.orders.fail(invariantViolated, "by %s: %v", m.address, args)
			}
		}}, values)
	if err != nil {
		panic(err)
	}
	m.server = server
	c.trace("%.3f %s starts, incarnation %d, epoch %d", c.now, m.address, server.self.Incarnation, server.view().Epoch)
	m.work()
	m.tick(m.starts)
}

func (m *modelMachine) tick(life uint32) {
	m.cluster.after(modelTick*(0.5+m.random.Float64()), func() {
		if m.up && m.starts == life {
			m.server.Tick(m.cluster.now)
			m.work()
			m.tick(life)
		}
	})
}

// work performs the server's pending effects.
func (m *modelMachine) work() {
	for {
		out := m.server.TakeEffects()
		m.puts, m.after = append(m.puts, out.Puts...), append(m.after, out.After...)
		m.sync()
		if len(out.Sends) == 0 {
			return
		}
		m.send(out.Sends)
	}
}

func (m *modelMachine) send(all []transport.Send) {
	for _, send := range all {
		if send.To == m.address {
			m.server.HandleMessage(m.cluster.now, m.address, send.Message)
			continue
		}
		m.cluster.transmit(m.address, send.To, send.Message)
	}
}

// sync starts to sync the next batch unless a sync is in progress.
func (m *modelMachine) sync() {
	if m.syncing || len(m.puts)+len(m.after) == 0 {
		return
	}
	c := m.cluster
	takes := modelMaxSync * m.random.Float64()
	if c.lossy && m.random.IntN(10) == 0 {
		takes = modelMaxLateSync * m.random.Float64()
	}
	m.syncing, m.writing = true, m.puts
	after, life := m.after, m.starts
	m.puts, m.after = nil, nil
	c.after(takes, func() {
		if !m.up || m.starts != life {
			return
		}
		m.apply(m.writing)
		m.writing, m.syncing = nil, false
		m.send(after)
		m.work()
	})
}

func (m *modelMachine) apply(puts []store.Put) {
	for _, p := range puts {
		m.cluster.onWrite(p.Name, p.Value)
		if len(p.Value) == 0 {
			delete(m.disk, p.Name)
		} else {
			m.disk[p.Name] = slices.Clone(p.Value)
		}
	}
}

// kill ends the server's process. The whole batch that was being written is on disk.
func (m *modelMachine) kill() {
	m.cluster.trace("%.3f %s is killed", m.cluster.now, m.address)
	m.apply(m.writing)
	m.up, m.writing = false, nil
}

// powerOff ends the server. Any part of the batch being written may be on disk.
func (m *modelMachine) powerOff() {
	m.cluster.trace("%.3f %s loses power while %d values are being written", m.cluster.now, m.address, len(m.writing))
	puts := slices.Clone(m.writing)
	slices.SortStableFunc(puts, func(a, b store.Put) int { return cmp.Compare(a.Name, b.Name) })
	m.apply(slices.DeleteFunc(puts, func(store.Put) bool { return m.random.IntN(2) == 0 }))
	m.up, m.writing = false, nil
}

// wipe empties the disk. The server must be down.
func (m *modelMachine) wipe() {
	m.cluster.trace("%.3f %s: its disk is wiped", m.cluster.now, m.address)
	clear(m.disk)
}

// hasDiskOf reports whether this machine's disk is that of a member.
func (m *modelMachine) hasDiskOf(member view.Member) bool {
	return decodeUint64(m.disk[nameIdentity]) == member.Incarnation
}

// ---- network

// transmit sends a message to another machine.
func (c *modelCluster) transmit(from, to string, message *meshpb.Message) {
	if c.dropMessage(from, to, message) {
		return
	}
	random, copies := c.linkRandom(from, to), 1
	if c.lossy {
		switch random.IntN(30) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		takes := 0.0002 + modelMaxDelay*random.Float64()
		if c.lossy && random.IntN(20) == 0 {
			takes = modelMaxLateDelay * random.Float64()
		}
		c.after(takes, func() { c.deliver(from, to, message) })
	}
}

func (c *modelCluster) deliver(from, to string, message *meshpb.Message) {
	m := c.byName[to]
	if m == nil || !m.up || c.cuts[[2]string{from, to}] {
		return
	}
	m.server.HandleMessage(c.now, from, message)
	m.work()
}

// cutLinks drops all messages between a machine and the others, or with oneWay only those that the machine sends.
func (c *modelCluster) cutLinks(m *modelMachine, oneWay bool) {
	c.trace("%.3f links of %s are cut, one way %v", c.now, m.address, oneWay)
	m.cutAt = c.now
	for _, other := range c.machines {
		if other != m {
			c.cuts[[2]string{m.address, other.address}] = true
			if !oneWay {
				c.cuts[[2]string{other.address, m.address}] = true
			}
		}
	}
}

func (c *modelCluster) healCuts() {
	c.trace("%.3f all cuts are healed", c.now)
	clear(c.cuts)
	for _, m := range c.machines {
		m.cutAt = 0
	}
}

// newest returns the newest view that a server has adopted or a disk contains.
func (c *modelCluster) newest() (newest view.View) {
	for _, m := range c.machines {
		known, _ := view.Decode(m.disk[nameView])
		if m.up {
			known = m.server.view()
		}
		if known.Epoch > newest.Epoch {
			newest = known
		}
	}
	return newest
}

// inForce returns the views that servers may act by: the newest view that is on the disks of a majority of its members (in a
// joint view, of its old members), and all later ones.
func (c *modelCluster) inForce() (all []view.View) {
	known := map[uint64]view.View{}
	epochs := map[view.Member]uint64{} // by member: epoch on disk
	for _, m := range c.machines {
		held, _ := view.Decode(m.disk[nameView])
		known[held.Epoch], epochs[viewMember(m)] = held, held.Epoch
		if m.up {
			known[m.server.view().Epoch] = m.server.view()
		}
	}
	for epoch := c.newest().Epoch; epoch > 0; epoch-- {
		v, found := known[epoch]
		if !found {
			continue
		}
		all = append(all, v)
		if v.OldQuorum(func(m view.Member) bool { return epochs[m] >= epoch }) {
			break
		}
	}
	return all
}

// countLost counts the members whose disks are lost.
func (c *modelCluster) countLost(members []view.Member) (n int) {
	for _, member := range members {
		if !c.byName[member.Address].hasDiskOf(member) {
			n++
		}
	}
	return n
}

// viewMember returns the member that a machine is with its present disk.
func viewMember(m *modelMachine) view.Member {
	return view.Member{Address: m.address, Incarnation: decodeUint64(m.disk[nameIdentity])}
}
