package wire

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// Quick is a TCP connection whose reads and writes are plain system calls. The library's go through the scheduler, which has to
// allow for calls that wait: each first one after a pause wakes the thread that watches over such calls, and that thread
// looks again every 20 microseconds until the process is idle. A socket that does not block never waits in its call, so nothing
// has to be watched. Deadlines, and waiting until there is something, are the library's. One goroutine may read and one write.
type Quick struct {
	*net.TCPConn
	raw      syscall.RawConn
	in, out  []byte
	nin      int
	nout     int
	ein      error
	eout     error
	read, wr func(fd uintptr) bool
}

// Quicken takes over a connection; one that is not TCP stays as it is.
func Quicken(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return c
	}
	q := &Quick{TCPConn: t, raw: raw}
	q.read, q.wr = q.tryRead, q.tryWrite
	return q
}

// call makes one system call on a part of a buffer, again where a signal came in between.
func call(trap, fd uintptr, b []byte) (int, syscall.Errno) {
	for {
		n, _, e := syscall.RawSyscall(trap, fd, uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
		if e != syscall.EINTR {
			return int(n), e
		}
	}
}

func (q *Quick) tryRead(fd uintptr) bool {
	n, e := call(syscall.SYS_READ, fd, q.in)
	switch {
	case e == syscall.EAGAIN:
		return false
	case e != 0:
		q.ein = os.NewSyscallError("read", e)
	case n == 0:
		q.ein = io.EOF
	default:
		q.nin = n
	}
	return true
}

// Read reads what has come, and waits until there is something.
func (q *Quick) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	q.in, q.nin, q.ein = b, 0, nil
	err := q.raw.Read(q.read)
	q.in = nil
	if err == nil {
		err = q.ein
	}
	return q.nin, err
}

func (q *Quick) tryWrite(fd uintptr) bool {
	for q.nout < len(q.out) {
		n, e := call(syscall.SYS_WRITE, fd, q.out[q.nout:])
		switch {
		case e == syscall.EAGAIN:
			return false
		case e != 0:
			q.eout = os.NewSyscallError("write", e)
			return true
		}
		q.nout += n
	}
	return true
}

// Write sends all of b.
func (q *Quick) Write(b []byte) (int, error) {
	q.out, q.nout, q.eout = b, 0, nil
	err := q.raw.Write(q.wr)
	q.out = nil
	if err == nil {
		err = q.eout
	}
	return q.nout, err
}

// ReadFrom is not the library's, which would send a file by itself.
func (q *Quick) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{q}, r) }
