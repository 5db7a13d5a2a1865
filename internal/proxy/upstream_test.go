package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestLookBeforeUse: a connection that the host has closed, or said something unasked on, does not take a call, even
// if the goroutine that watches it has not run yet. Here there is none.
func TestLookBeforeUse(t *testing.T) {
	for _, c := range []struct {
		name  string
		does  func(net.Conn)
		ended bool
		bytes bool
	}{
		{"closed", func(c net.Conn) { c.Close() }, true, false},
		{"reset", resets, true, false},
		{"unasked bytes", func(c net.Conn) { io.WriteString(c, ok) }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready := make(chan struct{})
			h := newToy(t, func(conn net.Conn, br *bufio.Reader) {
				<-ready
				c.does(conn)
				br.ReadByte()
			})
			conn, err := net.Dial("tcp", h.addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fresh := &hostConn{conn: conn}
			if !fresh.begin(newCall()) {
				t.Fatal("a quiet connection is not taken")
			}
			close(ready)
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				bytes, ended := arrived(conn)
				if bytes == c.bytes && ended == c.ended {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("bytes %v, ended %v", bytes, ended)
				}
			}
			if (&hostConn{conn: conn}).begin(newCall()) {
				t.Fatal("it takes a call")
			}
		})
	}
}
