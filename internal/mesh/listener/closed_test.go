package listener

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"beechwing/internal/wire"
)

// blockingServer is a listener whose requests are served until the test releases them. It reports each request
// and each client that left.
type blockingServer struct {
	listener *Listener
	address  string
	serving  chan string
	left     chan string
	release  chan bool
}

func openBlocking(t *testing.T) *blockingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &blockingServer{address: ln.Addr().String(), serving: make(chan string, 8), left: make(chan string, 8),
		release: make(chan bool)}
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

func (s *blockingServer) ask(t *testing.T, target, pipelined string) net.Conn {
	t.Helper()
	c := send(t, s.address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n%s", target, pipelined))
	if got := <-s.serving; got != target {
		t.Fatalf("serving %s, want %s", got, target)
	}
	return c
}

// awaitLeft calls CheckClosed until the kernel has reported the client's close.
func (s *blockingServer) awaitLeft(t *testing.T, want string) {
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
	t.Fatalf("%s left and was not reported", want)
}

func (s *blockingServer) expectNoneLeft(t *testing.T) {
	t.Helper()
	s.listener.CheckClosed()
	select {
	case got := <-s.left:
		t.Fatalf("%s was reported as left, but its client waits", got)
	default:
	}
}

// A client that closes its connection must be reported exactly once, and a client that waits must not be, even
// if it has already sent its next request.
func TestClosedConnectionsAreTold(t *testing.T) {
	s := openBlocking(t)
	gone := s.ask(t, "/gone", "")
	s.ask(t, "/waits", "")
	s.ask(t, "/pipelines", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	s.expectNoneLeft(t)
	gone.Close()
	s.awaitLeft(t, "/gone")
	s.expectNoneLeft(t)
}

// A connection reset must be reported like a close, and so must an end of the stream after bytes of a further
// request.
func TestResetAndPipelinedEnds(t *testing.T) {
	s := openBlocking(t)
	reset := s.ask(t, "/reset", "").(*net.TCPConn)
	reset.SetLinger(0)
	reset.Close()
	s.awaitLeft(t, "/reset")
	s.ask(t, "/pipelined", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n").Close()
	s.awaitLeft(t, "/pipelined")
}

// A connection must not be watched after its request was answered: the client may close it then.
func TestAnsweredRequestsAreNotWatched(t *testing.T) {
	s := openBlocking(t)
	c := s.ask(t, "/first", "")
	s.release <- true
	if _, err := io.ReadAtLeast(c, make([]byte, 256), len("HTTP/1.1 200")); err != nil {
		t.Fatal(err)
	}
	c.Close()
	s.expectNoneLeft(t)
}
