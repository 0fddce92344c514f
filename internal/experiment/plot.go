package experiment

import (
	"fmt"
	"image/color"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/cyclamenhoist/cyclamenhoist/internal/panels"
)

const (
	panelWidth  = 12 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

var (
	historyColor = color.RGBA{R: 0x1f, G: 0x5f, B: 0xb4, A: 0xff}
	fixedColor   = color.RGBA{R: 0xc8, G: 0x50, B: 0x28, A: 0xff}
	otherColor   = color.RGBA{R: 0x50, G: 0x50, B: 0x50, A: 0xff}
)

// WritePNG plots the trade-off between idle accelerator hours and the mean wait of a
// request as a PNG image, one panel for each scenario. It returns ErrWrite if drawing
// or w fails.
func (r *Result) WritePNG(w io.Writer) error {
	var plots []*plot.Plot
	for i := range r.Scenarios {
		p, err := r.panel(&r.Scenarios[i])
		if err != nil {
			return errors.Wrap(ErrWrite, err.Error())
		}
		plots = append(plots, p)
	}
	if err := panels.WritePNG(w, panelWidth, panelHeight, plots); err != nil {
		return errors.Wrap(ErrWrite, err.Error())
	}
	return nil
}

func (r *Result) panel(s *ScenarioResult) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Deployment, s.Scenario, r.Seed)
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "mean wait of a request, s"
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top = true
	for _, curve := range []struct {
		name  string
		rows  []Row
		color color.Color
	}{{"history, by weight", s.History, historyColor}, {"fixed, by timeout", s.Fixed, fixedColor}} {
		line, points, err := plotter.NewLinePoints(coordinates(curve.rows))
		if err != nil {
			return nil, errors.Wrap(err, "curve")
		}
		line.Color, points.Color = curve.color, curve.color
		p.Add(line, points)
		p.Legend.Add(curve.name, line, points)
	}
	for i, row := range s.Rows[rowFixed+1:] {
		points, err := plotter.NewScatter(coordinates([]Row{row}))
		if err != nil {
			return nil, errors.Wrap(err, "point")
		}
		points.Color = otherColor
		points.Shape = []draw.GlyphDrawer{draw.CrossGlyph{}, draw.PlusGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}}[i]
		p.Add(points)
		p.Legend.Add(row.Policy, points)
	}
	return p, nil
}

func coordinates(rows []Row) plotter.XYs {
	points := make(plotter.XYs, len(rows))
	for i, row := range rows {
		points[i].X = row.IdleHours
		if row.Requests > 0 {
			points[i].Y = row.WaitHours * 3600 / float64(row.Requests)
		}
	}
	return points
}
