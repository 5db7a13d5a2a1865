// Package retrybudget implements a retry budget that all proxies share without coordination. Budget is one proxy's share of it.
//
// Operators limit retries, that is, arrivals at hosts beyond the first one of each request. Over all proxies and in any time
// window, retries must not exceed a ratio of the requests plus a constant slack. Each proxy adds a share of the ratio to a
// service's balance for every request that its own clients send to the service, and a balance holds at most the proxy's share
// of the slack. The sum over all proxies therefore stays within the limit whatever each proxy does. Calls made by a repeated
// run count as retries at the services called, which is why only a share of the ratio is used here.
package retrybudget

const (
	ratioShare  = 0.5  // share of the ratio used here; the rest is for calls made by repeated runs
	slackShare  = 0.6  // share of the slack used here; the rest is for restarted proxies, each of which has a new budget
	maxServices = 1024 // maximum number of services with a balance
)

// Budget is one proxy's share of the retry budget, with a balance for each service.
type Budget struct {
	ratio, slack float64
	proxies      int
	balances     map[string]float64
}

// New returns a budget with the operators' limits, for a proxy that knows of no other proxies.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioShare, slack: slack * slackShare, proxies: 1, balances: map[string]float64{}}
}

// SetProxies sets the number of proxies that share the slack.
func (b *Budget) SetProxies(proxies int) { b.proxies = max(1, proxies) }

// maxBalance returns the upper bound of a balance.
func (b *Budget) maxBalance() float64 { return b.slack / float64(b.proxies) }

// Earn adds to a service's balance for a request of this proxy's own clients. The balance of a new service starts at half of
// the maximum.
func (b *Budget) Earn(service string) {
	balance, known := b.balances[service]
	if !known && len(b.balances) >= maxServices {
		return
	}
	if !known {
		balance = b.maxBalance() / 2
	}
	b.balances[service] = min(b.maxBalance(), balance+b.ratio)
}

// Spend reports whether a retry may be sent to a host of a service, and if so deducts it from the balance.
func (b *Budget) Spend(service string) bool {
	if b.balances[service] < 1 {
		return false
	}
	b.balances[service]--
	return true
}

// Refund refunds a retry that did not arrive at any host.
func (b *Budget) Refund(service string) {
	b.balances[service] = min(b.maxBalance(), b.balances[service]+1)
}
