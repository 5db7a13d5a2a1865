package places

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDesk: whatever comes, no more are served or refused at once than may be, turns come in the order of coming and no
// faster than the pace, nobody who has waited for too long is served, and once those at the desk leave everybody gets a turn.
func TestDesk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RequestQueueConfig{MaxServing: rapid.IntRange(1, 8).Draw(t, "most"), MaxRefusing: rapid.IntRange(1, 3).Draw(t, "refusing"),
			MaxWait: 50 * time.Millisecond, Rate: 1000, Burst: rapid.IntRange(1, 8).Draw(t, "burst")}
		d := NewRequestQueue(cfg)
		now, served := time.Duration(0), 0
		at := map[Decision][]*QueueEntry{}
		came := map[*QueueEntry]time.Duration{}
		call := func() bool {
			holder, v, waited := d.Next(now)
			if holder == nil {
				return false
			}
			turn := holder.(*QueueEntry)
			if turn != at[Wait][0] {
				t.Fatal("out of turn")
			}
			if waited != now-came[turn] || v == Serve && waited > cfg.MaxWait || v == Refuse && waited <= cfg.MaxWait {
				t.Fatalf("%v after %v", v, waited)
			}
			if v == Serve {
				served++
			}
			at[Wait] = at[Wait][1:]
			at[v] = append(at[v], turn)
			return true
		}
		leave := func(v Decision) {
			if len(at[v]) > 0 {
				i := rapid.IntRange(0, len(at[v])-1).Draw(t, "which")
				d.Remove(at[v][i])
				at[v] = slices.Delete(at[v], i, i+1)
			}
		}
		check := func() {
			if d.serving != len(at[Serve]) || d.refusing != len(at[Refuse]) || d.Waiting() != len(at[Wait]) {
				t.Fatalf("%+v, in truth %d, %d, %d", d.Stats(), len(at[Serve]), len(at[Refuse]), len(at[Wait]))
			}
			if d.serving > cfg.MaxServing || d.refusing > cfg.MaxRefusing {
				t.Fatalf("%+v", d.Stats())
			}
			if most := float64(cfg.Burst) + cfg.Rate*now.Seconds() + 1e-6; float64(served) > most {
				t.Fatalf("%d served by %v", served, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"come": func(*rapid.T) {
				turn := new(QueueEntry)
				v := d.Enqueue(now, turn, turn)
				came[turn] = now
				if v == Serve {
					served++
				}
				at[v] = append(at[v], turn)
			},
			"next":    func(*rapid.T) { call() },
			"served":  func(*rapid.T) { leave(Serve) },
			"refused": func(*rapid.T) { leave(Refuse) },
			"goes":    func(*rapid.T) { leave(Wait) },
			"time":    func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond },
			"":        func(*rapid.T) { check() },
		})
		for n := 0; len(at[Wait])+len(at[Serve])+len(at[Refuse]) > 0; n++ {
			now += time.Millisecond
			leave(Serve)
			leave(Refuse)
			for call() {
			}
			check()
			if n > 10000 {
				t.Fatalf("stuck: %+v", d.Stats())
			}
		}
	})
}
