package control

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// joinerAndMembers returns a joint view of three members in which the joiner replaces the last member.
func joinerAndMembers() (joint view.View, joiner view.Member, members []view.Member) {
	for _, address := range []string{"s0", "s1", "s2"} {
		members = append(members, view.Member{Address: address, Incarnation: 1})
	}
	joiner = view.Member{Address: "s3", Incarnation: 1}
	return view.Initial(9, members).Join(joiner, members[2]), joiner, members
}

// diskContents returns the stored values of a server's identity and view.
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

// A sync page promises that its sender takes part in no older ballot. A page sent before the view is on disk would break that
// promise after a power loss.
func TestPageGoesOnceTheDiskHasTheView(t *testing.T) {
	joint, joiner, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	s.HandleMessage(1, "s1", &meshpb.Message{Incarnation: 1, View: joint.Wire()})
	s.HandleMessage(1, joiner.Address, &meshpb.Message{Id: 3, Incarnation: joiner.Incarnation, Epoch: joint.Epoch,
		SyncRequest: &meshpb.SyncRequest{}})
	out := s.TakeEffects()
	if hasPage(out.Sends) || !hasPage(out.After) {
		t.Fatalf("page sent before the sync of the view: %v, after it: %v", hasPage(out.Sends), hasPage(out.After))
	}
}

// With the view on disk, a page does not wait for the writes of registers that are in progress.
func TestPageDoesNotWaitForOtherWrites(t *testing.T) {
	joint, joiner, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	s.HandleMessage(1, "s1", &meshpb.Message{Incarnation: 1, View: joint.Wire()})
	completeWrites(s)
	s.HandleMessage(1, joiner.Address, &meshpb.Message{Id: 3, Incarnation: joiner.Incarnation, Epoch: joint.Epoch,
		SyncRequest: &meshpb.SyncRequest{}})
	if out := s.TakeEffects(); !hasPage(out.Sends) {
		t.Fatal("the page waits for a write although the view is on disk")
	}
}

// scriptedJoiner returns a joiner that has asked the members for pages, and the IDs of its requests by member address.
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

// sendPage delivers a member's only page, which contains one register.
func sendPage(s *Server, from view.Member, id, epoch uint64) {
	held := &meshpb.Entry{Key: register.Permanent("x"), Accepted: register.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 1}.Wire(),
		Value: &meshpb.Receipt{Token: 1}}
	s.HandleMessage(1, from.Address, &meshpb.Message{Id: id, Incarnation: from.Incarnation, Epoch: epoch,
		SyncPage: &meshpb.SyncPage{SourceLife: 8, Position: 12, Last: true, Entries: []*meshpb.Entry{held}}})
}

// completeWrites completes all pending writes and returns their names.
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

// After a power loss any part of a batch may be on disk. So the joiner writes the marker of a complete read in a later batch than
// the values that it read.
func TestJoinerIsSyncedBehindWhatItRead(t *testing.T) {
	s, joint, members, asked := scriptedJoiner(t)
	for _, m := range members {
		sendPage(s, m, asked[m.Address], joint.Epoch)
	}
	first := completeWrites(s)
	read := slices.ContainsFunc(first, func(name string) bool { return strings.HasPrefix(name, "k.") })
	if !read || slices.Contains(first, nameSynced) || s.Voting() {
		t.Fatalf("first batch contains %v, voting is %v", first, s.Voting())
	}
	if second := completeWrites(s); !slices.Contains(second, nameSynced) || !s.Voting() {
		t.Fatalf("second batch contains %v, voting is %v", second, s.Voting())
	}
}

// A page that an earlier run of the joiner asked for may be the last of many. It must not count as a complete read.
func TestPageForAnEarlierLifeDoesNotCount(t *testing.T) {
	s, joint, members, asked := scriptedJoiner(t)
	for _, m := range members {
		sendPage(s, m, 77, joint.Epoch)
	}
	completeWrites(s)
	completeWrites(s)
	if s.Voting() {
		t.Fatal("the joiner votes after pages that it did not request")
	}
	for _, m := range members {
		sendPage(s, m, asked[m.Address], joint.Epoch)
	}
	completeWrites(s)
	completeWrites(s)
	if !s.Voting() {
		t.Fatal("the joiner does not vote after the pages that it requested")
	}
}

