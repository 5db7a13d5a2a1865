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

// transport carries memberlist's packets and streams. Its own one takes 64 KiB for each packet that comes, which is most of what
// a member would cost; and calls here go out from the member's own address, so that who listens to one address is known by it.
type transport struct {
	from    netip.Addr
	pc      *net.UDPConn
	ln      *net.TCPListener
	packets chan *memberlist.Packet
	streams chan net.Conn
	end     chan struct{}
	wg      sync.WaitGroup
}

const packetMost = 64 << 10

func listenAt(at netip.AddrPort) (*transport, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	pc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		ln.Close()
		return nil, err
	}
	t := &transport{from: at.Addr(), pc: pc, ln: ln, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		end: make(chan struct{})}
	t.wg.Go(t.read)
	t.wg.Go(t.accept)
	return t, nil
}

func (t *transport) read() {
	buf := make([]byte, packetMost)
	for {
		n, from, err := t.pc.ReadFromUDP(buf)
		select {
		case <-t.end:
			return
		default:
		}
		if err != nil || n == 0 {
			time.Sleep(time.Millisecond) // a refused packet of before is told here; guards against a loop
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: time.Now()}:
		case <-t.end:
			return
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.ln.Accept()
		select {
		case <-t.end:
			if err == nil {
				c.Close()
			}
			return
		default:
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors
			continue
		}
		select {
		case t.streams <- c:
		case <-t.end:
			c.Close()
			return
		}
	}
}

// FinalAdvertiseAddr is what the configuration says.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("members: %q is no address", ip)
	}
	return addr, port, nil
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("members: %w", err)
	}
	_, err = t.pc.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// PacketCh is where packets come.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh is where streams come.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout connects to a member.
func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	if !t.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.from.AsSlice()}
	}
	return d.Dial("tcp", addr)
}

// Shutdown ends it.
func (t *transport) Shutdown() error {
	close(t.end)
	t.ln.Close()
	t.pc.Close()
	t.wg.Wait()
	return nil
}
