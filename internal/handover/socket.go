// Package handover passes state from one process of a proxy to the next, for example in an upgrade. Listener takes over the
// clients' listening socket from an inherited file descriptor, and File stores a value in a state file that both processes use.
package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
)

// Listener returns a listener for the inherited file descriptor whose number is in text. The descriptor must be a listening TCP
// socket with the address addr. Listener closes it after duplicating it. The socket stays open as long as any process holds a
// descriptor of it.
func Listener(text, addr string) (net.Listener, error) {
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("descriptor %q is not a number", text)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, os.NewSyscallError("getsockopt", err))
	}
	if listening == 0 {
		return nil, fmt.Errorf("descriptor %d is a socket that does not listen", fd)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if err := sameAddress(ln, addr); err != nil {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return ln, nil
}

// sameAddress returns an error unless ln listens on addr, the address that clients use. The unspecified address (0.0.0.0 or ::)
// on either side matches every address.
func sameAddress(ln net.Listener, addr string) error {
	actual, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return errors.New("not a TCP socket")
	}
	want, err := netip.ParseAddrPort(addr)
	if err != nil { // addr contains a host name, so only the port can be compared
		_, port, err := net.SplitHostPort(addr)
		if err != nil || port != strconv.Itoa(actual.Port) {
			return fmt.Errorf("listens on %s, not on %s", actual, addr)
		}
		return nil
	}
	got := actual.AddrPort()
	unspecified := got.Addr().IsUnspecified() || want.Addr().IsUnspecified()
	if got.Port() != want.Port() || !unspecified && got.Addr().Unmap() != want.Addr().Unmap() {
		return fmt.Errorf("listens on %s, not on %s", actual, addr)
	}
	return nil
}
