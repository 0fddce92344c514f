package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Tier is the storage that a checkpoint is read from.
type Tier int

// The tiers, fastest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
	tierCount
)

// String returns the tier's name.
func (t Tier) String() string {
	return [...]string{"memory", "disk", "the weight store"}[t]
}

// Request describes the demand for one model.
type Request struct {
	Model port.ModelInfo
	// Base describes the base model if Model is an adapter.
	Base port.ModelInfo
	// Waiting is the number of waiting callers.
	Waiting int
	// Deadline is the latest time at which a start is still useful to one of the waiting
	// callers. It is zero for a load ahead of demand.
	Deadline time.Time
	// Class is the most urgent class of the callers.
	Class *targets.Class
	// ServiceTime is the measured time that one request occupies a replica, and Slots the
	// number of requests that a replica runs concurrently; zero if unknown. Without them no
	// second replica is planned.
	ServiceTime time.Duration
	Slots       int
	// Worth is the waiting time, in seconds, that a load ahead of demand is expected to save.
	// Only replicas worth at most half of it are unloaded.
	Worth float64
}

// Server is the state of a backend server.
type Server struct {
	port.Server
	// Report is the latest report; nil if there is none.
	Report *port.Report
}

// View is the state of the zone that a decision is based on.
type View struct {
	Servers []Server
	Ledger  *ledger.Ledger
	Store   *StoreQueue
	Speeds  *Speeds
	// Progress tracks the running loads; nil if there is no information.
	Progress *Progress
	// ReplicaShare returns how many replicas of a model the zone can hold. An adapter has its
	// replicas in the zones of its base model, so share.ReplicaShare must be called with the
	// name of the base model for both. A nil function means one.
	ReplicaShare func(port.ModelID) int
	// Worth returns the expected waiting time, in seconds, if the model is unloaded now. A nil
	// function means zero.
	Worth func(port.ModelID) float64
	// Busy reports whether a replica has requests, or was loaded or used too recently to be
	// unloaded. A nil function means never.
	Busy func(port.ServerID, port.ModelID) bool
	// BaseOf returns the base model of an adapter, and the empty string for other models. A
	// nil function means that there are no adapters.
	BaseOf func(port.ModelID) port.ModelID
}

// Action is the next step that a plan calls for.
type Action int

// The actions of a plan; see the package's documentation.
const (
	ActionNone Action = iota
	ActionWait
	ActionEvict
	ActionLoad
)

// Load is a model to load, and the tier that it is read from.
type Load struct {
	Model port.ModelInfo
	Tier  Tier
}

// Plan is a decision to record.
type Plan struct {
	Action Action
	Server port.ServerID
	// Incarnation is the incarnation of the server's engine in the report that the plan is
	// based on.
	Incarnation string
	// Evict lists the replicas to unload.
	Evict []ledger.Allocation
	// Loads lists the models to load, a base model before its adapter.
	Loads []Load
	// Store is true if a load reads from the weight store.
	Store bool
	// ReadyIn is the estimated time until the model is ready, and StartIn the part of it
	// before the load starts.
	ReadyIn, StartIn time.Duration
	// Reason explains the decision to operators.
	Reason string
}

// RefusalReason is the stable code of a refusal.
type RefusalReason string

// The codes of refusals.
const (
	// ReasonTooLate: the model can't be ready before the callers' deadline.
	ReasonTooLate RefusalReason = "too_late"
	// ReasonNoMemory: no server has enough memory, even after unloading every replica that can
	// be unloaded.
	ReasonNoMemory RefusalReason = "no_memory"
	// ReasonNoServer: no server of the service is available; all known ones are draining,
	// haven't reported, or already hold the model.
	ReasonNoServer RefusalReason = "no_server"
	// ReasonNoReplica: the zone's share of replicas is zero for the model, or used up for its
	// base model.
	ReasonNoReplica RefusalReason = "no_replica"
)

// Refusal is the error that callers get if they can't be served.
type Refusal struct {
	Reason RefusalReason
	Detail string
	// RetryAfter is the delay after which a retry is likely to succeed.
	RetryAfter time.Duration
	// LackingBytes is the smallest number of bytes that a server lacks, for ReasonNoMemory.
	LackingBytes int64
}

// Error returns the code and the detail.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }
