// Package port reserves TCP ports for servers of a lab run that are temporarily down or not started yet. The kernel may give
// an unbound port to any outgoing connection as its source port, and the server could then not listen at its address. Reserve
// reserves a port, and Reservation.Release releases it.
package port

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Reservation is a reserved port of an address. Its socket is bound but does not listen, so that connections to it are refused
// while no server listens there.
type Reservation struct {
	fd int
	at netip.AddrPort
}

// Reserve reserves a port of an IPv4 address, or a free port if the port is 0. The server that listens there must set
// SO_REUSEADDR or SO_REUSEPORT on its socket. Go's listeners set SO_REUSEADDR.
func Reserve(at netip.AddrPort) (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("port: %w", err)
	}
	r := &Reservation{fd: fd}
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	}
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("port: %s: %w", at, err)
	}
	v4 := bound.(*unix.SockaddrInet4)
	r.at = netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port))
	return r, nil
}

// Addr returns the address with the reserved port.
func (r *Reservation) Addr() netip.AddrPort { return r.at }

// Release releases the port. Further calls have no effect.
func (r *Reservation) Release() {
	if r.fd >= 0 {
		unix.Close(r.fd)
		r.fd = -1
	}
}
