package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// tally counts what operators are told. All of it may be read at any time without waiting for anybody. Each request that
// begins ends once, so taken = ok + shed + errors + active, but for those whose clients went.
type requestStats struct {
	mu              sync.Mutex
	names           []string // of all classes since the start, as they stand in a figure
	classes         map[string]*classStats
	attempts        atomic.Int64 // attempts written whole to hosts
	active          atomic.Int64 // requests taken and not ended
	listed, avoided atomic.Int64 // hosts in the list, and those of them that the proxy avoids
}

// classTally counts the ends of a class's requests.
type classStats struct{ ok, shed, errors atomic.Int64 }

func newRequestStats() *requestStats { return &requestStats{classes: map[string]*classStats{}} }

// of is the tally of a class, told by its name: other settings may number it anew.
func (t *requestStats) forClass(class string) *classStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := statName(class)
	if t.classes[name] == nil {
		t.classes[name] = &classStats{}
		t.names = append(t.names, name)
	}
	return t.classes[name]
}

// figureName makes a class's name fit into a line of figures: what would end the name or the line is written as "_".
func statName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == '=' || r == 0x7f || r == '\u0085' || r == '\u2028' || r == '\u2029' {
			return '_'
		}
		return r
	}, name)
}

// begin counts a request that has been taken.
func (t *requestStats) begin() { t.active.Add(1) }

// end counts the end of one, by the status that its client got; 0: the client had gone.
func (t *requestStats) end(c *classStats, status int) {
	t.active.Add(-1)
	switch status {
	case 0:
	case http.StatusOK:
		c.ok.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.shed.Add(1)
	default:
		c.errors.Add(1)
	}
}

// text words the figures, one a line.
func (t *requestStats) text() []byte {
	var b bytes.Buffer
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.names {
		c := t.classes[name]
		fmt.Fprintf(&b, "proxy.ok.%s=%d\nproxy.shed.%s=%d\nproxy.errors.%s=%d\n",
			name, c.ok.Load(), name, c.shed.Load(), name, c.errors.Load())
	}
	fmt.Fprintf(&b, "proxy.tries=%d\nproxy.active=%d\nproxy.pool_size=%d\nproxy.pool_ejected=%d\n",
		t.attempts.Load(), t.active.Load(), t.listed.Load(), t.avoided.Load())
	return b.Bytes()
}
