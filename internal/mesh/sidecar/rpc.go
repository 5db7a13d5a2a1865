package sidecar

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/random"
)

// Why a message was dropped. They are the labels of a metric.
const (
	dropNotOutstanding   = "not open"        // no question of that id is open: an answer that comes late or twice
	dropOtherIncarnation = "another life"    // an answer to a question of this address's former process
	dropOtherPeer        = "another peer"    // an answer from a process that was not asked
	dropOtherToken       = "another token"   // the answer to a claim that is not the one that was asked for
	dropDuplicate        = "repeated"        // a request that has come before
	dropTooOld           = "too late"        // a request so old that it may have come before
	dropOtherResponder   = "another process" // an answer of a process at the address that is not the one that was asked
	dropFormerProcess    = "former process"  // a request for the process that had this address before
)

// Drawn from the same seed as all else, and different from it.
const (
	incarnationSalt = 0x6c6966656c696665
	firstIDSalt     = 0x6964737069647370
)

// identify draws this process's life and where its ids begin, so that neither is a former process's of the
// same address. The upper half of all ids stays free: they do not wrap.
func (p *Sidecar) initIDs() {
	p.incarnation = random.Mix(p.opts.Seed^incarnationSalt) | 1
	p.lastID = random.Mix(p.opts.Seed^firstIDSalt) >> 1
}

// id numbers a message, or something else of which an end comes back.
func (p *Sidecar) nextID() uint64 {
	p.lastID++
	return p.lastID
}

// question makes a message that is answered: the answer has to carry its id and this process's life.
func (p *Sidecar) newRPC(id uint64, m *meshpb.Message) *meshpb.Message {
	m.Id = id
	m.Life = p.incarnation
	return m
}

// answer sends the answer to a message.
func (p *Sidecar) respond(to string, question, m *meshpb.Message) {
	m.Responder = p.incarnation
	p.send(to, meshpb.Answer(question, m))
}

// senderLife is the life of the process that sends a message; 0: it is an older one's.
func senderIncarnation(m *meshpb.Message) uint64 {
	if meshpb.IsAnswer(m) {
		return m.Responder
	}
	return m.Life
}

// accepts says whether a message is the answer to an open question that was put to a peer; "" as the peer:
// none is open under the message's id. What is not is counted, and changes nothing.
func (p *Sidecar) acceptsResponse(from string, m *meshpb.Message, asked string) bool {
	why := p.dropReason(from, m, asked)
	if why != "" {
		p.drop(from, m, why)
	}
	return why == ""
}

// misdirected is why an answer does not count; "": it does.
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

// ofThisLife says whether an answer is to a question of this process, and not of one that had the address
// before. Older control processes do not return the life; ids begin at random, so theirs are told apart by
// those alone.
func (p *Sidecar) forThisIncarnation(from string, m *meshpb.Message) bool {
	return m.Life == p.incarnation || m.Life == 0 && p.isControlServer(from)
}

func (p *Sidecar) isControlServer(address string) bool {
	return slices.Contains(p.discovery.servers, address) || slices.Contains(p.opts.Seeds, address)
}

// drop counts a message that changes nothing.
func (p *Sidecar) drop(from string, m *meshpb.Message, why string) {
	p.counts.Dropped[why]++
	if p.opts.Debug != nil {
		p.opts.Debug("dropped", "from", from, "message", m.Id, "life", m.Life, "why", why)
	}
}
