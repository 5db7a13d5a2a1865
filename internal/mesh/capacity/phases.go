package capacity

import (
	"fmt"
	"runtime"
	"time"
)

const (
	changeMost    = 20.0 // seconds for a change to come into force everywhere
	restartNotice = 2.2  // seconds between a proxy's word that it leaves and its end
	restartTakes  = 0.5  // seconds for its next life to start
	knowMost      = 30.0 // seconds for all to know of a restart, a replacement or a fault
	restFor       = 1.5  // seconds after an event until what it caused has been sent
	rackProxies   = 24   // of a rack or behind one switch
	cutFor        = 20.0 // seconds that a region is cut off
	darkFor       = 10.0 // seconds at least that a rack or a zone is dark
	callRamp      = 0.3  // seconds of calls that are not measured
	goneFor       = 60.0 // seconds for which it is watched whether a machine that is gone stays out
	goneLook      = 0.5  // seconds between looks at that
)

// Phase is what was done with a fleet, and what that cost.
type Phase struct {
	Name     string
	Events   int     // of that kind
	Settled  float64 // seconds until all acted rightly, the longest of the events
	Complete bool    // all came to act rightly
	Cost     *Meter
	Busiest  Traffic // sent and received by the control server with most bytes
	Detail   string
}

// measure plays a phase, on one thread: its processor time is read.
func (f *Fleet) measure(name string, events int, play func(p *Phase)) Phase {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before, began := f.meter.clone(), f.clock.now
	carried := make([]Traffic, len(f.servers))
	for i, c := range f.servers {
		carried[i] = carriedBy(c)
	}
	p := Phase{Name: name, Events: events, Complete: true}
	play(&p)
	p.Cost = f.meter.since(before)
	p.Cost.Seconds = f.clock.now - began
	for i, c := range f.servers {
		now := carriedBy(c)
		bytes := now.Bytes - carried[i].Bytes
		if bytes > p.Busiest.Bytes {
			p.Busiest = Traffic{now.Messages - carried[i].Messages, bytes}
		}
	}
	return p
}

func carriedBy(c *controlServer) Traffic {
	return Traffic{c.at.sent.Messages + c.at.received.Messages, c.at.sent.Bytes + c.at.received.Bytes}
}

// note takes how long an event took to settle.
func (p *Phase) note(seconds float64, ok bool) {
	p.Settled = max(p.Settled, seconds)
	p.Complete = p.Complete && ok
}

// quiet has only heartbeats sent.
func (f *Fleet) quiet() Phase {
	return f.measure("quiet", 1, func(*Phase) { f.clock.run(f.options.Quiet) })
}

// change sends new versions of the configuration, one by one.
func (f *Fleet) change() Phase {
	return f.measure("change", f.options.Changes, func(p *Phase) {
		for range f.options.Changes {
			f.sendChange(f.servers[f.random.IntN(len(f.servers))])
			p.note(f.clock.runUntil(lookEvery, changeMost, f.allAct))
			f.clock.run(restFor)
		}
	})
}

func (f *Fleet) sendChange(to *controlServer) {
	f.version++
	to.configure(f.version, configuration(&f.options, f.version), func(bool) {})
}

// restart ends proxies in order and starts them again, one by one.
func (f *Fleet) restart() Phase {
	return f.measure("restart", f.options.Restarts, func(p *Phase) {
		for range f.options.Restarts {
			proxy := f.drawn()
			f.end(proxy)
			f.clock.run(restartTakes)
			f.startProxy(proxy)
			p.note(f.clock.runUntil(lookEvery, knowMost, f.allKnow))
			f.clock.run(restFor)
		}
	})
}

// drawn is one of the running proxies.
func (f *Fleet) drawn() *sidecarProxy {
	all := f.running()
	return all[f.random.IntN(len(all))]
}

// end ends a proxy in order.
func (f *Fleet) end(p *sidecarProxy) {
	p.leave(restartNotice)
	f.clock.run(restartNotice)
	p.at.running = false
}

// replace has machines go without a word, and others come at new addresses.
func (f *Fleet) replace() Phase {
	return f.measure("replacement", f.options.Replacements, func(p *Phase) {
		for range f.options.Replacements {
			old := f.drawn()
			old.at.running, old.at.dark = false, true
			proxy := f.addProxy(len(f.proxies), old.service, old.seeds)
			f.startProxy(proxy)
			p.note(f.clock.runUntil(lookEvery, knowMost, f.allKnow))
			f.clock.run(restFor)
		}
	})
}

// gone watches for longer than the control servers remember whether machines that are gone stay out of the
// proxies' lists.
func (f *Fleet) gone() Phase {
	return f.measure("gone for good", 1, func(p *Phase) {
		looks, wrong := 0, 0
		for until := f.clock.now + goneFor; f.clock.now < until; {
			f.clock.run(goneLook)
			looks++
			if !f.allKnow() {
				wrong++
			}
		}
		p.note(0, wrong == 0)
		p.Detail = fmt.Sprintf("a list was wrong at %d of %d looks; %d records at a proxy for %d that run",
			wrong, looks, f.proxies[0].sources(), len(f.running()))
	})
}

