package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// relay stands in for the network in front of one machine's port for the other processes of the mesh. It can cut the links
// between that machine and others: while a link is cut, nothing passes either way and new connections hang. Connections that
// a cut has held up are closed once it heals, as their ends have given them up by then.
type relay struct {
	machine *machine
	ln      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// portBehind is where a process behind a relay listens. It is one of the spare ports.
const portBehind = 7630

func startRelay(m *machine) (*relay, error) {
	ln, err := net.Listen("tcp", m.at(portInner))
	if err != nil {
		return nil, err
	}
	r := &relay{machine: m, ln: ln, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *relay) stop() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// serve passes one connection on. Its first bytes name the machine that it comes from.
func (r *relay) serve(c net.Conn) {
	r.track(c)
	defer r.untrack(c)
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	var from *machine
	for _, m := range r.machine.mesh.machines() {
		if strings.Contains(string(first[:n]), m.at(portInner)) {
			from = m
		}
	}
	w := r.machine.mesh
	if w.waitCut(from, r.machine) {
		return
	}
	to, err := net.Dial("tcp", r.machine.at(portBehind))
	if err != nil {
		return
	}
	r.track(to)
	defer r.untrack(to)
	if _, err := to.Write(first[:n]); err != nil {
		return
	}
	go func() {
		r.copy(to, c, from)
		c.Close()
		to.Close()
	}()
	r.copy(c, to, from)
}

func (r *relay) copy(to, from net.Conn, peer *machine) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if r.machine.mesh.waitCut(peer, r.machine) {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// cuts holds the links that are cut.
type cuts struct {
	mu    sync.Mutex
	links map[[2]*machine]bool
}

// cut cuts or joins the links between one machine and others.
func (w *mesh) cut(a *machine, others []*machine, cut bool) {
	w.cuts.mu.Lock()
	defer w.cuts.mu.Unlock()
	if w.cuts.links == nil {
		w.cuts.links = map[[2]*machine]bool{}
	}
	for _, b := range others {
		w.cuts.links[[2]*machine{a, b}], w.cuts.links[[2]*machine{b, a}] = cut, cut
	}
}

func (w *mesh) isCut(a, b *machine) bool {
	w.cuts.mu.Lock()
	defer w.cuts.mu.Unlock()
	return w.cuts.links[[2]*machine{a, b}]
}

// waitCut waits while a link is cut, and reports whether it was.
func (w *mesh) waitCut(a, b *machine) (was bool) {
	for w.isCut(a, b) {
		was = true
		time.Sleep(5 * time.Millisecond)
	}
	return was
}
