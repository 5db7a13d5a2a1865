// Package load holds stand-ins for callers of a proxy, by the platform's protocol: ones that send at a steady rate whatever
// comes back, and ones that ask once and keep their connection. It knows nothing of what is behind the proxy.
package load

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is the one class that the callers here ask for; it is safe to repeat.
const Class = "read"

var lastID atomic.Int64

// message words a request that its caller waits for so long.
func message(remaining time.Duration) string {
	return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: lab-%d\r\nX-Lane: %s\r\nX-Entity: k%d\r\n"+
		"X-Remaining: %dm\r\n\r\n", lastID.Add(1), Class, lastID.Load()%97, remaining.Milliseconds())
}

// caller is one connection to a proxy. Status 0 stands for a connection that ended without an answer.
type caller struct {
	conn net.Conn
	br   *bufio.Reader
}

// readerSize is small: a lab process holds as many callers as a proxy holds connections.
const readerSize = 512

// dial connects from a loopback address of its own, so that ports do not run out and the proxy sees many callers.
func dial(addr string, number int) (*caller, error) {
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{
		IP: net.IPv4(127, 1, byte(number>>8), byte(number))}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return &caller{conn: c, br: bufio.NewReaderSize(c, readerSize)}, nil
}

func (c *caller) ask(remaining time.Duration) (status int) {
	if _, err := io.WriteString(c.conn, message(remaining)); err != nil {
		return 0
	}
	c.conn.SetReadDeadline(time.Now().Add(remaining + time.Second))
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	if r.Close {
		c.conn.Close()
	}
	return r.StatusCode
}

// Result is what callers saw.
type Result struct {
	Sent, Served, Refused, Failed, Unanswered int
	Latency                                   *hdrhistogram.Histogram // of what was served, in microseconds
	Slowest                                   time.Duration           // of any answer
}

func newResult() *Result { return &Result{Latency: hdrhistogram.New(1, 60_000_000, 3)} }

func (r *Result) note(status int, took time.Duration) {
	r.Sent++
	switch status {
	case http.StatusOK:
		r.Served++
		r.Latency.RecordValue(max(1, took.Microseconds()))
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Refused++
	case 0:
		r.Unanswered++
	default:
		r.Failed++
	}
	r.Slowest = max(r.Slowest, took)
}

// Quantile is a latency of what was served; q is from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Steady sends rate requests a second, Poisson by seed, for a time. It is an open loop: latency counts from the instant a
// request was meant to go out, so a proxy that stalls is seen as callers would see it (no coordinated omission; Tene, "How
// NOT to Measure Latency", 2013). Connections are pooled and one is opened when all are busy.
func Steady(addr string, rate float64, span time.Duration, seed uint64) (*Result, error) {
	var mu sync.Mutex
	var pool []*caller
	result := newResult()
	var wg sync.WaitGroup
	var failed error
	take := func() (*caller, error) {
		mu.Lock()
		if n := len(pool); n > 0 {
			c := pool[n-1]
			pool = pool[:n-1]
			mu.Unlock()
			return c, nil
		}
		mu.Unlock()
		return dial(addr, 0xfe01)
	}
	send := func(due time.Time) {
		status := 0
		c, err := take()
		if err == nil {
			status = c.ask(time.Second)
		}
		if status == 0 && err == nil { // the proxy may have closed it between requests: once more, on a new one
			c.conn.Close()
			if c, err = dial(addr, 0xfe01); err == nil {
				status = c.ask(time.Second)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed = err
			return
		}
		result.note(status, time.Since(due))
		pool = append(pool, c)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	for due := time.Duration(0); due < span; due += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(due)))
		wg.Go(func() { send(start.Add(due)) })
	}
	wg.Wait()
	for _, c := range pool {
		c.conn.Close()
	}
	return result, failed
}

// Crowd holds connections that have asked once and stay.
type Crowd struct{ callers []*caller }

// Gather opens n connections, each from an address of its own, that ask once each, some at a time.
func Gather(addr string, n, atOnce int) (*Crowd, error) {
	c := &Crowd{callers: make([]*caller, n)}
	var wg sync.WaitGroup
	var next atomic.Int64
	errs := make(chan error, atOnce)
	for range atOnce {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				one, err := dial(addr, i+1)
				if err != nil {
					errs <- err
					return
				}
				c.callers[i] = one
				if status := one.ask(2 * time.Second); status != http.StatusOK {
					errs <- fmt.Errorf("load: connection %d got %d", i, status)
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		c.Close()
		return nil, err
	default:
		return c, nil
	}
}

// Wake makes every connection ask once more within a span, evenly spread.
func (c *Crowd) Wake(span, remaining time.Duration) *Result {
	var mu sync.Mutex
	result := newResult()
	var wg sync.WaitGroup
	start := time.Now()
	for i, one := range c.callers {
		due := start.Add(span * time.Duration(i) / time.Duration(len(c.callers)))
		wg.Go(func() {
			time.Sleep(time.Until(due))
			status := one.ask(remaining)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			result.note(status, took)
		})
	}
	wg.Wait()
	return result
}

// Held is how many of the connections still stand. It looks into each socket: a read with a deadline would take one that
// has ended for one that stands, whenever this process comes to it late.
func (c *Crowd) Held() (held int) {
	for _, one := range c.callers {
		raw, err := one.conn.(syscall.Conn).SyscallConn()
		if err != nil {
			continue
		}
		var got error
		err = raw.Control(func(fd uintptr) {
			var b [1]byte
			_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if err == nil && got == syscall.EAGAIN {
			held++
		}
	}
	return held
}

// Close ends the connections.
func (c *Crowd) Close() {
	for _, one := range c.callers {
		if one != nil {
			one.conn.Close()
		}
	}
}