// serve has the hosts call each other.
func (f *Fleet) serve() Phase {
	until := f.clock.now + callRamp + f.options.CallSeconds + restFor/2
	every := 1 / f.options.callsPerHost()
	for _, p := range f.proxies {
		f.repeat(every, func() bool { return f.clock.now < until && p.at.running }, func() { f.call(p) })
	}
	f.clock.run(callRamp)
	calls := f.calls
	phase := f.measure("calls", 0, func(*Phase) { f.clock.run(f.options.CallSeconds) })
	phase.Events = int(f.calls - calls)
	f.clock.run(restFor)
	phase.Detail = fmt.Sprint("answers by status ", f.status)
	return phase
}

// call sends one call from a host to one of the services that it calls.
func (f *Fleet) call(p *sidecarProxy) {
	f.calls++
	service := (p.service + 1 + f.random.IntN(f.options.ServicesCalled)) % f.servicesRun()
	id := fmt.Sprintf("call-%d", f.calls)
	if f.random.Float64() < PlanKeyedShare {
		p.call(service, keyedPath, fmt.Sprintf("key-%d-%d", f.calls, f.random.Uint32()), id)
		return
	}
	p.call(service, plainPath, "", id)
}

// servicesRun is how many services have hosts.
func (f *Fleet) servicesRun() int { return min(f.options.Services, f.options.Proxies) }

// rack has some proxies of one zone go silent and come back.
func (f *Fleet) rack() Phase {
	return f.dark("rack", func(at *place, number int) bool {
		return at.role == Proxy && at.zone == 0 && number/f.options.Zones < rackProxies
	})
}

// zone has all machines of one zone go silent and come back.
func (f *Fleet) zone() Phase {
	return f.dark("zone", func(at *place, _ int) bool { return at.zone == 1%f.options.Zones })
}

// dark has machines lose their links without a word. It settles when all others know that they are gone;
// Detail says how long the way back took.
func (f *Fleet) dark(name string, goes func(at *place, number int) bool) Phase {
	return f.measure(name, 1, func(p *Phase) {
		gone := f.places(goes)
		for _, at := range gone {
			at.dark = true
		}
		p.note(f.clock.runUntil(lookEvery, knowMost, f.allKnow))
		f.clock.run(darkFor - min(darkFor, p.Settled))
		for _, at := range gone {
			at.dark = false
		}
		back, ok := f.clock.runUntil(lookEvery, knowMost, f.allKnow)
		p.Detail = fmt.Sprintf("%d machines; back after %.1f s, complete: %v", len(gone), back, ok)
		f.clock.run(restFor)
	})
}

// places are those of the processes of which something is so.
func (f *Fleet) places(is func(at *place, number int) bool) (all []*place) {
	for i, c := range f.servers {
		if is(&c.at, i) {
			all = append(all, &c.at)
		}
	}
	for i, p := range f.proxies {
		if is(&p.at, i) && p.at.running {
			all = append(all, &p.at)
		}
	}
	return all
}

// cut has one region lose its links to the others for a while, with a change of configuration sent to the
// others meanwhile. It settles when all proxies outside act by it; Detail says when those inside did after
// the end of the cut.
func (f *Fleet) cut() Phase {
	return f.measure("region cut", 1, func(p *Phase) {
		f.network.cutRegion = f.options.Regions
		f.clock.run(1)
		f.sendChange(f.servers[0])
		outside := func() bool { return f.act(f.outside()) }
		p.note(f.clock.runUntil(lookEvery, changeMost, outside))
		f.clock.run(cutFor - min(cutFor, p.Settled))
		f.network.cutRegion = 0
		acts, ok := f.clock.runUntil(lookEvery, knowMost, f.allAct)
		knows, known := f.clock.runUntil(lookEvery, knowMost, f.allKnow)
		p.Detail = fmt.Sprintf("after it %.1f s until all act by the change (%v), then %.1f s until all know all (%v)",
			acts, ok, knows, known)
		f.clock.run(restFor)
	})
}

// outside are the proxies that run and are in no region that is cut off.
func (f *Fleet) outside() (all []*sidecarProxy) {
	for _, p := range f.running() {
		if p.at.region != f.network.cutRegion {
			all = append(all, p)
		}
	}
	return all
}

// Result is what one fleet cost.
type Result struct {
	Options Options
	Phases  []Phase
	Memory  Memory
	Started *Meter        // what the start cost
	Took    time.Duration // of the machine's time
}

// Run makes a fleet and measures it, phase by phase.
func Run(o Options) (*Result, error) {
	began := time.Now()
	f, err := New(o)
	if err != nil {
		return nil, err
	}
	r := &Result{Options: o, Started: f.meter.clone()}
	for _, phase := range f.plan() {
		r.Phases = append(r.Phases, phase())
	}
	r.Memory = f.memory()
	r.Took = time.Since(began)
	return r, nil
}

// plan is the phases that the options ask for.
func (f *Fleet) plan() (phases []func() Phase) {
	o := &f.options
	add := func(wanted bool, phase func() Phase) {
		if wanted {
			phases = append(phases, phase)
		}
	}
	add(o.Quiet > 0, f.quiet)
	add(o.Changes > 0, f.change)
	add(o.CallSeconds > 0, f.serve)
	add(o.Restarts > 0, f.restart)
	add(o.Faults, f.rack)
	add(o.Faults, f.zone)
	add(o.Faults && o.Regions > 1, f.cut)
	add(o.Replacements > 0, f.replace)
	add(o.Faults && o.Replacements > 0, f.gone)
	return phases
}

// Phase finds a phase by its name; nil: it was not played.
func (r *Result) Phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}
