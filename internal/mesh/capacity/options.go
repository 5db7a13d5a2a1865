// Package capacity measures what a mesh costs as it grows. It runs a hollow fleet: the state machines of the
// control servers and of the sidecar proxies, many of each in one process, on simulated time. Hosts, clients,
// disks and the network are stand-ins. Every message is marshalled, counted as framed on the wire, and
// unmarshalled by its receiver; every disk sync is counted; the processor time of every input is read from
// the clock of the thread that runs them all.
//
// adapter.go alone depends on the packages control and sidecar.
package capacity

import "github.com/cockroachdb/errors"

// The operators' two-year plan.
const (
	PlanProxies          = 1200
	PlanServers          = 21
	PlanServices         = 47
	PlanCallsPerSecond   = 160_000.0
	PlanKeyedShare       = 1.0 / 8 // of the calls claim a key
	PlanChangesPerDay    = 1400.0
	PlanRestartsPerDay   = 66.0
	PlanActWithinSeconds = 6.0 // a change of configuration is in force everywhere

	// What a proxy may spend on control.
	PlanProxyCoreShare      = 0.011
	PlanProxyBytesPerSecond = 27_000.0
	PlanProxyMemoryBytes    = 128 << 20
)

// Options describes one hollow fleet and what is done with it. Times are in seconds of simulated time.
type Options struct {
	Proxies int
	Servers int
	Seed    uint64

	Services          int
	RoutesPerService  int
	ServicesCalled    int // by the host of each service
	Zones             int
	Regions           int
	DelayInRegion     float64 // one way
	DelayAcrossRegion float64
	HeartbeatEvery    float64
	TickEvery         float64
	SyncTakes         float64 // one disk sync
	HostTakes         float64 // one call at a host
	AnswerBytes       int     // of the body of an answer

	Quiet          float64 // how long only heartbeats are sent while the fleet is measured
	Changes        int     // of the configuration, one by one
	Restarts       int     // of proxies, one by one
	Replacements   int     // of machines: one goes without a word, another comes at a new address
	CallSeconds    float64 // how long calls are sent; 0: none
	CallsPerSecond float64 // of each host; 0: the plan's
	Faults         bool    // a rack, a zone and the links of a region fail, one after the other
}

// Defaults are the options of one fleet of so many proxies and control servers.
func Defaults(proxies, servers int, seed uint64) Options {
	return Options{
		Proxies: proxies, Servers: servers, Seed: seed,
		Services: PlanServices, RoutesPerService: 8, ServicesCalled: 6, Zones: 10, Regions: 3,
		DelayInRegion: 0.0005, DelayAcrossRegion: 0.015,
		HeartbeatEvery: 1.5, TickEvery: 0.033, SyncTakes: 0.001, HostTakes: 0.005, AnswerBytes: 512,
		Quiet: 6, Changes: 2, Restarts: 1, Replacements: 1, CallSeconds: 1,
	}
}

func (o *Options) check() error {
	switch {
	case o.Proxies < 1 || o.Servers < 1:
		return errors.Newf("capacity: %d proxies and %d control servers: too few", o.Proxies, o.Servers)
	case o.Services < 1 || o.RoutesPerService < 1 || o.ServicesCalled < 1:
		return errors.New("capacity: at least one service, route and called service are needed")
	case o.Zones < 1 || o.Regions < 1:
		return errors.New("capacity: at least one zone and region are needed")
	case o.TickEvery <= 0 || o.HeartbeatEvery <= 0:
		return errors.New("capacity: the periods of ticks and heartbeats have to be above zero")
	}
	return nil
}

// callsPerHost is how many calls a second each host makes.
func (o *Options) callsPerHost() float64 {
	if o.CallsPerSecond > 0 {
		return o.CallsPerSecond
	}
	return PlanCallsPerSecond / PlanProxies
}
