package balance

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotRows draws goodput and the share of answered bookings over load, one
// line per service and number of hosts, as an SVG file.
func plotRows(rows []Row, path string) error {
	type series struct {
		name   string
		points plotter.XYs
	}
	var all []*series
	add := func(name string, x, y float64) {
		for _, s := range all {
			if s.name == name {
				s.points = append(s.points, plotter.XY{X: x, Y: y})
				return
			}
		}
		all = append(all, &series{name, plotter.XYs{{X: x, Y: y}}})
	}
	for _, r := range rows {
		load := r.Options.Load + r.Options.Flood
		label := fmt.Sprintf("%s, %d hosts, %s", r.Options.Service, r.Options.Hosts, r.Options.Policy)
		goodput, _ := r.mean(func(r Result) float64 { return r.Goodput })
		add(label, load, goodput)
		bookings, _ := r.mean(func(r Result) float64 { return r.Bookings })
		if w, err := findWorkload(r.Options.Service); err == nil && w.hasBookings() {
			add(label+": bookings answered", load, bookings)
		}
	}
	p := plot.New()
	p.Title.Text = "Goodput and answered bookings over offered load"
	p.X.Label.Text = "offered load / capacity"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.YOffs = vg.Points(20)
	var lines []any
	for _, s := range all {
		lines = append(lines, s.name, s.points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(9*vg.Inch, 6*vg.Inch, path)
}
