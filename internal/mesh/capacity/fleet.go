package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/cockroachdb/errors"
)

const (
	seedServers    = 3    // control servers that every process is told at its start
	startMost      = 60.0 // seconds for the fleet to start
	settleFor      = 3.0  // seconds after the start until it is measured
	lookEvery      = 0.05 // seconds between looks at whether something has come about
	sampled        = 24   // proxies that are asked what they know of others
	machinesPerNet = 250
	megabyte       = 1 << 20
)

// Fleet is a hollow fleet.
type Fleet struct {
	options Options
	clock   *clock
	meter   *Meter
	network *network
	random  *rand.Rand
	servers []*controlServer
	proxies []*sidecarProxy
	version uint64 // of the configuration sent last
	calls   uint64
	status  map[int]uint64
}

// New makes a fleet and starts it: when it returns, all proxies have the first configuration and know each
// other.
func New(o Options) (*Fleet, error) {
	f, err := build(o)
	if err != nil {
		return nil, err
	}
	return f, f.start()
}

// build makes a fleet of which no process runs yet.
func build(o Options) (*Fleet, error) {
	if err := errors.CombineErrors(o.check(), o.checkMemory()); err != nil {
		return nil, err
	}
	f := &Fleet{
		options: o, clock: &clock{now: 1}, meter: newMeter(), random: rand.New(rand.NewPCG(o.Seed, 1)),
		status: map[int]uint64{},
	}
	f.network = &network{clock: f.clock, meter: f.meter, options: &f.options, byAddress: map[string]process{},
		broken: map[[2]string]uint64{}}
	var seeds []string
	for i := range min(seedServers, o.Servers) {
		seeds = append(seeds, serverAddress(i))
	}
	for i := range o.Servers {
		at := f.placeOf(serverAddress(i), Server, i)
		at.running = true
		c, err := newControlServer(f, at, seeds)
		if err != nil {
			return nil, errors.Wrap(err, "capacity: control server")
		}
		f.servers = append(f.servers, c)
		f.network.byAddress[at.address] = c
	}
	for i := range o.Proxies {
		f.addProxy(i, i, seeds)
	}
	return f, nil
}

func serverAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7620", i+1) }
func proxyAddress(i int) string {
	net, machine := i/machinesPerNet, i%machinesPerNet
	return fmt.Sprintf("10.%d.%d.%d:7620", 1+net/machinesPerNet, net%machinesPerNet, machine+1)
}
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (f *Fleet) placeOf(address string, role Role, i int) place {
	zone := i % f.options.Zones
	return place{address: address, role: role, zone: zone, region: 1 + zone*f.options.Regions/f.options.Zones}
}

// addProxy adds a proxy at an address of its own, for a host of the i-th service.
func (f *Fleet) addProxy(number, i int, seeds []string) *sidecarProxy {
	at := f.placeOf(proxyAddress(number), Proxy, number)
	p := &sidecarProxy{at: at, fleet: f, service: i % f.options.Services, seeds: seeds}
	f.proxies = append(f.proxies, p)
	f.network.byAddress[p.at.address] = p
	return p
}

// start brings up the control servers, then a configuration, then all proxies at once.
func (f *Fleet) start() error {
	runtime.LockOSThread() // processor time is read
	defer runtime.UnlockOSThread()
	for _, c := range f.servers {
		f.repeat(f.options.TickEvery, func() bool { return c.machine != nil }, c.tick)
	}
	ready := func() bool {
		for _, c := range f.servers {
			if !c.ready() {
				return false
			}
		}
		return true
	}
	if _, ok := f.clock.runUntil(lookEvery, startMost, ready); !ok {
		return errors.New("capacity: the control servers do not start")
	}
	f.clock.run(1)
	f.version = 1
	taken := false
	f.servers[0].configure(f.version, configuration(&f.options, f.version), func(ok bool) { taken = ok })
	if _, ok := f.clock.runUntil(lookEvery, startMost, func() bool { return taken }); !ok {
		return errors.New("capacity: the first configuration is not taken")
	}
	for _, p := range f.proxies {
		f.startProxy(p)
		p.heartbeat()
	}
	if _, ok := f.clock.runUntil(lookEvery, startMost, f.allAct); !ok {
		return errors.New("capacity: the proxies do not start")
	}
	f.clock.run(settleFor)
	if !f.allKnow() {
		return errors.New("capacity: the proxies do not know each other")
	}
	return nil
}

// startProxy starts a proxy and its ticks and its host's heartbeats, each at a phase of its own.
func (f *Fleet) startProxy(p *sidecarProxy) {
	p.start()
	life := p.life
	alive := func() bool { return p.at.running && p.life == life && p.machine != nil }
	f.repeat(f.options.TickEvery, alive, p.tick)
	f.repeat(f.options.HeartbeatEvery, alive, p.heartbeat)
}

// repeat does something at a period, from a phase that is drawn, while something is so.
func (f *Fleet) repeat(period float64, while func() bool, do func()) {
	var again func()
	again = func() {
		if while() {
			do()
			f.clock.after(period, again)
		}
	}
	f.clock.after(period*f.random.Float64(), again)
}

// running are the proxies that run and can be reached.
func (f *Fleet) running() (all []*sidecarProxy) {
	for _, p := range f.proxies {
		if p.at.running && !p.at.dark {
			all = append(all, p)
		}
	}
	return all
}

// allAct says whether the configuration sent last is in force at all proxies that run.
func (f *Fleet) allAct() bool { return f.act(f.running()) }

func (f *Fleet) act(proxies []*sidecarProxy) bool {
	for _, p := range proxies {
		if p.version() < f.version {
			return false
		}
	}
	return true
}

// allKnow says whether a sample of the proxies know exactly those that run.
func (f *Fleet) allKnow() bool { return f.know(f.running(), f.running()) }

// know says whether a sample of some proxies know all of others, and nobody else.
func (f *Fleet) know(some, others []*sidecarProxy) bool {
	step := max(1, len(some)/sampled)
	for i := 0; i < len(some); i += step {
		known := some[i].known()
		for _, other := range others {
			if _, is := known[other.at.address]; !is {
				return false
			}
		}
		if len(known) != len(others) {
			return false
		}
	}
	return true
}

func (f *Fleet) answered(status int) { f.status[status]++ }

// Memory is the live heap of one process of each role, in bytes.
type Memory struct{ Proxy, Server float64 }

// memory measures the live heap by taking the fleet apart, one role after the other. Nothing can be done with
// it afterwards.
func (f *Fleet) memory() Memory {
	f.clock.events = nil
	whole := liveHeap()
	for _, c := range f.servers {
		c.machine, c.puts, c.after = nil, nil, nil
	}
	withoutServers := liveHeap()
	for _, p := range f.proxies {
		p.machine = nil
	}
	empty := liveHeap()
	return Memory{
		Server: max(0, whole-withoutServers) / float64(len(f.servers)),
		Proxy:  max(0, withoutServers-empty) / float64(len(f.proxies)),
	}
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // what the first one found unreachable is swept by the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
