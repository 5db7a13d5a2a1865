// Package retrybudget is the budget of further tries that all proxies share without talking of it. (The field's term: retry budget.)
//
// The rule sums arrivals beyond the first of each request over all machines and any window. Each proxy earns a part of the
// ratio for every request that its own clients send to a service, and saves up at most its part of the slack; so the sum over
// proxies stays inside whatever they do, and nobody has to ask. Calls that a repeated run makes count as repeats at the
// services that it calls: that is why it is only a part of the ratio.
package retrybudget

const (
	ratioPart = 0.5 // of the ratio is spent here; the rest is for calls made by repeated runs
	slackPart = 0.6 // of the slack; the rest is for proxies that start anew and come with a purse of their own
	mostNames = 1024
)

// Budget is one proxy's.
type Budget struct {
	ratio, slack float64
	proxies      int
	saved        map[string]float64
}

// New makes a purse by the figures of the rule.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioPart, slack: slack * slackPart, proxies: 1, saved: map[string]float64{}}
}

// Share tells how many proxies share the slack.
func (p *Budget) Share(proxies int) { p.proxies = max(1, proxies) }

func (p *Budget) most() float64 { return p.slack / float64(p.proxies) }

// Earn counts a request of this proxy's own clients.
func (p *Budget) Earn(service string) {
	saved, known := p.saved[service]
	if !known && len(p.saved) >= mostNames {
		return
	}
	if !known {
		saved = p.most() / 2
	}
	p.saved[service] = min(p.most(), saved+p.ratio)
}

// Spend says whether a further try may go to a host of a service, and takes it off.
func (p *Budget) Spend(service string) bool {
	if p.saved[service] < 1 {
		return false
	}
	p.saved[service]--
	return true
}

// Back gives a try back that turned out not to have arrived anywhere.
func (p *Budget) Back(service string) {
	p.saved[service] = min(p.most(), p.saved[service]+1)
}
