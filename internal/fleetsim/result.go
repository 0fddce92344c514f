package fleetsim

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// ErrWrite is returned when a result can't be written.
var ErrWrite = errors.New("write result")

// Options selects the deployment and the random seed of a comparison.
type Options struct {
	// Deployment is one of Deployments.
	Deployment string
	Seed       uint64
}

// ScenarioResult compares the policies on one arrival pattern.
type ScenarioResult struct {
	Scenario Scenario `json:"scenario"`
	// UpperBound is an upper bound on the worth of any policy, as a fraction of the
	// worth of all requests.
	UpperBound float64 `json:"bound"`
	Rows       []Row   `json:"rows"`
}

// Result compares all policies on all scenarios.
type Result struct {
	Deployment string           `json:"deployment"`
	Seed       uint64           `json:"seed"`
	Scenarios  []ScenarioResult `json:"scenarios"`
}

// Run simulates all policies on all scenarios. It returns ErrDeployment if
// o.Deployment is unknown.
func Run(o Options) (*Result, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	result := &Result{Deployment: o.Deployment, Seed: o.Seed}
	for _, scenario := range []Scenario{Calm, Overload} {
		trace := newTrace(d, scenario, rand.New(rand.NewPCG(o.Seed, 1)))
		scenarioResult := ScenarioResult{Scenario: scenario, UpperBound: upperBound(d, trace)}
		for _, p := range policies() {
			s := newSimulation(d, p, trace, o.Seed)
			s.run()
			scenarioResult.Rows = append(scenarioResult.Rows, s.statistics.row(p.name))
		}
		result.Scenarios = append(result.Scenarios, scenarioResult)
	}
	return result, nil
}

// WriteTable writes the result as a text table. It returns ErrWrite if w fails.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s on the platform, seed %d; times to the first event in ms\n", r.Deployment, r.Seed)
	for _, s := range r.Scenarios {
		fmt.Fprintf(t, "\n%s; no policy earns more than %.3f\n", s.Scenario, s.UpperBound)
		fmt.Fprintln(t, "policy\tworth\tloads\tfrom store\tkind\tasked\tin aim\tlate\trefused\tp50\tp95\tp99\t")
		for _, row := range s.Rows {
			for i, k := range row.Classes {
				if i == 0 {
					fmt.Fprintf(t, "%s\t%.3f\t%d\t%d\t", row.Policy, row.Worth, row.Loads, row.StoreLoads)
				} else {
					fmt.Fprint(t, "\t\t\t\t")
				}
				share := func(n int) float64 { return float64(n) / float64(max(k.Requests, 1)) }
				fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t\n",
					k.Class, k.Requests, share(k.OnTime), share(k.Late), share(k.Refused), k.P50, k.P95, k.P99)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Join(ErrWrite, err)
	}
	return nil
}

// WriteJSON writes the result as indented JSON. It returns ErrWrite if w fails.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return errors.Join(ErrWrite, err)
	}
	return nil
}
