package fleetsim

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrDeployment means that there is no deployment of that name.
var ErrDeployment = errors.New("no such deployment")

// kind is one class of requests.
type kind struct {
	name string
	// perSecond is the rate of a calm day.
	perSecond float64
	// prompt is read before the first event; each event holds eventTokens.
	prompt, events int
	// An answer by aim is worth worth, a later one late, none after limit.
	aim, limit  time.Duration
	worth, late float64
	priority    int
	// lasting requests can't be repeated.
	lasting bool
	// hot kinds ask for few models at a time, the others for all the rest.
	hot bool
}

// deployment holds sizes of a deployment. The figures are those of its sheet, but for
// the ones that say otherwise.
type deployment struct {
	name            string
	servers, models int
	loadsPerSecond  float64
	// diskLoad is the time of a load from a copy on the server's disk, as manifests
	// give it.
	diskLoad time.Duration
	kinds    []kind
}

const (
	slots    = 64
	memoryMB = 220_000.0
	modelMB  = 70_000.0
	// places is how many models fit into a server's memory.
	places         = 3
	storeLoad      = 6 * time.Second
	storeLoadsOnce = 4
	// hostLoad is the time of a load from a copy in the server's memory.
	hostLoad = 390 * time.Millisecond
	// hostCopies and diskCopies are how many copies a server keeps. Reports at the bench
	// show some 2 and 19.
	hostCopies, diskCopies = 2, 19
	// unloadTime is what dropping a model takes that runs nothing, as observed.
	unloadTime  = 60 * time.Millisecond
	eventTokens = 5
	// stepBase is the time of a step with one request, stepPerRequest what each
	// further one adds, fitted to the bench's answers without a wait.
	stepBase       = 4430 * time.Microsecond
	stepPerRequest = 350 * time.Microsecond
	promptPerMs    = 38.1
	// hotModels take hotShare of the requests of hot kinds.
	hotModels = 3
	hotShare  = 0.85
)

var deployments = []deployment{
	{
		name: "shoalmark", servers: 9, models: 50, loadsPerSecond: 2.6, diskLoad: 1100 * time.Millisecond,
		kinds: []kind{
			{
				name: "quick-summary", perSecond: 62.5, prompt: 646, events: 14, aim: 500 * time.Millisecond,
				limit: 5 * time.Second, worth: 2.8, late: 0.83, hot: true,
			},
			{
				name: "lodged-summary", perSecond: 3.04, prompt: 646, events: 14, aim: 3 * time.Second,
				limit: 17 * time.Second, worth: 62, late: 9.3, lasting: true,
			},
			{
				name: "survey-report", perSecond: 1.39, prompt: 9190, events: 10, aim: 2500 * time.Millisecond,
				limit: 5 * time.Second, worth: 7.2, late: 2.2, priority: 2, hot: true,
			},
		},
	},
	{
		name: "oarworks", servers: 12, models: 65, loadsPerSecond: 10, diskLoad: 500 * time.Millisecond,
		kinds: []kind{
			{
				name: "draft-entry", perSecond: 83.2, prompt: 646, events: 14, aim: 500 * time.Millisecond,
				limit: 5 * time.Second, worth: 2.8, late: 0.83, hot: true,
			},
			{
				name: "cutoff-entry", perSecond: 17.9, prompt: 646, events: 14, aim: 2 * time.Second,
				limit: 11 * time.Second, worth: 14, late: 2.1, lasting: true,
			},
			{
				name: "protest-review", perSecond: 1.85, prompt: 9190, events: 10, aim: 2500 * time.Millisecond,
				limit: 5 * time.Second, worth: 7.2, late: 2.2, priority: 2, hot: true,
			},
		},
	},
}

// Deployments returns the names that Options.Deployment may have.
func Deployments() []string {
	var names []string
	for _, d := range deployments {
		names = append(names, d.name)
	}
	return names
}

func deploymentNamed(name string) (*deployment, error) {
	for i := range deployments {
		if deployments[i].name == name {
			return &deployments[i], nil
		}
	}
	return nil, errors.Wrapf(ErrDeployment, "%q", name)
}
