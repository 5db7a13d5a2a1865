package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PeerState is what the link between two processes does to their words, in one direction.
type PeerState struct {
	Silent bool
	Loss   float64 // share of packets
	Delay  time.Duration
}

// Peers carries words between processes, UDP and TCP: each advertises an address of the rig's, which passes on to its own what
// comes from another's own address, as the state of the pair lets it.
type Peers struct {
	table *Table

	mu     sync.Mutex
	states map[pair]PeerState // from, to
	relays []*relay
	bytes  map[int]int64 // sent, by process
}

// peerIP is the address that a process calls its peers from, and listens on.
func peerIP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(96 + proxy>>8), byte(proxy), 1})
}

func relayIP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(112 + proxy>>8), byte(proxy), 1})
}

func peerOf(a netip.Addr) int {
	ip := a.Unmap().As4()
	return int(ip[1]-96)<<8 + int(ip[2])
}

// relay is the address that one process advertises.
type relay struct {
	peers *Peers
	to    int
	own   netip.AddrPort // of the process
	at    netip.AddrPort
	ln    net.Listener
	pc    *net.UDPConn
	out   *net.UDPConn
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	over  bool
}

// NewPeers makes links between processes.
func (t *Table) NewPeers() *Peers {
	return &Peers{table: t, states: map[pair]PeerState{}, bytes: map[int]int64{}}
}

// Add gives a process its own address and the one to advertise.
func (p *Peers) Add(proxy int) (own, advertise string, err error) {
	r := &relay{peers: p, to: proxy, conns: map[net.Conn]struct{}{}}
	ip := net.IP(relayIP(proxy).AsSlice())
	if r.ln, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: ip}); err != nil {
		return "", "", fmt.Errorf("link: %w", err)
	}
	r.at = r.ln.Addr().(*net.TCPAddr).AddrPort()
	if r.pc, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.at)); err == nil {
		r.out, err = net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	}
	if err != nil {
		return "", "", errors.Join(fmt.Errorf("link: %w", err), r.ln.Close())
	}
	r.own = netip.AddrPortFrom(peerIP(proxy), r.at.Port())
	r.wg.Go(r.accept)
	r.wg.Go(r.packets)
	p.mu.Lock()
	p.relays = append(p.relays, r)
	p.mu.Unlock()
	return r.own.String(), r.at.String(), nil
}

// Set changes what lies between processes, one way.
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

// Sent is how many bytes of words a process has sent.
func (p *Peers) Sent(proxy int) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[proxy]
}

// Close ends all of it.
func (p *Peers) Close() {
	p.mu.Lock()
	relays := p.relays
	p.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
}

// pass says whether so many bytes from a process reach another now, and after how long.
func (p *Peers) pass(from, to, n int, packet bool) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[from] += int64(n)
	s := p.states[pair{from, to}]
	if s.Silent {
		return 0, false
	}
	if packet && s.Loss > 0 {
		p.table.mu.Lock()
		lost := p.table.random.Float64() < s.Loss
		p.table.mu.Unlock()
		if lost {
			return 0, false
		}
	}
	return s.Delay, true
}

func (r *relay) packets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.pc.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		delay, ok := r.peers.pass(peerOf(from.Addr()), r.to, n, true)
		switch {
		case !ok:
		case delay > 0:
			word := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() { r.out.WriteToUDPAddrPort(word, r.own) })
		default:
			r.out.WriteToUDPAddrPort(buf[:n], r.own)
		}
	}
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.carry(c) })
	}
}

// carry joins a stream to the process. Where the link is silent, either way, its bytes go nowhere.
func (r *relay) carry(c net.Conn) {
	defer c.Close()
	from := peerOf(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	if _, ok := r.peers.pass(from, r.to, 0, false); !ok {
		time.Sleep(time.Second)
		return
	}
	up, err := net.Dial("tcp4", r.own.String())
	if err != nil {
		return
	}
	defer up.Close()
	if !r.enter(c, up) {
		return
	}
	defer r.leave(c, up)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(up, c, from, r.to) })
	wg.Go(func() { r.copy(c, up, r.to, from) })
	wg.Wait()
}

func (r *relay) copy(dst, src net.Conn, from, to int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if delay, ok := r.peers.pass(from, to, n, false); ok {
			time.Sleep(delay)
			if _, failed := dst.Write(buf[:n]); failed != nil {
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

func (r *relay) enter(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return !r.over
}

func (r *relay) leave(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

func (r *relay) close() {
	r.mu.Lock()
	r.over = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.ln.Close()
	r.pc.Close()
	r.out.Close()
	r.wg.Wait()
}
