package member

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport carries memberlist's packets and streams. memberlist's own transport allocates 64 KiB for each incoming
// packet, which would be most of a member's cost. This transport also dials from the member's own address, so that
// a member which listens on a specific address is known to others by that address.
type transport struct {
	localAddr  netip.Addr
	packetConn *net.UDPConn
	listener   *net.TCPListener
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	done       chan struct{}
	goroutines sync.WaitGroup
}

const maxPacketBytes = 64 << 10

func newTransport(addr netip.AddrPort) (*transport, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		listener.Close()
		return nil, err
	}
	t := &transport{localAddr: addr.Addr(), packetConn: packetConn, listener: listener,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{})}
	t.goroutines.Go(t.readPackets)
	t.goroutines.Go(t.acceptStreams)
	return t, nil
}

func (t *transport) readPackets() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := t.packetConn.ReadFromUDP(buf)
		select {
		case <-t.done:
			return
		default:
		}
		if err != nil || n == 0 {
			time.Sleep(time.Millisecond) // errors of earlier sends are reported here; the pause prevents a busy loop
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: time.Now()}:
		case <-t.done:
			return
		}
	}
}

func (t *transport) acceptStreams() {
	for {
		conn, err := t.listener.Accept()
		select {
		case <-t.done:
			if err == nil {
				conn.Close()
			}
			return
		default:
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // for example no free file descriptors
			continue
		}
		select {
		case t.streams <- conn:
		case <-t.done:
			conn.Close()
			return
		}
	}
}

// FinalAdvertiseAddr returns the configured address.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("members: %q is not an IP address", ip)
	}
	return addr, port, nil
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("members: %w", err)
	}
	_, err = t.packetConn.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// PacketCh returns the channel of incoming packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of incoming streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout connects to a member.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if !t.localAddr.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.localAddr.AsSlice()}
	}
	return dialer.Dial("tcp", addr)
}

// Shutdown closes the transport and waits for its goroutines.
func (t *transport) Shutdown() error {
	close(t.done)
	t.listener.Close()
	t.packetConn.Close()
	t.goroutines.Wait()
	return nil
}
