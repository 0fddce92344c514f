package fleetsim

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cyclamenhoist/cyclamenhoist/internal/panels"
)

const (
	panelWidth  = 16 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// WritePNG plots the worth of each policy over time as a PNG image, one panel for each
// scenario. It returns ErrWrite if drawing or w fails.
func (r *Result) WritePNG(w io.Writer) error {
	var plots []*plot.Plot
	for i := range r.Scenarios {
		p, err := r.panel(&r.Scenarios[i])
		if err != nil {
			return errors.Join(ErrWrite, err)
		}
		plots = append(plots, p)
	}
	if err := panels.WritePNG(w, panelWidth, panelHeight, plots); err != nil {
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
