package listener

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"beechwing/internal/wire"
)

// closing is a listener whose requests are served until the test releases them. It tells of each request and of each client that left.
type closing struct {
	listener *Listener
	address  string
	serving  chan string
	left     chan string
	release  chan bool
}

func openClosing(t *testing.T) *closing {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closing{address: ln.Addr().String(), serving: make(chan string, 8), left: make(chan string, 8), release: make(chan bool)}
	s.listener = Open(ln, wire.NewPool(), func() Limits { return DefaultLimits }, func(q *Request) Response {
		q.NotifyClosed(func() { s.left <- q.Target })
		s.serving <- q.Target
		<-s.release
		return Response{Status: 200}
	})
	t.Cleanup(func() {
		close(s.release)
		s.listener.Close(time.Second)
	})
	return s
}

func (s *closing) ask(t *testing.T, target, further string) net.Conn {
	t.Helper()
	c := send(t, s.address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n%s", target, further))
	if got := <-s.serving; got != target {
		t.Fatalf("serves %s, want %s", got, target)
	}
	return c
}

// awaitLeft checks until a client's close has come through the kernel.
func (s *closing) awaitLeft(t *testing.T, want string) {
	t.Helper()
	for range 4000 {
		s.listener.CheckClosed()
		select {
		case got := <-s.left:
			if got != want {
				t.Fatalf("%s left, want %s", got, want)
			}
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	t.Fatalf("%s has left and nobody was told", want)
}

func (s *closing) wantNobody(t *testing.T) {
	t.Helper()
	s.listener.CheckClosed()
	select {
	case got := <-s.left:
		t.Fatalf("%s is told to have left, its client waits", got)
	default:
	}
}

// A client that closes is told of once; one that waits is not, also where it has sent its next request already.
func TestClosedConnectionsAreTold(t *testing.T) {
	s := openClosing(t)
	gone := s.ask(t, "/gone", "")
	s.ask(t, "/waits", "")
	s.ask(t, "/pipelines", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	s.wantNobody(t)
	gone.Close()
	s.awaitLeft(t, "/gone")
	s.wantNobody(t)
}

// A reset is an end too, and so is the end of a stream behind bytes of a further request.
func TestResetAndPipelinedEnds(t *testing.T) {
	s := openClosing(t)
	reset := s.ask(t, "/reset", "").(*net.TCPConn)
	reset.SetLinger(0)
	reset.Close()
	s.awaitLeft(t, "/reset")
	s.ask(t, "/pipelined", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n").Close()
	s.awaitLeft(t, "/pipelined")
}

// What is answered is not watched any more: a client may close then, or ask again and wait.
func TestAnsweredRequestsAreNotWatched(t *testing.T) {
	s := openClosing(t)
	c := s.ask(t, "/first", "")
	s.release <- true
	if _, err := io.ReadAtLeast(c, make([]byte, 256), len("HTTP/1.1 200")); err != nil {
		t.Fatal(err)
	}
	c.Close()
	s.wantNobody(t)
}
