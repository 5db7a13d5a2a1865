package places

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDesk checks with random arrivals that no more requests are served or refused at once than allowed, that entries leave
// the queue in order and no faster than the rate, that no entry is served after MaxWait, and that the queue empties once the
// slots are freed.
func TestDesk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RequestQueueConfig{MaxServing: rapid.IntRange(1, 8).Draw(t, "max serving"),
			MaxRefusing: rapid.IntRange(1, 3).Draw(t, "max refusing"),
			MaxWait:     50 * time.Millisecond, Rate: 1000, Burst: rapid.IntRange(1, 8).Draw(t, "burst")}
		q := NewRequestQueue(cfg)
		now, served := time.Duration(0), 0
		entries := map[Decision][]*QueueEntry{}
		enqueuedAt := map[*QueueEntry]time.Duration{}
		next := func() bool {
			value, decision, waited := q.Next(now)
			if value == nil {
				return false
			}
			e := value.(*QueueEntry)
			if e != entries[Wait][0] {
				t.Fatal("Next returned an entry that is not the first of the queue")
			}
			if waited != now-enqueuedAt[e] || decision == Serve && waited > cfg.MaxWait ||
				decision == Refuse && waited <= cfg.MaxWait {
				t.Fatalf("decision %v after a wait of %v", decision, waited)
			}
			if decision == Serve {
				served++
			}
			entries[Wait] = entries[Wait][1:]
			entries[decision] = append(entries[decision], e)
			return true
		}
		remove := func(decision Decision) {
			if len(entries[decision]) > 0 {
				i := rapid.IntRange(0, len(entries[decision])-1).Draw(t, "which")
				q.Remove(entries[decision][i])
				entries[decision] = slices.Delete(entries[decision], i, i+1)
			}
		}
		check := func() {
			if q.serving != len(entries[Serve]) || q.refusing != len(entries[Refuse]) || q.Waiting() != len(entries[Wait]) {
				t.Fatalf("stats %+v; want %d serving, %d refusing, %d waiting",
					q.Stats(), len(entries[Serve]), len(entries[Refuse]), len(entries[Wait]))
			}
			if q.serving > cfg.MaxServing || q.refusing > cfg.MaxRefusing {
				t.Fatalf("above a limit: %+v", q.Stats())
			}
			if most := float64(cfg.Burst) + cfg.Rate*now.Seconds() + 1e-6; float64(served) > most {
				t.Fatalf("%d requests served by %v, above the rate", served, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(*rapid.T) {
				e := new(QueueEntry)
				decision := q.Enqueue(now, e, e)
				enqueuedAt[e] = now
				if decision == Serve {
					served++
				}
				entries[decision] = append(entries[decision], e)
			},
			"next":          func(*rapid.T) { next() },
			"served done":   func(*rapid.T) { remove(Serve) },
			"refused done":  func(*rapid.T) { remove(Refuse) },
			"leave waiting": func(*rapid.T) { remove(Wait) },
			"time":          func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond },
			"":              func(*rapid.T) { check() },
		})
		for n := 0; len(entries[Wait])+len(entries[Serve])+len(entries[Refuse]) > 0; n++ {
			now += time.Millisecond
			remove(Serve)
			remove(Refuse)
			for next() {
			}
			check()
			if n > 10000 {
				t.Fatalf("the queue does not empty: %+v", q.Stats())
			}
		}
	})
}
