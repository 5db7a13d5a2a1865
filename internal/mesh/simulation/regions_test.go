package simulation

import (
	"fmt"
	"testing"
)

// regionLatencySeconds is the one-way latency between regions.
const regionLatencySeconds = 0.055

// Three control servers and their proxies are spread over three regions, so each register change takes one or two round trips
// between regions. The control servers must not mistake this latency for overload: operations are served, also if their
// register's home server is in another region.
func TestControlServersInThreeRegions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := New(seed, 3, Host{"till", "a"}, Host{"till", "b"}, Host{"till", "c"}, Host{"till", "a"}, Host{"till", "b"},
			Host{"till", "c"})
		region := map[string]int{}
		for i, h := range w.Servers {
			region[h.addr] = i
		}
		for i, s := range w.Proxies {
			region[s.addr] = i % 3
		}
		for one := range region {
			for other := range region {
				if region[one] != region[other] {
					w.AddLatency(one, other, regionLatencySeconds)
				}
			}
		}
		w.Configure(int(seed), 1, nil)
		w.Run(4)
		const rate, seconds = 250.0, 12.0
		startRetriedOperations(w, rate, seconds)
		w.Run(seconds + 3)
		if float64(w.Checker.Served) < 0.97*rate*seconds {
			t.Errorf("seed %d: %d of %.0f operations served; statuses %v", seed, w.Checker.Served, rate*seconds,
				w.Checker.Statuses)
		}
		t.Logf("seed %d: %d served, %d requested, statuses %v", seed, w.Checker.Served, w.Checker.Requested, w.Checker.Statuses)
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}
