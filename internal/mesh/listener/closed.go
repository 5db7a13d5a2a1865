package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"beechwing/internal/wire"
)

// A client that closes its connection no longer waits for a response. Nothing is read from a connection while
// its request is served, so CheckClosed looks for the end of the stream with one poll call for all requests
// being served, every few hundredths of a second.
//
// TCP does not distinguish a client that will send nothing more but still reads from one that has gone: both
// send the end of their stream. As in most servers, either counts as having left. Bytes of a further request do
// not.

// closedEvents are the poll events that report that the peer has ended its stream or reset the connection.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// NotifyClosed registers f, which is called at most once, if CheckClosed finds that the client closed its
// connection before the request was answered.
func (r *Request) NotifyClosed(f func()) {
	if r.conn == nil {
		return
	}
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	r.conn.onClosed = f
}

// unwatch removes the function registered for a connection. Afterwards the connection may be closed by this
// process.
func (l *Listener) unwatch(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.onClosed = nil
}

// CheckClosed calls the registered functions of the clients that have closed their connections while their
// requests are served. It must be called every few hundredths of a second.
func (l *Listener) CheckClosed() {
	for _, onClosed := range l.closed() {
		onClosed()
	}
}

// closed returns the functions to call. No watched connection is closed by this process while l.mu is held.
func (l *Listener) closed() (calls []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched, l.polled = l.watched[:0], l.polled[:0]
	for c := range l.conns {
		if c.onClosed == nil {
			continue
		}
		if fd, ok := c.descriptor(); ok {
			l.watched = append(l.watched, c)
			l.polled = append(l.polled, unix.PollFd{Fd: fd, Events: unix.POLLIN | unix.POLLRDHUP})
		}
	}
	if len(l.polled) == 0 {
		return nil
	}
	if n, err := unix.Poll(l.polled, 0); err != nil || n == 0 {
		return nil
	}
	for i, c := range l.watched {
		if c.hasEnded(l.polled[i].Revents) {
			calls = append(calls, c.onClosed)
			c.onClosed = nil
		}
	}
	return calls
}

// hasEnded interprets the poll events of a connection. If the kernel reports only readable bytes, it checks for
// the end of the stream itself.
func (c *conn) hasEnded(events int16) bool {
	if events&unix.POLLIN != 0 && events&closedEvents == 0 {
		_, ended := wire.Pending(c.Conn)
		return ended
	}
	return events&closedEvents != 0
}

// descriptor returns the connection's file descriptor.
func (c *conn) descriptor() (fd int32, ok bool) {
	if c.fd == 0 {
		c.fd = descriptorOf(c.Conn)
	}
	return c.fd, c.fd > 0
}

func descriptorOf(c net.Conn) int32 {
	const none = -1
	socket, ok := c.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return none
	}
	found := int32(none)
	if raw.Control(func(fd uintptr) { found = int32(fd) }) != nil {
		return none
	}
	return found
}
