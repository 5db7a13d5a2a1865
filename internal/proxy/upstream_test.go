package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"beechwing/balancer"
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

// TestNoPlaceInTime: with all places for connections taken, an attempt does not outlast its time waiting for one.
func TestNoPlaceInTime(t *testing.T) {
	h := newHost(t, says(ok))
	g := one(t, h)
	hosts := g.p.hosts
	hosts.connect = patience
	for range cap(hosts.slots) {
		hosts.slots <- struct{}{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, result := hosts.find(hostID("h1")).exchange(ctx, func(net.Conn, func() error) error { return nil })
	if took := time.Since(began); result != balancer.ConnectFailed || took > patience/2 {
		t.Fatalf("%v after %v", result, took)
	}
	for range cap(hosts.slots) {
		<-hosts.slots
	}
}

// TestRestartedHost: idle connections to a host's old process are not kept once the list tells of a new one.
func TestRestartedHost(t *testing.T) {
	h := newHost(t, says(ok))
	l := newList(t, entry("h1", h.addr()))
	g := start(t, l.addr(), "null", func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 1000 })
	g.waitReady()
	g.raw(message("read", ""))
	again := entry("h1", h.addr())
	again.Started = time.Now().UnixMilli()
	l.set(again)
	if err := h.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("it ended with %v", err)
	}
}
