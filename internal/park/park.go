//go:build linux

// Package park lets connections wait for their next bytes without a goroutine, a buffer or a timer each: one epoll
// instance watches all of them. It knows neither what the connections carry nor how long they may wait.
//
// The connections stay those of package net, which has them in the runtime's own epoll instance as well; one descriptor
// may be in several, and each reports to its own (epoll(7)). Here they are armed for one report only, EPOLLONESHOT, so that
// between a report and the next Arm whoever reads has the connection to itself.
package park

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const batch = 128 // reports taken at a time

// Spot is what a connection is to a Lot. Its zero value has not been parked yet.
type Spot struct {
	raw syscall.RawConn
	id  uint64 // 0: not known to the lot
}

// Lot watches parked connections.
type Lot struct {
	epoll *os.File
	raw   syscall.RawConn
	wake  func(any)

	mu      sync.Mutex
	lastID  uint64 // none is given twice: a late report for one that has left fits nobody
	holders map[uint64]any
	most    int // that holders has held; a map keeps the room for them
}

// New makes a lot. Run calls wake with the holder of each connection that has something to read, has ended, or has failed.
func New(wake func(holder any)) (*Lot, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	// Non-blocking, the descriptor is itself waited for by the runtime, so that waiting holds no thread.
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	l := &Lot{epoll: os.NewFile(uintptr(fd), "epoll"), wake: wake, holders: map[uint64]any{}}
	if l.raw, err = l.epoll.SyscallConn(); err != nil {
		l.epoll.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return l, nil
}

// Close ends Run. Nothing may be parked after it.
func (l *Lot) Close() { l.epoll.Close() }

// Run reports until Close.
func (l *Lot) Run() {
	var events [batch]unix.EpollEvent
	for {
		n := 0
		err := l.raw.Read(func(fd uintptr) bool {
			var err error
			n, err = unix.EpollWait(int(fd), events[:], 0)
			return err == nil && n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:n] {
			if holder := l.find(e); holder != nil {
				l.wake(holder)
			}
		}
	}
}

// find is who parked the connection of a report; nil where it has left since.
func (l *Lot) find(e unix.EpollEvent) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[uint64(uint32(e.Fd))|uint64(uint32(e.Pad))<<32]
}

// Arm parks a connection until its next report. What has come already is reported at once. Where c has no descriptor, or
// the kernel refuses to watch it, the error says so and the connection is not parked.
func (l *Lot) Arm(s *Spot, c net.Conn, holder any) error {
	op := unix.EPOLL_CTL_MOD
	if s.id == 0 {
		sc, ok := c.(syscall.Conn)
		if !ok {
			return errors.New("park: connection without a descriptor")
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			return fmt.Errorf("park: %w", err)
		}
		s.raw, op = raw, unix.EPOLL_CTL_ADD
		l.enter(s, holder)
	}
	e := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(s.id), Pad: int32(s.id >> 32)}
	var ctl, outer error
	inner := s.raw.Control(func(fd uintptr) { // which keeps the descriptor from being closed and given to another
		outer = l.raw.Control(func(epoll uintptr) { ctl = unix.EpollCtl(int(epoll), op, int(fd), &e) })
	})
	if err := errors.Join(inner, outer, ctl); err != nil {
		return fmt.Errorf("park: %w", err)
	}
	return nil
}

func (l *Lot) enter(s *Spot, holder any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	s.id = l.lastID
	l.holders[s.id] = holder
	l.most = max(l.most, len(l.holders))
}

// Leave forgets a connection that is closed; the kernel has forgotten it by then. What many of them needed is given back
// once few are left.
func (l *Lot) Leave(s *Spot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holders, s.id)
	s.id = 0
	if l.most > batch && len(l.holders) < l.most/8 {
		few := make(map[uint64]any, len(l.holders))
		maps.Copy(few, l.holders)
		l.holders, l.most = few, len(few)
	}
}
