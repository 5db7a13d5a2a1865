package link

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrCut is the end of a connection that its link has broken.
var ErrCut = errors.New("link: connection cut")

// Conn is a proxy's connection as its target has it, behind the pair's link.
type Conn struct {
	*net.TCPConn
	Proxy  int
	target *Target
	sent   int64 // towards the proxy
	once   sync.Once
	gone   chan struct{} // closed with it

	chunks chan chunk // what the proxy has sent and the link still has
	at     chunk      // the one being read
	left   time.Time  // when the last bytes read had left the proxy
}

// chunk is bytes on their way to the target, or the end of what comes.
type chunk struct {
	data []byte
	err  error
	left time.Time
}

const (
	chunkSize = 4 << 10
	chunkMost = 64 // under way on a connection; then its sender is held up
)

func newConn(c *net.TCPConn, g *Target, proxy int) *Conn {
	return &Conn{TCPConn: c, Proxy: proxy, target: g, gone: make(chan struct{}), chunks: make(chan chunk, chunkMost)}
}

// pump takes what the proxy sends at the moment that it does, however long the link will hold it.
func (c *Conn) pump() {
	buf := make([]byte, chunkSize)
	for {
		n, err := c.TCPConn.Read(buf)
		select {
		case c.chunks <- chunk{data: bytes.Clone(buf[:n]), err: err, left: time.Now()}:
		case <-c.gone:
			return
		}
		if err != nil {
			return
		}
	}
}

// await waits until the link carries data in a direction, and says what it is like.
func (c *Conn) await(silent func(State) bool) (State, error) {
	for {
		s, changed := c.target.table.state(pair{c.Proxy, c.target.number})
		if !silent(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-c.gone:
			return s, ErrCut
		}
	}
}

// travel waits until so many bytes that left at a moment have arrived.
func (c *Conn) travel(s State, n int, left time.Time) error {
	d := c.target.table.delay(s, n) - time.Since(left)
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.gone:
		return ErrCut
	}
}

// Read gives what the proxy has sent, once the link lets it through; so with the connection's end, which a silent link
// hides too.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.at.data) == 0 && c.at.err == nil {
		select {
		case c.at = <-c.chunks:
		case <-c.gone:
			return 0, ErrCut
		}
		s, err := c.await(func(s State) bool { return s.SilentTo })
		if err == nil {
			err = c.travel(s, len(c.at.data), c.at.left)
		}
		if err != nil {
			return 0, err
		}
	}
	n := copy(b, c.at.data)
	if c.at.data = c.at.data[n:]; n == 0 {
		return 0, c.at.err
	}
	c.left = c.at.left
	return n, nil
}

// Left is when the last of what Read gave had left the proxy, however long the link held it. It is for who reads.
func (c *Conn) Left() time.Time { return c.left }

// Write sends towards the proxy, once the link lets it through.
func (c *Conn) Write(b []byte) (int, error) {
	s, cut := c.await(func(s State) bool { return s.SilentBack })
	if cut == nil {
		cut = c.travel(s, len(b), time.Now())
	}
	if cut != nil {
		return 0, cut
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

// Reset ends it as a process that dies does.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.Close()
}

// Close ends it. While the link is silent its other end does not hear of that.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.gone)
		s, _ := c.target.table.state(pair{c.Proxy, c.target.number})
		if !s.silent() {
			c.TCPConn.Close()
			return
		}
		go func() {
			for s.silent() {
				var changed chan struct{}
				if s, changed = c.target.table.state(pair{c.Proxy, c.target.number}); s.silent() {
					<-changed
				}
			}
			c.TCPConn.Close()
		}()
	})
	return nil
}
