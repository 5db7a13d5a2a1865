package simulation

import (
	"strconv"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sidecar"
)

// Keys that hosts hold: a host of the sharded service runs a request only while it holds the request's key.

const (
	shardedService = "stock"
	shardKeys      = 1 << 16
	headerShardKey = "Beechwing-Shard-Key"
	holdMost       = 10.0 // seconds that hosts let themselves be granted keys for
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

// grant takes keys for a time from now on, unless a higher fence was seen on one of them.
func (h *heldKeys) grant(now float64, call sidecar.KeyCall) bool {
	for _, x := range h.holds {
		if x.fence > call.Fence && x.first <= call.LastKey && call.FirstKey <= x.last {
			return false
		}
	}
	h.cut(call)
	h.holds = append(h.holds, hold{call.FirstKey, call.LastKey, call.Fence, now + slowClock*float64(call.HoldMs)/1000})
	return true
}

// release ends new work on keys at once. Their fence stays known.
func (h *heldKeys) release(call sidecar.KeyCall) {
	h.cut(call)
	h.holds = append(h.holds, hold{call.FirstKey, call.LastKey, call.Fence, 0})
}

// cut takes keys out of what is held.
func (h *heldKeys) cut(call sidecar.KeyCall) {
	var left []hold
	for _, x := range h.holds {
		if x.first < call.FirstKey {
			left = append(left, hold{x.first, min(x.last, call.FirstKey-1), x.fence, x.until})
		}
		if x.last > call.LastKey {
			left = append(left, hold{max(x.first, call.LastKey+1), x.last, x.fence, x.until})
		}
	}
	h.holds = left
}

// callKeys is the host taking calls about keys, one after the other.
func (s *Proxy) callKeys(do sidecar.KeyCalls) {
	st, life := s.station, s.lives
	for i, call := range do.Calls {
		s.w.After(0.001*float64(i+1), func() {
			if !s.up || s.lives != life {
				return
			}
			var result sidecar.KeyResult
			takes := 0.0
			switch {
			case st == nil || st.dead || s.station != st:
				result.Refused = true
			case call.Release:
				st.held.release(call)
				result.Status, result.Handover, takes = 200, st.id, 0.05
			case s.w.Now >= do.GrantBefore: // not sent
			case st.held.grant(s.w.Now, call):
				result.Status = 200
			default:
				result.Status = 409
			}
			s.w.After(takes, func() {
				if s.up && s.lives == life {
					s.input(func() { s.sidecar.KeyCallDone(s.w.Now, call.ID, result) })
				}
			})
		})
	}
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
