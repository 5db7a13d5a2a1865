//go:build linux

// Package park lets connections wait for their next bytes without a buffer or a timer each. It knows neither what the
// connections carry nor how long they may wait. There are two ways to wait.
//
// Many wait in one epoll instance, without a goroutine each. The connections stay those of package net, which has them in
// the runtime's own epoll instance as well; one descriptor may be in several, and each reports to its own (epoll(7)). Here
// they are armed for one report only, EPOLLONESHOT, so that between a report and the next Arm whoever reads has the
// connection to itself. The runtime waits for the instance itself, one epoll in another, which not every system that stands
// in for a kernel reports.
//
// A few have a goroutine each, which the runtime wakes as it wakes any reader. That costs a stack, and nothing else has to
// work for it.
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

const batch = 128 // reports taken at a time

// Registration is what a connection is to a Lot. Its zero value has not been parked yet.
type Registration struct {
	raw syscall.RawConn
	id  uint64 // 0: not known to the lot
}

// WatcherStackBytes is the memory that a waiting goroutine takes, in bytes.
const WatcherStackBytes = 4 << 10

// Poller watches parked connections.
type Poller struct {
	epoll *os.File // nil: a goroutine watches each connection
	raw   syscall.RawConn
	wake  func(any)

	mu      sync.Mutex
	lastID  uint64 // none is given twice: a late report for one that has left fits nobody
	holders map[uint64]any
	most    int // that holders has held; a map keeps the room for them
}

// NewGoroutinePoller makes a lot in which a goroutine waits for each connection. It calls wake with the holder of each that has
// something to read, has ended, or has failed.
func NewGoroutinePoller(wake func(holder any)) *Poller {
	return &Poller{wake: wake, holders: map[uint64]any{}}
}

// NewEpollPoller makes a lot with an epoll instance, of which Run reports as NewWatchers describes.
func NewEpollPoller(wake func(holder any)) (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	// Non-blocking, the descriptor is itself waited for by the runtime, so that waiting holds no thread.
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	l := &Poller{epoll: os.NewFile(uintptr(fd), "epoll"), wake: wake, holders: map[uint64]any{}}
	if l.raw, err = l.epoll.SyscallConn(); err != nil {
		l.epoll.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return l, nil
}

// Close ends Run. Nothing may be parked after it. A goroutine that watches ends with its connection.
func (l *Poller) Close() {
	if l.epoll != nil {
		l.epoll.Close()
	}
}

// Run reports until Close, where there is an epoll instance.
func (l *Poller) Run() {
	if l.epoll == nil {
		return
	}
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
			l.report(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

// report wakes who parked a connection, unless it has left since.
func (l *Poller) report(id uint64) {
	l.mu.Lock()
	holder := l.holders[id]
	l.mu.Unlock()
	if holder != nil {
		l.wake(holder)
	}
}

// watch waits for a connection to have something to read. It looks itself before it waits: the runtime tells of what comes,
// not of what is there.
func (l *Poller) watch(raw syscall.RawConn, id uint64) {
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
	l.report(id)
}

// Arm parks a connection until its next report. What has come already is reported at once. Where c has no descriptor, or
// the kernel refuses to watch it, the error says so and the connection is not parked.
func (l *Poller) Arm(s *Registration, c net.Conn, holder any) error {
	op := unix.EPOLL_CTL_MOD
	if s.raw == nil {
		sc, ok := c.(syscall.Conn)
		if !ok {
			return errors.New("park: connection without a descriptor")
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			return fmt.Errorf("park: %w", err)
		}
		s.raw, op = raw, unix.EPOLL_CTL_ADD
	}
	if l.epoll == nil {
		if err := c.SetReadDeadline(time.Time{}); err != nil { // the last read's may be over
			return fmt.Errorf("park: %w", err)
		}
		l.Remove(s) // a goroutine that still has to report the time before reports to nobody
		l.enter(s, holder)
		go l.watch(s.raw, s.id)
		return nil
	}
	if s.id == 0 {
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

func (l *Poller) enter(s *Registration, holder any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	s.id = l.lastID
	l.holders[s.id] = holder
	l.most = max(l.most, len(l.holders))
}

// Remove forgets a connection that is closed; the kernel has forgotten it by then. What many of them needed is given back
// once few are left.
func (l *Poller) Remove(s *Registration) {
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
