package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
)

const (
	gib = 1 << 30

	acceleratorBytes = 80 * gib
	// memoryShare is the fraction of each accelerator's memory that this system may use.
	memoryShare = 0.6
	// hostBytes and diskBytes are the capacities of a server's checkpoint caches in host
	// memory and on disk.
	hostBytes = 64 * gib
	diskBytes = 256 * gib

	// Speeds of the tiers in bytes per second, and the constant overhead of each load.
	memorySpeed  = 10 * gib
	diskSpeed    = 2 * gib
	storeSpeed   = gib / 2
	loadOverhead = time.Second
	unloadTime   = 2 * time.Second

	startWithin = 20 * time.Second
	maxWait     = time.Minute
)

// deployment holds the sizes of one simulated deployment.
type deployment struct {
	name                   string
	runners                int
	models, adapters       int
	loadsPerSecond         float64
	loadsAtOnce, instances int
	weight                 float64
	// meanIdle is the mean time between two sessions of a model without a daily rhythm.
	meanIdle time.Duration
}

var deployments = []deployment{
	{
		name: "shoalmark", runners: 9, models: 50, adapters: 55, loadsPerSecond: 2.5, loadsAtOnce: 4,
		instances: 8, weight: 0.3, meanIdle: 72 * time.Hour,
	},
	{
		name: "oarworks", runners: 12, models: 65, adapters: 75, loadsPerSecond: 10, loadsAtOnce: 4,
		instances: 8, weight: 0.8, meanIdle: 30 * time.Hour,
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

func findDeployment(name string) (*deployment, bool) {
	for i := range deployments {
		if deployments[i].name == name {
			return &deployments[i], true
		}
	}
	return nil, false
}

var zoneWeights = []share.Weight{{Zone: "a", Weight: 1}, {Zone: "b", Weight: 1}, {Zone: "c", Weight: 1}, {Zone: "d", Weight: 1}}

// modelSpec is a model of the deployment with the parameters of its arrivals.
type modelSpec struct {
	info port.ModelInfo
	// baseIndex is the index of an adapter's base model, -1 for a base model.
	baseIndex   int
	serviceTime time.Duration
	// daily models are requested at the same time of each day, from dailyStart on.
	daily      bool
	dailyStart time.Duration
}

// buildModels generates the deployment's models. Every fifth model has adapters.
func (d *deployment) buildModels(r *rand.Rand) []modelSpec {
	specs := make([]modelSpec, 0, d.models+d.adapters)
	for i := range d.models {
		specs = append(specs, modelSpec{
			info: port.ModelInfo{
				ID: port.ModelID(fmt.Sprintf("model-%02d", i)), Service: "models", Bytes: int64(4+r.IntN(25)) * gib,
			},
			baseIndex: -1,
		})
	}
	for i := range d.adapters {
		base := i % (d.models / 5) * 5
		specs = append(specs, modelSpec{
			info: port.ModelInfo{
				ID: port.ModelID(fmt.Sprintf("adapter-%02d", i)), Service: "models", Base: specs[base].info.ID,
				Bytes: int64(64+r.IntN(448)) << 20,
			},
			baseIndex: base,
		})
	}
	for i := range specs {
		specs[i].serviceTime = time.Duration(2000+r.IntN(10000)) * time.Millisecond
		specs[i].daily = r.IntN(2) == 0
		specs[i].dailyStart = 6*time.Hour + time.Duration(r.IntN(20))*30*time.Minute
	}
	return specs
}
