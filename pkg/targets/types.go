// Package targets defines the targets document that operators publish: the service
// objectives of each request class, and the resource limits of the system.
package targets

import (
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Document is one published targets document.
type Document struct {
	Classes []Class `json:"classes" validate:"required,min=1,max=64,unique=Name,dive"`
	// DefaultClass is the class of requests that match no rule and don't request
	// a class.
	DefaultClass string    `json:"default_class" validate:"required"`
	Rules        []Rule    `json:"rules" validate:"max=1000,dive"`
	Services     []Service `json:"services" validate:"required,min=1,max=256,unique=Name,dive"`
	Zones        []Zone    `json:"zones" validate:"required,min=1,max=64,unique=Name,dive"`
	Limits       Limits    `json:"limits"`
	// ColdStartWeight weighs the tail latency of cold starts against idle
	// accelerator hours: with 1, only the latency counts; with 0, only the idle
	// hours count.
	ColdStartWeight float64 `json:"cold_start_weight" validate:"min=0,max=1"`
}

// Class holds the service objectives of one request class.
type Class struct {
	Name string `json:"name" validate:"required,max=64"`
	// StartWithin is the latency objective: the time from the arrival of a
	// request to the start of its response.
	StartWithin jsonc.Duration `json:"start_within" validate:"min=1ms,max=1h"`
	// MaxWait is the longest time that a request can wait before it is refused.
	MaxWait jsonc.Duration `json:"max_wait" validate:"min=1ms,max=1h"`
	// Priority orders classes if not all requests can be served. Requests of a
	// higher priority are served first.
	Priority int `json:"priority" validate:"min=0,max=9"`
	// Repeatable means that running a request twice is harmless.
	Repeatable bool `json:"repeatable"`
	// Hedge allows a second attempt in parallel with a slow first one, within
	// the retry budget. It has no effect on non-repeatable classes.
	Hedge bool `json:"hedge"`
	// IdleAccelerators is the maximum number of loaded but idle accelerators for
	// the class, over all zones.
	IdleAccelerators float64 `json:"idle_accelerators" validate:"min=0,max=100000"`
}

// Rule assigns a class to the requests that match all of its conditions. If
// several rules match, the most specific one is used, and of equally specific
// ones the first.
type Rule struct {
	Class string `json:"class" validate:"required"`
	// Model is a model's name, or a prefix of model names followed by "*".
	Model string `json:"model" validate:"max=256"`
	// PathPrefix is a prefix of the request's URL path. It matches whole path
	// elements only.
	PathPrefix string `json:"path_prefix" validate:"max=256"`
	// Caller is the name of an authenticated caller.
	Caller string `json:"caller" validate:"max=256"`
	// Header is "Name: value". The name is case-insensitive.
	Header string `json:"header" validate:"max=512"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string           `json:"name" validate:"required,max=64"`
	Kind port.ServiceKind `json:"kind" validate:"oneof=engine plain"`
	// PathPrefix is the URL path prefix of the requests that are routed to the
	// service. It is required for plain services and not allowed for others.
	PathPrefix string `json:"path_prefix" validate:"max=256"`
	// ChecksFencing means that every backend server of the service refuses
	// orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// RetryRatio is the retry budget: the maximum number of further attempts as
	// a fraction of the number of first attempts.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
}

// Zone is one availability zone. Weight determines its share of the limits that
// are split over the zones.
type Zone struct {
	Name   port.Zone `json:"name" validate:"required,max=64"`
	Weight int       `json:"weight" validate:"min=1,max=1000"`
}

// Limits bounds the resources that the system uses. A limit over all zones is
// split into one share per zone; the shares add up to the limit.
type Limits struct {
	// MemoryShare is the fraction of each accelerator's memory that this system
	// can use. The older system uses the rest.
	MemoryShare float64 `json:"memory_share" validate:"gt=0,max=1"`
	// ReplicasPerModel bounds the number of replicas of one model, over all
	// zones.
	ReplicasPerModel int `json:"replicas_per_model" validate:"min=1,max=10000"`
	// StoreLoadsPerSecond bounds the rate at which loads from the weight store
	// are started, per second over all zones.
	StoreLoadsPerSecond float64 `json:"store_loads_per_second" validate:"gt=0,max=10000"`
	// StoreLoadsAtOnce bounds the number of concurrent loads from the weight
	// store, over all zones.
	StoreLoadsAtOnce int `json:"store_loads_at_once" validate:"min=1,max=10000"`
	// IdleAccelerators bounds the number of loaded but idle accelerators, over
	// all classes and zones.
	IdleAccelerators float64 `json:"idle_accelerators" validate:"min=0,max=100000"`
}
