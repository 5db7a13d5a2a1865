package ejection

import (
	"errors"
	"fmt"
	"testing"
)

var fourHosts = []string{"h1", "h2", "h3", "h4"}

func observe(v *Votes, now float64, host string, good, bad int, observers ...int) {
	for _, o := range observers {
		v.Record(now, fmt.Sprintf("o%d", o), []Observation{{host, good, bad}})
	}
}

// One vote never suffices. Two of two do, two of four do not, and three of four do.
func TestMajority(t *testing.T) {
	for _, c := range []struct{ against, healthy, ejected int }{{1, 0, 0}, {2, 0, 1}, {1, 1, 0}, {2, 2, 0}, {3, 1, 1},
		{10, 9, 1}, {10, 11, 0}} {
		v := &Votes{}
		for observer := range c.against {
			observe(v, 10, "h1", 1, 3, observer)
		}
		for observer := range c.healthy {
			observe(v, 10, "h1", 5, 0, 100+observer)
		}
		next, changed := v.Decide(10.1, fourHosts, nil)
		if len(next) != c.ejected || changed != (c.ejected > 0) {
			t.Errorf("%d votes against, %d healthy: %v", c.against, c.healthy, next)
		}
	}
}

// With little traffic only one proxy has seen the host fail twice. Proxies that sent to it once vote for or against the
// ejection along with that one, and never on their own.
func TestThinTraffic(t *testing.T) {
	for _, c := range []struct{ failing, bad, good, ejected int }{{1, 0, 0, 0}, {1, 1, 0, 1}, {1, 3, 3, 1}, {1, 2, 4, 0},
		{0, 6, 0, 0}} {
		v := &Votes{}
		for observer := range c.failing {
			observe(v, 10, "h1", 0, 4, observer)
		}
		for observer := range c.bad {
			observe(v, 10, "h1", 0, 1, 100+observer)
		}
		for observer := range c.good {
			observe(v, 10, "h1", 1, 0, 200+observer)
		}
		if next, _ := v.Decide(10.1, fourHosts, nil); len(next) != c.ejected {
			t.Errorf("failing for %d observers, %d saw a single failure and %d a single success: %v", c.failing, c.bad, c.good, next)
		}
	}
}

// Observations expire. An ejection ends on its own unless new evidence prolongs it, and a host that is ejected again stays out
// longer each time, up to a limit.
func TestDurations(t *testing.T) {
	v := &Votes{}
	observe(v, 10, "h1", 0, 3, 1, 2, 3)
	if next, _ := v.Decide(13, fourHosts, nil); len(next) != 0 {
		t.Errorf("observations from 3 s ago still count: %v", next)
	}
	observe(v, 20, "h1", 0, 3, 1, 2, 3)
	held, _ := v.Decide(20, fourHosts, nil)
	if !held[0].InForce(22.9) || held[0].InForce(23.1) {
		t.Fatalf("wrong duration of a first ejection: %v", held)
	}
	observe(v, 22, "h1", 0, 3, 1, 2, 3)
	if held, _ = v.Decide(22, fourHosts, held); !held[0].InForce(24.9) {
		t.Errorf("new evidence did not prolong the ejection: %v", held)
	}
	now := 26.0
	for range 8 {
		observe(v, now, "h1", 0, 3, 1, 2, 3)
		was := held[0].Until
		held, _ = v.Decide(now, fourHosts, held)
		if held[0].Until <= was || held[0].Until > now+maxEjectionTime {
			t.Fatalf("at %.0f until %.1f after %.1f", now, held[0].Until, was)
		}
		now = held[0].Until + 0.1
	}
	if held[0].Count < 8 {
		t.Errorf("ejected %d times, counted %d", 9, held[0].Count)
	}
	if held, changed := v.Decide(now+countResetAfter+1, fourHosts, held); len(held) != 0 || !changed {
		t.Errorf("ended ejection is still listed: %v", held)
	}
}

// However many hosts fail, only a share of a service is ejected by vote. One of two hosts may be ejected, and a single host
// never.
func TestShareThatMayGoOut(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 4: 1, 6: 2, 12: 4} {
		v, hosts := &Votes{}, []string{}
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("h%02d", i))
			observe(v, 10, hosts[i], 0, 5, 1, 2, 3)
		}
		if next, _ := v.Decide(10, hosts, nil); len(next) != want {
			t.Errorf("%d of %d hosts ejected, want %d", len(next), n, want)
		}
	}
}

// A proxy for which most hosts fail has a broken network path and reports nothing. A proxy for which a single host fails
// reports it.
func TestOwnPathIsNotReported(t *testing.T) {
	var broken, healthy Tally
	for i := range 6 {
		for _, h := range fourHosts {
			broken.Record(1+0.1*float64(i), h, true)
			if startsFailing := healthy.Record(1+0.1*float64(i), h, h == "h2"); startsFailing != (h == "h2" && i == 1) {
				t.Errorf("%s starts to fail at outcome %d: %v", h, i, startsFailing)
			}
		}
	}
	if all := broken.Observations(1.6, fourHosts); len(all) != 0 {
		t.Errorf("observations of a proxy with a broken path: %v", all)
	}
	if all := healthy.Observations(1.6, []string{"h1"}); len(all) != 2 || all[0] != (Observation{"h1", 6, 0}) ||
		all[1] != (Observation{"h2", 0, 6}) {
		t.Errorf("observations %v", all)
	}
	if all := healthy.Observations(5, fourHosts); len(all) != 0 {
		t.Errorf("observations after 3 s: %v", all)
	}
}

// A host ejected by an operator stays out until it is restored. Leaving less than half of the hosts requires force.
func TestByHand(t *testing.T) {
	held, err := ApplyOrder(1, fourHosts, nil, "h1", true, false, "ann", "disk")
	if err != nil || !held[0].InForce(1e9) || held[0].By != "ann" {
		t.Fatal(held, err)
	}
	v := &Votes{}
	if next, changed := v.Decide(500, fourHosts, held); changed || len(next) != 1 {
		t.Errorf("list changed without observations: %v", next)
	}
	if held, err = ApplyOrder(2, fourHosts, held, "h2", true, false, "ann", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := ApplyOrder(3, fourHosts, held, "h3", true, false, "ann", ""); !errors.Is(err, ErrForceRequired) {
		t.Errorf("one of four hosts left without force: %v", err)
	}
	if held, err = ApplyOrder(3, fourHosts, held, "h3", true, true, "ann", ""); err != nil || len(held) != 3 {
		t.Errorf("with force: %v, %v", held, err)
	}
	if held, _ = ApplyOrder(4, fourHosts, held, "h1", false, false, "bob", ""); len(held) != 2 {
		t.Errorf("after restoring a host: %v", held)
	}
}
