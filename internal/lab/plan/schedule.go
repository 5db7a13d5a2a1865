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

// Party is a proxy or a host.
type Party struct{ Zone int }

// Arrival is one request of a caller.
type Arrival struct {
	At    time.Duration
	ID    string
	Proxy int
	Class int
	Key   uint64
}

// Step is the begin or the end of a fault.
type Step struct {
	At      time.Duration
	Fault   int  // in the file
	End     bool // it heals
	Proxies []int
	Hosts   []int // of links too
	Peers   []int // the other ends of links between proxies
	List    bool
}

// Schedule is all that will happen.
type Schedule struct {
	*File
	Proxies  []Party
	Hosts    []Party
	Arrivals []Arrival
	Steps    []Step
}

// Draw makes the schedule of a seed.
func (f *File) Draw(seed uint64) *Schedule {
	s := &Schedule{File: f}
	for z, zone := range f.Zones {
		s.Proxies = append(s.Proxies, slices.Repeat([]Party{{z}}, zone.Proxies)...)
		s.Hosts = append(s.Hosts, slices.Repeat([]Party{{z}}, zone.Hosts)...)
	}
	for i := range f.Faults {
		s.drawFault(i, rand.New(rand.NewPCG(seed, 1000+uint64(i))))
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	s.drawArrivals(seed)
	return s
}

// drawFault draws targets once: what comes again hits the same.
func (s *Schedule) drawFault(n int, random *rand.Rand) {
	f := &s.Faults[n]
	step := Step{Fault: n}
	var targets []int
	switch kinds[f.Kind].to {
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
	one := func(at time.Duration, step Step) {
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
			one(at, step)
		}
		for i, t := range targets {
			each := step
			if kinds[f.Kind].to == "hosts" {
				each.Hosts = []int{t}
			} else {
				each.Proxies = []int{t}
			}
			one(at+time.Duration(i)*f.Step.D(), each)
		}
		if f.Every == 0 {
			break
		}
	}
}

// drawArrivals draws each proxy's requests, Poisson at its share of the rate, which "load" faults raise and lower.
func (s *Schedule) drawArrivals(seed uint64) {
	rates := s.rates(rand.New(rand.NewPCG(seed, 1)))
	highest := 1.0
	for _, f := range s.Faults {
		if f.Kind == "load" {
			highest = max(highest, f.Factor)
		}
	}
	classes := s.classBounds()
	for p, rate := range rates {
		random := rand.New(rand.NewPCG(seed, 10_000+uint64(p)))
		for at := 0.0; rate > 0; {
			at += random.ExpFloat64() / (rate * highest)
			due := time.Duration(at * float64(time.Second))
			if due >= s.Span.D() {
				break
			}
			a := Arrival{At: due, ID: fmt.Sprintf("%016x", random.Uint64()), Proxy: p, Key: s.drawKey(random)}
			x := random.Float64()
			a.Class = slices.IndexFunc(classes, func(bound float64) bool { return x < bound })
			if random.Float64()*highest < s.loadAt(due) {
				s.Arrivals = append(s.Arrivals, a)
			}
		}
	}
	slices.SortStableFunc(s.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// rates is each proxy's share of the traffic: its zone's, spread unevenly.
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

// drawKey draws by popularity: the inverse of the distribution function of a power law.
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

func (s *Schedule) loadAt(at time.Duration) float64 {
	load := 1.0
	for _, f := range s.Faults {
		if f.Kind == "load" && at >= f.At.D() && (f.For == 0 || at < (f.At+f.For).D()) {
			load *= f.Factor
		}
	}
	return load
}

// Write prints the schedule, a line for each thing.
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

// selector names parties: "hosts", "hosts@a" (zone or region a), "hosts@a/0.5" (half of them, drawn), "proxies#3" (one, by
// its number), "list".
type selector struct {
	kind, place string
	share       float64
	number      int
}

func parseSelector(text string) (s selector, err error) {
	s.share, s.number = 1, -1
	rest, share, shared := strings.Cut(text, "/")
	if shared {
		if s.share, err = strconv.ParseFloat(share, 64); err != nil || s.share <= 0 || s.share > 1 {
			return s, fmt.Errorf("%q: the share is not above 0 and at most 1", text)
		}
	}
	rest, number, numbered := strings.Cut(rest, "#")
	if numbered {
		if s.number, err = strconv.Atoi(number); err != nil || s.number < 0 {
			return s, fmt.Errorf("%q: no number after #", text)
		}
	}
	s.kind, s.place, _ = strings.Cut(rest, "@")
	if !slices.Contains([]string{"hosts", "proxies", "list"}, s.kind) {
		return s, fmt.Errorf("%q names neither hosts, proxies nor list", text)
	}
	return s, nil
}

func (s selector) check(f *File) error {
	if s.kind == "list" && (s.place != "" || s.share != 1 || s.number >= 0) {
		return errors.New("there is one list")
	}
	n := 0
	for _, z := range f.Zones {
		if s.place == "" || z.Name == s.place || z.Region == s.place {
			n += map[string]int{"hosts": z.Hosts, "proxies": z.Proxies, "list": 1}[s.kind]
		}
	}
	if n == 0 {
		return fmt.Errorf("%q is no zone or region with %s", s.place, s.kind)
	}
	if s.number >= n {
		return fmt.Errorf("there are %d, counted from 0", n)
	}
	return nil
}

func (s selector) pick(of *Schedule, random *rand.Rand) []int {
	all := of.Hosts
	switch s.kind {
	case "list":
		return nil
	case "proxies":
		all = of.Proxies
	}
	var picked []int
	for i, p := range all {
		if z := of.Zones[p.Zone]; s.place == "" || z.Name == s.place || z.Region == s.place {
			picked = append(picked, i)
		}
	}
	if s.number >= 0 {
		return picked[s.number : s.number+1]
	}
	if s.share < 1 {
		random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
		picked = picked[:max(1, int(math.Round(s.share*float64(len(picked)))))]
		slices.Sort(picked)
	}
	return picked
}
