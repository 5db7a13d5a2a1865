// Package load generates load on a proxy with clients that speak the platform's protocol. SendSteady sends requests at a constant
// rate whatever the answers are. OpenIdle opens many connections that send one request each and then stay open idle, as
// IdleConns. The package is independent of the hosts behind the proxy.
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

// Class is the class of all requests of this package. Its requests are safe to repeat.
const Class = "read"

var lastID atomic.Int64

// message returns a request whose caller waits for the given time.
func message(remaining time.Duration) string {
	return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: lab-%d\r\nX-Lane: %s\r\nX-Entity: k%d\r\n"+
		"X-Remaining: %dm\r\n\r\n", lastID.Add(1), Class, lastID.Load()%97, remaining.Milliseconds())
}

// caller is a client with one connection to the proxy.
type caller struct {
	conn net.Conn
	br   *bufio.Reader
}

// readerSize is small because the lab process has a caller for each connection that the proxy holds.
const readerSize = 512

// dial connects from the loopback address with the given number. With separate source addresses the ports do not run out,
// and the proxy sees many clients.
func dial(addr string, number int) (*caller, error) {
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{
		IP: net.IPv4(127, 1, byte(number>>8), byte(number))}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return &caller{conn: c, br: bufio.NewReaderSize(c, readerSize)}, nil
}

// ask sends a request and returns the status of the answer, or 0 if the connection ended or timed out without an answer.
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

// Result holds the outcomes of requests as the callers saw them.
type Result struct {
	Sent, Served, Refused, Failed, Unanswered int
	Latency                                   *hdrhistogram.Histogram // of served requests, in microseconds
	Slowest                                   time.Duration           // longest latency of any request
}

func newResult() *Result { return &Result{Latency: hdrhistogram.New(1, 60_000_000, 3)} }

// count counts a request with its status, 0 for none, and its latency.
func (r *Result) count(status int, took time.Duration) {
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

// Quantile returns a percentile of the latency of served requests; q is from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// SendSteady sends on average rate requests per second during span, as a Poisson process determined by seed. It is an open loop:
// latency counts from the scheduled time of a request, so that a stall of the proxy shows as clients experience it (no
// coordinated omission; Tene, "How NOT to Measure Latency", 2013). Connections are pooled, and a new one is opened when all
// are busy.
func SendSteady(addr string, rate float64, span time.Duration, seed uint64) (*Result, error) {
	var mu sync.Mutex
	var pool []*caller
	result := newResult()
	var wg sync.WaitGroup
	var dialErr error
	getConn := func() (*caller, error) {
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
		c, err := getConn()
		if err == nil {
			status = c.ask(time.Second)
		}
		if status == 0 && err == nil { // the proxy may have closed the idle connection: retry once on a new one
			c.conn.Close()
			if c, err = dial(addr, 0xfe01); err == nil {
				status = c.ask(time.Second)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			dialErr = err
			return
		}
		result.count(status, time.Since(due))
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
	return result, dialErr
}

// IdleConns is a set of idle connections, each of which has sent one request.
type IdleConns struct{ callers []*caller }

// OpenIdle opens n connections, each from a different source address, and sends one request on each. It opens atOnce
// connections in parallel, and fails if any request is not answered with status 200.
func OpenIdle(addr string, n, atOnce int) (*IdleConns, error) {
	c := &IdleConns{callers: make([]*caller, n)}
	var wg sync.WaitGroup
	var next atomic.Int64
	errs := make(chan error, atOnce)
	for range atOnce {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				client, err := dial(addr, i+1)
				if err != nil {
					errs <- err
					return
				}
				c.callers[i] = client
				if status := client.ask(2 * time.Second); status != http.StatusOK {
					errs <- fmt.Errorf("load: request on connection %d got status %d, want 200", i, status)
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

// SendAll sends one more request on every connection, evenly spread over span.
func (c *IdleConns) SendAll(span, remaining time.Duration) *Result {
	var mu sync.Mutex
	result := newResult()
	var wg sync.WaitGroup
	start := time.Now()
	for i, client := range c.callers {
		due := start.Add(span * time.Duration(i) / time.Duration(len(c.callers)))
		wg.Go(func() {
			time.Sleep(time.Until(due))
			status := client.ask(remaining)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			result.count(status, took)
		})
	}
	wg.Wait()
	return result
}

// CountOpen returns how many of the connections are still open. It peeks at each socket without blocking: a read with a deadline
// could time out before this process is scheduled, and a closed connection would then count as open.
func (c *IdleConns) CountOpen() (open int) {
	for _, client := range c.callers {
		raw, err := client.conn.(syscall.Conn).SyscallConn()
		if err != nil {
			continue
		}
		var peekErr error
		err = raw.Control(func(fd uintptr) {
			var b [1]byte
			_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if err == nil && peekErr == syscall.EAGAIN {
			open++
		}
	}
	return open
}

// Close closes the connections.
func (c *IdleConns) Close() {
	for _, client := range c.callers {
		if client != nil {
			client.conn.Close()
		}
	}
}
