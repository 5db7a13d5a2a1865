package wire

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// DirectConn is a TCP connection that reads and writes with raw system calls. The calls of package net inform the scheduler,
// because a system call may block: the first call after a pause wakes the runtime's monitor thread (sysmon), which then polls
// every 20 microseconds until the process is idle. Calls on a non-blocking socket never block, so they need no monitoring.
// Deadlines and waiting for readiness still use the network poller of package net. One goroutine may read while another one
// writes.
type DirectConn struct {
	*net.TCPConn
	raw                 syscall.RawConn
	readBuf, writeBuf   []byte // arguments of the Read and Write in progress
	bytesRead           int
	bytesWritten        int
	readErr             error
	writeErr            error
	readFunc, writeFunc func(fd uintptr) bool // tryRead and tryWrite, stored so that a call does not allocate
}

// NewDirectConn returns a DirectConn for c. A connection that is not TCP is returned unchanged.
func NewDirectConn(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return c
	}
	d := &DirectConn{TCPConn: t, raw: raw}
	d.readFunc, d.writeFunc = d.tryRead, d.tryWrite
	return d
}

// call makes one system call on b and repeats it if a signal interrupted it.
func call(trap, fd uintptr, b []byte) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(trap, fd, uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}

func (d *DirectConn) tryRead(fd uintptr) bool {
	n, errno := call(syscall.SYS_READ, fd, d.readBuf)
	switch {
	case errno == syscall.EAGAIN:
		return false
	case errno != 0:
		d.readErr = os.NewSyscallError("read", errno)
	case n == 0:
		d.readErr = io.EOF
	default:
		d.bytesRead = n
	}
	return true
}

// Read returns the bytes that are available. If there are none, Read waits until some arrive.
func (d *DirectConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	d.readBuf, d.bytesRead, d.readErr = b, 0, nil
	err := d.raw.Read(d.readFunc)
	d.readBuf = nil
	if err == nil {
		err = d.readErr
	}
	return d.bytesRead, err
}

func (d *DirectConn) tryWrite(fd uintptr) bool {
	for d.bytesWritten < len(d.writeBuf) {
		n, errno := call(syscall.SYS_WRITE, fd, d.writeBuf[d.bytesWritten:])
		switch {
		case errno == syscall.EAGAIN:
			return false
		case errno != 0:
			d.writeErr = os.NewSyscallError("write", errno)
			return true
		}
		d.bytesWritten += n
	}
	return true
}

// Write writes all of b.
func (d *DirectConn) Write(b []byte) (int, error) {
	d.writeBuf, d.bytesWritten, d.writeErr = b, 0, nil
	err := d.raw.Write(d.writeFunc)
	d.writeBuf = nil
	if err == nil {
		err = d.writeErr
	}
	return d.bytesWritten, err
}

// ReadFrom copies r through Write. It hides the method of net.TCPConn, which would bypass Write by calling sendfile for a file.
func (d *DirectConn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{d}, r) }
