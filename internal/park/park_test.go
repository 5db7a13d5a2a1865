package park

import (
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const reportTimeout = 40 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns both ends of a TCP connection.
func pair(t *testing.T, ln net.Listener) (server, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}

// withBothPollers runs a test with each kind of Poller.
func withBothPollers(t *testing.T, test func(*testing.T, bool)) {
	t.Run("epoll", func(t *testing.T) { test(t, false) })
	t.Run("goroutines", func(t *testing.T) { test(t, true) })
}

func newPoller(t *testing.T, goroutines bool) (*Poller, net.Listener, chan any) {
	t.Helper()
	ready := make(chan any, 4096)
	onReady := func(value any) { ready <- value }
	poller, err := NewGoroutinePoller(onReady), error(nil)
	if !goroutines {
		poller, err = NewEpollPoller(onReady)
	}
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { poller.Run(); close(ended) }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
		poller.Close()
		<-ended
	})
	return poller, ln, ready
}

func nextReport(t *testing.T, ready chan any) any {
	t.Helper()
	select {
	case value := <-ready:
		return value
	case <-time.After(reportTimeout):
		t.Fatal("no report within the timeout")
		return nil
	}
}

// TestReports checks that data, a close, a half-close and a reset are reported once for each Arm, including what happened
// before the call of Arm.
func TestReports(t *testing.T) { withBothPollers(t, testReports) }

func testReports(t *testing.T, goroutines bool) {
	poller, ln, ready := newPoller(t, goroutines)
	for name, act := range map[string]func(net.Conn){
		"bytes":      func(c net.Conn) { c.Write([]byte("x")) },
		"close":      func(c net.Conn) { c.Close() },
		"half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		server, client := pair(t, ln)
		var r Registration
		if err := poller.Arm(&r, server, name); err != nil {
			t.Fatal(err)
		}
		act(client)
		if value := nextReport(t, ready); value != name {
			t.Fatalf("report of %v, want %s", value, name)
		}
		if err := poller.Arm(&r, server, name); err != nil { // the connection is still readable
			t.Fatal(err)
		}
		nextReport(t, ready)
		server.Close()
		poller.Remove(&r)
	}
	if len(ready) > 0 || len(poller.registered) > 0 {
		t.Fatalf("%d unexpected reports, %d registrations kept", len(ready), len(poller.registered))
	}
}

// TestWave checks that a thousand connections that become ready together are each reported once, and that nothing is kept
// of them after Remove.
func TestWave(t *testing.T) { withBothPollers(t, testWave) }

func testWave(t *testing.T, goroutines bool) {
	const many = 1000
	poller, ln, ready := newPoller(t, goroutines)
	server, client, registrations := make([]net.Conn, many), make([]net.Conn, many), make([]Registration, many)
	for i := range many {
		server[i], client[i] = pair(t, ln)
		if err := poller.Arm(&registrations[i], server[i], i); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range client {
		c.Write([]byte("x"))
	}
	seen := map[any]bool{}
	for range many {
		value := nextReport(t, ready)
		if seen[value] {
			t.Fatalf("connection %v reported twice", value)
		}
		seen[value] = true
	}
	for i := range many {
		server[i].Close()
		poller.Remove(&registrations[i])
	}
	if len(poller.registered) > 0 || poller.peak > eventBatch {
		t.Fatalf("%d registrations kept, peak size %d after Remove", len(poller.registered), poller.peak)
	}
}

// TestClosed checks that Arm fails for a closed connection and for one without a descriptor.
func TestClosed(t *testing.T) { withBothPollers(t, testClosed) }

func testClosed(t *testing.T, goroutines bool) {
	poller, ln, _ := newPoller(t, goroutines)
	server, _ := pair(t, ln)
	server.Close()
	pipe, other := net.Pipe()
	defer other.Close()
	defer pipe.Close()
	for _, c := range []net.Conn{server, pipe} {
		var r Registration
		if err := poller.Arm(&r, c, 1); err == nil {
			t.Errorf("Arm of an unusable %T succeeded", c)
		}
		poller.Remove(&r)
	}
}
