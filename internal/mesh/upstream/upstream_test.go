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

// startHost starts a host that answers each request with the result of respond, which gets the request's id and
// its number on the connection. An empty response closes the connection.
func startHost(t *testing.T, respond func(id string, n int) string) (*Host, *wire.Pool) {
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
					text := respond(r.Header.Get(sidecar.HeaderID), n)
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

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p-%s\r\nContent-Length: %d\r\n\r\n%s", sidecar.HeaderID,
		id, sidecar.HeaderPostmark,
		id, len(body), body)
}

func send(h *Host, id string) *meshpb.Forwarded {
	return h.Run(context.Background(), &meshpb.Forward{Station: "i-1", Method: "POST", Target: "/x", Host: "h",
		Body: []byte("b"), Framed: true, LeftUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}}}, time.Now().Add(time.Second))
}

// Guards the outcome that is derived from each kind of valid, invalid, truncated or missing response.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       outcome.Outcome
	}{
		{"complete", okResponse("q", "hello"), outcome.Answered},
		{"server error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", outcome.Answered},
		{"after 100", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse("q", "hello"), outcome.Answered},
		{"chunked", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark +
			": p\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", outcome.Answered},
		{"not run", "HTTP/1.1 503 Full\r\n" + sidecar.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n", outcome.HostTurnedAway},
		{"misdirected", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", outcome.HostTurnedAway},
		{"closed", "", outcome.Broken},
		{"cut in the head", "HTTP/1.1 200 OK\r\ncut", outcome.Broken},
		{"cut in the body", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark +
			": p\r\nContent-Length: 9\r\n\r\ncut", outcome.Broken},
		{"no length", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\n" + sidecar.HeaderPostmark +
			": p\r\n\r\ncut", outcome.Broken},
		{"not HTTP", "220 mail ready\r\n\r\ncut", outcome.Broken},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", outcome.Broken},
		{"no postmark", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderID + ": q\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"no id", "HTTP/1.1 200 OK\r\n" + sidecar.HeaderPostmark + ": p\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"encoded", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + sidecar.HeaderID + ": q\r\n" +
			sidecar.HeaderPostmark + ": p\r\nContent-Length: 5\r\n\r\nhello", outcome.Broken},
		{"silent", "HTTP/1.1 200", outcome.Late},
	} {
		h, bufs := startHost(t, func(string, int) string { return c.text })
		got := send(h, "q")
		if outcome.Outcome(got.Verdict) != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, outcome.Outcome(got.Verdict), got.Why, c.want)
		}
		if c.want == outcome.Answered && got.Status == 200 && string(got.Body) != "hello" {
			t.Errorf("%s: body %q", c.name, got.Body)
		}
		h.Forget()
		if bufs.Live() != 0 {
			t.Errorf("%s: %d readers were not returned to the pool", c.name, bufs.Live())
		}
	}
	h := New("127.0.0.1:1", wire.NewPool())
	if got := send(h, "q"); outcome.Outcome(got.Verdict) != outcome.TurnedAway {
		t.Errorf("connection refused: %v", outcome.Outcome(got.Verdict))
	}
}

// An extra response, immediate or late, must never become the response to another request, and a connection is
// only kept if nothing unusual arrived on it.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	h, _ := startHost(t, func(id string, n int) string {
		if n == 2 { // repeats the first response in place of the second
			return okResponse("q0", "old") + okResponse(id, "new")
		}
		return okResponse(id, "body of "+id)
	})
	for i, want := range []string{"body of q0", "new", "body of q2"} {
		if got := send(h, fmt.Sprintf("q%d", i)); string(got.Body) != want {
			t.Errorf("q%d: %q, want %q", i, got.Body, want)
		}
	}
	if h.Opened() != 2 { // the connection is kept after the first request, but not after the extra response
		t.Errorf("%d connections", h.Opened())
	}
	h, _ = startHost(t, func(id string, n int) string { return okResponse(id, "mine") + okResponse(id, "more") })
	for i := range 5 {
		id := fmt.Sprintf("q%d", i)
		got := send(h, id)
		if string(got.Body) != "mine" {
			t.Errorf("%s: %q", id, got.Body)
		}
		for _, f := range got.Fields {
			if f.Name == sidecar.HeaderPostmark && f.Value != "p-"+id {
				t.Errorf("%s has the postmark %s", id, f.Value)
			}
		}
	}
}
