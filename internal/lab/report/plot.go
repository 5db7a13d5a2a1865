package report

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// panels are the figures of a plot, each as a sum over zones for each second, averaged over runs.
var panels = []struct {
	name  string
	value func(Second) int
}{
	{"served", func(s Second) int { return s.Served }},
	{"refused", func(s Second) int { return s.Refused }},
	{"failed or lost", func(s Second) int { return s.Failed + s.Lost }},
	{"attempts in another zone", func(s Second) int { return s.CrossZone }},
	{"calls on the list service", func(s Second) int { return s.Calls }},
	{"new connections to hosts", func(s Second) int { return s.Connections }},
}

// Plot writes a PNG file that compares builds second by second, with a panel for each figure and a line for each build. builds
// holds the runs of each build.
func Plot(path, title string, builds [][]Run) error {
	const columns = 2
	rows := len(panels) / columns
	grid := make([][]*plot.Plot, rows)
	for i, panel := range panels {
		p := plot.New()
		p.Title.Text = panel.name
		if i == 0 {
			p.Title.Text = title + ": " + panel.name
		}
		p.X.Label.Text, p.Y.Label.Text = "second", "a second"
		p.Y.Min = 0
		for n, runs := range builds {
			line, err := plotter.NewLine(bySecond(runs, panel.value))
			if err != nil {
				return fmt.Errorf("plot %s: %w", path, err)
			}
			line.Color = plotutil.Color(n)
			p.Add(line)
			p.Legend.Add(runs[0].Build, line)
		}
		p.Legend.Top = true
		p.BackgroundColor = color.White
		grid[i/columns] = append(grid[i/columns], p)
	}
	img := vgimg.New(12*vg.Inch, vg.Length(rows)*3*vg.Inch)
	for r, line := range plot.Align(grid, draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter, PadY: vg.Millimeter}, draw.New(img)) {
		for c, canvas := range line {
			grid[r][c].Draw(canvas)
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	defer f.Close()
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// bySecond returns the mean of a figure over runs, for each second.
func bySecond(runs []Run, value func(Second) int) plotter.XYs {
	sums := map[int]float64{}
	last := 0
	for _, r := range runs {
		for _, s := range r.Seconds {
			sums[s.Second] += float64(value(s)) / float64(len(runs))
			last = max(last, s.Second)
		}
	}
	line := make(plotter.XYs, last+1)
	for i := range line {
		line[i] = plotter.XY{X: float64(i), Y: sums[i]}
	}
	return line
}
