package proxy

import (
	"beechwing/balancer"
	"beechwing/internal/failover"
	"beechwing/internal/site"
)

// sight is what this proxy sees of the zones, for the decision which of them count. The owner has it; nil sees nothing.
type zoneObserver struct {
	name, zone string
	zones      *zoneTable
	site       site.File
	window     *failover.Window
	hosts      map[balancer.HostID]balancer.Host // that take requests
}

func newZoneObserver(cfg *Config, now float64) *zoneObserver {
	return &zoneObserver{name: cfg.Name, zone: cfg.zones.name(cfg.Balancer.Zone), zones: cfg.zones, site: cfg.Site,
		window: failover.NewWindow(now), hosts: map[balancer.HostID]balancer.Host{}}
}

func (s *zoneObserver) requestReceived(now float64) {
	if s != nil {
		s.window.RequestReceived(now)
	}
}

// listed takes the list as the module gets it.
func (s *zoneObserver) updateHosts(kind balancer.ListKind, list catalog) {
	if s == nil {
		return
	}
	if kind != balancer.ListChanges {
		clear(s.hosts)
	}
	for _, h := range list.hosts {
		if h.Status == balancer.Ready {
			s.hosts[h.ID] = h
		} else {
			delete(s.hosts, h.ID)
		}
	}
}

func (s *zoneObserver) zoneOf(host balancer.HostID) string {
	if s == nil {
		return ""
	}
	return s.zones.name(s.hosts[host].Zone)
}

// lateShare of its aim is when an answer counts as late here: what is over by then can still be sent again.
const lateAimShare = 0.45

// ended takes the end of an attempt and how long that took.
func (s *zoneObserver) attemptEnded(now, took float64, a *attempt, r balancer.Result, classes []balancer.Class) {
	if s == nil || a.zone == "" || a.request.Class >= len(classes) {
		return
	}
	load := took / max(1e-3, lateAimShare*classes[a.request.Class].Aim)
	switch r {
	case balancer.OK:
		s.window.Answered(now, a.zone, load)
	case balancer.Rejected:
		s.window.Rejected(now, a.zone)
	case balancer.ConnectFailed, balancer.Reset, balancer.Malformed, balancer.Errored:
		s.window.Failed(now, a.zone, false)
	case balancer.TimedOut, balancer.Cancelled:
		if load >= 0.99 { // else its client left
			s.window.Failed(now, a.zone, true)
		}
	}
}

// places are the zones as targets.
func (s *zoneObserver) zoneWeights(now float64, cfg *balancer.Config) []failover.Zone {
	weights := map[string]float64{s.zone: 0}
	for _, h := range s.hosts {
		weight := 1.0
		if cfg.Weighted && h.Weight > 0 {
			weight = h.Weight
		}
		weights[s.zones.name(h.Zone)] += weight * cfg.Warmth(now, h.Started)
	}
	var all []failover.Zone
	for name, w := range weights {
		all = append(all, failover.Zone{Name: name, Region: s.site.Region(name), WarmWeight: w})
	}
	return all
}
