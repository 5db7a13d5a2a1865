package control

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// A server is in contact while a quorum has recently acknowledged one of its digests. The age of the contact counts from the
// sending of the digest, not from the arrival of the acknowledgement, and an acknowledgement shows that both directions work. A
// server that is not in contact refuses claims, lease requests and orders at once and refers proxies to other servers.

const (
	// contactTimeout is the number of seconds after the sending of a digest for which its acknowledgement shows that a member is
	// reachable. Larger: a partitioned server refuses later, and proxies use an old configuration for longer. Smaller: a server
	// loses contact whenever a busy processor pauses it.
	contactTimeout = 0.9
	// digestTimesKept is the number of digests whose sending times are kept. It exceeds the number sent within contactTimeout.
	digestTimesKept = 128
)

// peer is what the digests of another member say about it.
type peer struct {
	member     view.Member
	life       uint32  // identifies the run of its process
	sequence   uint64  // of its newest digest
	heardAt    float64 // when this server last received a new digest from it
	seenAt     float64 // when this server last received a new digest from it, or learned that another member had
	ackedAt    float64 // sending time of the newest digest of this server that the peer acknowledged
	fullSentAt float64 // when a full digest was last sent to it at its request
	leaving    bool
	config     *meshpb.ConfigState
	echoed     map[string]uint64 // by sender's address: sequence of the newest digest that the peer acknowledged
}

type contact struct {
	peers        map[string]*peer         // by address
	sequence     uint64                   // of this server's newest digest
	sentAt       [digestTimesKept]float64 // sending times of this server's digests, by sequence modulo digestTimesKept
	answeredAt   map[string]float64       // by address: when a server last sent its view
	wasInContact bool
}

func (c *contact) init() { c.peers, c.answeredAt = map[string]*peer{}, map[string]float64{} }

// viewChanged drops peers that are no longer members. The silence of a new member counts from now.
func (c *contact) viewChanged(now float64, v view.View) {
	maps.DeleteFunc(c.peers, func(address string, _ *peer) bool { return !slices.Contains(v.Addresses(), address) })
	for _, m := range v.All() {
		p := c.peers[m.Address]
		if p == nil {
			c.peers[m.Address] = &peer{member: m, seenAt: now, echoed: map[string]uint64{}}
		}
	}
}

func (c *contact) leaving(address string) bool {
	p := c.peers[address]
	return p != nil && p.leaving
}

// inContact reports whether a quorum of the view is reachable.
func (s *Server) inContact(now float64) bool {
	return s.view().Known() && s.isMember() && s.view().Quorum(func(m view.Member) bool { return s.isReachable(now, m) })
}

// isReachable reports whether a member has recently acknowledged a digest.
func (s *Server) isReachable(now float64, m view.Member) bool {
	if m == s.self {
		return true
	}
	p := s.contact.peers[m.Address]
	return p != nil && p.member == m && p.ackedAt > 0 && now < p.ackedAt+contactTimeout
}

// acknowledgedSince reports whether a member has acknowledged a digest that was sent at or after the given time.
func (c *contact) acknowledgedSince(m view.Member, at float64) bool {
	p := c.peers[m.Address]
	return p != nil && p.member == m && p.ackedAt >= at
}

// lastContact returns when a quorum was last known to be reachable; 0 if never.
func (s *Server) lastContact() (at float64) {
	if !s.isMember() {
		return 0
	}
	var times []float64
	for _, p := range s.contact.peers {
		times = append(times, p.ackedAt)
	}
	slices.Sort(times)
	for _, t := range slices.Backward(times) {
		if s.view().Quorum(func(m view.Member) bool {
			p := s.contact.peers[m.Address]
			return m == s.self || p != nil && p.member == m && p.ackedAt >= t
		}) {
			return t
		}
	}
	return 0
}

// silent reports whether neither this server nor any peer that it hears has received a digest from a member for the given time.
// An address without a member counts as silent.
func (s *Server) silent(now float64, address string, seconds float64) bool {
	p := s.contact.peers[address]
	return p == nil || now > p.seenAt+seconds
}

// recordDigest records what a digest says about reachability. fresh is false for a late or duplicate
// digest and for one from a server that is not a member.
func (s *Server) recordDigest(now float64, from view.Member, d *meshpb.Digest) (fresh bool) {
	p := s.contact.peers[from.Address]
	if p == nil || !s.view().Has(from) {
		return false
	}
	if p.member != from || p.life != d.Life {
		*p = peer{member: from, life: d.Life, echoed: map[string]uint64{}}
	} else if d.Sequence <= p.sequence {
		return false
	}
	p.sequence, p.heardAt, p.seenAt = d.Sequence, now, now
	p.leaving, p.config = d.Leaving, d.Config
	for _, e := range d.Echoes {
		if e.Address == s.options.Self {
			s.recordAck(p, e)
		} else if other := s.contact.peers[e.Address]; other != nil && p.echoed[e.Address] != e.Sequence {
			p.echoed[e.Address], other.seenAt = e.Sequence, now
		}
	}
	return true
}

// recordAck records that a peer received a digest of this run of the process.
func (s *Server) recordAck(p *peer, e *meshpb.Echo) {
	c := &s.contact
	if e.Life == s.options.Life && e.Sequence <= c.sequence && c.sequence-e.Sequence < digestTimesKept {
		p.ackedAt = max(p.ackedAt, c.sentAt[e.Sequence%digestTimesKept])
	}
}

// echoes returns the acknowledgements of the newest digests received.
func (s *Server) echoes() (all []*meshpb.Echo) {
	for _, address := range sorted(s.contact.peers) {
		if p := s.contact.peers[address]; p.heardAt > 0 {
			all = append(all, &meshpb.Echo{Address: address, Life: p.life, Sequence: p.sequence})
		}
	}
	return all
}

// nextDigestSequence numbers a digest and records its sending time.
func (s *Server) nextDigestSequence(now float64) uint64 {
	c := &s.contact
	c.sequence++
	c.sentAt[c.sequence%digestTimesKept] = now
	return c.sequence
}

// tickContact aborts all register changes in progress when contact is lost, so that no caller waits for an answer that cannot
// come.
func (s *Server) tickContact(now float64) {
	inContact := s.inContact(now)
	if inContact != s.contact.wasInContact {
		s.contact.wasInContact = inContact
		s.options.Log("contact", "quorum", inContact, "epoch", s.view().Epoch)
		if !inContact {
			s.registers.Abort(now)
		}
		s.propagation.changed = true
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func after(to string, m *meshpb.Message) transport.Send { return transport.Send{To: to, Message: m} }
