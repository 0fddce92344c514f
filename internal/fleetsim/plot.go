package fleetsim

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	panelWidth  = 16 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// WritePNG draws the worth of each policy over time, one panel for each scenario.
func (r *Result) WritePNG(w io.Writer) error {
	canvas := vgimg.New(panelWidth, panelHeight*vg.Length(len(r.Scenarios)))
	tiles := draw.Tiles{Rows: len(r.Scenarios), Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter}
	whole := draw.New(canvas)
	for i := range r.Scenarios {
		panel, err := r.panel(&r.Scenarios[i])
		if err != nil {
			return errors.Join(ErrWrite, err)
		}
		panel.Draw(tiles.At(whole, 0, i))
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(w); err != nil {
		return errors.Join(ErrWrite, err)
	}
	return nil
}

func (r *Result) panel(s *ScenarioResult) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Deployment, s.Scenario, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "second of the first wish", "worth, of what is owed"
	p.Y.Min, p.Y.Max = 0, 1
	var curves []any
	for _, row := range s.Rows {
		points := make(plotter.XYs, len(row.Windows))
		for i, worth := range row.Windows {
			points[i] = plotter.XY{X: float64(i) * windowLength.Seconds(), Y: worth}
		}
		curves = append(curves, row.Policy, points)
	}
	if err := plotutil.AddLines(p, curves...); err != nil {
		return nil, err
	}
	return p, nil
}
