package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Speeds in bytes per second that are assumed before any load has been measured.
const (
	defaultMemorySpeed = 8 << 30
	defaultDiskSpeed   = 2 << 30
	defaultRemoteSpeed = 1 << 30
)

const (
	// smoothing is the weight of a new measurement in the moving averages.
	smoothing = 0.3
	// priorWeight is the weight of the assumed speed relative to a measurement, as if it had
	// been measured with a load of priorSizeGiB.
	priorWeight  = 0.05
	priorSizeGiB = 8.0
	// maxServerFactor limits the correction factor of a server, in both directions.
	maxServerFactor = 10
	// defaultUnloadTime is assumed before an unload has been measured.
	defaultUnloadTime = 2 * time.Second
)

// Speeds estimates load times from exponentially weighted measurements. The zero value is
// ready to use.
type Speeds struct {
	zone    [tierCount]linearFit
	servers map[port.ServerID]*[tierCount]float32
	unload  float64 // seconds
}

// linearFit is an exponentially weighted linear regression of load times in seconds over sizes
// in GiB. The intercept is the fixed cost of a load.
type linearFit struct {
	weight, x, y, xx, xy float64
}

func (f *linearFit) add(x, y float64) {
	for _, sum := range []*float64{&f.weight, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= 1 - smoothing
	}
	f.weight++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// at returns the estimated time for a size. assumed is the slope in seconds per GiB that is
// used as a prior, since the slope is undetermined if the measured sizes are small or nearly
// equal.
func (f *linearFit) at(x, assumed float64) float64 {
	prior := priorWeight * priorSizeGiB * priorSizeGiB
	xx, xy := f.xx+prior, f.xy+prior*assumed
	weight := f.weight + priorWeight
	slope := (weight*xy - f.x*f.y) / (weight*xx - f.x*f.x)
	intercept := (f.y - slope*f.x) / weight
	switch {
	case intercept < 0:
		intercept, slope = 0, xy/xx
	case slope < 0:
		intercept, slope = f.y/weight, 0
	}
	return intercept + slope*x
}

// zoneTime returns the estimated duration of a load in seconds on an average server of the
// zone.
func (s *Speeds) zoneTime(tier Tier, bytes int64) float64 {
	const gib = 1 << 30
	speed := [...]float64{defaultMemorySpeed, defaultDiskSpeed, defaultRemoteSpeed}[tier]
	return s.zone[tier].at(float64(bytes)/gib, gib/speed)
}

// Loaded records the measured duration of a load.
func (s *Speeds) Loaded(server port.ServerID, tier Tier, bytes int64, took time.Duration) {
	if bytes <= 0 || took <= 0 {
		return
	}
	ratio := took.Seconds() / s.zoneTime(tier, bytes)
	if s.zone[tier].weight == 0 {
		ratio = 1
	}
	s.zone[tier].add(float64(bytes)/(1<<30), took.Seconds())
	if s.servers == nil {
		s.servers = map[port.ServerID]*[tierCount]float32{}
	}
	factors := s.servers[server]
	if factors == nil {
		factors = &[tierCount]float32{1, 1, 1}
		s.servers[server] = factors
	}
	ratio = min(max(ratio, 1.0/maxServerFactor), maxServerFactor)
	factors[tier] += smoothing * (float32(ratio) - factors[tier])
}

// Unloaded records the measured duration of an unload.
func (s *Speeds) Unloaded(took time.Duration) {
	if s.unload == 0 {
		s.unload = took.Seconds()
		return
	}
	s.unload += smoothing * (took.Seconds() - s.unload)
}

// Forget removes the measurements of a server.
func (s *Speeds) Forget(server port.ServerID) { delete(s.servers, server) }

// LoadTime estimates the duration of a load, without the wait before its start.
func (s *Speeds) LoadTime(server port.ServerID, tier Tier, bytes int64) time.Duration {
	seconds := s.zoneTime(tier, bytes)
	if factors := s.servers[server]; factors != nil {
		seconds *= float64(factors[tier])
	}
	return time.Duration(seconds * float64(time.Second))
}

// UnloadTime estimates the duration of an unload.
func (s *Speeds) UnloadTime() time.Duration {
	if s.unload == 0 {
		return defaultUnloadTime
	}
	return time.Duration(s.unload * float64(time.Second))
}
