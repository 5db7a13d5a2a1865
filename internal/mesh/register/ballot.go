package register

import (
	"cmp"

	"beechwing/internal/mesh/meshpb"
)

// Ballot is a ballot number. Ballots order the changes of a register, and any ballot of a later epoch is newer than all ballots
// of an earlier one. Node is the proposer's number in the view, and Life identifies the proposer's process.
type Ballot struct {
	Epoch       uint64
	Round, Node uint32
	Life        uint32
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Epoch, o.Epoch), cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node),
		cmp.Compare(b.Life, o.Life))
}

// next returns the ballot that an acceptor promises to a proposer when it accepts the proposer's value at b.
func (b Ballot) next() Ballot { return Ballot{b.Epoch, b.Round + 1, b.Node, b.Life} }

// Wire returns the ballot as a protobuf message.
func (b Ballot) Wire() *meshpb.Ballot {
	return &meshpb.Ballot{Epoch: b.Epoch, Round: b.Round, Node: b.Node, Life: b.Life}
}

// FromWire returns the ballot of a protobuf message.
func FromWire(w *meshpb.Ballot) Ballot {
	return Ballot{w.GetEpoch(), w.GetRound(), w.GetNode(), w.GetLife()}
}
