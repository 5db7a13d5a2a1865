package places

// Side is one of the two users of a SharedLimit.
type Side int

// The sides that share the connections of a process.
const (
	ClientSide Side = iota // connections from clients
	HostSide               // connections to hosts
	sideCount
)

func (s Side) other() Side { return sideCount - 1 - s }

// SharedLimit divides a total number of connections between two sides. Each side has a reserved part that the other never
// uses. The rest goes to the side that needs it first, and becomes free again when that side closes connections.
// SharedLimit is not safe for concurrent use.
type SharedLimit struct {
	total    int
	reserved [sideCount]int
	held     [sideCount]int
	refused  [sideCount]bool // the side's last claim was above its limit
}

// NewSharedLimit returns a SharedLimit in which no connections are held. The two reserved parts must not exceed the total.
func NewSharedLimit(total, reservedClients, reservedHosts int) *SharedLimit {
	return &SharedLimit{total: total, reserved: [sideCount]int{reservedClients, reservedHosts}}
}

// Limit returns how many connections a side may hold now.
func (l *SharedLimit) Limit(side Side) int {
	return l.total - max(l.reserved[side.other()], l.held[side.other()])
}

// MaxLimit returns how many connections a side may hold when the other holds no more than its reserved part.
func (l *SharedLimit) MaxLimit(side Side) int { return l.total - l.reserved[side.other()] }

// Claim records that a side wants to hold n connections, and returns its limit. The side then counts as holding the smaller
// of the two numbers. A limit is never below what the side holds already, so a side is never forced to close connections.
func (l *SharedLimit) Claim(side Side, n int) int {
	limit := l.Limit(side)
	l.held[side] = min(n, limit)
	l.refused[side] = n > limit
	return limit
}

// Surplus returns how many connections a side holds beyond its reserved part while the other side's last claim was above
// its limit. The side should close that many as soon as they are idle.
func (l *SharedLimit) Surplus(side Side) int {
	if !l.refused[side.other()] {
		return 0
	}
	return max(0, l.held[side]-l.reserved[side])
}
