// Package port keeps ports for parties of a run that are down for a while, or have not started yet. A port that nobody has
// bound may be given to any connection that somebody else opens, and then the party cannot come back to its address.
package port

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Held is a port of an address that is kept: bound, and not listened at, so connections to it are refused.
type Held struct {
	fd int
	at netip.AddrPort
}

// Hold keeps a port of an IPv4 address; port 0: one that is free. Whoever listens there beside it has to allow that the address
// is reused, as Go's listeners do.
func Hold(at netip.AddrPort) (*Held, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("port: %w", err)
	}
	h := &Held{fd: fd}
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	}
	var got unix.Sockaddr
	if err == nil {
		got, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("port: %s: %w", at, err)
	}
	v4 := got.(*unix.SockaddrInet4)
	h.at = netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port))
	return h, nil
}

// Addr is the address with the port that is kept.
func (h *Held) Addr() netip.AddrPort { return h.at }

// Free lets the port go.
func (h *Held) Free() {
	if h.fd >= 0 {
		unix.Close(h.fd)
		h.fd = -1
	}
}
