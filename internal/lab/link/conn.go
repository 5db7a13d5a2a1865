package link

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrCut is returned by reads and writes on a connection that the link has broken or that is already closed.
var ErrCut = errors.New("link: connection cut")

// Conn is the target's end of a connection from a proxy. Reads and writes are delayed, blocked or cut as the State of
// the proxy-target pair says.
type Conn struct {
	*net.TCPConn
	Proxy  int
	target *Target
	sent   int64 // bytes written towards the proxy
	once   sync.Once
	closed chan struct{} // closed by Close

	chunks  chan chunk // received from the proxy and not delivered to Read yet
	current chunk      // the chunk that Read is delivering
	sentAt  time.Time  // when the bytes that Read returned last were received from the proxy
}

// chunk is data on its way to the target, or the error that ends the stream, with the time at which it was received.
type chunk struct {
	data   []byte
	err    error
	sentAt time.Time
}

const (
	chunkSize = 4 << 10
	maxChunks = 64 // chunks in flight on a connection; further data stays in the socket, which blocks the sender
)

func newConn(c *net.TCPConn, target *Target, proxy int) *Conn {
	return &Conn{TCPConn: c, Proxy: proxy, target: target, closed: make(chan struct{}), chunks: make(chan chunk, maxChunks)}
}

// receive reads from the socket without delay and timestamps each chunk, so that the delay of the link counts from the
// moment of sending, however long the link holds the data.
func (c *Conn) receive() {
	buf := make([]byte, chunkSize)
	for {
		n, err := c.TCPConn.Read(buf)
		select {
		case c.chunks <- chunk{data: bytes.Clone(buf[:n]), err: err, sentAt: time.Now()}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen blocks while silent holds for the state of the link, and returns the state in which it no longer does. It returns
// ErrCut if the connection is closed meanwhile.
func (c *Conn) awaitOpen(silent func(State) bool) (State, error) {
	for {
		s, changed := c.target.network.state(pair{c.Proxy, c.target.number})
		if !silent(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return s, ErrCut
		}
	}
}

// awaitArrival waits until n bytes that were sent at the given time have crossed the link.
func (c *Conn) awaitArrival(s State, n int, sentAt time.Time) error {
	d := c.target.network.delay(s, n) - time.Since(sentAt)
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.closed:
		return ErrCut
	}
}

// Read returns data that the proxy has sent, once the link delivers it. The end of the connection is delivered in the same
// way: a silent link hides it too.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.current.data) == 0 && c.current.err == nil {
		select {
		case c.current = <-c.chunks:
		case <-c.closed:
			return 0, ErrCut
		}
		s, err := c.awaitOpen(func(s State) bool { return s.SilentTo })
		if err == nil {
			err = c.awaitArrival(s, len(c.current.data), c.current.sentAt)
		}
		if err != nil {
			return 0, err
		}
	}
	n := copy(b, c.current.data)
	if c.current.data = c.current.data[n:]; n == 0 {
		return 0, c.current.err
	}
	c.sentAt = c.current.sentAt
	return n, nil
}

// SentAt returns when the data that Read returned last was sent by the proxy, however long the link held it. Only the
// goroutine that calls Read may call SentAt.
func (c *Conn) SentAt() time.Time { return c.sentAt }

// Write sends b towards the proxy after the delay of the link, and blocks while the link is silent in that direction.
func (c *Conn) Write(b []byte) (int, error) {
	s, waitErr := c.awaitOpen(func(s State) bool { return s.SilentBack })
	if waitErr == nil {
		waitErr = c.awaitArrival(s, len(b), time.Now())
	}
	if waitErr != nil {
		return 0, waitErr
	}
	if s.CutAfter > 0 && c.sent+int64(len(b)) >= s.CutAfter {
		n, _ := c.TCPConn.Write(b[:max(0, s.CutAfter-c.sent)])
		c.Reset()
		return n, ErrCut
	}
	n, err := c.TCPConn.Write(b)
	c.sent += int64(n)
	return n, err
}

// Reset closes the connection with a TCP reset, as the kernel does for a process that dies.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.Close()
}

// Close closes the connection. While the link is silent the socket stays open, so that the proxy does not see the close
// before the link heals.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		s, _ := c.target.network.state(pair{c.Proxy, c.target.number})
		if !s.silent() {
			c.TCPConn.Close()
			return
		}
		go func() {
			for s.silent() {
				var changed chan struct{}
				if s, changed = c.target.network.state(pair{c.Proxy, c.target.number}); s.silent() {
					<-changed
				}
			}
			c.TCPConn.Close()
		}()
	})
	return nil
}
