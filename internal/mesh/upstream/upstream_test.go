package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/wire"
)

// host answers each request on its connections by say, which gets the id and the number of the request on its connection. An
// empty answer closes the connection.
func host(t *testing.T, say func(id string, n int) string) (*Host, *wire.Pool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					text := say(r.Header.Get(sidecar.HeaderID), n)
					io.WriteString(c, text)
					if text == "" || strings.Contains(text, "cut") {
						return
					}
				}
			}()
		}
	}()
	bufs := wire.NewPool()
	return New(ln.Addr().String(), bufs), bufs
}

func good(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p-%s\r\nContent-Length: %d\r\n\r\n%s", sidecar.HeaderID, id, sidecar.HeaderPostmark,
		id, len(body), body)
}

func ask(p *Host, id string) *meshpb.Forwarded {
	return p.Run(context.Background(), &meshpb.Forward{Station: "i-1", Method: "POST", Target: "/x", Host: "h", Body: []byte("b"), Framed: true, LeftUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}}}, time.Now().Add(time.Second))
}

// What a host in trouble may answer, and what is known of the run by it.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       outcome.Outcome
	}{
		{"whole", good("q", "hello"), outcome.Answered},
		{"its own failure", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", outcome.Answered},
		{"after 100", "HTTP/1.1 100 Continue\r\n\r\n" + good("q", "hello"), outcome.Answered},
		{"chunks", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark + ": p\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", outcome.Answered},
		{"not run", "HTTP/1.1 503 Full\r\n" + sidecar.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n", outcome.HostTurnedAway},
		{"another host", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", outcome.HostTurnedAway},
		{"closed", "", outcome.Broken},
		{"cut in the head", "HTTP/1.1 200 OK\r\ncut", outcome.Broken},
		{"cut in the body", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark + ": p\r\nContent-Length: 9\r\n\r\ncut", outcome.Broken},
		{"no length", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark + ": p\r\n\r\ncut", outcome.Broken},
		{"no answer in the protocol", "220 mail ready\r\n\r\ncut", outcome.Broken},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", outcome.Broken},
		{"no postmark", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"nobody's", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderPostmark + ": p\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"encoded", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark + ": p\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"silent", "HTTP/1.1 200", outcome.Late},
	} {
		p, bufs := host(t, func(string, int) string { return c.text })
		got := ask(p, "q")
		if outcome.Outcome(got.Verdict) != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, outcome.Outcome(got.Verdict), got.Why, c.want)
		}
		if c.want == outcome.Answered && got.Status == 200 && string(got.Body) != "hello" {
			t.Errorf("%s: body %q", c.name, got.Body)
		}
		p.Forget()
		if bufs.Live() != 0 {
			t.Errorf("%s: %d readers left", c.name, bufs.Live())
		}
	}
	p := New("127.0.0.1:1", wire.NewPool())
	if got := ask(p, "q"); outcome.Outcome(got.Verdict) != outcome.TurnedAway {
		t.Errorf("no connection: %v, nothing was sent", outcome.Outcome(got.Verdict))
	}
}

// An extra answer, at once or late, never becomes the answer to another request, and connections are kept where nothing is odd.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	p, _ := host(t, func(id string, n int) string {
		if n == 2 { // the first one's answer again, where the second one's is due
			return good("q0", "old") + good(id, "new")
		}
		return good(id, "body of "+id)
	})
	for i, want := range []string{"body of q0", "new", "body of q2"} {
		if got := ask(p, fmt.Sprintf("q%d", i)); string(got.Body) != want {
			t.Errorf("q%d: %q, want %q", i, got.Body, want)
		}
	}
	if p.Opened() != 2 { // kept after the first, not after the odd one
		t.Errorf("%d connections", p.Opened())
	}
	p, _ = host(t, func(id string, n int) string { return good(id, "mine") + good(id, "more") })
	for i := range 5 {
		id := fmt.Sprintf("q%d", i)
		got := ask(p, id)
		if string(got.Body) != "mine" {
			t.Errorf("%s: %q", id, got.Body)
		}
		for _, f := range got.Fields {
			if f.Name == sidecar.HeaderPostmark && f.Value != "p-"+id {
				t.Errorf("%s has the stamp %s", id, f.Value)
			}
		}
	}
}
