package plan

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Placement is the zone of a proxy or a host, as an index into File.Zones.
type Placement struct{ Zone int }

// Arrival is one request that a caller sends.
type Arrival struct {
	At    time.Duration
	ID    string
	Proxy int
	Class int
	Key   uint64
}

// Step is the start or the end of a fault on its targets.
type Step struct {
	At      time.Duration
	Fault   int   // index into File.Faults
	End     bool  // the fault ends here
	Proxies []int // targets, or the proxies' ends of links
	Hosts   []int // targets, or the hosts' ends of links
	Peers   []int // the other ends of links between proxies
	List    bool  // the links to the list service are targets
}

// Schedule is everything that happens in a run: the experiment with the generated requests and steps, each in order of time.
type Schedule struct {
	*File
	Proxies  []Placement
	Hosts    []Placement
	Arrivals []Arrival
	Steps    []Step
}

// Draw generates the schedule for a seed.
func (f *File) Draw(seed uint64) *Schedule {
	s := &Schedule{File: f}
	for z, zone := range f.Zones {
		s.Proxies = append(s.Proxies, slices.Repeat([]Placement{{z}}, zone.Proxies)...)
		s.Hosts = append(s.Hosts, slices.Repeat([]Placement{{z}}, zone.Hosts)...)
	}
	for i := range f.Faults {
		s.drawFault(i, rand.New(rand.NewPCG(seed, 1000+uint64(i))))
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	s.drawArrivals(seed)
	return s
}

// drawFault adds the steps of a fault. Its targets are drawn once, so each repetition hits the same ones.
func (s *Schedule) drawFault(n int, random *rand.Rand) {
	f := &s.Faults[n]
	step := Step{Fault: n}
	var targets []int
	switch faultKinds[f.Kind].target {
	case "links":
		from, _ := parseSelector(cmp.Or(f.From, "proxies"))
		to, _ := parseSelector(f.To)
		step.Proxies = from.pick(s, random)
		step.Hosts, step.List = to.pick(s, random), to.kind == "list"
	case "peers":
		from, _ := parseSelector(f.From)
		to, _ := parseSelector(f.To)
		step.Proxies, step.Peers = from.pick(s, random), to.pick(s, random)
	case "hosts", "proxies":
		to, _ := parseSelector(f.To)
		targets = to.pick(s, random)
	}
	addSteps := func(at time.Duration, step Step) {
		step.At = at
		s.Steps = append(s.Steps, step)
		if f.For > 0 {
			step.At, step.End = at+f.For.D(), true
			s.Steps = append(s.Steps, step)
		}
	}
	until := f.Until.D()
	if until == 0 {
		until = s.Span.D()
	}
	for at := f.At.D(); at < until; at += f.Every.D() {
		if targets == nil {
			addSteps(at, step)
		}
		for i, t := range targets {
			each := step
			if faultKinds[f.Kind].target == "hosts" {
				each.Hosts = []int{t}
			} else {
				each.Proxies = []int{t}
			}
			addSteps(at+time.Duration(i)*f.Step.D(), each)
		}
		if f.Every == 0 {
			break
		}
	}
}

// drawArrivals draws the requests of each proxy from a Poisson process at the proxy's share of the rate. Arrivals are drawn at
// the rate under the largest factor of a "load" fault, and thinned to the rate at their time.
func (s *Schedule) drawArrivals(seed uint64) {
	rates := s.rates(rand.New(rand.NewPCG(seed, 1)))
	maxLoad := 1.0
	for _, f := range s.Faults {
		if f.Kind == "load" {
			maxLoad = max(maxLoad, f.Factor)
		}
	}
	classes := s.classBounds()
	for p, rate := range rates {
		random := rand.New(rand.NewPCG(seed, 10_000+uint64(p)))
		for at := 0.0; rate > 0; {
			at += random.ExpFloat64() / (rate * maxLoad)
			due := time.Duration(at * float64(time.Second))
			if due >= s.Span.D() {
				break
			}
			a := Arrival{At: due, ID: fmt.Sprintf("%016x", random.Uint64()), Proxy: p, Key: s.drawKey(random)}
			x := random.Float64()
			a.Class = slices.IndexFunc(classes, func(bound float64) bool { return x < bound })
			if random.Float64()*maxLoad < s.loadAt(due) {
				s.Arrivals = append(s.Arrivals, a)
			}
		}
	}
	slices.SortStableFunc(s.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// rates returns the request rate of each proxy: its zone's share of the traffic, divided unevenly among the zone's proxies.
func (s *Schedule) rates(random *rand.Rand) []float64 {
	shares := make([]float64, len(s.Proxies))
	sums := make([]float64, len(s.Zones))
	for p, party := range s.Proxies {
		shares[p] = math.Exp(s.Traffic.Uneven * random.NormFloat64())
		sums[party.Zone] += shares[p]
	}
	all := 0.0
	weights := make([]float64, len(s.Zones))
	for z, zone := range s.Zones {
		weights[z] = zone.Traffic
		if weights[z] == 0 {
			weights[z] = float64(zone.Proxies)
		}
		if zone.Proxies == 0 {
			weights[z] = 0
		}
		all += weights[z]
	}
	for p, party := range s.Proxies {
		shares[p] *= s.Traffic.RPS * weights[party.Zone] / all / sums[party.Zone]
	}
	return shares
}

// classBounds returns the cumulative shares of the classes, of which the last is 1.
func (s *Schedule) classBounds() []float64 {
	all, bounds := 0.0, make([]float64, len(s.Classes))
	for i, k := range s.Classes {
		all += k.Share
		bounds[i] = all
	}
	for i := range bounds {
		bounds[i] /= all
	}
	bounds[len(bounds)-1] = 1
	return bounds
}

// drawKey draws a key by popularity, through the inverse of the cumulative distribution function of a power law.
func (s *Schedule) drawKey(random *rand.Rand) uint64 {
	n, x := float64(s.Traffic.Keys), random.Float64()
	if n == 0 {
		return 0
	}
	if e := 1 - s.Traffic.Skew; math.Abs(e) > 1e-9 {
		x = math.Pow(1+x*(math.Pow(n+1, e)-1), 1/e)
	} else {
		x = math.Pow(n+1, x)
	}
	return uint64(x)
}

// loadAt returns the factor by which the "load" faults of a time multiply the request rate.
func (s *Schedule) loadAt(at time.Duration) float64 {
	load := 1.0
	for _, f := range s.Faults {
		if f.Kind == "load" && at >= f.At.D() && (f.For == 0 || at < (f.At+f.For).D()) {
			load *= f.Factor
		}
	}
	return load
}

// Write prints the schedule, one line for each step and each request.
func (s *Schedule) Write(w io.Writer) error {
	for _, step := range s.Steps {
		if _, err := fmt.Fprintf(w, "%v fault %d %s end %v proxies %v hosts %v list %v\n", step.At, step.Fault,
			s.Faults[step.Fault].Kind, step.End, step.Proxies, step.Hosts, step.List); err != nil {
			return err
		}
	}
	for _, a := range s.Arrivals {
		if _, err := fmt.Fprintf(w, "%v ask %s proxy %d class %d key %d\n", a.At, a.ID, a.Proxy, a.Class, a.Key); err != nil {
			return err
		}
	}
	return nil
}

// selector selects the targets of a fault. Its text is "hosts", "proxies" or "list", which can be limited: "hosts@a" to zone or
// region a, "hosts@a/0.5" to a random half of those, "proxies#3" to the one with index 3.
type selector struct {
	kind, zoneOrRegion string
	share              float64
	index              int // -1: not limited to one
}

func parseSelector(text string) (s selector, err error) {
	s.share, s.index = 1, -1
	rest, share, shared := strings.Cut(text, "/")
	if shared {
		if s.share, err = strconv.ParseFloat(share, 64); err != nil || s.share <= 0 || s.share > 1 {
			return s, fmt.Errorf("%q: the share after / is not above 0 and at most 1", text)
		}
	}
	rest, number, numbered := strings.Cut(rest, "#")
	if numbered {
		if s.index, err = strconv.Atoi(number); err != nil || s.index < 0 {
			return s, fmt.Errorf("%q: # is not followed by an index of 0 or more", text)
		}
	}
	s.kind, s.zoneOrRegion, _ = strings.Cut(rest, "@")
	if !slices.Contains([]string{"hosts", "proxies", "list"}, s.kind) {
		return s, fmt.Errorf("%q does not begin with hosts, proxies or list", text)
	}
	return s, nil
}

// check returns an error unless the selector selects at least one host, proxy or list service of the experiment.
func (s selector) check(f *File) error {
	if s.kind == "list" && (s.zoneOrRegion != "" || s.share != 1 || s.index >= 0) {
		return errors.New("list takes no zone, share or index")
	}
	n := 0
	for _, z := range f.Zones {
		if s.zoneOrRegion == "" || z.Name == s.zoneOrRegion || z.Region == s.zoneOrRegion {
			n += map[string]int{"hosts": z.Hosts, "proxies": z.Proxies, "list": 1}[s.kind]
		}
	}
	if n == 0 {
		return fmt.Errorf("%q is not a zone or region with %s", s.zoneOrRegion, s.kind)
	}
	if s.index >= n {
		return fmt.Errorf("index is out of range: there are %d, counted from 0", n)
	}
	return nil
}

// pick returns the indexes of the selected hosts or proxies; none for the list service.
func (s selector) pick(schedule *Schedule, random *rand.Rand) []int {
	all := schedule.Hosts
	switch s.kind {
	case "list":
		return nil
	case "proxies":
		all = schedule.Proxies
	}
	var picked []int
	for i, p := range all {
		if z := schedule.Zones[p.Zone]; s.zoneOrRegion == "" || z.Name == s.zoneOrRegion || z.Region == s.zoneOrRegion {
			picked = append(picked, i)
		}
	}
	if s.index >= 0 {
		return picked[s.index : s.index+1]
	}
	if s.share < 1 {
		random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
		picked = picked[:max(1, int(math.Round(s.share*float64(len(picked)))))]
		slices.Sort(picked)
	}
	return picked
}
