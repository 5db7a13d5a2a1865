package failover

import "slices"

// table is what a fill works on: rates by source zone and target zone, in the order of the zones.
type table struct {
	demand []float64   // of each source
	room   []float64   // of each target
	limit  [][]float64 // of each way: the most that may go there
	region []string
	sent   [][]float64 // the result
}

func newTable(n int) *table {
	t := &table{demand: make([]float64, n), room: make([]float64, n), region: make([]string, n)}
	for range n {
		t.limit, t.sent = append(t.limit, make([]float64, n)), append(t.sent, make([]float64, n))
	}
	return t
}

// left is what a source has not placed yet.
func (t *table) left(s int) float64 {
	rest := t.demand[s]
	for _, x := range t.sent[s] {
		rest -= x
	}
	return max(0, rest)
}

// spare is the room that a target has left.
func (t *table) spare(d int) float64 {
	rest := t.room[d]
	for s := range t.sent {
		rest -= t.sent[s][d]
	}
	return max(0, rest)
}

func (t *table) unplaced() (sum float64) {
	for s := range t.demand {
		sum += t.left(s)
	}
	return sum
}

// fill places all demand that finds room: at home first, what that cannot bear in the region, the rest beyond. Sources that
// compete get parts of a target in proportion to what each asks of it.
func (t *table) fill() {
	for s := range t.demand {
		t.sent[s][s] += min(t.left(s), t.spare(s), max(0, t.limit[s][s]-t.sent[s][s]))
	}
	t.spill(func(s, d int) bool { return s != d && t.region[s] == t.region[d] })
	t.spill(func(s, d int) bool { return s != d })
}

const spillRounds = 4 // after which nothing worth the while is left to place

func (t *table) spill(may func(s, d int) bool) {
	n := len(t.demand)
	for range spillRounds {
		asks, sums := make([][]float64, n), make([]float64, n)
		for s := range n {
			asks[s] = t.ask(s, may)
			for d, x := range asks[s] {
				sums[d] += x
			}
		}
		for d := range n {
			if sums[d] <= 0 {
				continue
			}
			part := min(1, t.spare(d)/sums[d])
			for s := range n {
				t.sent[s][d] += part * asks[s][d]
			}
		}
	}
}

// ask parts what a source has left over the targets by their spare room.
func (t *table) ask(s int, may func(s, d int) bool) []float64 {
	asks, sum := make([]float64, len(t.demand)), 0.0
	for d := range asks {
		if may(s, d) {
			asks[d] = min(t.spare(d), max(0, t.limit[s][d]-t.sent[s][d]))
			sum += asks[d]
		}
	}
	if left := t.left(s); sum > left {
		for d := range asks {
			asks[d] *= left / sum
		}
	}
	return asks
}

const levels = 50 // of demand that place tries where not all finds room

// place fills and gives the part that is refused of each source's demand. Where not all finds room, all sources rise together
// until one can place no more; that one stays there, and the others go on as far as that does not take from it.
func (t *table) place() (refused []float64) {
	n := len(t.demand)
	refused = make([]float64, n)
	t.fill()
	if t.unplaced() <= 0 {
		return refused
	}
	asked := slices.Clone(t.demand)
	level, stuck := make([]int, n), make([]bool, n)
	for range levels + 2*n {
		for s := range n {
			if !stuck[s] && level[s] < levels {
				level[s]++
			}
		}
		if t.fits(asked, level) {
			if !slices.ContainsFunc(level, func(l int) bool { return l < levels }) {
				break
			}
			continue
		}
		short := make([]bool, n)
		robbed := false // one that stopped earlier would get less
		for s := range n {
			short[s] = t.left(s) > slack*asked[s]
			robbed = robbed || short[s] && stuck[s]
		}
		for s := range n {
			if !stuck[s] {
				level[s], stuck[s] = level[s]-1, short[s] || robbed
			}
		}
		if !slices.Contains(stuck, false) {
			break
		}
	}
	t.fits(asked, level)
	copy(t.demand, asked)
	for s := range n {
		if asked[s] > 0 {
			refused[s] = min(1, t.left(s)/asked[s])
		}
	}
	return refused
}

const slack = 1e-9 // of a demand, for rounding

// fits fills anew with each source's level of its demand.
func (t *table) fits(asked []float64, level []int) bool {
	all := true
	for s := range asked {
		t.demand[s] = asked[s] * float64(level[s]) / levels
		clear(t.sent[s])
	}
	t.fill()
	for s := range asked {
		all = all && t.left(s) <= slack*asked[s]
	}
	return all
}

// spread places what fill left over in proportion to the room of the ways that are open, whatever that is filled to.
func (t *table) spread() (refused []float64) {
	refused = make([]float64, len(t.demand))
	for s := range t.demand {
		clear(t.sent[s])
	}
	t.fill()
	for s := range t.demand {
		left, sum := t.left(s), 0.0
		for d := range t.room {
			sum += t.room[d] * t.open(s, d)
		}
		if left <= 0 {
			continue
		}
		if sum <= 0 {
			refused[s] = left / t.demand[s]
			continue
		}
		for d := range t.room {
			t.sent[s][d] += left * t.room[d] * t.open(s, d) / sum
		}
	}
	return refused
}

// open is 1 for a way that takes all, and little for one that is tried again.
func (t *table) open(s, d int) float64 {
	if t.demand[s] <= 0 {
		return 0
	}
	return min(1, t.limit[s][d]/t.demand[s])
}
