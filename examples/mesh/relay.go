package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// relays carry what the processes of a mesh say to each other, and can be told to hold it up: each process listens behind a relay at the
// address that the others know. A cut is silent, as behind a network that drops packets: bytes wait, and connections stay.
type relays struct {
	mu    sync.Mutex
	cuts  map[route]bool
	lossy map[route]bool // the next bytes are lost, and their connection with them
	open  map[net.Conn]route
	ends  []net.Listener
}

// route is from whose address to whose something goes.
type route struct{ from, to string }

const (
	relayLook  = 5 * time.Millisecond // between looks whether a cut has ended
	firstFrame = 4 << 10              // bytes: a greeting is shorter
	frameHead  = 4
)

func newRelays() *relays {
	return &relays{cuts: map[route]bool{}, lossy: map[route]bool{}, open: map[net.Conn]route{}}
}

// serve relays from the address that others know to the one at which the process listens.
func (r *relays) serve(known, behind string) error {
	ln, err := net.Listen("tcp", known)
	if err != nil {
		return err
	}
	r.ends = append(r.ends, ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.carry(c, known, behind)
		}
	}()
	return nil
}

// carry relays one connection. Its first frame says who has connected.
func (r *relays) carry(c net.Conn, known, behind string) {
	defer c.Close()
	frame, from, err := greeting(c)
	if err != nil {
		return
	}
	there := route{from, known}
	r.wait(there)
	target, err := net.Dial("tcp", behind)
	if err != nil {
		return
	}
	defer target.Close()
	r.hold(c, there)
	defer r.release(c)
	if _, err := target.Write(frame); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go r.pump(c, target, there, done)
	go r.pump(target, c, route{known, from}, done)
	<-done
}

// greeting reads the first frame of a connection.
func greeting(c net.Conn) (frame []byte, from string, err error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, "", err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > firstFrame {
		return nil, "", io.ErrUnexpectedEOF
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, "", err
	}
	m := &meshpb.Message{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, "", err
	}
	return append(head[:], body...), m.GetHello().GetFrom(), nil
}

// pump carries bytes one way until the connection ends.
func (r *relays) pump(from, to net.Conn, way route, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.wait(way)
		if r.loses(way) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// wait holds what goes one way up for as long as that is cut.
func (r *relays) wait(way route) {
	for r.isCut(way) {
		time.Sleep(relayLook)
	}
}

func (r *relays) isCut(way route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[way]
}

// loses takes the order to lose what goes one way next.
func (r *relays) loses(way route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lossy[way]
	delete(r.lossy, way)
	return lost
}

func (r *relays) hold(c net.Conn, way route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = way
}

func (r *relays) release(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// cut holds up what goes one way.
func (r *relays) cut(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[route{from, to}] = true
}

// lose has the next bytes that go one way lost, and their connection end.
func (r *relays) lose(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossy[route{from, to}] = true
}

// join ends all cuts.
func (r *relays) join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	clear(r.lossy)
}

// close ends the relays and all that they carry.
func (r *relays) close() {
	for _, ln := range r.ends {
		ln.Close()
	}
	r.join()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}
