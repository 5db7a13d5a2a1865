package control

import (
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// joinerAndMembers is a joint view of three members and a joiner, which takes the place of the last.
func joinerAndMembers() (joint view.View, joiner view.Member, members []view.Member) {
	for _, address := range []string{"s0", "s1", "s2"} {
		members = append(members, view.Member{Address: address, Incarnation: 1})
	}
	joiner = view.Member{Address: "s3", Incarnation: 1}
	return view.Founding(9, members).Join(joiner, members[2]), joiner, members
}

// onDisk is what a disk holds of a server's identity and view.
func onDisk(m view.Member, v view.View) map[string][]byte {
	return map[string][]byte{nameIdentity: word(m.Incarnation), nameView: v.Encode()}
}

func startScripted(t *testing.T, m view.Member, values map[string][]byte) *Server {
	t.Helper()
	s, err := New(1, Options{Self: m.Address, Tolerance: 1, Window: 60, Life: 5, Random: 5}, values)
	if err != nil {
		t.Fatal(err)
	}
	s.Take()
	return s
}

func hasPage(sends []transport.Send) bool {
	return slices.ContainsFunc(sends, func(s transport.Send) bool { return s.Message.SyncPage != nil })
}

// A page says that its server takes part in no older ballot. It goes when the disk has that view, and not before.
func TestPageGoesOnceTheDiskHasTheView(t *testing.T) {
	joint, joiner, members := joinerAndMembers()
	s := startScripted(t, members[0], onDisk(members[0], view.Founding(9, members)))
	s.Heard(1, "s1", &meshpb.Message{Incarnation: 1, View: joint.Wire()})
	s.Heard(1, joiner.Address, &meshpb.Message{Id: 3, Incarnation: joiner.Incarnation, Epoch: joint.Epoch,
		SyncRequest: &meshpb.SyncRequest{}})
	out := s.Take()
	if hasPage(out.Sends) || !hasPage(out.After) {
		t.Fatalf("a page at once: %v, behind the disk: %v", hasPage(out.Sends), hasPage(out.After))
	}
}
