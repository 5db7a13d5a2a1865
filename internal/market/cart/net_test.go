package cart

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// greeted opens a connection as a process of that name does, and gives it with what comes by it.
func greeted(t *testing.T, to, name string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	hello, err := frame(nil, &Parcel{Hello: &Hello{From: name}})
	if err == nil {
		hello, err = frame(hello, &Parcel{Id: 1, Ping: &Ping{}})
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(hello); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// A machine that lost power connects anew while its old connection still looks well from here. What is said to it then goes by the
// new one: by the old one it would be lost.
func TestAnswersGoByTheNewConnection(t *testing.T) {
	var n *Net
	events := make(chan Event, 16)
	ready := make(chan struct{})
	n, err := Listen("127.0.0.1:0", func(e Event) {
		<-ready
		if c, ok := e.(Came); ok {
			n.Send(c.From, &Parcel{Id: c.Parcel.Id, Pong: c.Parcel.Ping})
		}
		events <- e
	})
	if err != nil {
		t.Fatal(err)
	}
	close(ready)
	defer n.Close()
	at := n.ln.Addr().String()
	_, first := greeted(t, at, "10.0.0.9:7000")
	if p, err := Read(first); err != nil || p.Pong == nil {
		t.Fatalf("%v, %v", p, err)
	}
	_, second := greeted(t, at, "10.0.0.9:7000")
	if p, err := Read(second); err != nil || p.Pong == nil {
		t.Fatalf("by the new connection: %v, %v", p, err)
	}
}

// What waits for a peer that cannot be reached is told as never sent.
func TestUnsentIsTold(t *testing.T) {
	events := make(chan Event, 16)
	n, err := Listen("127.0.0.1:0", func(e Event) { events <- e })
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := ln.Addr().String()
	ln.Close()
	link := n.Send(nobody, &Parcel{Id: 7, Ping: &Ping{}})
	select {
	case e := <-events:
		if b, ok := e.(Broke); !ok || b.Peer != nobody || b.Link != link || len(b.Unsent) != 1 || b.Unsent[0] != 7 {
			t.Errorf("told %+v", e)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing is told")
	}
}
