package capacity

import (
	"math"
	"slices"
)

// Point is a figure at a size.
type Point struct{ Size, Value float64 }

// Fit is how a figure grows with a size: by a power law, Factor*size^Power, and by a line, Constant +
// PerUnit*size.
type Fit struct {
	Factor, Power     float64
	Constant, PerUnit float64
}

// FitPoints fits points by least squares; the power law by the logarithms. Figures of zero have no logarithm
// and are left out of that.
func FitPoints(points []Point) Fit {
	var logs []Point
	for _, p := range points {
		if p.Value > 0 {
			logs = append(logs, Point{math.Log(p.Size), math.Log(p.Value)})
		}
	}
	var f Fit
	if len(logs) > 0 {
		logFactor, power := line(logs)
		f.Factor, f.Power = math.Exp(logFactor), power
	}
	f.Constant, f.PerUnit = line(points)
	return f
}

// At is the value of the power law at a size.
func (f Fit) At(size float64) float64 { return f.Factor * math.Pow(size, f.Power) }

// line fits constant + slope*size. Without two sizes there is no slope.
func line(points []Point) (constant, slope float64) {
	n := float64(len(points))
	if n == 0 {
		return 0, 0
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.Size - meanX) * (p.Size - meanX)
		xy += (p.Size - meanX) * (p.Value - meanY)
	}
	if xx == 0 {
		return meanY, 0
	}
	slope = xy / xx
	return meanY - slope*meanX, slope
}

// Growth is how a figure grows over several seeds: the fit of all points, and the lowest and highest power of
// a seed.
type Growth struct {
	Fit
	LeastPower, MostPower float64
}

// Grow fits a figure of several fleets by a size, and each seed's by itself.
func Grow(results []*Result, figure Figure, size func(o *Options) float64) (Growth, bool) {
	bySeed := map[uint64][]Point{}
	var all []Point
	for _, r := range results {
		if value, measured := figure.Value(r); measured {
			p := Point{size(&r.Options), value}
			all = append(all, p)
			bySeed[r.Options.Seed] = append(bySeed[r.Options.Seed], p)
		}
	}
	if sizes(all) < 2 {
		return Growth{}, false
	}
	g := Growth{Fit: FitPoints(all), LeastPower: math.Inf(1), MostPower: math.Inf(-1)}
	for _, points := range bySeed {
		if sizes(points) < 2 {
			continue
		}
		power := FitPoints(points).Power
		g.LeastPower, g.MostPower = min(g.LeastPower, power), max(g.MostPower, power)
	}
	return g, true
}

func sizes(points []Point) int {
	var all []float64
	for _, p := range points {
		all = append(all, p.Size)
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}
