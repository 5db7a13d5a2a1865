package proxy

import (
	"encoding/json"
	"fmt"
	"math"
	"net"

	"beechwing/balancer"
)

// catalog is a host list from discovery, or a set of changes to one.
type catalog struct {
	version uint64
	full    bool
	hosts   []balancer.Host
	addrs   []string // of hosts, in the same order
	names   []string // of hosts, in the same order
}

var hostStatuses = map[string]balancer.Status{
	"ready": balancer.Ready, "draining": balancer.Draining, "gone": balancer.Removed,
}

// parseCatalog parses a response of discovery. Invalid entries are skipped, so that one of them does not make the whole
// list unusable.
func parseCatalog(text []byte, z *zoneTable) (catalog, error) {
	var f struct {
		Version *uint64           `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return catalog{}, fmt.Errorf("host list: %w", err)
	}
	if f.Version == nil {
		return catalog{}, fmt.Errorf("host list: no version")
	}
	c := catalog{version: *f.Version, full: f.Full}
	for _, raw := range f.Servers {
		if name, h, addr, ok := parseEntry(raw, z); ok {
			c.add(name, h, addr)
		}
	}
	return c, nil
}

func (c *catalog) add(name string, h balancer.Host, addr string) {
	c.names, c.hosts, c.addrs = append(c.names, name), append(c.hosts, h), append(c.addrs, addr)
}

// parseEntry parses one host. It returns false for an entry that is invalid.
func parseEntry(raw []byte, z *zoneTable) (name string, h balancer.Host, addr string, ok bool) {
	var e struct {
		ID, Addr, Zone, State string
		Cell                  int
		Weight                float64
		StartedMS             float64 `json:"started_ms"`
	}
	if json.Unmarshal(raw, &e) != nil || e.ID == "" {
		return "", h, "", false
	}
	status, known := hostStatuses[e.State]
	if _, _, err := net.SplitHostPort(e.Addr); !known || status != balancer.Removed && err != nil {
		return "", h, "", false
	}
	return e.ID, balancer.Host{
		ID: hostID(e.ID), Weight: e.Weight, Zone: z.index(e.Zone), Cell: e.Cell, Status: status,
		Started: math.Max(0, e.StartedMS) / 1000,
	}, e.Addr, true
}

// hostID returns the ID by which the balancer knows a host. It depends only on the name, because addresses differ between
// proxies and rendezvous hashing needs the same ID in all of them.
func hostID(name string) balancer.HostID { return balancer.HostID(hashName(name)) }
