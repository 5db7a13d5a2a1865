// Package retrybudget is a retry budget that all proxies share without coordination.
//
// The operators bound retries, the arrivals at hosts beyond the first of each request, summed over all proxies and any window: a
// ratio of the requests and a constant slack. Each proxy adds a part of the ratio to a service's balance for every request that
// its own clients send there, and a balance holds at most the proxy's part of the slack. So the sum over all proxies stays within
// the bound whatever each does. Calls that a repeated run makes count as retries at the services that it calls, which is why only
// a part of the ratio is used here.
package retrybudget

const (
	ratioPart = 0.5  // of the ratio is used here; the rest is for calls made by repeated runs
	slackPart = 0.6  // of the slack; the rest is for proxies that restart, each with a new budget
	mostNames = 1024 // services with a balance
)

// Budget is one proxy's part of the shared budget, with a balance for each service.
type Budget struct {
	ratio, slack float64
	proxies      int
	balances     map[string]float64
}

// New makes a budget by the operators' bounds, for a proxy that knows of no other.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioPart, slack: slack * slackPart, proxies: 1, balances: map[string]float64{}}
}

// Share sets the number of proxies that share the slack.
func (b *Budget) Share(proxies int) { b.proxies = max(1, proxies) }

// most is the bound of a balance.
func (b *Budget) most() float64 { return b.slack / float64(b.proxies) }

// Earn adds to a service's balance for a request of this proxy's own clients. A service that is new begins with half of the most.
func (b *Budget) Earn(service string) {
	balance, known := b.balances[service]
	if !known && len(b.balances) >= mostNames {
		return
	}
	if !known {
		balance = b.most() / 2
	}
	b.balances[service] = min(b.most(), balance+b.ratio)
}

// Spend reports whether a retry may go to a host of a service, and if so takes it off the balance.
func (b *Budget) Spend(service string) bool {
	if b.balances[service] < 1 {
		return false
	}
	b.balances[service]--
	return true
}

// Back refunds a retry that did not arrive at any host.
func (b *Budget) Back(service string) {
	b.balances[service] = min(b.most(), b.balances[service]+1)
}
