package register

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/store"
)

// writeEffects writes what a server wants to have on disk.
func writeEffects(t *testing.T, rs *Registers, disk *store.Store) {
	t.Helper()
	if err := disk.Write(rs.TakeEffects().Puts); err != nil {
		t.Fatal(err)
	}
}

// acceptRounds lets a server accept a value for a key in each of some rounds and returns the last value.
func acceptRounds(t *testing.T, b *testCluster, disk *store.Store, key string, rounds uint32) *meshpb.Receipt {
	t.Helper()
	var value *meshpb.Receipt
	for round := uint32(2); round < 2+rounds; round++ {
		value = &meshpb.Receipt{State: Done, Body: fmt.Appendf(nil, "%s in round %d", key, round)}
		ballot := Ballot{Epoch: b.view.Epoch, Round: round, Node: 1}
		b.servers["m0"].HandleMessage(b.now, b.member("m0"),
			&meshpb.Message{Accept: &meshpb.Accept{Key: key, Ballot: ballot.Wire(), Value: value}})
		writeEffects(t, b.servers["m0"], disk)
	}
	return value
}

// TestRestartKeepsKeysApart guards against a server that reads the outcome of one key back as that of another one after a
// restart, or an older outcome: operations that had been answered ran again.
func TestRestartKeepsKeysApart(t *testing.T) {
	b, dir := newTestCluster(1, 1), t.TempDir()
	disk, _, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	expected := map[string]*meshpb.Receipt{}
	for i, key := range []string{"k", "k/0", "k/1", "k/1/0", "k/1/1", Permanent("a"), Permanent("a/0"), Permanent("a/1")} {
		expected[key] = acceptRounds(t, b, disk, key, uint32(1+i%4))
		b.servers["m0"].HandleMessage(b.now, b.member("m0"), &meshpb.Message{Prepare: &meshpb.Prepare{Key: key,
			Ballot: Ballot{Epoch: b.view.Epoch, Round: 90 + uint32(i), Node: 1}.Wire()}})
		writeEffects(t, b.servers["m0"], disk)
	}
	promised := map[string]Ballot{}
	for key := range expected {
		promised[key] = b.servers["m0"].promisedBallot(key)
	}
	for start := range 2 {
		if disk.Close() != nil {
			t.Fatal("the store does not close")
		}
		if disk, b.disks["m0"], _, err = store.Open(dir); err != nil {
			t.Fatal(err)
		}
		b.start("m0")
		for key, value := range expected {
			if got, _ := b.servers["m0"].LocalValue(key); !proto.Equal(got, value) {
				t.Errorf("start %d: %q is %q, want %q", start, key, got.GetBody(), value.Body)
			}
			if got := b.servers["m0"].promisedBallot(key); got != promised[key] {
				t.Errorf("start %d: %q promised %v, want %v", start, key, got, promised[key])
			}
		}
		writeEffects(t, b.servers["m0"], disk) // begins the next generation
	}
	disk.Close()
}

// TestMisplacedValueIsMoved checks a disk on which an earlier version has stored a value of one key under the name of another:
// the newest value of its own key is restored, and the disk is put in order.
func TestMisplacedValueIsMoved(t *testing.T) {
	stored := func(key string, round uint32, body string) []byte {
		accepted := Ballot{Epoch: 1, Round: round}
		text, err := proto.Marshal(wireEntry(key, &entry{promised: accepted.next(), accepted: accepted,
			value: &meshpb.Receipt{State: Done, Body: []byte(body)}}))
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	b := newTestCluster(1, 1)
	b.disks["m0"] = map[string][]byte{
		"k.a": stored("a/1", 4, "newest"), "k.a/1": stored("a/1", 3, "older"),
		"k.b": stored("b/1", 2, "older"), "k.b/1": stored("b/1", 5, "newest"),
		"k.c": stored("c/1", 2, "newest"),
		"k.d": stored("d", 2, "newest"), "k.d/1": stored("d/1", 2, "newest"),
	}
	for start := range 2 {
		b.start("m0")
		rs := b.servers["m0"]
		for _, key := range []string{"a/1", "b/1", "c/1", "d", "d/1"} {
			if value, _ := rs.LocalValue(key); string(value.GetBody()) != "newest" {
				t.Errorf("start %d: %s is %q", start, key, value.GetBody())
			}
		}
		if n, _ := rs.Size(); n != 5 {
			t.Errorf("start %d: %d registers, want 5", start, n)
		}
		b.applyEffects("m0", true)
		if n := len(b.disks["m0"]); n != 5 {
			t.Errorf("start %d: %d names on disk, want 5", start, n)
		}
	}
}
