package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// ErrWrite is returned when a result can't be written.
var ErrWrite = errors.New("write experiment result")

// Target ratios of the comparison: against the fixed timeout and against the cheaper
// oracle.
const (
	fixedRatioTarget  = 0.5
	oracleRatioTarget = 1.3
)

// WriteTable writes the result as a text table. It returns ErrWrite if w fails.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "deployment %s, seed %d, cold_start_weight %v; waits in seconds, idle in accelerator hours\n",
		r.Deployment, r.Seed, r.Weight)
	for i := range r.Scenarios {
		s := &r.Scenarios[i]
		fmt.Fprintf(t, "\n%s\n", s.Scenario)
		fmt.Fprintln(t, "policy\tsetting\trequests\tcold\trefused\tp50\tp95\tp99\tcold p50\tcold p95\tcold p99\twait h\tidle h\tloads\t")
		for _, row := range s.Rows {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%d\t\n",
				row.Policy, row.Setting, row.Requests, row.Cold, row.Refused, row.P50, row.P95, row.P99,
				row.ColdP50, row.ColdP95, row.ColdP99, row.WaitHours, row.IdleHours, row.Loads)
		}
		s.Targets.write(t)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(ErrWrite, err.Error())
	}
	return nil
}

func (t *Targets) write(w io.Writer) {
	for _, line := range []struct {
		text          string
		value, target float64
	}{
		{"idle hours at a p99 no higher than fixed 10m", t.IdleAtEqualP99, fixedRatioTarget},
		{"p99 at no more idle hours than fixed 10m", t.P99AtEqualIdle, fixedRatioTarget},
		{"sum of waits at no more idle hours than fixed 10m", t.WaitAtEqualIdle, 0},
		{"weighted cost to oracle_keep", t.CostToOracleKeep, 0},
		{"weighted cost to oracle_ahead", t.CostToOracleAhead, 0},
		{"weighted cost to the cheaper oracle", t.CostToOracle, oracleRatioTarget},
	} {
		switch {
		case line.value < 0:
			fmt.Fprintf(w, "  %s: no point of the curve reaches it, missed\n", line.text)
		case line.target == 0:
			fmt.Fprintf(w, "  %s: %.2f times\n", line.text, line.value)
		case line.value <= line.target:
			fmt.Fprintf(w, "  %s: %.2f times, target %.1f met\n", line.text, line.value, line.target)
		default:
			fmt.Fprintf(w, "  %s: %.2f times, target %.1f missed\n", line.text, line.value, line.target)
		}
	}
}

// WriteJSON writes the result as indented JSON. It returns ErrWrite if w fails.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return errors.Wrap(ErrWrite, err.Error())
	}
	return nil
}
