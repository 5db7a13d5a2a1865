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

// silentConn is a connection whose peer reads everything and sends nothing.
type silentConn struct{ net.Conn }

func (silentConn) Write(b []byte) (int, error)      { return len(b), nil }
func (silentConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzRequest: any input from a client gives a request, a 4xx response or a closed connection, and all buffers are
// returned.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{"", "GET", requestText("read", ""), requestText("write", "abc"),
		requestText("write", "3\r\nabc\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"),
		requestText("log", "x", "Expect: 100-continue"), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		requestText("read", "", "Connection: X-Txn, X-Entity"), requestText("novel", ""),
		requestText("read", "", "X-Remaining: 1e999m")} {
		f.Add([]byte(text))
	}
	n := &nameIndex{classes: map[string]int{"read": 0, "write": 1, "log": 2}, tenants: map[string]int{"acme": 0},
		effects: []balancer.Effect{balancer.Safe, balancer.Unsafe, balancer.Keyed}}
	f.Fuzz(func(t *testing.T, in []byte) {
		bufs := wire.NewPool()
		c := &clientConn{front: &frontend{bufs: bufs, times: testTiming()}, conn: silentConn{},
			meter: wire.LimitedReader{R: bytes.NewReader(in)}}
		c.front.names.Store(n)
		c.br = bufio.NewReaderSize(&c.meter, wire.BufferSize)
		c.meter.SetLimit(maxHeadBytes)
		r, err := http.ReadRequest(c.br)
		var q *request
		bad := c.readError(err)
		if err == nil {
			if q, bad = c.parse(r); (q == nil) == (bad == nil) {
				t.Fatal("want either a request or an error response")
			}
		}
		if q != nil {
			if q.Budget < 0 || q.Budget > maxRemainingSeconds || q.Work < 0 || q.body.Size > wire.MaxBody ||
				!bytes.Contains(q.head[:q.headLen], []byte("\r\n"+headerID+": ")) {
				t.Fatalf("request %+v", q.Request)
			}
			freeRequest(bufs, q)
		}
		if bad != nil && bad.status != 0 && (bad.status < 400 || bad.status > 499 || bad.status == 429) {
			t.Fatalf("got status %d", bad.status)
		}
		if bufs.Live() != 0 {
			t.Fatalf("%d buffers not returned to the pool", bufs.Live())
		}
	})
}

// FuzzReply: any input from a host gives a result, and only X-Turned-Away proves that the request has not run.
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
		of := &hostPool{bufs: bufs}
		of.settings.Store(&hostSettings{reportColumns: []string{"cpu"}})
		c := &hostConn{upstream: &upstream{pool: of}, conn: near,
			meter: wire.LimitedReader{R: bytes.NewReader(in)}}
		c.br = bufio.NewReaderSize(&c.meter, wire.BufferSize)
		call := newCall()
		read, over := make(chan struct{}), make(chan struct{})
		go func() { // abandons a long response
			defer close(over)
			select {
			case b := <-call.started:
				b.stream.abandon()
			case <-read:
			}
		}()
		r := c.readResponse(call)
		close(read)
		<-over
		if r.err == nil && r.result.NeverRan() && !bytes.Contains(bytes.ToLower(in), []byte("x-turned-away")) {
			t.Fatalf("%v without X-Turned-Away", r.result)
		}
		if r.err != nil && r.reusable || r.body.Size > wire.MaxBody {
			t.Fatalf("response %+v", r)
		}
		bufs.FreeBody(&r.body)
		if bufs.Live() != 0 {
			t.Fatalf("%d buffers not returned to the pool", bufs.Live())
		}
	})
}

// FuzzCatalog: any input from discovery gives a list or an error, and each host in a list has an address.
func FuzzCatalog(f *testing.F) {
	f.Add([]byte(listText(3, true, entry("a", "127.0.0.1:1"))))
	f.Add([]byte(`{"version":1,"servers":[{"id":"a","state":"gone"},null,5]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		c, err := parseCatalog(in, newZoneTable("a"))
		if err == nil && len(c.hosts) != len(c.addrs) {
			t.Fatal("numbers of hosts and addresses differ")
		}
		for i, h := range c.hosts {
			if h.Started < 0 || h.Status != balancer.Removed && c.addrs[i] == "" {
				t.Fatalf("entry %+v at %q", h, c.addrs[i])
			}
		}
	})
}
