package proxy

import (
	"beechwing/balancer"
	"beechwing/internal/failover"
	"beechwing/internal/site"
)

// zoneObserver collects what this proxy observes of the zones, as input for the zone plan. Only the owner uses it. A nil
// observer, as without failover, records nothing.
type zoneObserver struct {
	name, zone string
	zones      *zoneTable
	site       site.File
	window     *failover.Window
	hosts      map[balancer.HostID]balancer.Host // ready hosts in the list
}

func newZoneObserver(cfg *Config, now float64) *zoneObserver {
	return &zoneObserver{name: cfg.Name, zone: cfg.zones.name(cfg.Balancer.Zone), zones: cfg.zones, site: cfg.Site,
		window: failover.NewWindow(now), hosts: map[balancer.HostID]balancer.Host{}}
}

// requestReceived counts a request from a client.
func (s *zoneObserver) requestReceived(now float64) {
	if s != nil {
		s.window.RequestReceived(now)
	}
}

// updateHosts applies a list or changes, merged with the cordoned hosts as the balancer gets them.
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

// zoneOf returns the name of a host's zone, or "" if there is no observer.
func (s *zoneObserver) zoneOf(host balancer.HostID) string {
	if s == nil {
		return ""
	}
	return s.zones.name(s.hosts[host].Zone)
}

// lateAimShare is the fraction of a class's aim after which a response counts as late. An attempt that ends before that
// leaves enough time for a retry.
const lateAimShare = 0.45

// attemptEnded records the result of an attempt. took is its duration in seconds.
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
		if load >= 0.99 { // otherwise it ended early, as when the client left, which says nothing about the host
			s.window.Failed(now, a.zone, true)
		}
	}
}

// zoneWeights returns the zones as possible targets, each with the weight of its hosts. Hosts that have just started count
// for less, by their warmth.
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
