// Package view describes the membership of the control servers: which servers vote, in which epoch, and which sets of them form a
// quorum. The main type is View; package control decides on changes of the view, and package register uses the view to count
// votes.
//
// A member is an address together with the incarnation of its disk, so a server that lost its disk becomes another member. Each
// view has an epoch number. A stable view has one set of members. A joint view lies between two stable views: it has the old and
// the new set, and its quorums are majorities of both. Successive stable views differ by at most one added and one removed
// member. The successor of a view is the one that the register of the view holds for the next epoch.
package view

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// Member is a control server with its disk.
type Member struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// View is the membership of one epoch. It is immutable.
type View struct {
	Mesh    uint64   // random identity of the mesh, drawn when the mesh was founded; a disk of another mesh has another identity
	Epoch   uint64   // 0: no view is known
	Members []Member // in order of address
	Next    []Member // of a joint view: the members of the coming stable view
}

// Initial returns the first view of a mesh.
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

// Known reports whether this is a view at all, and not the zero value.
func (v View) Known() bool { return v.Epoch > 0 }

// Joint reports whether this is a joint view.
func (v View) Joint() bool { return len(v.Next) > 0 }

// Join returns the joint view that starts a change. joiner is added, and leaver is removed unless it is the zero Member.
func (v View) Join(joiner, leaver Member) View {
	next := slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m == leaver })
	return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Members, Next: sortedByAddress(append(next, joiner))}
}

// Complete returns the stable view of the new members, which completes a change.
func (v View) Complete() View { return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Next} }

// Abandon returns the stable view of the old members, which abandons a change.
func (v View) Abandon() View { return View{Mesh: v.Mesh, Epoch: v.Epoch + 1, Members: v.Members} }

// Joiner returns the member that a joint view adds.
func (v View) Joiner() (joiner Member, found bool) { return firstMissing(v.Next, v.Members) }

// Leaver returns the member that a joint view removes.
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

// All returns the members of both sets, in the same order on all servers.
func (v View) All() []Member {
	if joiner, found := v.Joiner(); found {
		return append(slices.Clone(v.Members), joiner)
	}
	return v.Members
}

// Addresses returns the addresses of all members, each once: in a joint view a lost disk and the disk that replaces it may have
// the same address.
func (v View) Addresses() []string { return addresses(v.All()) }

// OldAddresses returns the addresses of the members before the change.
func (v View) OldAddresses() []string { return addresses(v.Members) }

// RetainedAddresses returns the addresses of the members that belong to both sets, or to the one set of a stable view. One
// of these members coordinates, and proxies send their requests to them.
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

// Has reports whether m is a member of the view.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) || slices.Contains(v.Next, m) }

// Node returns the number of a member in ballots of this epoch, from 1; 0 if m is not a member.
func (v View) Node(m Member) uint32 { return uint32(slices.Index(v.All(), m) + 1) }

// Quorum reports whether the members for which has is true form a quorum: a majority of each set.
func (v View) Quorum(has func(Member) bool) bool {
	return majority(v.Members, has) && (!v.Joint() || majority(v.Next, has))
}

// OldQuorum reports whether the members for which has is true form a majority of the members before the change.
func (v View) OldQuorum(has func(Member) bool) bool { return majority(v.Members, has) }

// NewQuorum reports whether the members for which has is true form a majority of the members after the change. In a
// stable view it returns false.
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

// Majority returns the number of members in a quorum of a stable view.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Equal reports whether two views are the same.
func (v View) Equal(o View) bool {
	return v.Mesh == o.Mesh && v.Epoch == o.Epoch && slices.Equal(v.Members, o.Members) && slices.Equal(v.Next, o.Next)
}

// Wire returns the protobuf message of the view.
func (v View) Wire() *meshpb.View {
	return &meshpb.View{Mesh: v.Mesh, Epoch: v.Epoch, Members: membersToWire(v.Members), Next: membersToWire(v.Next)}
}

func membersToWire(members []Member) (all []*meshpb.Member) {
	for _, m := range members {
		all = append(all, &meshpb.Member{Address: m.Address, Incarnation: m.Incarnation})
	}
	return all
}

// FromWire converts a protobuf message to a view.
func FromWire(w *meshpb.View) View {
	return View{Mesh: w.GetMesh(), Epoch: w.GetEpoch(), Members: membersFromWire(w.GetMembers()),
		Next: membersFromWire(w.GetNext())}
}

func membersFromWire(members []*meshpb.Member) (all []Member) {
	for _, m := range members {
		all = append(all, Member{m.Address, m.Incarnation})
	}
	return all
}

// Validate checks a view that was received or read from disk. It must have members, each set must have an address at most once,
// and the sets of a joint view must differ by at most one added and one removed member.
func (v View) Validate() error {
	if len(v.Members) == 0 {
		return errors.New("view has no members")
	}
	for _, set := range [][]Member{v.Members, v.Next} {
		if len(addresses(set)) != len(set) {
			return errors.Newf("view lists an address twice: %v", set)
		}
	}
	if v.Joint() && (countMissing(v.Next, v.Members) > 1 || countMissing(v.Members, v.Next) > 1) {
		return errors.Newf("joint view changes more than one member: %v to %v", v.Members, v.Next)
	}
	return nil
}

// countMissing counts the members of set that are not in other.
func countMissing(set, other []Member) (n int) {
	for _, m := range set {
		if !slices.Contains(other, m) {
			n++
		}
	}
	return n
}

// Encode returns the view as stored on disk and in its register.
func (v View) Encode() []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(v.Wire())
	if err != nil { // cannot happen: numbers and addresses can always be marshalled
		return nil
	}
	return text
}

// Decode decodes the result of Encode.
func Decode(text []byte) (View, error) {
	w := &meshpb.View{}
	if err := proto.Unmarshal(text, w); err != nil {
		return View{}, errors.Wrap(err, "decode view")
	}
	return FromWire(w), nil
}
