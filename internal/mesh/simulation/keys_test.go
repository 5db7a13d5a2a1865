package simulation

import "testing"

// stocked is a cluster with so many hosts that hold keys.
func stocked(t *testing.T, seed uint64, hosts int) *World {
	t.Helper()
	var all []Host
	for i := range hosts {
		all = append(all, Host{shardedService, []string{"a", "b"}[i%2]})
	}
	w := New(seed, 3, append(all, Host{"shop", "a"}, Host{"till", "b"})...)
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	if w.Checker.Newest != 1 {
		t.Fatalf("seed %d: no configuration after 4 s", seed)
	}
	return w
}

// askStock has clients ask for keys at all proxies for so many seconds.
func askStock(w *World, seconds float64) {
	const every = 0.02
	for i := range int(seconds / every) {
		w.After(float64(i)*every, func() { w.Ask(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/stock/x", "", 2) })
	}
}

// On a quiet day hosts are granted the keys of a sharded service, and requests go to the one that holds theirs.
func TestShardedServiceIsServed(t *testing.T) {
	for seed := range uint64(4) {
		w := stocked(t, seed, 4)
		askStock(w, 8)
		w.Run(10)
		verdictOn(t, w, "sharded", 0.98)
	}
}
