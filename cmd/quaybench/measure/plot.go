package measure

import (
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a plot of each customer's service divided by its share over time.
// The line is thick while the customer is backlogged. The extension of path sets
// the format, such as SVG or PNG.
func Plot(in Input, path string) (err error) {
	defer func() { err = trace.Wrap(err, "plotting service") }()
	c := newServiceCurves(&in, collectRuns(in.Truth, in.Until))
	p := plot.New()
	p.Title.Text = "Service by customer, divided by share"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "weighted tokens"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, customer := range c.customers {
		if err := c.draw(p, customer, plotutil.Color(i)); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (c *serviceCurves) draw(p *plot.Plot, customer string, lineColor color.Color) error {
	all := make(plotter.XYs, 0, c.steps)
	var backlogged plotter.XYs
	for step := range c.steps {
		point := plotter.XY{
			X: float64(step) * stepInterval.Seconds(),
			Y: c.service[customer][step] / c.in.Shares[customer],
		}
		all = append(all, point)
		if c.waiting[customer][step] > 0 {
			backlogged = append(backlogged, point)
		}
	}
	line, err := plotter.NewLine(all)
	if err != nil {
		return err
	}
	line.Color = lineColor
	p.Add(line)
	p.Legend.Add(customer, line)
	if len(backlogged) == 0 {
		return nil
	}
	points, err := plotter.NewScatter(backlogged)
	if err != nil {
		return err
	}
	points.Color = lineColor
	points.Radius = vg.Points(1)
	p.Add(points)
	return nil
}
