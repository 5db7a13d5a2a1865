package proxy

import (
	"sync"

	"beechwing/balancer"
	"beechwing/internal/settings"
)

// mostZones bounds the table: whatever discovery names beyond shares one number.
const maxZones = 256

// zones numbers zones by their names. A number stays for the life of the process: other settings may name other zones, in
// another order, while requests are open that have to stay in theirs.
type zoneTable struct {
	mu      sync.Mutex
	indexes map[string]int
	names   []string // by number
}

func newZoneTable(names ...string) *zoneTable {
	z := &zoneTable{indexes: map[string]int{}}
	for _, name := range names {
		z.index(name)
	}
	return z
}

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

// name is the name of a number; "": those beyond the bound.
func (z *zoneTable) name(n int) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	if n < 0 || n >= len(z.names) {
		return ""
	}
	return z.names[n]
}

// place turns what the settings say of the proxy's zone into the table's number.
func (z *zoneTable) setOwnZone(c *balancer.Config, s *settings.Settings) {
	if s.Zone < len(s.Dcs) {
		c.Zone = z.index(s.Dcs[s.Zone])
	}
}
