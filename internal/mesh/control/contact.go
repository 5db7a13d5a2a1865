package control

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// A server is in contact while a quorum has acknowledged a digest that it sent not long ago. The time counts from when the digest was
// sent and not from when the acknowledgement came, and an acknowledgement needs both directions. A server that is not in contact
// confirms nothing, tells proxies to ask another, and refuses orders at once.

const (
	// contactFor is for how many seconds an acknowledged digest shows that a member is in reach. Larger: a server that is cut off refuses
	// later, and proxies act by an old configuration for longer. Smaller: pauses of a busy processor count as a cut.
	contactTimeout = 0.9
	// sendsKept are the digests whose times are remembered: more than go out in contactFor.
	digestTimesKept = 128
)

// peer is what is known of another member from its digests.
type peer struct {
	member     view.Member
	life       uint32
	sequence   uint64
	heardAt    float64
	seenAt     float64 // when this server, or another that told so, last heard something new of it
	ackedAt    float64 // when the newest digest of this server that it acknowledged was sent
	fullSentAt float64 // when everything was sent to it last, because it asked
	leaving    bool
	config     *meshpb.ConfigState
	echoed     map[string]uint64 // the newest digests of others that it told of
}

type contact struct {
	peers        map[string]*peer // by address
	sequence     uint64
	sentAt       [digestTimesKept]float64
	answeredAt   map[string]float64 // when a server said which view it goes by
	wasInContact bool
}

func (c *contact) init() { c.peers, c.answeredAt = map[string]*peer{}, map[string]float64{} }

// viewChanged forgets who is no member any more. Nobody counts as silent before it had time to speak in the new view.
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

// inContact says whether a quorum of the view is in reach.
func (s *Server) inContact(now float64) bool {
	return s.view().Known() && s.isMember() && s.view().Quorum(func(m view.Member) bool { return s.isReachable(now, m) })
}

// reaches says whether a member acknowledged a digest lately.
func (s *Server) isReachable(now float64, m view.Member) bool {
	if m == s.self {
		return true
	}
	p := s.contact.peers[m.Address]
	return p != nil && p.member == m && p.ackedAt > 0 && now < p.ackedAt+contactTimeout
}

// acknowledgedSince says whether a member acknowledged a digest that was sent at a time or later.
func (c *contact) acknowledgedSince(m view.Member, at float64) bool {
	p := c.peers[m.Address]
	return p != nil && p.member == m && p.ackedAt >= at
}

// lastContact is when a quorum was in reach, as far as is known.
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

// silent says whether nobody has heard of a member for so many seconds: neither this server nor those that it hears.
func (s *Server) silent(now float64, address string, seconds float64) bool {
	p := s.contact.peers[address]
	return p == nil || now > p.seenAt+seconds
}

// heardPeer takes the part of a digest that shows who is in reach. Fresh is false for one that is late or doubled.
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

// acknowledged takes word that a member heard a digest of this life.
func (s *Server) recordAck(p *peer, e *meshpb.Echo) {
	c := &s.contact
	if e.Life == s.options.Life && e.Sequence <= c.sequence && c.sequence-e.Sequence < digestTimesKept {
		p.ackedAt = max(p.ackedAt, c.sentAt[e.Sequence%digestTimesKept])
	}
}

// echoes acknowledge the digests of the others.
func (s *Server) echoes() (all []*meshpb.Echo) {
	for _, address := range sorted(s.contact.peers) {
		if p := s.contact.peers[address]; p.heardAt > 0 {
			all = append(all, &meshpb.Echo{Address: address, Life: p.life, Sequence: p.sequence})
		}
	}
	return all
}

// nextDigest numbers a digest and notes when it is sent.
func (s *Server) nextDigestSequence(now float64) uint64 {
	c := &s.contact
	c.sequence++
	c.sentAt[c.sequence%digestTimesKept] = now
	return c.sequence
}

// tickContact refuses everything under way once contact is lost: nobody is kept waiting for an answer that cannot come.
func (s *Server) tickContact(now float64) {
	is := s.inContact(now)
	if is != s.contact.wasInContact {
		s.contact.wasInContact = is
		s.options.Log("contact", "quorum", is, "epoch", s.view().Epoch)
		if !is {
			s.registers.Abort(now)
		}
		s.propagation.changed = true
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func after(to string, m *meshpb.Message) transport.Send { return transport.Send{To: to, Message: m} }
