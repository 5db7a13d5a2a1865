package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// requestStats counts requests, attempts and hosts for the admin server. Its values may be read at any time without waiting
// for the owner. Each request that begins ends once, so accepted = ok + shed + errors + active, except for requests whose
// client left before the response.
type requestStats struct {
	mu              sync.Mutex
	names           []string // of all classes since the start, as used in names of statistics
	classes         map[string]*classStats
	attempts        atomic.Int64 // attempts whose request was written completely
	active          atomic.Int64 // requests that have begun and not ended
	listed, avoided atomic.Int64 // hosts in the list, and those of them that this proxy does not use
}

// classStats counts the completed requests of a class by outcome.
type classStats struct{ ok, shed, errors atomic.Int64 }

func newRequestStats() *requestStats { return &requestStats{classes: map[string]*classStats{}} }

// forClass returns the counters of a class. They are found by name, since reloaded settings may number the classes
// differently.
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

// statName returns a class name for use in a line of statistics: characters that would end the name or the line are
// replaced by "_".
func statName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == '=' || r == 0x7f || r == '\u0085' || r == '\u2028' || r == '\u2029' {
			return '_'
		}
		return r
	}, name)
}

// begin counts a request that has been accepted.
func (t *requestStats) begin() { t.active.Add(1) }

// end counts the end of a request by the status that its client got. Status 0 means that the client had left.
func (t *requestStats) end(c *classStats, status int) {
	c.add(status, 1)
	t.active.Add(-1)
}

// add adds n to the counter of a status. Status 0 has none.
func (c *classStats) add(status int, n int64) {
	switch status {
	case 0:
	case http.StatusOK:
		c.ok.Add(n)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.shed.Add(n)
	default:
		c.errors.Add(n)
	}
}

// requestEnd counts the end of one request. It is counted before the last byte of the response is written, so that a client
// that has its whole response finds its request counted. If the write fails, the request is moved to the counter of errors.
type requestEnd struct {
	stats   *requestStats
	class   *classStats
	counted bool
	status  int // that was counted
}

// count counts the request with a status, or moves it to that status if it has been counted with another one. A nil
// requestEnd counts nothing.
func (e *requestEnd) count(status int) {
	switch {
	case e == nil || e.counted && e.status == status:
		return
	case e.counted:
		e.class.add(e.status, -1)
		e.class.add(status, 1)
	default:
		e.stats.end(e.class, status)
	}
	e.counted, e.status = true, status
}

// text returns the statistics, one per line.
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
