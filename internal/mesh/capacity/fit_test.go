package capacity

import (
	"math"
	"testing"
)

func TestFitPoints(t *testing.T) {
	var square, straight []Point
	for _, n := range []float64{30, 100, 300} {
		square = append(square, Point{n, 0.5 * n * n})
		straight = append(straight, Point{n, 7 + 2*n})
	}
	f := FitPoints(square)
	if math.Abs(f.Power-2) > 1e-9 || math.Abs(f.Factor-0.5) > 1e-9 || math.Abs(f.At(1200)-720_000) > 1e-3 {
		t.Errorf("0.5 n^2 is fitted by %+v", f)
	}
	if f := FitPoints(straight); math.Abs(f.Constant-7) > 1e-9 || math.Abs(f.PerUnit-2) > 1e-9 {
		t.Errorf("7 + 2n is fitted by %+v", f)
	}
	if f := FitPoints([]Point{{30, 4}}); f.Power != 0 || f.Constant != 4 {
		t.Errorf("one point is fitted by %+v", f)
	}
}
