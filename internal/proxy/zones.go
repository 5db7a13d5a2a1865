package proxy

import (
	"sync"

	"beechwing/balancer"
	"beechwing/internal/settings"
)

// mostZones bounds the table: whatever discovery names beyond shares one number.
const mostZones = 256

// zones numbers zones by their names. A number stays for the life of the process: other settings may name other zones, in
// another order, while requests are open that have to stay in theirs.
type zones struct {
	mu      sync.Mutex
	numbers map[string]int
	names   []string // by number
}

func newZones(names ...string) *zones {
	z := &zones{numbers: map[string]int{}}
	for _, name := range names {
		z.number(name)
	}
	return z
}

func (z *zones) number(name string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	n, known := z.numbers[name]
	if !known {
		if n = len(z.numbers); n >= mostZones {
			return mostZones
		}
		z.numbers[name] = n
		z.names = append(z.names, name)
	}
	return n
}

// name is the name of a number; "": those beyond the bound.
func (z *zones) name(n int) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	if n < 0 || n >= len(z.names) {
		return ""
	}
	return z.names[n]
}

// place turns what the settings say of the proxy's zone into the table's number.
func (z *zones) place(c *balancer.Config, s *settings.Settings) {
	if s.Zone < len(s.Dcs) {
		c.Zone = z.number(s.Dcs[s.Zone])
	}
}
