package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/view"
)

// An order with a skipped version is taken under one text only.
func TestNumberThatWasPassedOverStandsForOneText(t *testing.T) {
	order := func(held *meshpb.Config, version uint64, text string) (*meshpb.Config, OrderResult) {
		hash := hashOf([]byte(text))
		result, open := checkOrder(held, version, hash)
		if open {
			held = applyOrder(held, version, []byte(text), hash)
		}
		return held, result
	}
	held, _ := order(nil, 1, "one")
	held, _ = order(held, 3, "three")
	held, first := order(held, 2, "two")
	_, again := order(held, 2, "two")
	_, other := order(held, 2, "another")
	if first != OrderTaken || again != OrderTaken || other != OrderConflict {
		t.Fatalf("first order: %v, repeated: %v, with another text: %v", first, again, other)
	}
	if held.Version != 3 || string(held.Text) != "three" {
		t.Fatalf("in force: %d %q", held.Version, held.Text)
	}
}

// The others' digests show that a value is chosen, while this server's disk has taken a newer value. The newer value must not
// count as chosen.
func TestDigestsTellOfTheValueThatTheyName(t *testing.T) {
	_, _, members := joinerAndMembers()
	s := startServer(t, members[0], diskContents(members[0], view.Initial(9, members)))
	ballot := register.Ballot{Epoch: 1, Round: 2, Node: 2, Life: 8}
	accept := func(ballot register.Ballot, version uint64, text string) {
		body, err := proto.Marshal(applyOrder(nil, version, []byte(text), hashOf([]byte(text))))
		if err != nil {
			t.Fatal(err)
		}
		s.HandleMessage(1, "s1", &meshpb.Message{Id: 4, Incarnation: 1, Epoch: 1, Accept: &meshpb.Accept{Key: configKey,
			Ballot: ballot.Wire(), Value: &meshpb.Receipt{Token: version, State: register.Stored, Body: body}}})
	}
	accept(ballot, 1, "one")
	s.Tick(1)
	completeWrites(s)
	accept(register.Ballot{Epoch: 1, Round: 5, Node: 2, Life: 8}, 2, "two")
	s.HandleMessage(1, "s1", &meshpb.Message{Incarnation: 1, Epoch: 1, Digest: &meshpb.Digest{Sequence: 1, Life: 8,
		Config: &meshpb.ConfigState{HeldVersion: 1, HeldBallot: ballot.Wire()}}})
	if version := s.configuration.chosenVersion(); version > 1 {
		t.Fatalf("version %d counts as chosen although only one server holds it", version)
	}
}

// diskWithConfig returns the disk of a member that holds a version of the configuration, and whether it knew that it was chosen.
func diskWithConfig(t *testing.T, m view.Member, v view.View, version uint64, chosen bool) map[string][]byte {
	t.Helper()
	text := []byte("configuration")
	body, err := proto.Marshal(applyOrder(nil, version, text, hashOf(text)))
	if err != nil {
		t.Fatal(err)
	}
	ballot := register.Ballot{Epoch: 1, Round: uint32(version), Node: 2, Life: 8}.Wire()
	entry := &meshpb.Entry{Key: configKey, Promised: ballot, Accepted: ballot,
		Value: &meshpb.Receipt{Token: version, State: register.Stored, Body: body}}
	values := diskContents(m, v)
	if values["k."+configKey], err = proto.Marshal(entry); err != nil {
		t.Fatal(err)
	}
	if chosen {
		if values[nameChosen], err = proto.Marshal(ballot); err != nil {
			t.Fatal(err)
		}
	}
	return values
}

// All servers start at once. One has missed the newest configuration, and the others have not completed a write yet.
func TestServerThatIsBehindDoesNotConfirmWhileOthersStart(t *testing.T) {
	_, _, members := joinerAndMembers()
	v := view.Initial(9, members)
	behind := startServer(t, members[0], diskWithConfig(t, members[0], v, 1, true))
	other := startServer(t, members[1], diskWithConfig(t, members[1], v, 2, false))
	for now := 1.0; now < 2; now += 0.1 {
		for _, s := range []*Server{behind, other} {
			s.Tick(now)
			to := map[*Server]*Server{behind: other, other: behind}[s]
			for _, send := range s.TakeEffects().Sends {
				if send.To == to.options.Self {
					to.HandleMessage(now, s.options.Self, send.Message)
				}
			}
		}
	}
	if !behind.inContact(2) {
		t.Fatal("the servers are not in contact")
	}
	if behind.configuration.confirmed {
		t.Fatalf("version %d counts as the newest although a member holds version 2", behind.configuration.chosenVersion())
	}
}
