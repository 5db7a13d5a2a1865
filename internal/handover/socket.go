// Package handover is what one process of a client proxy leaves to the next: the clients' listening socket, inherited by
// descriptor, and state in files of a common folder.
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

// Listener makes a listener of the descriptor that text names. It has to be a listening TCP socket at addr. The
// descriptor itself is closed; the listener has one of its own, and the socket lives on with whoever else holds it.
func Listener(text, addr string) (net.Listener, error) {
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("descriptor %q is no number", text)
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

// sameAddress refuses a socket of another port or host than clients are told. A socket at no address in particular
// serves all of them.
func sameAddress(ln net.Listener, addr string) error {
	at, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return errors.New("not a TCP socket")
	}
	want, err := netip.ParseAddrPort(addr)
	if err != nil { // a name: its port alone can be told
		_, port, err := net.SplitHostPort(addr)
		if err != nil || port != strconv.Itoa(at.Port) {
			return fmt.Errorf("listens on %s, not on %s", at, addr)
		}
		return nil
	}
	has := at.AddrPort()
	wild := has.Addr().IsUnspecified() || want.Addr().IsUnspecified()
	if has.Port() != want.Port() || !wild && has.Addr().Unmap() != want.Addr().Unmap() {
		return fmt.Errorf("listens on %s, not on %s", at, addr)
	}
	return nil
}
