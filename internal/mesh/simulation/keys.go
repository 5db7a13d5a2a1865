package simulation

import (
	"strconv"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sidecar"
)

// A host of the sharded service runs a request only while it holds the request's shard key.
const (
	shardedService  = "stock"
	shardKeyCount   = 1 << 16
	headerShardKey  = "Beechwing-Shard-Key"
	maxHoldSeconds  = 10.0 // longest time for which hosts accept a grant of keys
	slowClockFactor = 1.02 // holds last longer by this factor, as at a host with a slow clock
)

// keyHolds is the set of key ranges that were granted to a host.
type keyHolds struct{ list []keyHold }

// keyHold is a range of keys that was granted to a host.
type keyHold struct {
	first, last int
	fence       uint64
	until       float64 // time at which the hold ends; 0: the keys were released
}

// covers reports whether a key is in the range.
func (h keyHold) covers(key int) bool { return h.first <= key && key <= h.last }

// holdsKey reports whether the host holds a key.
func (h *keyHolds) holdsKey(now float64, key int) bool {
	for _, x := range h.list {
		if x.covers(key) && now < x.until {
			return true
		}
	}
	return false
}

// grant accepts a grant of keys from now on, and returns false if the host knows a higher fence for one of them.
func (h *keyHolds) grant(now float64, call sidecar.KeyCall) bool {
	for _, x := range h.list {
		if x.fence > call.Fence && x.first <= call.LastKey && call.FirstKey <= x.last {
			return false
		}
	}
	h.remove(call)
	h.list = append(h.list, keyHold{call.FirstKey, call.LastKey, call.Fence, now + slowClockFactor*float64(call.HoldMs)/1000})
	return true
}

// release ends the hold of keys immediately. The host remembers their fence.
func (h *keyHolds) release(call sidecar.KeyCall) {
	h.remove(call)
	h.list = append(h.list, keyHold{call.FirstKey, call.LastKey, call.Fence, 0})
}

// remove removes a range of keys from all holds.
func (h *keyHolds) remove(call sidecar.KeyCall) {
	var remaining []keyHold
	for _, x := range h.list {
		if x.first < call.FirstKey {
			remaining = append(remaining, keyHold{x.first, min(x.last, call.FirstKey-1), x.fence, x.until})
		}
		if x.last > call.LastKey {
			remaining = append(remaining, keyHold{max(x.first, call.LastKey+1), x.last, x.fence, x.until})
		}
	}
	h.list = remaining
}

// callKeys makes the host handle grants and releases of keys, one after the other.
func (s *Proxy) callKeys(do sidecar.KeyCalls) {
	instance, incarnation := s.instance, s.starts
	for i, call := range do.Calls {
		s.w.After(0.001*float64(i+1), func() {
			if !s.up || s.starts != incarnation {
				return
			}
			var result sidecar.KeyResult
			seconds := 0.0
			switch {
			case instance == nil || instance.ended || s.instance != instance:
				result.Refused = true
			case call.Release:
				instance.holds.release(call)
				result.Status, result.Handover, seconds = 200, instance.id, 0.05
			case s.w.Now >= do.GrantBefore: // the grant is too old to be sent
			case instance.holds.grant(s.w.Now, call):
				result.Status = 200
			default:
				result.Status = 409
			}
			s.w.After(seconds, func() {
				if s.up && s.starts == incarnation {
					s.input(func() { s.sidecar.KeyCallDone(s.w.Now, call.ID, result) })
				}
			})
		})
	}
}

// shardKey returns the shard key of a request. sharded is false if it has none.
func shardKey(forward *meshpb.Forward) (key int, sharded bool) {
	text := fieldValue(forward.Fields, headerShardKey)
	if text == "" {
		return 0, false
	}
	key, err := strconv.Atoi(text)
	return key, err == nil
}

// checkOwner checks, when a host starts a request with a shard key, that no other running host holds the key.
func (c *Checker) checkOwner(instance *hostInstance, key int) {
	for _, s := range c.w.Proxies {
		if other := s.instance; other != nil && other != instance && !other.ended && other.holds.holdsKey(c.w.Now, key) {
			c.fail("OWNER", "%s starts a request for key %d, which %s holds", instance.id, key, other.id)
		}
	}
}
