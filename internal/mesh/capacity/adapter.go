package capacity

import (
	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
)

const (
	keyWindow   = 60.0 // seconds for which a key's answer is kept
	retryRatio  = 0.2
	retrySlack  = 60.0
	bodyMemory  = 16 << 20
	hostBerths  = 8
	versionStep = 1000 // between the lives of a proxy
)

// controlServer is one control server: its state machine and its disk.
type controlServer struct {
	at      place
	fleet   *Fleet
	machine *control.Server
	puts    []store.Put
	after   []transport.Send
	syncing bool
}

func newControlServer(f *Fleet, at place, seeds []string) (*controlServer, error) {
	c := &controlServer{at: at, fleet: f}
	options := control.Options{
		Self: at.address, Seeds: seeds, First: true, Window: keyWindow,
		Life: f.random.Uint32() | 1, Random: f.random.Uint64(),
	}
	machine, err := control.New(f.clock.now, options, map[string][]byte{})
	c.machine = machine
	return c, err
}

func (c *controlServer) place() *place { return &c.at }
func (c *controlServer) ready() bool   { return c.machine.Voting() }

func (c *controlServer) tick() {
	c.input("tick", func() { c.machine.Tick(c.fleet.clock.now) })
}

func (c *controlServer) receive(from string, m *meshpb.Message) {
	c.input(kindOf(m), func() { c.machine.Heard(c.fleet.clock.now, from, m) })
}

func (c *controlServer) broke(transport.Broke) {}

// configure has a configuration taken. answer hears whether a majority has it.
func (c *controlServer) configure(version uint64, text []byte, answer func(ok bool)) {
	taken := func(result control.OrderResult) { answer(result == control.OrderTaken) }
	c.input("change", func() { c.machine.Order(c.fleet.clock.now, version, text, taken) })
}

// input gives the state machine something, and does what it wants done.
func (c *controlServer) input(name string, give func()) {
	for {
		began := processorTime()
		give()
		out := c.machine.Take()
		c.fleet.meter.worked(Server, name, began)
		c.puts = append(c.puts, out.Puts...)
		c.after = append(c.after, out.After...)
		c.sync()
		own := c.send(out.Sends)
		if len(own) == 0 {
			return
		}
		name = "own"
		give = func() { c.hearOwn(own) }
	}
}

// send sends messages, and returns those for this server.
func (c *controlServer) send(all []transport.Send) (own []*meshpb.Message) {
	for _, s := range all {
		if s.To == c.at.address {
			own = append(own, s.Message)
			continue
		}
		c.fleet.network.send(&c.at, s.To, s.Message)
	}
	return own
}

func (c *controlServer) hearOwn(messages []*meshpb.Message) {
	for _, m := range messages {
		c.machine.Heard(c.fleet.clock.now, c.at.address, m)
	}
}

// sync writes what waits in one batch, one batch at a time, and then sends what waited for that.
func (c *controlServer) sync() {
	if c.syncing || len(c.puts)+len(c.after) == 0 {
		return
	}
	after := c.after
	takes := 0.0
	if len(c.puts) > 0 {
		c.fleet.meter.Syncs++
		for _, p := range c.puts {
			c.fleet.meter.SyncedBytes += uint64(len(p.Name) + len(p.Value))
		}
		takes = c.fleet.options.SyncTakes
	}
	c.puts, c.after, c.syncing = nil, nil, true
	c.fleet.clock.after(takes, func() {
		c.syncing = false
		if c.machine == nil {
			return
		}
		own := c.send(after)
		c.input("synced", func() { c.hearOwn(own) })
	})
}

// sidecarProxy is one proxy and the host beside it.
type sidecarProxy struct {
	at      place
	fleet   *Fleet
	service int
	seeds   []string
	machine *sidecar.Sidecar
	life    int
	beats   uint64
}

// start starts the process, with its host running.
func (p *sidecarProxy) start() {
	p.life++
	p.at.running = true
	p.machine = sidecar.New(p.fleet.clock.now, sidecar.Options{
		Self: p.at.address, Zone: zoneName(p.at.zone), Sender: serviceName(p.service), Seeds: p.seeds,
		Beat: p.fleet.options.HeartbeatEvery, Ratio: retryRatio, Slack: retrySlack, Memory: bodyMemory,
		Agreed: true, Version: uint64(p.life * versionStep), Seed: p.fleet.random.Uint64(),
	})
}

