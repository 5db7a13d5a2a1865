package ejection

import (
	"errors"
	"fmt"
	"testing"
)

var four = []string{"h1", "h2", "h3", "h4"}

func hear(j *Judge, now float64, station string, good, bad int, witnesses ...int) {
	for _, w := range witnesses {
		j.Hear(now, fmt.Sprintf("w%d", w), []Observation{{station, good, bad}})
	}
}

// One witness never suffices, two of two do, two of four do not, three of four do.
func TestHowManySpeakAgainst(t *testing.T) {
	for _, c := range []struct{ against, well, out int }{{1, 0, 0}, {2, 0, 1}, {1, 1, 0}, {2, 2, 0}, {3, 1, 1}, {10, 9, 1}, {10, 11, 0}} {
		j := &Judge{}
		for w := range c.against {
			hear(j, 10, "h1", 1, 3, w)
		}
		for w := range c.well {
			hear(j, 10, "h1", 5, 0, 100+w)
		}
		next, changed := j.Weigh(10.1, four, nil)
		if len(next) != c.out || changed != (c.out > 0) {
			t.Errorf("%d against, %d well: %v", c.against, c.well, next)
		}
	}
}

// Where traffic is thin only the proxy beside the host has seen it fail twice. Those who met it once speak beside it, for or against, and
// never alone.
func TestThinTraffic(t *testing.T) {
	for _, c := range []struct{ complain, bad, good, out int }{{1, 0, 0, 0}, {1, 1, 0, 1}, {1, 3, 3, 1}, {1, 2, 4, 0}, {0, 6, 0, 0}} {
		j := &Judge{}
		for w := range c.complain {
			hear(j, 10, "h1", 0, 4, w)
		}
		for w := range c.bad {
			hear(j, 10, "h1", 0, 1, 100+w)
		}
		for w := range c.good {
			hear(j, 10, "h1", 1, 0, 200+w)
		}
		if next, _ := j.Weigh(10.1, four, nil); len(next) != c.out {
			t.Errorf("%d complain, %d and %d met it once, badly and well: %v", c.complain, c.bad, c.good, next)
		}
	}
}

// Words grow old, a ruling ends by itself unless evidence renews it, and a host that flaps stays out longer each time, up to a bound.
func TestTerms(t *testing.T) {
	j := &Judge{}
	hear(j, 10, "h1", 0, 3, 1, 2, 3)
	if next, _ := j.Weigh(13, four, nil); len(next) != 0 {
		t.Errorf("words of 3 s ago count: %v", next)
	}
	hear(j, 20, "h1", 0, 3, 1, 2, 3)
	held, _ := j.Weigh(20, four, nil)
	if !held[0].InForce(22.9) || held[0].InForce(23.1) {
		t.Fatalf("a first term: %v", held)
	}
	hear(j, 22, "h1", 0, 3, 1, 2, 3)
	if held, _ = j.Weigh(22, four, held); !held[0].InForce(24.9) {
		t.Errorf("not renewed: %v", held)
	}
	now := 26.0
	for range 8 {
		hear(j, now, "h1", 0, 3, 1, 2, 3)
		was := held[0].Until
		held, _ = j.Weigh(now, four, held)
		if held[0].Until <= was || held[0].Until > now+mostTerm {
			t.Fatalf("at %.0f until %.1f after %.1f", now, held[0].Until, was)
		}
		now = held[0].Until + 0.1
	}
	if held[0].Count < 8 {
		t.Errorf("%d times out, %d counted", 9, held[0].Count)
	}
	if held, changed := j.Weigh(now+forgive+1, four, held); len(held) != 0 || !changed {
		t.Errorf("never forgiven: %v", held)
	}
}

// However many fail, only a share of a service goes out by witnesses; one of two may, and the only one never.
func TestShareThatMayGoOut(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 1, 4: 1, 6: 2, 12: 4} {
		j, hosts := &Judge{}, []string{}
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("h%02d", i))
			hear(j, 10, hosts[i], 0, 5, 1, 2, 3)
		}
		if next, _ := j.Weigh(10, hosts, nil); len(next) != most {
			t.Errorf("%d of %d go out, want %d", len(next), n, most)
		}
	}
}

// A proxy for which most hosts fail has a broken path and is no witness; one for which a single host fails is.
func TestOwnPathIsNoWitness(t *testing.T) {
	var broken, fine Tally
	for i := range 6 {
		for _, h := range four {
			broken.Saw(1+0.1*float64(i), h, true)
			if complaint := fine.Saw(1+0.1*float64(i), h, h == "h2"); complaint != (h == "h2" && i == 1) {
				t.Errorf("complaint of %s at outcome %d: %v", h, i, complaint)
			}
		}
	}
	if words := broken.Observations(1.6, four); len(words) != 0 {
		t.Errorf("broken path: %v", words)
	}
	if words := fine.Observations(1.6, []string{"h1"}); len(words) != 2 || words[0] != (Observation{"h1", 6, 0}) || words[1] != (Observation{"h2", 0, 6}) {
		t.Errorf("words %v", words)
	}
	if words := fine.Observations(5, four); len(words) != 0 {
		t.Errorf("after 3 s: %v", words)
	}
}

// By hand a host is out until called back; leaving less than half needs a second word.
func TestByHand(t *testing.T) {
	held, err := Order(1, four, nil, "h1", true, false, "ann", "disk")
	if err != nil || !held[0].InForce(1e9) || held[0].By != "ann" {
		t.Fatal(held, err)
	}
	j := &Judge{}
	if next, changed := j.Weigh(500, four, held); changed || len(next) != 1 {
		t.Errorf("witnesses that are silent changed it: %v", next)
	}
	if held, err = Order(2, four, held, "h2", true, false, "ann", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := Order(3, four, held, "h3", true, false, "ann", ""); !errors.Is(err, ErrSecondWord) {
		t.Errorf("one of four left without a second word: %v", err)
	}
	if held, err = Order(3, four, held, "h3", true, true, "ann", ""); err != nil || len(held) != 3 {
		t.Errorf("with it: %v, %v", held, err)
	}
	if held, _ = Order(4, four, held, "h1", false, false, "bob", ""); len(held) != 2 {
		t.Errorf("back: %v", held)
	}
}
