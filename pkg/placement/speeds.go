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
	// smallBytes tells small loads, whose time is mostly fixed cost, from large
	// ones. The two are averaged apart.
	smallBytes = 1 << 30
	// defaultUnloadTime is assumed before an unload was measured.
	defaultUnloadTime = 2 * time.Second
	sizeClasses       = 2
)

// Speeds keeps decaying averages of measured load times. The zero value is ready
// to use.
type Speeds struct {
	zone    [tierCount][sizeClasses]float64 // seconds per byte; zero if not measured
	servers map[port.ServerID]*[tierCount]float32
	unload  float64 // seconds
}

func sizeClass(bytes int64) int {
	if bytes < smallBytes {
		return 0
	}
	return 1
}

func (s *Speeds) perByte(tier Tier, bytes int64) float64 {
	class := sizeClass(bytes)
	if measured := s.zone[tier][class]; measured > 0 {
		return measured
	}
	if other := s.zone[tier][1-class]; other > 0 {
		return other
	}
	return 1 / [...]float64{defaultMemorySpeed, defaultDiskSpeed, defaultRemoteSpeed}[tier]
}

// Loaded takes in the measured time of a load.
func (s *Speeds) Loaded(server port.ServerID, tier Tier, bytes int64, took time.Duration) {
	if bytes <= 0 || took <= 0 {
		return
	}
	measured := took.Seconds() / float64(bytes)
	ratio := measured / s.perByte(tier, bytes)
	zone := &s.zone[tier][sizeClass(bytes)]
	if *zone == 0 {
		*zone = measured
		ratio = 1
	} else {
		*zone += smoothing * (measured - *zone)
	}
	if s.servers == nil {
		s.servers = map[port.ServerID]*[tierCount]float32{}
	}
	factors := s.servers[server]
	if factors == nil {
		factors = &[tierCount]float32{1, 1, 1}
		s.servers[server] = factors
	}
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
	seconds := s.perByte(tier, bytes) * float64(bytes)
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
