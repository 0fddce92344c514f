package fleetsim

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrDeployment is returned for an unknown deployment name.
var ErrDeployment = errors.New("no such deployment")

// requestClass describes the requests of one class: their rate, size and worth.
type requestClass struct {
	name string
	// requestsPerSecond is the arrival rate without overload.
	requestsPerSecond float64
	// promptTokens are processed before the first event of the answer. An answer has
	// this number of events with tokensPerEvent each.
	promptTokens, events int
	// An answer whose first event is sent within the latency objective earns worth, a
	// later one lateWorth. After timeout the client cancels the request.
	objective, timeout time.Duration
	worth, lateWorth   float64
	priority           int
	// nonRepeatable requests can't be sent again, since their work can't be repeated.
	nonRepeatable bool
	// Most requests of a hot class are for the few models that are popular at the
	// time; requests of other classes spread evenly over all models.
	hot bool
}

// work returns the time that a request takes of a server whose slots are full.
func (c *requestClass) work() time.Duration {
	reading := time.Duration(float64(c.promptTokens) / promptTokensPerMs * float64(time.Millisecond))
	fullStep := baseStepTime + (slotsPerServer-1)*stepTimePerRequest
	return reading + time.Duration(c.events*tokensPerEvent)*fullStep/slotsPerServer
}

// deployment holds the sizes of a deployment, as its specification gives them unless
// a comment says otherwise.
type deployment struct {
	name            string
	servers, models int
	loadsPerSecond  float64
	// diskLoadTime is the duration of a load from a copy on the server's disk, as the
	// manifests state it.
	diskLoadTime time.Duration
	classes      []requestClass
}

const (
	slotsPerServer = 64
	memoryMB       = 220_000.0
	modelMB        = 70_000.0
	// modelsPerServer is the number of models that fit into a server's memory.
	modelsPerServer = 3
	// storeLoadTime is the duration of a load from the weight store. Up to
	// storeLoadsAtFullSpeed concurrent loads don't slow each other down.
	storeLoadTime         = 6 * time.Second
	storeLoadsAtFullSpeed = 4
	// hostLoadTime is the duration of a load from a copy in the server's host memory.
	hostLoadTime = 390 * time.Millisecond
	// hostCacheModels and diskCacheModels are the numbers of model copies that a server
	// caches in host memory and on disk, as observed in server reports.
	hostCacheModels, diskCacheModels = 2, 19
	// unloadTime is the observed duration of unloading a model without requests.
	unloadTime     = 60 * time.Millisecond
	tokensPerEvent = 5
	// An engine step takes baseStepTime with one request in the batch, and
	// stepTimePerRequest more for each further one. Both are fitted to measured answer
	// times of requests that didn't wait.
	baseStepTime       = 4430 * time.Microsecond
	stepTimePerRequest = 350 * time.Microsecond
	promptTokensPerMs  = 38.1
	// hotShare is the fraction of the requests of hot classes that is for the
	// hotModels popular models.
	hotModels = 3
	hotShare  = 0.85
)

var deployments = []deployment{
	{
		name: "shoalmark", servers: 9, models: 50, loadsPerSecond: 2.6, diskLoadTime: 1100 * time.Millisecond,
		classes: []requestClass{
			{
				name: "quick-summary", requestsPerSecond: 62.5, promptTokens: 646, events: 14, objective: 500 * time.Millisecond,
				timeout: 5 * time.Second, worth: 2.8, lateWorth: 0.83, hot: true,
			},
			{
				name: "lodged-summary", requestsPerSecond: 3.04, promptTokens: 646, events: 14, objective: 3 * time.Second,
				timeout: 17 * time.Second, worth: 62, lateWorth: 9.3, nonRepeatable: true,
			},
			{
				name: "survey-report", requestsPerSecond: 1.39, promptTokens: 9190, events: 10, objective: 2500 * time.Millisecond,
				timeout: 5 * time.Second, worth: 7.2, lateWorth: 2.2, priority: 2, hot: true,
			},
		},
	},
	{
		name: "oarworks", servers: 12, models: 65, loadsPerSecond: 10, diskLoadTime: 500 * time.Millisecond,
		classes: []requestClass{
			{
				name: "draft-entry", requestsPerSecond: 83.2, promptTokens: 646, events: 14, objective: 500 * time.Millisecond,
				timeout: 5 * time.Second, worth: 2.8, lateWorth: 0.83, hot: true,
			},
			{
				name: "cutoff-entry", requestsPerSecond: 17.9, promptTokens: 646, events: 14, objective: 2 * time.Second,
				timeout: 11 * time.Second, worth: 14, lateWorth: 2.1, nonRepeatable: true,
			},
			{
				name: "protest-review", requestsPerSecond: 1.85, promptTokens: 9190, events: 10, objective: 2500 * time.Millisecond,
				timeout: 5 * time.Second, worth: 7.2, lateWorth: 2.2, priority: 2, hot: true,
			},
		},
	},
}

// Deployments returns the names that are valid for Options.Deployment.
func Deployments() []string {
	var names []string
	for _, d := range deployments {
		names = append(names, d.name)
	}
	return names
}

func findDeployment(name string) (*deployment, error) {
	for i := range deployments {
		if deployments[i].name == name {
			return &deployments[i], nil
		}
	}
	return nil, errors.Wrapf(ErrDeployment, "%q", name)
}
