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

// relays carry the connections between the processes of a fleet, and can block them. Each process listens behind a relay, which
// has the address that the other processes know. A cut is silent, like that of a network that drops packets: data waits, and
// connections stay open.
type relays struct {
	mu          sync.Mutex
	cuts        map[direction]bool
	dropNext    map[direction]bool // the next bytes are lost, and their connection is closed
	connections map[net.Conn]direction
	listeners   []net.Listener
}

// direction is a pair of mesh addresses, for what goes from one process to another.
type direction struct{ from, to string }

const (
	pollInterval    = 5 * time.Millisecond // between checks whether a cut has ended
	maxFirstFrame   = 4 << 10              // in bytes; the Hello of a process is shorter
	frameHeaderSize = 4
)

func newRelays() *relays {
	return &relays{cuts: map[direction]bool{}, dropNext: map[direction]bool{}, connections: map[net.Conn]direction{}}
}

// serve relays connections from the address that the other processes know to the address at which the process listens.
func (r *relays) serve(address, processAddress string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.relayConnection(c, address, processAddress)
		}
	}()
	return nil
}

// relayConnection relays one connection. The Hello in its first frame names the process that has connected.
func (r *relays) relayConnection(c net.Conn, address, processAddress string) {
	defer c.Close()
	frame, from, err := readHello(c)
	if err != nil {
		return
	}
	incoming := direction{from, address}
	r.waitWhileCut(incoming)
	target, err := net.Dial("tcp", processAddress)
	if err != nil {
		return
	}
	defer target.Close()
	r.track(c, incoming)
	defer r.untrack(c)
	if _, err := target.Write(frame); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go r.copyBytes(c, target, incoming, done)
	go r.copyBytes(target, c, direction{address, from}, done)
	<-done
}

// readHello reads the first frame of a connection.
func readHello(c net.Conn) (frame []byte, from string, err error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, "", err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFirstFrame {
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

// copyBytes copies bytes in one direction until the connection ends.
func (r *relays) copyBytes(from, to net.Conn, dir direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.waitWhileCut(dir)
		if r.takeDrop(dir) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitWhileCut waits as long as a direction is cut.
func (r *relays) waitWhileCut(dir direction) {
	for r.isCut(dir) {
		time.Sleep(pollInterval)
	}
}

func (r *relays) isCut(dir direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[dir]
}

// takeDrop reports whether the next bytes of a direction are to be lost, and resets this state.
func (r *relays) takeDrop(dir direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.dropNext[dir]
	delete(r.dropNext, dir)
	return lost
}

func (r *relays) track(c net.Conn, dir direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[c] = dir
}

func (r *relays) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// cut blocks a direction until clearFaults.
func (r *relays) cut(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[direction{from, to}] = true
}

// dropNextBytes causes the next bytes of a direction to be lost and their connection to be closed.
func (r *relays) dropNextBytes(from, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropNext[direction{from, to}] = true
}

// clearFaults ends all cuts and pending drops.
func (r *relays) clearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	clear(r.dropNext)
}

// close ends the relays and their connections.
func (r *relays) close() {
	for _, ln := range r.listeners {
		ln.Close()
	}
	r.clearFaults()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.Close()
	}
}
