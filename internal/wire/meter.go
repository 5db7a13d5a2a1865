package wire

import (
	"io"
	"net"
	"syscall"
	"unsafe"
)

// Meter bounds what one message may read off a connection: neither ReadRequest nor ReadResponse has a limit of its own.
// It remembers why reading ended, as a line cut short by that is reported as malformed.
type Meter struct {
	R    io.Reader
	left int
	Err  error // why reading ended
}

// Allow lets the message at hand read n more bytes.
func (m *Meter) Allow(n int) { m.left = n }

func (m *Meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		m.Err = ErrTooLarge
		return 0, m.Err
	}
	n, err := m.R.Read(b[:min(len(b), m.left)])
	m.left -= n
	m.Err = err
	return n, err
}

// Arrived looks whether anything waits to be read off c, without taking it: bytes, or the end of the connection.
// A goroutine that reads c would learn the same, but only once it is scheduled.
func Arrived(c net.Conn) (bytes, ended bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	var b [1]byte
	var n int
	var got syscall.Errno
	err = raw.Control(func(fd uintptr) {
		n, got = peek(fd, &b)
	})
	switch {
	case err != nil:
		return false, true
	case got == syscall.EAGAIN || got == syscall.EINTR:
		return false, false
	case got != 0 || n <= 0:
		return false, true
	}
	return true, false
}

// peek looks at what has come without waiting, so it need not go through the scheduler.
func peek(fd uintptr, b *[1]byte) (int, syscall.Errno) {
	n, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(b)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return int(n), e
}
