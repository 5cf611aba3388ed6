package report

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter // of each of the charts
)

// Plot writes charts of the use of the pools and of the waiting tasks over time into a PNG
// file. Changes of the leader are vertical lines.
func (r *Report) Plot(file string) error {
	used, waiting := plot.New(), plot.New()
	used.Title.Text, used.Y.Label.Text = "Use of the pools", "fraction in use"
	waiting.Title.Text, waiting.Y.Label.Text = "Waiting tasks", "tasks"
	used.Y.Min, used.Y.Max = 0, 1
	for i := range r.Pools {
		if err := r.addPool(used, waiting, &r.Pools[i], i); err != nil {
			return err
		}
	}
	for _, p := range []*plot.Plot{used, waiting} {
		p.X.Label.Text = "seconds"
		p.Legend.Top = true
		for _, l := range r.Leaders {
			if err := addMark(p, l.From.Sub(r.From).Seconds()); err != nil {
				return err
			}
		}
	}
	return save(file, used, waiting)
}

// addPool adds the lines of a pool.
func (r *Report) addPool(used, waiting *plot.Plot, pool *Pool, color int) error {
	var processors, accelerators, tasks plotter.XYs
	some := false // of its accelerators are in use
	for _, s := range pool.samples.items {
		x := s.at.Sub(r.From).Seconds()
		processors = append(processors, plotter.XY{X: x, Y: s.processors})
		accelerators = append(accelerators, plotter.XY{X: x, Y: s.accelerators})
		tasks = append(tasks, plotter.XY{X: x, Y: float64(s.waiting)})
		some = some || s.accelerators > 0
	}
	if len(processors) == 0 {
		return nil
	}
	if err := addLine(used, processors, pool.Name+" processors", 2*color); err != nil {
		return err
	}
	if some {
		if err := addLine(used, accelerators, pool.Name+" accelerators", 2*color+1); err != nil {
			return err
		}
	}
	return addLine(waiting, tasks, pool.Name, 2*color)
}

func addLine(p *plot.Plot, points plotter.XYs, name string, color int) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, name)
	}
	l.Color = plotutil.Color(color)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// addMark adds a vertical line over the height that the chart has so far.
func addMark(p *plot.Plot, x float64) error {
	l, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
	if err != nil {
		return errors.Wrap(err, "change of the leader")
	}
	l.Dashes = plotutil.Dashes(1)
	p.Add(l)
	return nil
}

// save draws charts one below the other.
func save(file string, charts ...*plot.Plot) error {
	rows := make([][]*plot.Plot, len(charts))
	for i := range charts {
		rows[i] = []*plot.Plot{charts[i]}
	}
	canvas := vgimg.New(plotWidth, plotHeight*vg.Length(len(charts)))
	tiles := draw.Tiles{Rows: len(charts), Cols: 1}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		charts[i].Draw(row[0])
	}
	return writeFile(file, vgimg.PngCanvas{Canvas: canvas})
}

func writeFile(file string, content io.WriterTo) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = content.WriteTo(f)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "plot")
}
