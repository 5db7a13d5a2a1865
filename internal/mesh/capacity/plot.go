package capacity

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// plotted are the figures that a plot shows.
var plotted = []string{"server: bytes, quiet", "server: digests, quiet", "proxy: bytes, quiet",
	"server: processor, quiet", "proxy: processor, quiet", "change: bytes of a server"}

// Plot draws how some figures grow, on logarithmic axes, as a file of the kind that its name says.
func (s *Sweep) Plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Title, s.Size, "figure"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	for n, name := range plotted {
		if err := s.addLine(p, n, name); err != nil {
			return err
		}
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "capacity: plot %s", path)
}

func (s *Sweep) addLine(p *plot.Plot, number int, name string) error {
	for _, figure := range Figures() {
		if figure.Name != name {
			continue
		}
		var points plotter.XYs
		for _, size := range s.sizes() {
			if value, measured := s.mean(figure, size); measured && value > 0 {
				points = append(points, plotter.XY{X: size, Y: value})
			}
		}
		if len(points) == 0 {
			return nil
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrapf(err, "capacity: plot of %s", name)
		}
		line.Color, dots.Color = plotutil.Color(number), plotutil.Color(number)
		p.Add(line, dots)
		p.Legend.Add(name+", "+figure.Unit, line, dots)
	}
	return nil
}
