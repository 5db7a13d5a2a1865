package ejection

import (
	"errors"
	"fmt"
	"testing"
)

var four = []string{"h1", "h2", "h3", "h4"}

func observe(v *Votes, now float64, station string, good, bad int, observers ...int) {
	for _, o := range observers {
		v.Record(now, fmt.Sprintf("o%d", o), []Observation{{station, good, bad}})
	}
}

// One vote never suffices, two of two do, two of four do not, three of four do.
func TestMajority(t *testing.T) {
	for _, c := range []struct{ against, well, out int }{{1, 0, 0}, {2, 0, 1}, {1, 1, 0}, {2, 2, 0}, {3, 1, 1}, {10, 9, 1}, {10, 11, 0}} {
		v := &Votes{}
		for w := range c.against {
			observe(v, 10, "h1", 1, 3, w)
		}
		for w := range c.well {
			observe(v, 10, "h1", 5, 0, 100+w)
		}
		next, changed := v.Decide(10.1, four, nil)
		if len(next) != c.out || changed != (c.out > 0) {
			t.Errorf("%d against, %d well: %v", c.against, c.well, next)
		}
	}
}

// Where traffic is thin only the proxy beside the host has seen it fail twice. Those that sent to it once vote beside that one, for or
// against, and never alone.
func TestThinTraffic(t *testing.T) {
	for _, c := range []struct{ failing, bad, good, out int }{{1, 0, 0, 0}, {1, 1, 0, 1}, {1, 3, 3, 1}, {1, 2, 4, 0}, {0, 6, 0, 0}} {
		v := &Votes{}
		for w := range c.failing {
			observe(v, 10, "h1", 0, 4, w)
		}
		for w := range c.bad {
			observe(v, 10, "h1", 0, 1, 100+w)
		}
		for w := range c.good {
			observe(v, 10, "h1", 1, 0, 200+w)
		}
		if next, _ := v.Decide(10.1, four, nil); len(next) != c.out {
			t.Errorf("it fails for %d, %d and %d sent to it once, failed and answered: %v", c.failing, c.bad, c.good, next)
		}
	}
}

// Observations expire, an ejection ends by itself unless new evidence prolongs it, and a host that is ejected again stays out longer each
// time, up to a bound.
func TestDurations(t *testing.T) {
	v := &Votes{}
	observe(v, 10, "h1", 0, 3, 1, 2, 3)
	if next, _ := v.Decide(13, four, nil); len(next) != 0 {
		t.Errorf("observations of 3 s ago count: %v", next)
	}
	observe(v, 20, "h1", 0, 3, 1, 2, 3)
	held, _ := v.Decide(20, four, nil)
	if !held[0].InForce(22.9) || held[0].InForce(23.1) {
		t.Fatalf("a first ejection: %v", held)
	}
	observe(v, 22, "h1", 0, 3, 1, 2, 3)
	if held, _ = v.Decide(22, four, held); !held[0].InForce(24.9) {
		t.Errorf("not prolonged: %v", held)
	}
	now := 26.0
	for range 8 {
		observe(v, now, "h1", 0, 3, 1, 2, 3)
		was := held[0].Until
		held, _ = v.Decide(now, four, held)
		if held[0].Until <= was || held[0].Until > now+maxTime {
			t.Fatalf("at %.0f until %.1f after %.1f", now, held[0].Until, was)
		}
		now = held[0].Until + 0.1
	}
	if held[0].Count < 8 {
		t.Errorf("%d times out, %d counted", 9, held[0].Count)
	}
	if held, changed := v.Decide(now+forgetAfter+1, four, held); len(held) != 0 || !changed {
		t.Errorf("never forgotten: %v", held)
	}
}

// However many fail, only a share of a service goes out by vote; one of two may, and the only one never.
func TestShareThatMayGoOut(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 1, 4: 1, 6: 2, 12: 4} {
		v, hosts := &Votes{}, []string{}
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("h%02d", i))
			observe(v, 10, hosts[i], 0, 5, 1, 2, 3)
		}
		if next, _ := v.Decide(10, hosts, nil); len(next) != most {
			t.Errorf("%d of %d go out, want %d", len(next), n, most)
		}
	}
}

// A proxy for which most hosts fail has a broken path and reports nothing; one for which a single host fails does.
func TestOwnPathIsNotReported(t *testing.T) {
	var broken, fine Tally
	for i := range 6 {
		for _, h := range four {
			broken.Record(1+0.1*float64(i), h, true)
			if begins := fine.Record(1+0.1*float64(i), h, h == "h2"); begins != (h == "h2" && i == 1) {
				t.Errorf("%s begins to fail at outcome %d: %v", h, i, begins)
			}
		}
	}
	if all := broken.Observations(1.6, four); len(all) != 0 {
		t.Errorf("broken path: %v", all)
	}
	if all := fine.Observations(1.6, []string{"h1"}); len(all) != 2 || all[0] != (Observation{"h1", 6, 0}) || all[1] != (Observation{"h2", 0, 6}) {
		t.Errorf("observations %v", all)
	}
	if all := fine.Observations(5, four); len(all) != 0 {
		t.Errorf("after 3 s: %v", all)
	}
}

// By an operator's order a host is out until called back; leaving less than half requires force.
func TestByHand(t *testing.T) {
	held, err := Order(1, four, nil, "h1", true, false, "ann", "disk")
	if err != nil || !held[0].InForce(1e9) || held[0].By != "ann" {
		t.Fatal(held, err)
	}
	v := &Votes{}
	if next, changed := v.Decide(500, four, held); changed || len(next) != 1 {
		t.Errorf("without observations it changed: %v", next)
	}
	if held, err = Order(2, four, held, "h2", true, false, "ann", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := Order(3, four, held, "h3", true, false, "ann", ""); !errors.Is(err, ErrForceRequired) {
		t.Errorf("one of four left without force: %v", err)
	}
	if held, err = Order(3, four, held, "h3", true, true, "ann", ""); err != nil || len(held) != 3 {
		t.Errorf("with it: %v, %v", held, err)
	}
	if held, _ = Order(4, four, held, "h1", false, false, "bob", ""); len(held) != 2 {
		t.Errorf("back: %v", held)
	}
}
