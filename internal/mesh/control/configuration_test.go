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
