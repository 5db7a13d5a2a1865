package simulation

import (
	"strconv"

	"beechwing/internal/mesh/meshpb"
)

// Keys that hosts hold: a host of the sharded service runs a request only while it holds the request's key.

const (
	shardedService = "stock"
	shardKeys      = 1 << 16
	headerShardKey = "Beechwing-Shard-Key"
	slowClock      = 1.02 // a hold lasts so many times as long at a host whose clock runs slow
)

// heldKeys are a host's holds.
type heldKeys struct{ holds []hold }

type hold struct {
	first, last int
	fence       uint64
	until       float64
}

func (h hold) covers(key int) bool { return h.first <= key && key <= h.last }

// has says whether a key is held.
func (h *heldKeys) has(now float64, key int) bool {
	for _, x := range h.holds {
		if x.covers(key) && now < x.until {
			return true
		}
	}
	return false
}

// shardKey is the key of a request to the sharded service.
func shardKey(c *meshpb.Forward) (key int, sharded bool) {
	text := field(c.Fields, headerShardKey)
	if text == "" {
		return 0, false
	}
	key, err := strconv.Atoi(text)
	return key, err == nil
}

// owner is a host that begins a request by a key: no other that is up holds the key at that time.
func (c *Checker) owner(st *station, key int) {
	for _, s := range c.w.Proxies {
		if other := s.station; other != nil && other != st && !other.dead && other.held.has(c.w.Now, key) {
			c.fail("OWNER", "%s begins a request on key %d, which %s holds", st.id, key, other.id)
		}
	}
}
