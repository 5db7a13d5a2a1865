package retrybudget

import (
	"math/rand/v2"
	"testing"
)

// In no time window do all proxies together send more retries than allowed, a fifth of the requests plus the slack, even if
// they spend whatever they can and some of them restart.
func TestSumStaysInsideTheRule(t *testing.T) {
	const proxies, seconds, window, ratio, slack = 15, 120, 10, 0.2, 60.0
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, proxies)
	newBudget := func() *Budget {
		p := New(ratio, slack)
		p.SetProxies(proxies)
		return p
	}
	for i := range budgets {
		budgets[i] = newBudget()
	}
	var requestsAt, retriesAt [seconds]int
	spent := 0
	for s := range seconds {
		for i, p := range budgets {
			for range rng.IntN(2 * (i + 1)) { // request rates differ widely between proxies
				requestsAt[s]++
				p.Earn("a")
			}
			for range rng.IntN(20) { // every proxy spends what it can
				if p.Spend("a") {
					retriesAt[s]++
					spent++
				}
			}
			if rng.IntN(40) == 0 {
				budgets[i] = newBudget()
			}
		}
	}
	for at := 0; at+window <= seconds; at++ {
		requests, retries := 0, 0
		for s := at; s < at+window; s++ {
			requests, retries = requests+requestsAt[s], retries+retriesAt[s]
		}
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("window from %d s: %d retries for %d requests", at, retries, requests)
		}
	}
	if spent < 500 {
		t.Fatalf("only %d retries in all: too few to be meaningful", spent)
	}
}

// A retry that arrived nowhere is refunded, and a balance holds no more than the proxy's share of the slack.
func TestBackAndBound(t *testing.T) {
	p := New(0.2, 10)
	p.SetProxies(2)
	for range 1000 {
		p.Earn("a")
	}
	n := 0
	for p.Spend("a") {
		n++
	}
	if n != 3 {
		t.Fatalf("balance of %d retries, want 3", n)
	}
	p.Refund("a")
	if !p.Spend("a") || p.Spend("a") || p.Spend("b") {
		t.Fatal("want exactly one retry refunded, for one service")
	}
}
