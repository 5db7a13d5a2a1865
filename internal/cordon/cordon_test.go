package cordon

import (
	"testing"

	"pgregory.net/rapid"

	"beechwing/balancer"
)

// TestSet plays random calls and compares with a plain account of them: out is out however often it was called for and
// whatever the list says, one call back undoes all, who is back is cold since then unless the list tells of a later start,
// and no set that was given out ever changes.
func TestSet(t *testing.T) {
	type account struct{ out, back float64 }
	rapid.Check(t, func(t *rapid.T) {
		const coldFor = 9.0
		ids := []string{"a", "b", "c"}
		told, set, now := map[string]account{}, Set(nil), 100.0
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now += rapid.Float64Range(0.1, 5).Draw(t, "pause")
			id, was, before := rapid.SampledFrom(ids).Draw(t, "host"), set, len(set)
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				set, _ = set.Cordon(id, now)
				if a, known := told[id]; !known || a.back != 0 {
					told[id] = account{out: now}
				}
			case 1:
				set = set.Uncordon(id, now)
				if a, known := told[id]; known && a.back == 0 {
					told[id] = account{a.out, now}
				}
			default:
				set = set.Prune(now, coldFor)
			}
			if len(was) != before {
				t.Fatal("an older set has changed")
			}
			for _, id := range ids {
				a, known := told[id]
				isOut := known && a.back == 0
				if set.Cordoned(id) != isOut {
					t.Fatalf("%s out: %v, want %v", id, set.Cordoned(id), isOut)
				}
				status := rapid.SampledFrom([]balancer.Status{balancer.Ready, balancer.Draining, balancer.Removed}).Draw(t, "state")
				started := rapid.SampledFrom([]float64{0, a.out, a.out + 0.05, now}).Draw(t, "started")
				got := set.Merge(id, balancer.Host{Status: status, Started: started})
				want := balancer.Host{Status: status, Started: started}
				switch {
				case isOut && status == balancer.Ready:
					want.Status = balancer.Draining
				case known && !isOut && now <= a.back+coldFor && started <= a.out:
					want.Started = a.back
				case known && !isOut && now > a.back+coldFor:
					want.Started = got.Started // cold long ago or not: both are warm by now
				}
				if got != want {
					t.Fatalf("%s merged to %+v, want %+v", id, got, want)
				}
			}
		}
	})
}

// TestFull: a set is bounded, and one more is an error that changes nothing.
func TestFull(t *testing.T) {
	s := Set{}
	for n := range MaxHosts {
		s[string(rune(n))+"x"] = Entry{CordonedAt: 1}
	}
	if next, err := s.Cordon("one more", 2); err != ErrFull || next.Cordoned("one more") {
		t.Fatalf("%v", err)
	}
}