func (p *sidecarProxy) place() *place { return &p.at }

func (p *sidecarProxy) tick() {
	p.input("tick", func() { p.machine.Tick(p.fleet.clock.now) })
}

func (p *sidecarProxy) heartbeat() {
	p.beats++
	said := sidecar.Station{
		ID: p.hostID(), Carrier: serviceName(p.service), Zone: zoneName(p.at.zone),
		Berths: hostBerths, Sequence: p.beats,
	}
	p.input("heartbeat", func() { p.machine.Beat(p.fleet.clock.now, said) })
}

// hostID is the name of the host's life. A restart of the proxy leaves the host running.
func (p *sidecarProxy) hostID() string { return "host-" + p.at.address }

// leave tells the process that it will be ended after so many seconds.
func (p *sidecarProxy) leave(notice float64) {
	p.input("leave", func() { p.machine.Term(p.fleet.clock.now, notice) })
}

func (p *sidecarProxy) receive(from string, m *meshpb.Message) {
	p.input(kindOf(m), func() { p.machine.Message(p.fleet.clock.now, from, m) })
}

func (p *sidecarProxy) broke(b transport.Broke) {
	p.input("broke", func() { p.machine.Broke(p.fleet.clock.now, b) })
}

// call has a client ask for a service. key is empty for a call that claims none.
func (p *sidecarProxy) call(service int, path, key, id string) {
	order := &sidecar.Order{
		Method: "POST", Target: path, Host: serviceHost(service), ID: id, Key: key, Left: 1,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}, {Name: sidecar.HeaderKey, Value: key}},
	}
	p.input("call", func() { p.machine.Ask(p.fleet.clock.now, order) })
}

// input gives the state machine something, and does what it wants done.
func (p *sidecarProxy) input(name string, give func()) {
	if !p.at.running || p.machine == nil {
		return
	}
	began := processorTime()
	give()
	out := p.machine.Take()
	p.fleet.meter.worked(Proxy, name, began)
	for _, s := range out.Sends {
		link := p.fleet.network.send(&p.at, s.To, s.Message)
		if s.Via != nil {
			*s.Via = link
		}
	}
	for _, do := range out.Dos {
		p.do(do)
	}
}

func (p *sidecarProxy) do(do sidecar.Do) {
	switch do := do.(type) {
	case sidecar.Tell:
		p.fleet.answered(do.Reply.Status)
	case sidecar.Exchange:
		p.later(p.fleet.options.HostTakes, "exchanged", func(now float64) {
			p.machine.Exchanged(now, do.Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200,
				Body: make([]byte, p.fleet.options.AnswerBytes)})
		})
	case sidecar.Probe:
		p.later(p.fleet.options.HostTakes, "probed", func(now float64) {
			p.machine.Probed(now, p.hostID(), true)
		})
	}
}

// later gives an input of the host's to the same life of the process.
func (p *sidecarProxy) later(seconds float64, name string, give func(now float64)) {
	life := p.life
	p.fleet.clock.after(seconds, func() {
		if p.life == life {
			p.input(name, func() { give(p.fleet.clock.now) })
		}
	})
}

// version is that of the configuration in force at the proxy.
func (p *sidecarProxy) version() uint64 { return p.machine.Edition() }

// known is what a proxy would send calls to: by the address of each other proxy, the version of its record.
func (p *sidecarProxy) known() map[string]uint64 {
	state := p.machine.State(p.fleet.clock.now)
	known := make(map[string]uint64, len(state.Roll))
	for _, r := range state.Roll {
		if r.Station != "" && r.Condition == sidecar.AtDock && !r.Leaving {
			known[r.Source] = r.Version
		}
	}
	for _, source := range state.Silent {
		delete(known, source)
	}
	return known
}

// sources is of how many other proxies a record is kept.
func (p *sidecarProxy) sources() int { return len(p.machine.State(p.fleet.clock.now).Roll) }
