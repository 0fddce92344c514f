package fleetsim

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// ErrWrite means that a result couldn't be written.
var ErrWrite = errors.New("write result")

// Options says what to compare.
type Options struct {
	Deployment string
	Seed       uint64
}

// ScenarioResult is the comparison on one pattern of arrivals.
type ScenarioResult struct {
	Scenario Scenario `json:"scenario"`
	// Bound is the worth that no policy passes.
	Bound float64 `json:"bound"`
	Rows  []Row   `json:"rows"`
}

// Result is the comparison of all policies on all scenarios.
type Result struct {
	Deployment string           `json:"deployment"`
	Seed       uint64           `json:"seed"`
	Scenarios  []ScenarioResult `json:"scenarios"`
}

// Run compares the policies. Its error is ErrDeployment.
func Run(o Options) (*Result, error) {
	d, err := deploymentNamed(o.Deployment)
	if err != nil {
		return nil, err
	}
	result := &Result{Deployment: o.Deployment, Seed: o.Seed}
	for _, scenario := range []Scenario{Calm, Overload} {
		trace := newTrace(d, scenario, rand.New(rand.NewPCG(o.Seed, 1)))
		compared := ScenarioResult{Scenario: scenario, Bound: bound(d, trace)}
		for _, p := range policies() {
			s := newSimulation(d, p, trace, o.Seed)
			s.run()
			compared.Rows = append(compared.Rows, s.measure.row(p.name))
		}
		result.Scenarios = append(result.Scenarios, compared)
	}
	return result, nil
}

// WriteTable writes the result for people.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s on the platform, seed %d; times to the first event in ms\n", r.Deployment, r.Seed)
	for _, s := range r.Scenarios {
		fmt.Fprintf(t, "\n%s; no policy earns more than %.3f\n", s.Scenario, s.Bound)
		fmt.Fprintln(t, "policy\tworth\tloads\tfrom store\tkind\tasked\tin aim\tlate\trefused\tp50\tp95\tp99\t")
		for _, row := range s.Rows {
			for i, k := range row.Kinds {
				if i == 0 {
					fmt.Fprintf(t, "%s\t%.3f\t%d\t%d\t", row.Policy, row.Worth, row.Loads, row.StoreLoads)
				} else {
					fmt.Fprint(t, "\t\t\t\t")
				}
				share := func(n int) float64 { return float64(n) / float64(max(k.Asked, 1)) }
				fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t\n",
					k.Kind, k.Asked, share(k.InAim), share(k.Late), share(k.Refused), k.P50, k.P95, k.P99)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Join(ErrWrite, err)
	}
	return nil
}

// WriteJSON writes the result for programs.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return errors.Join(ErrWrite, err)
	}
	return nil
}
