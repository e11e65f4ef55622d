package event

import (
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	plotWidth  = 30 * vg.Centimeter
	plotMargin = 4 * vg.Centimeter
	rowHeight  = 1 * vg.Centimeter
	// legendHeight is the height of one kind in the legend.
	legendHeight = 0.5 * vg.Centimeter
	glyphRadius  = 0.1 * vg.Centimeter
	// minWidth is the minimum length of the horizontal axis in units of logical time.
	minWidth = 10
)

// PlotOption configures Plot.
type PlotOption func(*plotOptions)

type plotOptions struct {
	format string
	title  string
}

// AsPNG selects the PNG format instead of SVG.
func AsPNG() PlotOption {
	return func(p *plotOptions) { p.format = "png" }
}

// WithTitle sets the title of the plot.
func WithTitle(title string) PlotOption {
	return func(p *plotOptions) { p.title = title }
}

// Plot writes the events as an SVG image with one row for each process and one mark for each event.
// The horizontal axis is logical time, because times of two processes are not comparable. An image
// without events has no rows. Plot returns errors of the writer and of the drawing library.
func Plot(events []Event, w io.Writer, options ...PlotOption) error {
	opts := plotOptions{format: "svg", title: "Control events"}
	for _, o := range options {
		o(&opts)
	}
	rows := processes(events)
	kinds := kindsOf(events)
	p, err := opts.draw(events, rows, kinds)
	if err != nil {
		return err
	}
	height := plotMargin + max(vg.Length(len(rows))*rowHeight, vg.Length(len(kinds))*legendHeight)
	image, err := p.WriterTo(plotWidth, height, opts.format)
	if err != nil {
		return err
	}
	_, err = image.WriteTo(w)
	return err
}

func (o *plotOptions) draw(events []Event, rows []assign.ProcessID, kinds []Kind) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = o.title
	p.X.Label.Text = "logical time"
	p.Y.Label.Text = "process"
	p.Legend.Top = true
	p.Legend.Left = false
	if len(rows) == 0 {
		p.HideAxes()
		return p, nil
	}
	p.Add(plotter.NewGrid())
	p.NominalY(rowNames(rows)...)
	for _, k := range kinds {
		if err := addKind(p, k, points(events, rows, k)); err != nil {
			return nil, err
		}
	}
	padAxes(p, len(rows))
	return p, nil
}

// padAxes adds half a row above and below the data, and a quarter of the width for the legend. It
// also sets a minimum width, because the axis of a single event has no length.
func padAxes(p *plot.Plot, rows int) {
	p.Y.Min, p.Y.Max = -0.5, float64(rows)-0.5
	width := max(p.X.Max-p.X.Min, minWidth)
	p.X.Min -= width / 50
	p.X.Max += width / 4
}

func addKind(p *plot.Plot, k Kind, xys plotter.XYs) error {
	marks, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	marks.Color = plotutil.Color(int(k))
	marks.Shape = plotutil.Shape(int(k))
	marks.Radius = glyphRadius
	p.Add(marks)
	p.Legend.Add(k.String(), marks)
	return nil
}

func points(events []Event, rows []assign.ProcessID, k Kind) plotter.XYs {
	var xys plotter.XYs
	for _, e := range events {
		if e.Kind != k {
			continue
		}
		row, _ := slices.BinarySearch(rows, e.Process)
		xys = append(xys, plotter.XY{X: float64(e.Logical), Y: float64(row)})
	}
	return xys
}

// processes returns the distinct processes of the events, sorted. The first is the lowest row.
func processes(events []Event) []assign.ProcessID {
	var names []assign.ProcessID
	for _, e := range events {
		names = append(names, e.Process)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// kindsOf returns the distinct kinds of the events, sorted.
func kindsOf(events []Event) []Kind {
	var kinds []Kind
	for _, e := range events {
		kinds = append(kinds, e.Kind)
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

func rowNames(rows []assign.ProcessID) []string {
	names := make([]string, len(rows))
	for i, r := range rows {
		names[i] = string(r)
	}
	return names
}
