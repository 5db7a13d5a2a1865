package control

import (
	"slices"
	"strings"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// joinerAndMembers is a joint view of three members and a joiner, which takes the place of the last.
func joinerAndMembers() (joint view.View, joiner view.Member, members []view.Member) {
	for _, address := range []string{"s0", "s1", "s2"} {
		members = append(members, view.Member{Address: address, Incarnation: 1})
	}
	joiner = view.Member{Address: "s3", Incarnation: 1}
	return view.Initial(9, members).Join(joiner, members[2]), joiner, members
}

// onDisk is what a disk holds of a server's identity and view.
func diskContents(m view.Member, v view.View) map[string][]byte {
	return map[string][]byte{nameIdentity: encodeUint64(m.Incarnation), nameView: v.Encode()}
}

func startServer(t *testing.T, m view.Member, values map[string][]byte) *Server {
	t.Helper()
	s, err := New(1, Options{Self: m.Address, Tolerance: 1, RetentionSeconds: 60, Life: 5, RandomSeed: 5}, values)
	if err != nil {
		t.Fatal(err)
	}
	s.TakeEffects()
	return s
}

func hasPage(sends []transport.Send) bool {
	return slices.ContainsFunc(sends, func(s transport.Send) bool { return s.Message.SyncPage != nil })
}

// A page says that its server takes part in no older ballot. It goes when the disk has that view, and not before.
func TestPageGoesOnceTheDiskHasTheView(t *testing.T) {
	joint, joiner, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	s.HandleMessage(1, "s1", &meshpb.Message{Incarnation: 1, View: joint.Wire()})
	s.HandleMessage(1, joiner.Address, &meshpb.Message{Id: 3, Incarnation: joiner.Incarnation, Epoch: joint.Epoch,
		SyncRequest: &meshpb.SyncRequest{}})
	out := s.TakeEffects()
	if hasPage(out.Sends) || !hasPage(out.After) {
		t.Fatalf("a page at once: %v, behind the disk: %v", hasPage(out.Sends), hasPage(out.After))
	}
}

// scriptedJoiner is a joiner that has asked the members for pages, by the id of its question to each.
func scriptedJoiner(t *testing.T) (s *Server, joint view.View, members []view.Member, asked map[string]uint64) {
	t.Helper()
	joint, joiner, members := joinerAndMembers()
	s = startServer(t, joiner, diskContents(joiner, joint))
	s.Tick(1)
	asked = map[string]uint64{}
	for _, send := range s.TakeEffects().Sends {
		if send.Message.SyncRequest != nil {
			asked[send.To] = send.Message.Id
		}
	}
	return s, joint, members, asked
}

// page has a member answer with all that it has: one register.
func sendPage(s *Server, from view.Member, id, epoch uint64) {
	held := &meshpb.Entry{Key: register.Permanent("x"), Accepted: register.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 1}.Wire(),
		Value: &meshpb.Receipt{Token: 1}}
	s.HandleMessage(1, from.Address, &meshpb.Message{Id: id, Incarnation: from.Incarnation, Epoch: epoch, SyncPage: &meshpb.SyncPage{
		SourceLife: 8, Position: 12, Last: true, Entries: []*meshpb.Entry{held}}})
}

// finishBatch has everything put so far on the disk, and gives the names.
func completeWrites(s *Server) (names []string) {
	out := s.TakeEffects()
	for _, p := range out.Puts {
		names = append(names, p.Name)
	}
	for _, send := range out.After {
		if send.To == s.options.Self {
			s.HandleMessage(1, s.options.Self, send.Message)
		}
	}
	return names
}

// Of a batch that is cut off any part may be on the disk: what says that everything was read goes behind what was read.
func TestJoinerIsSyncedBehindWhatItRead(t *testing.T) {
	s, joint, members, asked := scriptedJoiner(t)
	for _, m := range members {
		sendPage(s, m, asked[m.Address], joint.Epoch)
	}
	first := completeWrites(s)
	read := slices.ContainsFunc(first, func(name string) bool { return strings.HasPrefix(name, "k.") })
	if !read || slices.Contains(first, nameSynced) || s.Voting() {
		t.Fatalf("first batch %v, voting %v", first, s.Voting())
	}
	if second := completeWrites(s); !slices.Contains(second, nameSynced) || !s.Voting() {
		t.Fatalf("second batch %v, voting %v", second, s.Voting())
	}
}

// A page that an earlier life of the joiner asked for may be the last of many: it does not count as all.
func TestPageForAnEarlierLifeDoesNotCount(t *testing.T) {
	s, joint, members, asked := scriptedJoiner(t)
	for _, m := range members {
		sendPage(s, m, 77, joint.Epoch)
	}
	completeWrites(s)
	completeWrites(s)
	if s.Voting() {
		t.Fatal("votes by pages that it never asked for")
	}
	for _, m := range members {
		sendPage(s, m, asked[m.Address], joint.Epoch)
	}
	completeWrites(s)
	completeWrites(s)
	if !s.Voting() {
		t.Fatal("does not vote by pages that it asked for")
	}
}

// A server that knows nothing asks for everything with each digest, and for a newer configuration with each that tells of it.
// Neither is sent again and again while it is on its way; one that has started again gets it at once.
func TestLargeAnswersAreNotSentAgainAtOnce(t *testing.T) {
	_, _, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	s.learnRecord(1, &meshpb.Record{Source: "proxy", Version: 1}, false)
	s.TakeEffects()
	digest := func(now float64, life uint32, sequence uint64) (wholes, requests int) {
		s.HandleMessage(now, "s1", &meshpb.Message{Incarnation: 1, Epoch: 1, Digest: &meshpb.Digest{Life: life, Sequence: sequence, WantWhole: true,
			Config: &meshpb.ConfigState{ChosenVersion: 7, ChosenHash: []byte("x")}}})
		for _, send := range s.TakeEffects().Sends {
			if send.Message.Digest.GetWhole() {
				wholes++
			}
			if send.Message.ConfigRequest != nil {
				requests++
			}
		}
		return wholes, requests
	}
	wholes, requests := 0, 0
	for i := range 50 { // three seconds
		w, r := digest(1+0.06*float64(i), 8, uint64(i+1))
		wholes, requests = wholes+w, requests+r
	}
	if wholes < 2 || wholes > 7 || requests < 2 || requests > 5 {
		t.Errorf("in 3 s everything is sent %d times, the configuration asked for %d times", wholes, requests)
	}
	if w, _ := digest(4.01, 9, 1); w != 1 {
		t.Errorf("to a new life of its process everything is sent %d times", w)
	}
}
