package proxy

import (
	"sync"

	"beechwing/balancer"
	"beechwing/internal/settings"
)

// maxZones bounds the table. All further zones that discovery names share one index.
const maxZones = 256

// zoneTable assigns an index to each zone name. An index stays valid for the life of the process, because reloaded settings
// may list other zones, or the same in another order, while pending requests still use the earlier indexes.
type zoneTable struct {
	mu      sync.Mutex
	indexes map[string]int
	names   []string // by index
}

func newZoneTable(names ...string) *zoneTable {
	z := &zoneTable{indexes: map[string]int{}}
	for _, name := range names {
		z.index(name)
	}
	return z
}

// index returns the index of a zone, and assigns one to a new zone.
func (z *zoneTable) index(name string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	n, known := z.indexes[name]
	if !known {
		if n = len(z.indexes); n >= maxZones {
			return maxZones
		}
		z.indexes[name] = n
		z.names = append(z.names, name)
	}
	return n
}

// name returns the name of the zone with an index, or "" for an index outside the table.
func (z *zoneTable) name(n int) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	if n < 0 || n >= len(z.names) {
		return ""
	}
	return z.names[n]
}

// setOwnZone sets the proxy's own zone in c to its index in the table.
func (z *zoneTable) setOwnZone(c *balancer.Config, s *settings.Settings) {
	if s.Zone < len(s.Dcs) {
		c.Zone = z.index(s.Dcs[s.Zone])
	}
}
