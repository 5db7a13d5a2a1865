package register

import (
	"encoding/binary"
	"hash/maphash"
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// stateHash returns a hash of everything that determines what can follow.
func (x *stateSearch) stateHash(w *searchState) uint64 {
	x.buffer = x.buffer[:0]
	for _, s := range w.servers {
		x.addServer(s)
	}
	for _, c := range w.changes {
		x.add(flag(c.started), c.minVersion, c.version)
		x.buffer = append(append(append(x.buffer, c.editedBody...), 0), c.answeredBody...)
	}
	head := maphash.Bytes(x.seed, x.buffer)
	var network uint64 // independent of the order
	for _, m := range w.network {
		x.buffer = x.buffer[:0]
		x.addMessage(m)
		network += maphash.Bytes(x.seed, x.buffer)
	}
	return head ^ network*0x9e3779b97f4a7c15
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (x *stateSearch) add(words ...uint64) {
	for _, n := range words {
		x.buffer = binary.AppendUvarint(x.buffer, n)
	}
}

func (x *stateSearch) addBallot(b Ballot) {
	x.add(b.Epoch, uint64(b.Round), uint64(b.Node), uint64(b.Life))
}

func (x *stateSearch) addValue(r *meshpb.Receipt) {
	x.add(r.GetToken(), uint64(len(r.GetBody())))
	x.buffer = append(x.buffer, r.GetBody()...)
}

func (x *stateSearch) addServer(s searchServer) {
	rs := s.registers
	x.add(rs.view.Epoch, uint64(len(rs.view.Members)), flag(rs.view.Has(x.members[2])), flag(rs.voting), uint64(len(s.readMembers)))
	for _, m := range x.members {
		x.add(flag(slices.Contains(s.readMembers, m)))
	}
	for _, key := range x.keys {
		x.addRegister(rs, key)
	}
}

func (x *stateSearch) addRegister(rs *Registers, key string) {
	if e := rs.entries[key]; e != nil {
		x.add(1, flag(e.chosen))
		x.addBallot(e.promised)
		x.addBallot(e.accepted)
		x.addValue(e.value)
	}
	c := rs.changes[key]
	if c == nil {
		x.add(0)
		return
	}
	x.add(1, flag(c.preparing), uint64(c.prepares), uint64(len(c.reserve)))
	x.addBallot(c.ballot)
	x.addBallot(c.newestAccepted)
	x.addBallot(c.supersededBy)
	x.addValue(c.newestValue)
	x.addValue(c.proposed)
	for _, m := range x.members {
		yes, voted := c.votes[m]
		x.add(flag(yes), flag(voted), flag(c.newestAcceptedBy[m]))
	}
}

func (x *stateSearch) addMessage(m modelMessage) {
	x.buffer = append(append(x.buffer, m.from.Address...), m.to...)
	x.add(m.from.Incarnation, m.epoch, m.message.Id)
	switch {
	case m.message.Prepare != nil:
		x.add(1)
		x.addBallot(FromWire(m.message.Prepare.Ballot))
	case m.message.Accept != nil:
		x.add(2)
		x.addBallot(FromWire(m.message.Accept.Ballot))
		x.addValue(m.message.Accept.Value)
	case m.message.Promise != nil:
		x.add(3, flag(m.message.Promise.Yes))
		x.addBallot(FromWire(m.message.Promise.Promised))
		x.addBallot(FromWire(m.message.Promise.Accepted))
		x.addValue(m.message.Promise.Value)
	case m.message.Accepted != nil:
		x.add(4, flag(m.message.Accepted.Yes))
		x.addBallot(FromWire(m.message.Accepted.Promised))
	}
}
