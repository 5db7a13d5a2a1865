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
func (p *Sidecar) adopt(t *routeconfig.Table) {
	p.table = t
	by, far := map[string][]class{}, map[string]bool{}
	for i := range t.Config.Itineraries {
		r := &t.Config.Itineraries[i]
		c := classOf(r)
		names := []string{r.Carrier}
		for _, a := range r.Allotment {
			names = append(names, a.Carrier)
		}
		for _, name := range names {
			far[name] = far[name] || r.RouteKind == routeconfig.Download
			if name != "" && !slices.Contains(by[name], c) {
				by[name] = append(by[name], c)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		s := p.services[name]
		if s == nil {
			s = &service{p: p, name: name, classes: by[name], hosts: map[balancer.HostID]*place{}}
			p.services[name] = s
			s.took, s.far = make([]float64, len(s.classes)), far[name]
			s.bal = balancer.New(p.now, s.config(), s)
			continue
		}
		if slices.Equal(s.classes, by[name]) && s.far == far[name] {
			continue
		}
		kept := make([]int, len(by[name]))
		for i, c := range by[name] {
			kept[i] = slices.Index(s.classes, c)
		}
		took := make([]float64, len(kept))
		for i, from := range kept {
			if from >= 0 {
				took[i] = s.took[from]
			}
		}
		s.classes, s.took, s.far = by[name], took, far[name]
		s.bal.Configure(p.now, s.config(), kept)
	}
	p.discovery.list()
}

// timed takes how long a host had a request. Hosts of a service have different speeds, and the proxy beside each lets only as
// many requests in as it works on at once, so this is its speed and not the crowd before it.
func (s *service) timed(id balancer.HostID, c class, took float64) {
	at, n := s.hosts[id], slices.Index(s.classes, c)
	if at == nil || n < 0 || took <= 0 {
		return
	}
	if s.took[n] == 0 {
		s.took[n] = took
	}
	s.took[n] += meanStep * (took - s.took[n])
	at.slow += slowStep * (min(slowMost, took/s.took[n]) - at.slow)
}

// weigh tells the module of speeds that have changed.
func (s *service) weigh() bool {
	for _, at := range s.hosts {
		if r := at.slow / at.told; r > 1+slowTold || r < 1/(1+slowTold) {
			return true
		}
	}
	return false
}

func (s *service) class(c class) int { return max(0, slices.Index(s.classes, c)) }

func (s *service) config() balancer.Config {
	p := s.p
	cfg := balancer.Config{Seed: p.random(), Zone: p.discovery.zone(p.o.Zone), Balancers: max(1, len(p.discovery.records)),
		Prices: balancer.Prices{CrossZone: crossing}, Weighted: true, Gated: true, Cancelling: true, Agreed: p.o.AgreedEjection, MaxCoolDown: comeBackMost, ConnectTimeout: 1}
	if s.far {
		cfg.Prices.CrossZone = crossingLarge
	}
	for _, c := range s.classes {
		cfg.Classes = append(cfg.Classes, balancer.Class{Aim: c.aim, Deadline: c.deadline, Worth: 1 / float64(1+max(0, c.precedence)),
			LateWorth: lateWorth, Effect: c.effect})
	}
	return cfg
}

// hostID is the module's number for a life of a host.
func hostID(station string) balancer.HostID {
	h := fnv.New64a()
	fmt.Fprint(h, station)
	return balancer.HostID(h.Sum64())
}
