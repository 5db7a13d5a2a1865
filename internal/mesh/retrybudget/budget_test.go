package retrybudget

import (
	"math/rand/v2"
	"testing"
)

// Whatever proxies do, and though some restart in between, in no window do all together send more retries than the bound allows: a
// fifth of the requests and the slack.
func TestSumStaysInsideTheRule(t *testing.T) {
	const proxies, seconds, window, ratio, slack = 15, 120, 10, 0.2, 60.0
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, proxies)
	fresh := func() *Budget {
		p := New(ratio, slack)
		p.Share(proxies)
		return p
	}
	for i := range budgets {
		budgets[i] = fresh()
	}
	var asked, again [seconds]int
	spent := 0
	for s := range seconds {
		for i, p := range budgets {
			for range rng.IntN(2 * (i + 1)) { // some are asked much, some hardly ever
				asked[s]++
				p.Earn("a")
			}
			for range rng.IntN(20) { // and all would spend what they can
				if p.Spend("a") {
					again[s]++
					spent++
				}
			}
			if rng.IntN(40) == 0 {
				budgets[i] = fresh()
			}
		}
	}
	for at := 0; at+window <= seconds; at++ {
		requests, retries := 0, 0
		for s := at; s < at+window; s++ {
			requests, retries = requests+asked[s], retries+again[s]
		}
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("from %d s: %d retries for %d requests", at, retries, requests)
		}
	}
	if spent < 500 {
		t.Fatalf("%d retries in all: this shows nothing", spent)
	}
}

// A retry that arrived nowhere is refunded, and a balance holds no more than the proxy's part of the slack.
func TestBackAndBound(t *testing.T) {
	p := New(0.2, 10)
	p.Share(2)
	for range 1000 {
		p.Earn("a")
	}
	n := 0
	for p.Spend("a") {
		n++
	}
	if n != 3 {
		t.Fatalf("balance of %d retries", n)
	}
	p.Back("a")
	if !p.Spend("a") || p.Spend("a") || p.Spend("b") {
		t.Fatal("one was refunded, to one service")
	}
}
