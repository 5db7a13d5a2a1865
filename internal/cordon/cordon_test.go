package cordon

import (
	"testing"

	"pgregory.net/rapid"

	"beechwing/balancer"
)

// TestSet makes random calls and compares the Set with a simple model. A cordoned host is never ready, however often it was
// cordoned and whatever the list says. One Uncordon undoes all calls of Cordon. An uncordoned host is cold from then on,
// unless the list shows a later start. No Set changes after it was returned.
func TestSet(t *testing.T) {
	type modelEntry struct{ cordonedAt, uncordonedAt float64 }
	rapid.Check(t, func(t *rapid.T) {
		const coldSeconds = 9.0
		ids := []string{"a", "b", "c"}
		model, set, now := map[string]modelEntry{}, Set(nil), 100.0
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now += rapid.Float64Range(0.1, 5).Draw(t, "pause")
			id, previous, size := rapid.SampledFrom(ids).Draw(t, "host"), set, len(set)
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				set, _ = set.Cordon(id, now)
				if e, known := model[id]; !known || e.uncordonedAt != 0 {
					model[id] = modelEntry{cordonedAt: now}
				}
			case 1:
				set = set.Uncordon(id, now)
				if e, known := model[id]; known && e.uncordonedAt == 0 {
					model[id] = modelEntry{e.cordonedAt, now}
				}
			default:
				set = set.Prune(now, coldSeconds)
			}
			if len(previous) != size {
				t.Fatal("a call has changed the set that it was made on")
			}
			for _, id := range ids {
				e, known := model[id]
				cordoned := known && e.uncordonedAt == 0
				if set.Cordoned(id) != cordoned {
					t.Fatalf("%s cordoned: %v, want %v", id, set.Cordoned(id), cordoned)
				}
				status := rapid.SampledFrom([]balancer.Status{balancer.Ready, balancer.Draining, balancer.Removed}).Draw(t, "status")
				started := rapid.SampledFrom([]float64{0, e.cordonedAt, e.cordonedAt + 0.05, now}).Draw(t, "started")
				got := set.Merge(id, balancer.Host{Status: status, Started: started})
				want := balancer.Host{Status: status, Started: started}
				switch {
				case cordoned && status == balancer.Ready:
					want.Status = balancer.Draining
				case known && !cordoned && now <= e.uncordonedAt+coldSeconds && started <= e.cordonedAt:
					want.Started = e.uncordonedAt
				case known && !cordoned && now > e.uncordonedAt+coldSeconds:
					want.Started = got.Started // the host is warm by now, so either start is right
				}
				if got != want {
					t.Fatalf("%s merged to %+v, want %+v", id, got, want)
				}
			}
		}
	})
}

// TestFull checks that Cordon on a full Set returns ErrFull and does not cordon the host.
func TestFull(t *testing.T) {
	s := Set{}
	for n := range MaxHosts {
		s[string(rune(n))+"x"] = Entry{CordonedAt: 1}
	}
	if next, err := s.Cordon("one more", 2); err != ErrFull || next.Cordoned("one more") {
		t.Fatalf("Cordon on a full set: error %v, or the host was cordoned", err)
	}
}
