package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Speeds in bytes per second that are assumed before any load was measured.
const (
	defaultMemorySpeed = 8 << 30
	defaultDiskSpeed   = 2 << 30
	defaultRemoteSpeed = 1 << 30
)

const (
	// smoothing is the weight of a new measurement.
	smoothing = 0.3
	// trust is the weight of the assumed speed beside the measurements, as if it
	// had been measured at trustBytes.
	trust      = 0.05
	trustBytes = 8.0 // GiB
	// maxFactor bounds how much slower or faster a server counts than its zone.
	maxFactor = 10
	// defaultUnloadTime is assumed before an unload was measured.
	defaultUnloadTime = 2 * time.Second
)

// Speeds keeps decaying measurements of load times. The zero value is ready to
// use.
type Speeds struct {
	zone    [tierCount]fit
	servers map[port.ServerID]*[tierCount]float32
	unload  float64 // seconds
}

// fit is a line through measured times in seconds over sizes in GiB. Its
// intercept is what every load takes besides reading.
type fit struct {
	weight, x, y, xx, xy float64
}

func (f *fit) add(x, y float64) {
	for _, sum := range []*float64{&f.weight, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= 1 - smoothing
	}
	f.weight++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// at returns the time for a size. The assumed speed holds the slope where the
// measured sizes are too small or too alike to tell it.
func (f *fit) at(x, assumed float64) float64 {
	prior := trust * trustBytes * trustBytes
	xx, xy := f.xx+prior, f.xy+prior*assumed
	weight := f.weight + trust
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

// zoneTime is the time in seconds that a load takes on a server like most.
func (s *Speeds) zoneTime(tier Tier, bytes int64) float64 {
	const gib = 1 << 30
	speed := [...]float64{defaultMemorySpeed, defaultDiskSpeed, defaultRemoteSpeed}[tier]
	return s.zone[tier].at(float64(bytes)/gib, gib/speed)
}

// Loaded takes in the measured time of a load.
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
	ratio = min(max(ratio, 1.0/maxFactor), maxFactor)
	factors[tier] += smoothing * (float32(ratio) - factors[tier])
}

// Unloaded takes in the measured time of an unload.
func (s *Speeds) Unloaded(took time.Duration) {
	if s.unload == 0 {
		s.unload = took.Seconds()
		return
	}
	s.unload += smoothing * (took.Seconds() - s.unload)
}

// Forget drops what is known of a server.
func (s *Speeds) Forget(server port.ServerID) { delete(s.servers, server) }

// LoadTime estimates how long a load takes once it has started.
func (s *Speeds) LoadTime(server port.ServerID, tier Tier, bytes int64) time.Duration {
	seconds := s.zoneTime(tier, bytes)
	if factors := s.servers[server]; factors != nil {
		seconds *= float64(factors[tier])
	}
	return time.Duration(seconds * float64(time.Second))
}

// UnloadTime estimates how long an unload takes.
func (s *Speeds) UnloadTime() time.Duration {
	if s.unload == 0 {
		return defaultUnloadTime
	}
	return time.Duration(s.unload * float64(time.Second))
}
