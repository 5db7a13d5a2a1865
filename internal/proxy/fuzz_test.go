package proxy

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"beechwing/balancer"
	"beechwing/internal/wire"
)

// mute is a connection whose other side takes everything and says nothing.
type mute struct{ net.Conn }

func (mute) Write(b []byte) (int, error)      { return len(b), nil }
func (mute) SetWriteDeadline(time.Time) error { return nil }

// FuzzRequest: whatever a client sends is a request, a plain 4xx or a close, and nothing stays taken from the pool.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{"", "GET", message("read", ""), message("write", "abc"),
		message("write", "3\r\nabc\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"),
		message("log", "x", "Expect: 100-continue"), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		message("read", "", "Connection: X-Txn, X-Entity"), message("novel", ""), message("read", "", "X-Remaining: 1e999m")} {
		f.Add([]byte(text))
	}
	n := &names{classes: map[string]int{"read": 0, "write": 1, "log": 2}, tenants: map[string]int{"acme": 0},
		effects: []balancer.Effect{balancer.Safe, balancer.Unsafe, balancer.Keyed}}
	f.Fuzz(func(t *testing.T, in []byte) {
		bufs := wire.NewPool()
		c := &client{front: &front{bufs: bufs, times: quickTiming()}, conn: mute{}, meter: wire.Meter{R: bytes.NewReader(in)}}
		c.front.names.Store(n)
		c.br = bufio.NewReaderSize(&c.meter, wire.BufferSize)
		c.meter.Allow(maxHead)
		r, err := http.ReadRequest(c.br)
		var q *request
		bad := c.errorFor(err)
		if err == nil {
			if q, bad = c.parse(r); (q == nil) == (bad == nil) {
				t.Fatal("neither a request nor an answer, or both")
			}
		}
		if q != nil {
			if q.Budget < 0 || q.Budget > mostRemaining || q.Work < 0 || q.body.Size > wire.MaxBody ||
				!bytes.Contains(q.head[:q.headed], []byte("\r\n"+headerID+": ")) {
				t.Fatalf("request %+v", q.Request)
			}
			freeRequest(bufs, q)
		}
		if bad != nil && bad.status != 0 && (bad.status < 400 || bad.status > 499 || bad.status == 429) {
			t.Fatalf("answered %d", bad.status)
		}
		if bufs.Live() != 0 {
			t.Fatalf("%d buffers left", bufs.Live())
		}
	})
}

// FuzzReply: whatever a host answers is an outcome, and only its own word proves that nothing has run.
func FuzzReply(f *testing.F) {
	for _, text := range []string{"", "HTTP", okResponse, okResponse + okResponse, httpOK(""), "HTTP/1.1 103 E\r\n\r\n" + okResponse,
		"HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Pressure: {\"util\":1}\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		bufs := wire.NewPool()
		near, far := net.Pipe()
		defer far.Close()
		defer near.Close()
		of := &hosts{bufs: bufs}
		of.by.Store(&hostSettings{columns: []string{"cpu"}})
		c := &hostConn{up: &upstream{hosts: of}, conn: near,
			meter: wire.Meter{R: bytes.NewReader(in)}}
		c.br = bufio.NewReaderSize(&c.meter, wire.BufferSize)
		call := newCall()
		read, over := make(chan struct{}), make(chan struct{})
		go func() { // takes nothing of a long one
			defer close(over)
			select {
			case b := <-call.begun:
				b.long.leave()
			case <-read:
			}
		}()
		r := c.readReply(call)
		close(read)
		<-over
		if r.err == nil && r.result.NeverRan() && !bytes.Contains(bytes.ToLower(in), []byte("x-turned-away")) {
			t.Fatalf("%v without the host's word", r.result)
		}
		if r.err != nil && r.reusable || r.body.Size > wire.MaxBody {
			t.Fatalf("reply %+v", r)
		}
		bufs.FreeBody(&r.body)
		if bufs.Live() != 0 {
			t.Fatalf("%d buffers left", bufs.Live())
		}
	})
}

// FuzzCatalog: whatever discovery says is a list or an error, and each host of a list can be reached by name.
func FuzzCatalog(f *testing.F) {
	f.Add([]byte(listText(3, true, entry("a", "127.0.0.1:1"))))
	f.Add([]byte(`{"version":1,"servers":[{"id":"a","state":"gone"},null,5]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		c, err := parseCatalog(in, newZoneTable("a"))
		if err == nil && len(c.hosts) != len(c.addrs) {
			t.Fatal("hosts and addresses do not match")
		}
		for i, h := range c.hosts {
			if h.Started < 0 || h.Status != balancer.Removed && c.addrs[i] == "" {
				t.Fatalf("entry %+v at %q", h, c.addrs[i])
			}
		}
	})
}
