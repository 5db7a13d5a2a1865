package sidecar

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/random"
)

// The reasons for which a message is dropped. They are the values of a metric label.
const (
	dropNotOutstanding   = "not open"        // a response to no outstanding RPC: late or duplicated
	dropOtherIncarnation = "another life"    // a response to an RPC of a former process at this address
	dropOtherPeer        = "another peer"    // a response from a process to which the RPC was not sent
	dropOtherToken       = "another token"   // a response about a different claim than the requested one
	dropDuplicate        = "repeated"        // a request that has arrived before
	dropTooOld           = "too late"        // a request so old that it may have arrived before
	dropOtherResponder   = "another process" // a response from a different process at the peer's address than the RPC was for
	dropFormerProcess    = "former process"  // a request for the former process at this address
)

// The salts derive the incarnation and the first ID from the seed, different from each other and from the numbers that
// the generator draws.
const (
	incarnationSalt = 0x6c6966656c696665
	firstIDSalt     = 0x6964737069647370
)

// initIDs draws the incarnation of this process and its first ID, so that both differ from those of former processes at
// this address. The highest bit of the first ID is zero, so IDs do not wrap.
func (p *Sidecar) initIDs() {
	p.incarnation = random.Mix(p.opts.Seed^incarnationSalt) | 1
	p.lastID = random.Mix(p.opts.Seed^firstIDSalt) >> 1
}

// nextID returns a new ID for an RPC or for another operation whose end is reported by ID.
func (p *Sidecar) nextID() uint64 {
	p.lastID++
	return p.lastID
}

// newRPC makes a message a request that expects a response. The response has to carry the same ID and the incarnation
// of this process.
func (p *Sidecar) newRPC(id uint64, m *meshpb.Message) *meshpb.Message {
	m.Id = id
	m.Life = p.incarnation
	return m
}

// respond sends the response to a message.
func (p *Sidecar) respond(to string, request, m *meshpb.Message) {
	m.Responder = p.incarnation
	p.send(to, meshpb.Answer(request, m))
}

// senderIncarnation returns the incarnation of a message's sender, 0 if the sender is of an older version that sends
// none.
func senderIncarnation(m *meshpb.Message) uint64 {
	if meshpb.IsAnswer(m) {
		return m.Responder
	}
	return m.Life
}

// acceptsResponse reports whether a message is the response to an outstanding RPC. The parameter asked is the peer to
// which the RPC with the message's ID was sent, or empty if none is outstanding. A message that is not accepted is
// counted and has no effect.
func (p *Sidecar) acceptsResponse(from string, m *meshpb.Message, asked string) bool {
	why := p.dropReason(from, m, asked)
	if why != "" {
		p.drop(from, m, why)
	}
	return why == ""
}

// dropReason returns why a response is not accepted, or the empty string if it is.
func (p *Sidecar) dropReason(from string, m *meshpb.Message, asked string) string {
	switch {
	case !p.forThisIncarnation(from, m):
		return dropOtherIncarnation
	case asked == "":
		return dropNotOutstanding
	case asked != from:
		return dropOtherPeer
	}
	return ""
}

// forThisIncarnation reports whether a response is to an RPC of this process, and not of a former one at this address.
// Older control servers do not return the incarnation. Their responses are told apart by ID alone, as IDs start at
// random.
func (p *Sidecar) forThisIncarnation(from string, m *meshpb.Message) bool {
	return m.Life == p.incarnation || m.Life == 0 && p.isControlServer(from)
}

func (p *Sidecar) isControlServer(address string) bool {
	return slices.Contains(p.discovery.servers, address) || slices.Contains(p.opts.Seeds, address)
}

// drop counts a message that has no effect.
func (p *Sidecar) drop(from string, m *meshpb.Message, why string) {
	p.counts.Dropped[why]++
	if p.opts.Debug != nil {
		p.opts.Debug("dropped", "from", from, "message", m.Id, "life", m.Life, "why", why)
	}
}
