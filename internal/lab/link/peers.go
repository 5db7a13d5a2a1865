package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PeerState is the condition of the link between two processes in one direction.
type PeerState struct {
	Silent bool
	Loss   float64 // share of UDP packets that are dropped, 0 to 1
	Delay  time.Duration
}

// Peers relays the UDP and TCP traffic between processes. Each process advertises the address of a relay, which forwards
// to the process's own address what other processes send from theirs, as the state of the pair permits.
type Peers struct {
	network *Network

	mu     sync.Mutex
	states map[pair]PeerState // from, to
	relays []*relay
	bytes  map[int]int64 // bytes sent, by process
}

// peerIP returns the address at which a process listens for its peers and from which it sends to them.
func peerIP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(96 + proxy>>8), byte(proxy), 1})
}

// relayIP returns the address of a process's relay.
func relayIP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(112 + proxy>>8), byte(proxy), 1})
}

// peerOf is the inverse of peerIP.
func peerOf(a netip.Addr) int {
	ip := a.Unmap().As4()
	return int(ip[1]-96)<<8 + int(ip[2])
}

// relay forwards packets and streams from the address that a process advertises to the process itself.
type relay struct {
	peers      *Peers
	to         int
	own        netip.AddrPort // where the process itself listens
	advertised netip.AddrPort // where the relay listens
	ln         net.Listener
	receiver   *net.UDPConn // receives packets of the peers
	sender     *net.UDPConn // forwards them to the process
	wg         sync.WaitGroup
	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	closed     bool
}

// NewPeers returns a Peers without faults, which shares the random numbers of the network.
func (nw *Network) NewPeers() *Peers {
	return &Peers{network: nw, states: map[pair]PeerState{}, bytes: map[int]int64{}}
}

// Add starts the relay of a process and returns the address for the process to listen on and the one to advertise.
func (p *Peers) Add(proxy int) (own, advertise string, err error) {
	r := &relay{peers: p, to: proxy, conns: map[net.Conn]struct{}{}}
	ip := net.IP(relayIP(proxy).AsSlice())
	if r.ln, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: ip}); err != nil {
		return "", "", fmt.Errorf("link: %w", err)
	}
	r.advertised = r.ln.Addr().(*net.TCPAddr).AddrPort()
	if r.receiver, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.advertised)); err == nil {
		r.sender, err = net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	}
	if err != nil {
		return "", "", errors.Join(fmt.Errorf("link: %w", err), r.ln.Close())
	}
	r.own = netip.AddrPortFrom(peerIP(proxy), r.advertised.Port())
	r.wg.Go(r.accept)
	r.wg.Go(r.forwardPackets)
	p.mu.Lock()
	p.relays = append(p.relays, r)
	p.mu.Unlock()
	return r.own.String(), r.advertised.String(), nil
}

// Set applies change to the state of the links from each process in from to each in to, in that direction only.
func (p *Peers) Set(from, to []int, change func(*PeerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			s := p.states[pair{f, t}]
			change(&s)
			p.states[pair{f, t}] = s
		}
	}
}

// BytesSent returns how many bytes a process has sent to its peers, those that were dropped included.
func (p *Peers) BytesSent(proxy int) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[proxy]
}

// Close stops all relays and closes their connections.
func (p *Peers) Close() {
	p.mu.Lock()
	relays := p.relays
	p.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
}

// admit counts n bytes as sent and reports whether they are delivered now, and after which delay. Packet loss applies only
// if packet is set.
func (p *Peers) admit(from, to, n int, packet bool) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[from] += int64(n)
	s := p.states[pair{from, to}]
	if s.Silent {
		return 0, false
	}
	if packet && s.Loss > 0 {
		p.network.mu.Lock()
		lost := p.network.random.Float64() < s.Loss
		p.network.mu.Unlock()
		if lost {
			return 0, false
		}
	}
	return s.Delay, true
}

func (r *relay) forwardPackets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.receiver.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		delay, ok := r.peers.admit(peerOf(from.Addr()), r.to, n, true)
		switch {
		case !ok:
		case delay > 0:
			packet := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() { r.sender.WriteToUDPAddrPort(packet, r.own) })
		default:
			r.sender.WriteToUDPAddrPort(buf[:n], r.own)
		}
	}
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.forwardStream(c) })
	}
}

// forwardStream forwards a TCP connection to the process, in both directions. Bytes in a direction that is silent are
// discarded. If the direction to the process is silent at the start, the connection is closed after one second.
func (r *relay) forwardStream(c net.Conn) {
	defer c.Close()
	from := peerOf(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	if _, ok := r.peers.admit(from, r.to, 0, false); !ok {
		time.Sleep(time.Second)
		return
	}
	up, err := net.Dial("tcp4", r.own.String())
	if err != nil {
		return
	}
	defer up.Close()
	if !r.track(c, up) {
		return
	}
	defer r.untrack(c, up)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(up, c, from, r.to) })
	wg.Go(func() { r.copy(c, up, r.to, from) })
	wg.Wait()
}

func (r *relay) copy(dst, src net.Conn, from, to int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if delay, ok := r.peers.admit(from, to, n, false); ok {
			time.Sleep(delay)
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if c, ok := dst.(*net.TCPConn); ok {
				c.CloseWrite()
			}
			return
		}
	}
}

func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.ln.Close()
	r.receiver.Close()
	r.sender.Close()
	r.wg.Wait()
}
