package failover

// table is what a plan is filled in: rates by source zone and target zone, in the order of the zones.
type table struct {
	demand []float64   // of each source
	well   []float64   // of each target: at which it answers well
	most   []float64   // and at which it is not yet late; 0: it takes nothing
	limit  [][]float64 // of each way: the most that may go there
	region []string
	sent   [][]float64 // the result
}

func newTable(n int) *table {
	t := &table{demand: make([]float64, n), well: make([]float64, n), most: make([]float64, n), region: make([]string, n)}
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

// used is what a target gets.
func (t *table) used(d int) (sum float64) {
	for s := range t.sent {
		sum += t.sent[s][d]
	}
	return sum
}

// Near ones are filled beyond the level of all by nearPart of what they are then short of bearing well. More than that fills the
// nearest zone while others are easy, and it was the nearest that tipped.
const nearPart, wellPart = 0.5, 0.85

// place places all demand: at home what that bears, then in the region what others there have to spare, then wherever it
// leaves all that are open equally full. It gives the part of each source's demand that reaches nothing at all.
func (t *table) place() (stranded []float64) {
	n := len(t.demand)
	for s := range n {
		t.sent[s][s] = min(t.demand[s], t.most[s], t.limit[s][s])
	}
	spare := t.level()
	for d := range n {
		spare[d] += nearPart * max(0, min(wellPart*t.well[d], t.most[d])-spare[d])
	}
	t.spill(spare, func(s, d int) bool { return s != d && t.region[s] == t.region[d] })
	t.spill(t.level(), func(int, int) bool { return true })
	stranded = make([]float64, n)
	for s := range n {
		if left := t.left(s); left > slack*t.demand[s] && !t.force(s, left, none) {
			stranded[s] = left / t.demand[s]
		}
	}
	return stranded
}

const slack = 1e-9 // of a demand, for rounding

// level is what each target takes if all that is left goes where it leaves them equally full, for what they bear.
func (t *table) level() []float64 {
	left := 0.0
	for s := range t.demand {
		left += t.left(s)
	}
	rooms, used, most := make([]float64, len(t.demand)), make([]float64, len(t.demand)), make([]float64, len(t.demand))
	for d := range rooms {
		if used[d] = t.used(d); t.wanted(d) {
			most[d] = t.most[d]
		}
	}
	low, high := 0.0, 1e6
	for range 60 {
		mid := (low + high) / 2
		takes := 0.0
		for d := range rooms {
			rooms[d] = mid * most[d]
			takes += max(0, rooms[d]-used[d])
		}
		if takes < left {
			low = mid
		} else {
			high = mid
		}
	}
	return rooms
}

// wanted says whether any source that has something left may send it to a target: what cannot be reached lifts no level.
func (t *table) wanted(d int) bool {
	for s := range t.demand {
		if t.left(s) > 0 && t.limit[s][d] >= t.demand[s] {
			return true
		}
	}
	return false
}

const spillRounds = 4 // after which nothing worth the while is left to place

// spill places what is left up to rooms of the targets, in proportion to what is free there.
func (t *table) spill(rooms []float64, may func(s, d int) bool) {
	n := len(t.demand)
	for range spillRounds {
		asks, sums := make([][]float64, n), make([]float64, n)
		for s := range n {
			asks[s] = t.ask(s, rooms, may)
			for d, x := range asks[s] {
				sums[d] += x
			}
		}
		for d := range n {
			if sums[d] <= 0 {
				continue
			}
			part := min(1, max(0, rooms[d]-t.used(d))/sums[d])
			for s := range n {
				t.sent[s][d] += part * asks[s][d]
			}
		}
	}
}

// ask parts what a source has left over the targets by their free room.
func (t *table) ask(s int, rooms []float64, may func(s, d int) bool) []float64 {
	asks, sum := make([]float64, len(t.demand)), 0.0
	for d := range asks {
		if may(s, d) {
			asks[d] = max(0, min(rooms[d]-t.used(d), t.limit[s][d]-t.sent[s][d]))
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

// force places what is left of a source on its open ways but one whatever that fills, as in panic. false: it has none.
func (t *table) force(s int, left float64, but int) bool {
	parts, sum := make([]float64, len(t.most)), 0.0
	for d := range parts {
		if d != but {
			parts[d] = t.most[d] * t.limit[s][d]
			sum += parts[d]
		}
	}
	if sum <= 0 {
		return false
	}
	for d, part := range parts {
		t.sent[s][d] += left * part / sum
	}
	return true
}

const none = -1 // of the zones

// scatter keeps at home what has room there and sends the rest over all other open ways alike: one proxy alone does not know
// what others send there.
func (t *table) scatter() (stranded []float64) {
	stranded = make([]float64, len(t.demand))
	for s := range t.demand {
		t.sent[s][s] = min(t.demand[s], t.most[s], t.limit[s][s])
		if left := t.left(s); left > 0 && !t.force(s, left, s) && !t.force(s, left, none) {
			stranded[s] = left / t.demand[s]
		}
	}
	return stranded
}

// open says whether a source has any way to a target.
func (t *table) open(s, d int) bool { return t.most[d] > 0 && t.limit[s][d] > 0 }
