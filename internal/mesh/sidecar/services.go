package sidecar

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"beechwing/balancer"

	"beechwing/internal/mesh/routeconfig"
)

// A service is the balancer of a service with its hosts, as configuration and discovery have them.

// adopt makes services of what a configuration says.
func (p *Sidecar) applyConfig(table *routeconfig.Table) {
	p.table = table
	classes, largeAnswers := map[string][]class{}, map[string]bool{}
	for i := range table.Config.Itineraries {
		r := &table.Config.Itineraries[i]
		c := classOf(r)
		names := []string{r.Carrier}
		for _, a := range r.Allotment {
			names = append(names, a.Carrier)
		}
		for _, name := range names {
			largeAnswers[name] = largeAnswers[name] || r.RouteKind == routeconfig.Download
			if name != "" && !slices.Contains(classes[name], c) {
				classes[name] = append(classes[name], c)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		s := p.services[name]
		if s == nil {
			s = &service{sidecar: p, name: name, classes: classes[name], hosts: map[balancer.HostID]*endpoint{}}
			p.services[name] = s
			s.classSeconds, s.largeAnswers = make([]float64, len(s.classes)), largeAnswers[name]
			s.balancer = balancer.New(p.now, s.balancerConfig(), s)
			continue
		}
		if slices.Equal(s.classes, classes[name]) && s.largeAnswers == largeAnswers[name] {
			continue
		}
		kept := make([]int, len(classes[name]))
		for i, c := range classes[name] {
			kept[i] = slices.Index(s.classes, c)
		}
		took := make([]float64, len(kept))
		for i, from := range kept {
			if from >= 0 {
				took[i] = s.classSeconds[from]
			}
		}
		s.classes, s.classSeconds, s.largeAnswers = classes[name], took, largeAnswers[name]
		s.balancer.Configure(p.now, s.balancerConfig(), kept)
	}
	p.discovery.updateBalancers()
}

// timed takes how long a host had a request. Hosts of a service have different speeds, and the proxy beside each lets only as
// many requests in as it works on at once, so this is its speed and not the crowd before it.
func (s *service) recordLatency(id balancer.HostID, c class, took float64) {
	ep, n := s.hosts[id], slices.Index(s.classes, c)
	if ep == nil || n < 0 || took <= 0 {
		return
	}
	if s.classSeconds[n] == 0 {
		s.classSeconds[n] = took
	}
	s.classSeconds[n] += classMeanStep * (took - s.classSeconds[n])
	ep.slowness += slownessStep * (min(maxSlownessSample, took/s.classSeconds[n]) - ep.slowness)
}

// weigh tells the module of speeds that have changed.
func (s *service) weightsChanged() bool {
	for _, ep := range s.hosts {
		if r := ep.slowness / ep.reportedSlowness; r > 1+slownessChange || r < 1/(1+slownessChange) {
			return true
		}
	}
	return false
}

func (s *service) classIndex(c class) int { return max(0, slices.Index(s.classes, c)) }

func (s *service) balancerConfig() balancer.Config {
	p := s.sidecar
	cfg := balancer.Config{Seed: p.random(), Zone: p.discovery.zoneIndex(p.opts.Zone), Balancers: max(1, len(p.discovery.records)),
		Prices: balancer.Prices{CrossZone: crossZonePrice}, Weighted: true, Gated: true, Cancelling: true, Agreed: p.opts.AgreedEjection, MaxCoolDown: maxRetryAfter, ConnectTimeout: 1}
	if s.largeAnswers {
		cfg.Prices.CrossZone = crossZonePriceLarge
	}
	for _, c := range s.classes {
		cfg.Classes = append(cfg.Classes, balancer.Class{Aim: c.target, Deadline: c.timeout, Worth: 1 / float64(1+max(0, c.precedence)),
			LateWorth: lateWorth, Effect: c.effect})
	}
	return cfg
}

// hostID is the module's number for a life of a host.
func hostID(instance string) balancer.HostID {
	h := fnv.New64a()
	fmt.Fprint(h, instance)
	return balancer.HostID(h.Sum64())
}