// A server without data asks for a full digest in each digest, and for a newer configuration after each digest that mentions one.
// Both answers are large and must not be sent again while they are on their way. A restarted server gets a full digest at once.
func TestLargeAnswersAreNotSentAgainAtOnce(t *testing.T) {
	_, _, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	s.learnRecord(1, &meshpb.Record{Source: "proxy", Version: 1}, false)
	s.TakeEffects()
	digest := func(now float64, life uint32, sequence uint64) (fullDigests, requests int) {
		s.HandleMessage(now, "s1", &meshpb.Message{Incarnation: 1, Epoch: 1, Digest: &meshpb.Digest{Life: life,
			Sequence: sequence, WantWhole: true, Config: &meshpb.ConfigState{ChosenVersion: 7, ChosenHash: []byte("x")}}})
		for _, send := range s.TakeEffects().Sends {
			if send.Message.Digest.GetWhole() {
				fullDigests++
			}
			if send.Message.ConfigRequest != nil {
				requests++
			}
		}
		return fullDigests, requests
	}
	fullDigests, requests := 0, 0
	for i := range 50 { // 3 s
		n, r := digest(1+0.06*float64(i), 8, uint64(i+1))
		fullDigests, requests = fullDigests+n, requests+r
	}
	if fullDigests < 2 || fullDigests > 7 || requests < 2 || requests > 5 {
		t.Errorf("within 3 s, %d full digests and %d configuration requests were sent", fullDigests, requests)
	}
	if n, _ := digest(4.01, 9, 1); n != 1 {
		t.Errorf("after a restart of the peer, %d full digests were sent, want 1", n)
	}
}

// A joiner that requests many values by key does not go through all of them for each request.
func TestRequestsByKeyDoNotSortAllKeysEachTime(t *testing.T) {
	const keys = 20_000
	s, _, _, _ := scriptedJoiner(t)
	from := &syncSource{missing: map[string]register.Ballot{}}
	for i := range keys {
		from.missing[fmt.Sprintf("operation %d", i)] = register.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 1}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	asked := 0
	for len(from.missing) > 0 {
		for _, key := range s.stillMissing(from) {
			delete(from.missing, key)
			asked++
		}
	}
	runtime.ReadMemStats(&after)
	const sortedOnceBytes = keys * 16 // of the headers of the keys in a sorted list
	if used := after.TotalAlloc - before.TotalAlloc; asked != keys || used > 10*sortedOnceBytes {
		t.Errorf("%d of %d values were requested, with %d bytes of lists, want at most %d", asked, keys, used, 10*sortedOnceBytes)
	}
}

// A member that was read completely is asked for changes all the time. Another member counts as read once its values are there.
func TestFollowingOneMemberDoesNotDelayAnother(t *testing.T) {
	s, joint, members, asked := scriptedJoiner(t)
	var sources []view.Member
	for _, m := range members {
		if asked[m.Address] != 0 {
			sources = append(sources, m)
		}
	}
	complete, other := sources[0], sources[1]
	operation := &meshpb.Entry{Key: "operation", Accepted: register.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 1}.Wire()}
	answer := func(now float64, id uint64, entry *meshpb.Entry) {
		s.HandleMessage(now, other.Address, &meshpb.Message{Id: id, Incarnation: other.Incarnation, Epoch: joint.Epoch,
			SyncPage: &meshpb.SyncPage{SourceLife: 8, Position: 12, Last: true, Entries: []*meshpb.Entry{entry}}})
	}
	sendPage(s, complete, asked[complete.Address], joint.Epoch)
	answer(1, asked[other.Address], operation) // the value is in the part of another member
	s.Tick(1 + 2*followInterval)
	if following := s.catchup.sources[complete.Address].request; !following.open {
		t.Fatal("the first member is not asked for changes")
	}
	operation.Value = &meshpb.Receipt{Token: 1, State: register.Done}
	answer(1+2*followInterval, s.catchup.sources[other.Address].request.id, operation)
	if s.catchup.sources[other.Address].completeEpoch != joint.Epoch {
		t.Error("the second member has sent all its values and does not count as read")
	}
}
