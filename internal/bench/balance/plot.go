package balance

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart collects the points of named lines in the order of their first point.
type chart struct {
	names  []string
	points map[string]plotter.XYs
}

func (c *chart) add(name string, x, y float64) {
	if c.points == nil {
		c.points = map[string]plotter.XYs{}
	}
	if _, ok := c.points[name]; !ok {
		c.names = append(c.names, name)
	}
	c.points[name] = append(c.points[name], plotter.XY{X: x, Y: y})
}

// plotRows writes a picture in the format of the path's extension. Rows with
// several floods give the share of the other callers' requests that was
// answered over the flood; others give goodput and answered bookings over load.
func plotRows(rows []Row, path string) error {
	var c chart
	p := plot.New()
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Y.Label.Text = "share"
	p.Title.Text = "Goodput and answered bookings over offered load"
	p.X.Label.Text = "offered load / capacity"
	floods := map[float64]bool{}
	for _, r := range rows {
		floods[r.Options.Flood] = true
	}
	if len(floods) > 1 {
		p.Title.Text = "Other callers' requests answered while one caller floods"
		p.X.Label.Text = "load of the flooding caller / capacity"
	}
	for _, r := range rows {
		label := fmt.Sprintf("%s, %d hosts, %s", r.Options.Service, r.Options.Hosts, r.Options.Policy)
		if len(floods) > 1 {
			answered, _ := r.mean(func(r Result) float64 { return r.Answered })
			c.add(label, r.Options.Flood, answered)
			continue
		}
		goodput, _ := r.mean(func(r Result) float64 { return r.Goodput })
		c.add(label+": goodput", r.Options.Load, goodput)
		if w, err := findWorkload(r.Options.Service); err == nil && w.hasBookings() {
			bookings, _ := r.mean(func(r Result) float64 { return r.Bookings })
			c.add(label+": bookings", r.Options.Load, bookings)
		}
	}
	for i, name := range c.names {
		line, points, err := plotter.NewLinePoints(c.points[name])
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, points.Shape = plotutil.Dashes(i%5), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(name, line, points)
	}
	p.Legend.YOffs = vg.Points(10)
	return p.Save(10*vg.Inch, 6*vg.Inch, path)
}
