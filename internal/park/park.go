//go:build linux

// Package park watches idle connections for their next bytes, without a read buffer or a timer for each of them. Its main
// type is Poller: Arm hands over a connection, and the Poller calls back once when the connection has something to read. The
// package knows neither the protocol of the connections nor how long they may stay idle. There are two kinds of Poller.
//
// NewEpollPoller watches many connections with one epoll instance and without a goroutine for each. The connections remain
// those of package net, which has them in the runtime's own epoll instance as well: a descriptor may be in several
// instances, and each reports to its own waiter (epoll(7)). Connections are armed for one report (EPOLLONESHOT), so that
// between a report and the next Arm the reader has the connection to itself. The runtime waits for the epoll instance
// itself, which takes one epoll instance inside another. Not every substitute for a Linux kernel reports events in this
// case.
//
// NewGoroutinePoller watches a few connections with a goroutine each, which the runtime wakes like any reader. Each
// goroutine costs a stack, but this kind needs no support from the system beyond what package net uses.
package park

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const eventBatch = 128 // events taken from epoll in one call

// Registration links a connection to a Poller. The zero value is a connection that has not been armed yet.
type Registration struct {
	raw syscall.RawConn
	id  uint64 // 0: not registered
}

// WatcherStackBytes is the memory that a waiting goroutine takes.
const WatcherStackBytes = 4 << 10

// Poller watches idle connections.
type Poller struct {
	epoll   *os.File // nil: a goroutine watches each connection
	raw     syscall.RawConn
	onReady func(any)

	mu         sync.Mutex
	lastID     uint64 // an id is never used twice, so that a late event of a removed connection matches none
	registered map[uint64]any
	peak       int // largest size of registered since the map was made; a Go map does not shrink
}

// NewGoroutinePoller returns a Poller that waits for each connection in a goroutine. It calls onReady with the value of each
// connection that has data to read, has been closed by its peer, or has failed.
func NewGoroutinePoller(onReady func(value any)) *Poller {
	return &Poller{onReady: onReady, registered: map[uint64]any{}}
}

// NewEpollPoller returns a Poller that waits in an epoll instance. Run calls onReady as described at NewGoroutinePoller.
func NewEpollPoller(onReady func(value any)) (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	// The runtime polls a non-blocking descriptor itself, so that Run holds no thread while it waits.
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("make epoll instance non-blocking: %w", err)
	}
	p := &Poller{epoll: os.NewFile(uintptr(fd), "epoll"), onReady: onReady, registered: map[uint64]any{}}
	if p.raw, err = p.epoll.SyscallConn(); err != nil {
		p.epoll.Close()
		return nil, fmt.Errorf("get descriptor of epoll instance: %w", err)
	}
	return p, nil
}

// Close ends Run. Arm must not be called afterwards. A goroutine that watches a connection ends when the connection is
// closed.
func (p *Poller) Close() {
	if p.epoll != nil {
		p.epoll.Close()
	}
}

// Run reports events of the epoll instance until Close. Without an epoll instance it returns at once.
func (p *Poller) Run() {
	if p.epoll == nil {
		return
	}
	var events [eventBatch]unix.EpollEvent
	for {
		n := 0
		err := p.raw.Read(func(fd uintptr) bool {
			var err error
			n, err = unix.EpollWait(int(fd), events[:], 0)
			return err == nil && n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:n] {
			p.report(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

// report calls onReady for a connection, unless the connection has been removed meanwhile.
func (p *Poller) report(id uint64) {
	p.mu.Lock()
	value := p.registered[id]
	p.mu.Unlock()
	if value != nil {
		p.onReady(value)
	}
}

// watch waits until a connection has something to read, and reports it. The callback of raw.Read tests for data before the
// runtime waits, because the runtime reports only what arrives while it waits.
func (p *Poller) watch(raw syscall.RawConn, id uint64) {
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
	p.report(id)
}

// Arm watches a connection until its next report. Data that has already arrived is reported at once. If c has no descriptor,
// or the kernel refuses to watch it, Arm returns an error and the connection is not watched.
func (p *Poller) Arm(r *Registration, c net.Conn, value any) error {
	op := unix.EPOLL_CTL_MOD
	if r.raw == nil {
		sc, ok := c.(syscall.Conn)
		if !ok {
			return errors.New("park: connection has no file descriptor")
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			return fmt.Errorf("park: get descriptor of connection: %w", err)
		}
		r.raw, op = raw, unix.EPOLL_CTL_ADD
	}
	if p.epoll == nil {
		if err := c.SetReadDeadline(time.Time{}); err != nil { // the deadline of the last read may have passed
			return fmt.Errorf("park: clear read deadline: %w", err)
		}
		p.Remove(r) // an earlier goroutine that has not reported yet then finds no value for its id
		p.register(r, value)
		go p.watch(r.raw, r.id)
		return nil
	}
	if r.id == 0 {
		p.register(r, value)
	}
	e := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(r.id), Pad: int32(r.id >> 32)}
	var ctlErr, epollErr error
	connErr := r.raw.Control(func(fd uintptr) { // Control keeps the descriptor from being closed and reused meanwhile
		epollErr = p.raw.Control(func(epoll uintptr) { ctlErr = unix.EpollCtl(int(epoll), op, int(fd), &e) })
	})
	if err := errors.Join(connErr, epollErr, ctlErr); err != nil {
		return fmt.Errorf("park: watch connection with epoll: %w", err)
	}
	return nil
}

func (p *Poller) register(r *Registration, value any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	r.id = p.lastID
	p.registered[r.id] = value
	p.peak = max(p.peak, len(p.registered))
}

// Remove ends the registration of a connection. An epoll instance drops a connection by itself when the connection is
// closed, so Remove makes no system call. Once few of many registrations are left, Remove replaces the map to free its
// memory.
func (p *Poller) Remove(r *Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.registered, r.id)
	r.id = 0
	if p.peak > eventBatch && len(p.registered) < p.peak/8 {
		smaller := make(map[uint64]any, len(p.registered))
		maps.Copy(smaller, p.registered)
		p.registered, p.peak = smaller, len(smaller)
	}
}
