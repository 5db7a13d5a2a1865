package places

// Side is one of the two that share a process's descriptors.
type Side int

// The sides.
const (
	ClientSide Side = iota
	HostSide
	sides
)

func (s Side) other() Side { return sides - 1 - s }

// SharedLimit divides a number of connections between two sides. Each has a least part that is always its own; what is beyond
// both is whoever's needs it first, and comes back when its holder lets go of it. It is not safe for concurrent use.
type SharedLimit struct {
	total int
	least [sides]int
	held  [sides]int
	lacks [sides]bool // was refused since it last got one
}

// NewSharedLimit divides total. The two least parts together are at most that.
func NewSharedLimit(total, leastCallers, leastNodes int) *SharedLimit {
	return &SharedLimit{total: total, least: [sides]int{leastCallers, leastNodes}}
}

// Limit is how many connections a side may hold now.
func (s *SharedLimit) Limit(side Side) int {
	return s.total - max(s.least[side.other()], s.held[side.other()])
}

// MaxLimit is how many a side may ever hold.
func (s *SharedLimit) MaxLimit(side Side) int { return s.total - s.least[side.other()] }

// Claim notes that a side wants to hold n connections, and gives how many it may hold. It holds the less of the two from
// then on, but never has to give up what it holds: a limit does not fall under that.
func (s *SharedLimit) Claim(side Side, n int) int {
	limit := s.Limit(side)
	s.held[side] = min(n, limit)
	s.lacks[side] = n > limit
	return limit
}

// Surplus is how many connections a side holds beyond its own part while the other was refused one: what it should give back
// as soon as they are idle.
func (s *SharedLimit) Surplus(side Side) int {
	if !s.lacks[side.other()] {
		return 0
	}
	return max(0, s.held[side]-s.least[side])
}
