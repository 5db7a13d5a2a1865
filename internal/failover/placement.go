package failover

// placement distributes demand from source zones to target zones. All rates are in requests per second. Indexes follow
// the order of the zones: in its methods s is the index of a source, and d that of a target (destination).
type placement struct {
	demand   []float64   // of each source
	soft     []float64   // soft capacity of each target
	hard     []float64   // hard capacity of each target; 0: accepts nothing
	limit    [][]float64 // highest rate of each path, by source and target
	region   []string
	assigned [][]float64 // the result, by source and target
}

func newPlacement(n int) *placement {
	p := &placement{demand: make([]float64, n), soft: make([]float64, n), hard: make([]float64, n), region: make([]string, n)}
	for range n {
		p.limit, p.assigned = append(p.limit, make([]float64, n)), append(p.assigned, make([]float64, n))
	}
	return p
}

// unassigned returns the demand of a source that is not assigned yet.
func (p *placement) unassigned(s int) float64 {
	remaining := p.demand[s]
	for _, x := range p.assigned[s] {
		remaining -= x
	}
	return max(0, remaining)
}

// received returns the rate that is assigned to a target.
func (p *placement) received(d int) (sum float64) {
	for s := range p.assigned {
		sum += p.assigned[s][d]
	}
	return sum
}

// Targets in the source's region are filled beyond the common level. The excess is the fraction regionalFill of the
// distance from that level to softFill of the target's soft capacity. With higher values the nearest zone was filled,
// and became overloaded, while other zones had low load.
const regionalFill, softFill = 0.5, 0.85

// place assigns all demand: first to the source's own zone up to its capacity, then to spare capacity in the same
// region, then so that all open targets become equally full. It returns the fraction of each source's demand that has
// no open path.
func (p *placement) place() (unreachable []float64) {
	n := len(p.demand)
	for s := range n {
		p.assigned[s][s] = min(p.demand[s], p.hard[s], p.limit[s][s])
	}
	spare := p.equalFill()
	for d := range n {
		spare[d] += regionalFill * max(0, min(softFill*p.soft[d], p.hard[d])-spare[d])
	}
	p.distribute(spare, func(s, d int) bool { return s != d && p.region[s] == p.region[d] })
	p.distribute(p.equalFill(), func(int, int) bool { return true })
	unreachable = make([]float64, n)
	for s := range n {
		if remaining := p.unassigned(s); remaining > roundingTolerance*p.demand[s] &&
			!p.forceAssign(s, remaining, noZone) {
			unreachable[s] = remaining / p.demand[s]
		}
	}
	return unreachable
}

const roundingTolerance = 1e-9 // as a fraction of a demand

// equalFill returns the rates at which all remaining demand is assigned and all reachable targets are equally full, in
// proportion to their hard capacity. The rate of a target may be less than what is assigned to it already.
func (p *placement) equalFill() []float64 {
	remaining := 0.0
	for s := range p.demand {
		remaining += p.unassigned(s)
	}
	rates, received, capacity := make([]float64, len(p.demand)), make([]float64, len(p.demand)),
		make([]float64, len(p.demand))
	for d := range rates {
		if received[d] = p.received(d); p.reachable(d) {
			capacity[d] = p.hard[d]
		}
	}
	low, high := 0.0, 1e6
	for range 60 {
		level := (low + high) / 2
		accepted := 0.0
		for d := range rates {
			rates[d] = level * capacity[d]
			accepted += max(0, rates[d]-received[d])
		}
		if accepted < remaining {
			low = level
		} else {
			high = level
		}
	}
	return rates
}

// reachable reports whether any source with unassigned demand has an unrestricted path to a target. Targets that cannot
// be reached do not affect the common level.
func (p *placement) reachable(d int) bool {
	for s := range p.demand {
		if p.unassigned(s) > 0 && p.limit[s][d] >= p.demand[s] {
			return true
		}
	}
	return false
}

const distributeRounds = 4 // after which the demand that remains is negligible

// distribute assigns remaining demand up to the given capacity of each target, in proportion to free capacity. It uses
// only the paths that allowed accepts.
func (p *placement) distribute(capacity []float64, allowed func(s, d int) bool) {
	n := len(p.demand)
	for range distributeRounds {
		requested, totals := make([][]float64, n), make([]float64, n)
		for s := range n {
			requested[s] = p.split(s, capacity, allowed)
			for d, x := range requested[s] {
				totals[d] += x
			}
		}
		for d := range n {
			if totals[d] <= 0 {
				continue
			}
			fraction := min(1, max(0, capacity[d]-p.received(d))/totals[d])
			for s := range n {
				p.assigned[s][d] += fraction * requested[s][d]
			}
		}
	}
}

// split divides the unassigned demand of a source between the targets in proportion to their free capacity.
func (p *placement) split(s int, capacity []float64, allowed func(s, d int) bool) []float64 {
	parts, sum := make([]float64, len(p.demand)), 0.0
	for d := range parts {
		if allowed(s, d) {
			parts[d] = max(0, min(capacity[d]-p.received(d), p.limit[s][d]-p.assigned[s][d]))
			sum += parts[d]
		}
	}
	if remaining := p.unassigned(s); sum > remaining {
		for d := range parts {
			parts[d] *= remaining / sum
		}
	}
	return parts
}

// forceAssign assigns the rest of a source's demand to its open paths, whatever their load (as the balancer does with
// hosts when too few are healthy). It leaves out the target except, and returns false if there is no other open path.
func (p *placement) forceAssign(s int, remaining float64, except int) bool {
	weights, sum := make([]float64, len(p.hard)), 0.0
	for d := range weights {
		if d != except {
			weights[d] = p.hard[d] * p.limit[s][d]
			sum += weights[d]
		}
	}
	if sum <= 0 {
		return false
	}
	for d, weight := range weights {
		p.assigned[s][d] += remaining * weight / sum
	}
	return true
}

const noZone = -1 // matches no zone's index

// placeAlone keeps requests in their own zone as far as that has capacity, and spreads the rest over all other open
// paths. A single proxy does not know what other proxies send there.
func (p *placement) placeAlone() (unreachable []float64) {
	unreachable = make([]float64, len(p.demand))
	for s := range p.demand {
		p.assigned[s][s] = min(p.demand[s], p.hard[s], p.limit[s][s])
		if remaining := p.unassigned(s); remaining > 0 && !p.forceAssign(s, remaining, s) &&
			!p.forceAssign(s, remaining, noZone) {
			unreachable[s] = remaining / p.demand[s]
		}
	}
	return unreachable
}

// open reports whether a source may send any requests to a target.
func (p *placement) open(s, d int) bool { return p.hard[d] > 0 && p.limit[s][d] > 0 }
