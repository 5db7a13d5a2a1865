package register

import (
	"cmp"

	"beechwing/internal/mesh/meshpb"
)

// Ballot orders the changes of a register. Any ballot of a later epoch is newer than all of an earlier one.
type Ballot struct {
	Epoch       uint64
	Round, Node uint32
	Life        uint32
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Epoch, o.Epoch), cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node),
		cmp.Compare(b.Life, o.Life))
}

// next is the ballot that is promised to whom had a value accepted at b.
func (b Ballot) next() Ballot { return Ballot{b.Epoch, b.Round + 1, b.Node, b.Life} }

// Wire is the ballot as it is sent.
func (b Ballot) Wire() *meshpb.Ballot {
	return &meshpb.Ballot{Epoch: b.Epoch, Round: b.Round, Node: b.Node, Life: b.Life}
}

// FromWire reads a ballot that was sent.
func FromWire(w *meshpb.Ballot) Ballot {
	return Ballot{w.GetEpoch(), w.GetRound(), w.GetNode(), w.GetLife()}
}
