// Package view describes the membership of the control plane: which servers vote, under which epoch, and which sets of them make a
// quorum.
//
// A member is an address together with the incarnation of its disk, so a server that lost its disk is another member. Views are
// numbered by epochs. A stable view has one set of members. A joint view stands between two stable ones: it has the old and the
// new set, and a quorum is a majority of each. Sets of adjacent views differ by one member, and a view is only ever followed by
// the one that the register of views holds for the next epoch.
package view

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// Member is one server with its disk.
type Member struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// View is the membership of one epoch. It is not changed once made.
type View struct {
	Mesh    uint64   // drawn when the mesh was founded: tells its disks from another mesh's
	Epoch   uint64   // 0: no view is known
	Members []Member // in order of address
	Next    []Member // of a joint view: the members of the stable view to come
}

// Initial is the first view of a mesh.
func Initial(mesh uint64, members []Member) View {
	return View{Mesh: mesh, Epoch: 1, Members: sortedByAddress(members)}
}

func sortedByAddress(members []Member) []Member {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int {
		switch {
		case a.Address < b.Address:
			return -1
		case a.Address > b.Address:
			return 1
		}
		return 0
	})
	return all
}

// Known says whether there is a view at all.
func (v View) Known() bool { return v.Epoch > 0 }

// Joint says whether two sets of members share the votes.
func (v View) Joint() bool { return len(v.Next) > 0 }

// Join begins a change: the joint view in which joiner enters, and leaver, if its address is not empty, goes.
func (v View) Join(joiner, leaver Member) View {
	next := slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m == leaver })
	return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Members, Next: sortedByAddress(append(next, joiner))}
}

// Complete ends a change: the stable view of the new members.
func (v View) Complete() View { return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Next} }

// Abandon ends a change the other way: the stable view of the old members.
func (v View) Abandon() View { return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Members} }

// Joiner is the member that a joint view adds.
func (v View) Joiner() (joiner Member, found bool) { return firstMissing(v.Next, v.Members) }

// Leaver is the member that a joint view removes.
func (v View) Leaver() (leaver Member, found bool) {
	if !v.Joint() {
		return Member{}, false
	}
	return firstMissing(v.Members, v.Next)
}

func firstMissing(from, others []Member) (Member, bool) {
	for _, m := range from {
		if !slices.Contains(others, m) {
			return m, true
		}
	}
	return Member{}, false
}

// All are the members of both sets, in an order that all servers agree on.
func (v View) All() []Member {
	if joiner, found := v.Joiner(); found {
		return append(slices.Clone(v.Members), joiner)
	}
	return v.Members
}

// Addresses are those of all members, each once: a disk that is replaced has the address of the one before.
func (v View) Addresses() []string { return addresses(v.All()) }

// OldAddresses are those of the members before the change.
func (v View) OldAddresses() []string { return addresses(v.Members) }

// RetainedAddresses are the addresses of the members that belong to every set: who coordinates, and whom proxies ask.
func (v View) RetainedAddresses() []string {
	if !v.Joint() {
		return addresses(v.Members)
	}
	return addresses(slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return !slices.Contains(v.Next, m) }))
}

func addresses(members []Member) []string {
	var all []string
	for _, m := range members {
		if !slices.Contains(all, m.Address) {
			all = append(all, m.Address)
		}
	}
	return all
}

// Has says whether a member belongs to the view.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) || slices.Contains(v.Next, m) }

// Node is the number of a member in ballots of this epoch, from 1; 0: it is none.
func (v View) Node(m Member) uint32 { return uint32(slices.Index(v.All(), m) + 1) }

// Quorum says whether the members for which has is true are a quorum: a majority of each set.
func (v View) Quorum(has func(Member) bool) bool {
	return majority(v.Members, has) && (!v.Joint() || majority(v.Next, has))
}

// OldQuorum says whether they are a majority of the members before the change.
func (v View) OldQuorum(has func(Member) bool) bool { return majority(v.Members, has) }

// NewQuorum says whether they are a majority of the members after the change.
func (v View) NewQuorum(has func(Member) bool) bool { return majority(v.Next, has) }

func majority(members []Member, has func(Member) bool) bool {
	n := 0
	for _, m := range members {
		if has(m) {
			n++
		}
	}
	return n > len(members)/2
}

// Majority is the number of members that a quorum of a stable view has.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Equal says whether two views are the same.
func (v View) Equal(o View) bool {
	return v.Mesh == o.Mesh && v.Epoch == o.Epoch && slices.Equal(v.Members, o.Members) && slices.Equal(v.Next, o.Next)
}

// Wire is the view as it is sent.
func (v View) Wire() *meshpb.View {
	return &meshpb.View{Mesh: v.Mesh, Epoch: v.Epoch, Members: membersToWire(v.Members), Next: membersToWire(v.Next)}
}

func membersToWire(members []Member) (all []*meshpb.Member) {
	for _, m := range members {
		all = append(all, &meshpb.Member{Address: m.Address, Incarnation: m.Incarnation})
	}
	return all
}

// FromWire reads a view that was sent.
func FromWire(w *meshpb.View) View {
	return View{Mesh: w.GetMesh(), Epoch: w.GetEpoch(), Members: membersFromWire(w.GetMembers()), Next: membersFromWire(w.GetNext())}
}

func membersFromWire(members []*meshpb.Member) (all []Member) {
	for _, m := range members {
		all = append(all, Member{m.Address, m.Incarnation})
	}
	return all
}

// Validate says what is wrong with a view that came from elsewhere: it has members, each address once in a set, and a joint view's sets
// differ by one member at most that comes and one that goes.
func (v View) Validate() error {
	if len(v.Members) == 0 {
		return errors.New("view without members")
	}
	for _, set := range [][]Member{v.Members, v.Next} {
		if len(addresses(set)) != len(set) {
			return errors.Newf("view with an address twice: %v", set)
		}
	}
	if v.Joint() && (countMissing(v.Next, v.Members) > 1 || countMissing(v.Members, v.Next) > 1) {
		return errors.Newf("joint view that exchanges more than one member: %v to %v", v.Members, v.Next)
	}
	return nil
}

// differences counts members of one set that the other has not.
func countMissing(set, other []Member) (n int) {
	for _, m := range set {
		if !slices.Contains(other, m) {
			n++
		}
	}
	return n
}

// Encode is the view as it stands on disk and in its register.
func (v View) Encode() []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(v.Wire())
	if err != nil { // a message of numbers and addresses can always be written
		return nil
	}
	return text
}

// Decode reads what Encode wrote.
func Decode(text []byte) (View, error) {
	w := &meshpb.View{}
	if err := proto.Unmarshal(text, w); err != nil {
		return View{}, errors.Wrap(err, "view")
	}
	return FromWire(w), nil
}
