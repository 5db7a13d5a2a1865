package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"beechwing/internal/wire"
)

// A client that closes its connection waits for no answer. While a request is served nothing is read from its connection, so the
// end of the stream is looked for: one call for all requests that are being served, every few hundredths of a second.
//
// TCP does not tell a client that will send nothing more, and still reads, from one that has gone: both send the end of their
// stream. Either counts as having left, as in most servers. Bytes of a further request do not.

// closedEvents say that the peer has ended its stream, or reset the connection.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// NotifyClosed has f called, at most once, if CheckClosed finds that the client closed its connection before the request is answered.
func (r *Request) NotifyClosed(f func()) {
	if r.conn == nil {
		return
	}
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	r.conn.left = f
}

// unwatch ends the watch for a connection's end. From then on it may be closed here.
func (l *Listener) unwatch(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.left = nil
}

// CheckClosed tells of the clients that have closed their connections while their requests are served. It is to be called every
// few hundredths of a second.
func (l *Listener) CheckClosed() {
	for _, left := range l.closed() {
		left()
	}
}

// closed gives the calls that are due. No connection of those that are watched is closed here while l.mu is held.
func (l *Listener) closed() (calls []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched, l.polled = l.watched[:0], l.polled[:0]
	for c := range l.conns {
		if c.left == nil {
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
			calls = append(calls, c.left)
			c.left = nil
		}
	}
	return calls
}

// hasEnded reads what poll says of a connection. Where the kernel does not tell the end of a stream from bytes, it is looked for.
func (c *conn) hasEnded(events int16) bool {
	if events&unix.POLLIN != 0 && events&closedEvents == 0 {
		_, ended := wire.Arrived(c.Conn)
		return ended
	}
	return events&closedEvents != 0
}

// descriptor is the connection's file descriptor.
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
