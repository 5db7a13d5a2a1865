package control

import (
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// The bootstrapping server hears another server before its first tick. It must still be in the first view itself.
func TestFounderIsOneOfTheFounders(t *testing.T) {
	seeds := []string{"s0", "s1"}
	s, err := New(1, Options{Self: "s0", Seeds: seeds, Bootstrap: true, Tolerance: 1, RetentionSeconds: 60, Life: 1,
		RandomSeed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.HandleMessage(1, "s1", &meshpb.Message{Incarnation: 7, Join: &meshpb.Join{}})
	for now := 1.0; now < 1+bootstrapMinWait+bootstrapQuietPeriod; now += 0.02 {
		s.Tick(now)
	}
	if got := s.view().Addresses(); !slices.Equal(got, seeds) {
		t.Fatalf("first view has members %v, want %v", got, seeds)
	}
}
