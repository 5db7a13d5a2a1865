package sidecar

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"beechwing/balancer"

	"beechwing/internal/mesh/routeconfig"
)

// This file keeps the balancer of each service in line with the configuration and with discovery.

// applyConfig puts a configuration in force and creates or updates the services that it names.
func (p *Sidecar) applyConfig(table *routeconfig.Table) {
	p.table = table
	classes, largeResponses := map[string][]class{}, map[string]bool{}
	for i := range table.Config.Routes {
		r := &table.Config.Routes[i]
		c := classOf(r)
		names := []string{r.Service}
		for _, a := range r.Shares {
			names = append(names, a.Service)
		}
		for _, name := range names {
			largeResponses[name] = largeResponses[name] || r.Kind == routeconfig.Download
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
			s.classSeconds, s.largeResponses = make([]float64, len(s.classes)), largeResponses[name]
			s.balancer = balancer.New(p.now, s.balancerConfig(), s)
			continue
		}
		if slices.Equal(s.classes, classes[name]) && s.largeResponses == largeResponses[name] {
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
		s.classes, s.classSeconds, s.largeResponses = classes[name], took, largeResponses[name]
		s.balancer.Configure(p.now, s.balancerConfig(), kept)
	}
	p.discovery.updateBalancers()
}

// recordLatency records how long a host took for a request. Hosts of one service differ in speed. The sidecar beside
// each host admits only as many requests as the host processes at once, so the time shows the host's speed and not its
// queue.
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

// weightsChanged reports whether the speed of a host has changed so much that the balancer needs new weights.
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
		Prices: balancer.Prices{CrossZone: crossZonePrice}, Weighted: true, ServerSideLimits: true, Cancelling: true,
		AgreedEjection: p.opts.AgreedEjection, MaxCoolDown: maxRetryAfter, ConnectTimeout: 1}
	if s.largeResponses {
		cfg.Prices.CrossZone = crossZonePriceLarge
	}
	for _, c := range s.classes {
		cfg.Classes = append(cfg.Classes, balancer.Class{Aim: c.target, Deadline: c.timeout, Worth: 1 / float64(1+max(0, c.precedence)),
			LateWorth: lateWorth, Effect: c.effect})
	}
	return cfg
}

// hostID returns the balancer's ID of a host instance.
func hostID(instance string) balancer.HostID {
	h := fnv.New64a()
	fmt.Fprint(h, instance)
	return balancer.HostID(h.Sum64())
}
