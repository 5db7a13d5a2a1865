package wire

import (
	"io"
	"net"
	"syscall"
	"unsafe"
)

// LimitedReader limits the bytes that one message may read from a connection, because http.ReadRequest and http.ReadResponse
// have no limit of their own. It keeps the last error of R, because net/http reports a line that such an error cut short as
// malformed.
type LimitedReader struct {
	R         io.Reader
	remaining int
	Err       error // result of the last Read: the error of R, or ErrTooLarge
}

// SetLimit allows the current message to read n bytes from now on.
func (l *LimitedReader) SetLimit(n int) { l.remaining = n }

func (l *LimitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.Err = ErrTooLarge
		return 0, l.Err
	}
	n, err := l.R.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	l.Err = err
	return n, err
}

// Pending reports whether c has unread bytes, or has been closed or reset by the peer or locally. It consumes nothing. A
// goroutine that reads from c would learn the same, but only after the scheduler has run it.
func Pending(c net.Conn) (bytes, ended bool) {
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
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		n, errno = peek(fd, &b)
	})
	switch {
	case err != nil:
		return false, true
	case errno == syscall.EAGAIN || errno == syscall.EINTR:
		return false, false
	case errno != 0 || n <= 0:
		return false, true
	}
	return true, false
}

// peek reads one byte without consuming it. The call never blocks, so it bypasses the scheduler's handling of system calls.
func peek(fd uintptr, b *[1]byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(b)), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}
