// Package targets holds the configuration that operators publish: the outcome
// wanted for each class of work, and the limits within which the system may
// pursue it.
package targets

import (
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Document is one published configuration.
type Document struct {
	Classes []Class `json:"classes" validate:"required,min=1,max=64,unique=Name,dive"`
	// DefaultClass is the class of requests that no rule matches.
	DefaultClass string    `json:"default_class" validate:"required"`
	Rules        []Rule    `json:"rules" validate:"max=1000,dive"`
	Services     []Service `json:"services" validate:"required,min=1,max=256,unique=Name,dive"`
	Zones        []Zone    `json:"zones" validate:"required,min=1,max=64,unique=Name,dive"`
	Limits       Limits    `json:"limits"`
	// ColdStartWeight weighs the tail latency of cold starts against idle
	// accelerator hours: 1 minds only the first, 0 only the second.
	ColdStartWeight float64 `json:"cold_start_weight" validate:"min=0,max=1"`
}

// Class is the outcome wanted for one class of work.
type Class struct {
	Name string `json:"name" validate:"required,max=64"`
	// StartWithin is how quickly a request should start to be answered.
	StartWithin jsonc.Duration `json:"start_within" validate:"min=1ms,max=1h"`
	// MaxWait is how long a request may wait before it is refused.
	MaxWait jsonc.Duration `json:"max_wait" validate:"min=1ms,max=1h"`
	// Priority orders classes when not all can be served; higher goes first.
	Priority int `json:"priority" validate:"min=0,max=9"`
	// Repeatable says that running a request twice does no harm.
	Repeatable bool `json:"repeatable"`
	// Hedge allows a second attempt beside a slow first one, within the retry
	// budget. It has no effect on classes that aren't repeatable.
	Hedge bool `json:"hedge"`
	// IdleAccelerators is how many accelerators may stand loaded but idle for
	// the class, over all zones.
	IdleAccelerators float64 `json:"idle_accelerators" validate:"min=0,max=100000"`
}

// Rule assigns a class to the requests that match all of its conditions. The
// rule with the most specific conditions wins, an earlier one on a tie.
type Rule struct {
	Class string `json:"class" validate:"required"`
	// Model is a model's name, or a prefix of names that ends in "*".
	Model string `json:"model" validate:"max=256"`
	// PathPrefix is a prefix of the request's path.
	PathPrefix string `json:"path_prefix" validate:"max=256"`
	// Caller is the name of an authenticated caller.
	Caller string `json:"caller" validate:"max=256"`
	// Header is "Name: value"; the name is matched without regard to case.
	Header string `json:"header" validate:"max=512"`
}

// Service is a group of backend servers that can stand in for one another.
type Service struct {
	Name string           `json:"name" validate:"required,max=64"`
	Kind port.ServiceKind `json:"kind" validate:"oneof=engine plain"`
	// PathPrefix routes to a plain service.
	PathPrefix string `json:"path_prefix" validate:"max=256"`
	// ChecksFencing says that every backend server of the service refuses an
	// order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// RetryRatio is the retry budget: attempts beyond the first, as a share of
	// first attempts.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
}

// Zone is one availability zone and its weight when a limit is split.
type Zone struct {
	Name   port.Zone `json:"name" validate:"required,max=64"`
	Weight int       `json:"weight" validate:"min=1,max=1000"`
}

// Limits bounds what the system may use. Limits over all zones are split into
// shares per zone whose sum is the limit.
type Limits struct {
	// MemoryShare is the part of each accelerator's memory that is ours; the
	// rest is the older system's.
	MemoryShare float64 `json:"memory_share" validate:"gt=0,max=1"`
	// ReplicasPerModel bounds the replicas of one model, over all zones.
	ReplicasPerModel int `json:"replicas_per_model" validate:"min=1,max=10000"`
	// StoreLoadsPerSecond bounds the starts of loads from the weight store.
	StoreLoadsPerSecond float64 `json:"store_loads_per_second" validate:"gt=0,max=10000"`
	// StoreLoadsAtOnce bounds the loads from the weight store that run at once.
	StoreLoadsAtOnce int `json:"store_loads_at_once" validate:"min=1,max=10000"`
	// IdleAccelerators bounds accelerators that stand loaded but idle.
	IdleAccelerators float64 `json:"idle_accelerators" validate:"min=0,max=100000"`
}
