package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Tier is where a checkpoint is read from.
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

// Request is what the callers of one model need.
type Request struct {
	Model port.ModelInfo
	// Base describes the base model of an adapter.
	Base port.ModelInfo
	// Waiting is the number of callers who wait.
	Waiting int
	// Patience is the latest moment at which a start is useful to any of them.
	// The zero time stands for a load that nobody waits for yet.
	Patience time.Time
	// Class is the most urgent class among the callers.
	Class *targets.Class
	// ServiceTime is how long one request occupies a replica, and Slots how many
	// run on a replica at once, both measured; zero if not known. Without them
	// no second replica is planned.
	ServiceTime time.Duration
	Slots       int
	// Worth is the waiting, in seconds, that a load is expected to save if nobody
	// waits for it yet. Only replicas worth less than half of it are unloaded.
	Worth float64
}

// Server is a backend server as the decision sees it.
type Server struct {
	port.Server
	// Report is the newest report; nil if there is none.
	Report *port.Report
}

// View is the state of the zone that decides.
type View struct {
	Servers []Server
	Ledger  *ledger.Ledger
	Store   *StoreQueue
	Speeds  *Speeds
	// Progress knows the loads that run; nil if nothing is known of them.
	Progress *Progress
	// ReplicaShare is how many replicas of a model the zone may hold. An adapter
	// has its replicas in the zones of its base model, so that share.ReplicaShare
	// is asked with the base model's name for both. Nil means one.
	ReplicaShare func(port.ModelID) int
	// Worth is the waiting, in seconds, that is expected if the model is
	// unloaded now. Nil means zero.
	Worth func(port.ModelID) float64
	// Busy reports whether a replica has work, or came or worked too short a
	// while ago to be unloaded. Nil means never.
	Busy func(port.ServerID, port.ModelID) bool
	// BaseOf returns the base model of an adapter, empty for others. Nil means
	// that there are no adapters.
	BaseOf func(port.ModelID) port.ModelID
}

// Action is what a plan asks for.
type Action int

// The actions of a plan; see the package's documentation.
const (
	ActionNone Action = iota
	ActionWait
	ActionEvict
	ActionLoad
)

// Load is one model to load.
type Load struct {
	Model port.ModelInfo
	Tier  Tier
}

// Plan is a decision to be recorded.
type Plan struct {
	Action Action
	Server port.ServerID
	// Incarnation is that of the report on which the plan rests.
	Incarnation string
	// Evict lists what is to be unloaded.
	Evict []ledger.Hold
	// Loads lists what is to be loaded, a base model before its adapter.
	Loads []Load
	// Store says that a load reads from the weight store.
	Store bool
	// ReadyIn is the estimated time until the model is ready, and StartIn the
	// part of it before the load starts.
	ReadyIn, StartIn time.Duration
	// Reason is why, in words for operators.
	Reason string
}

// Word names the cause of a refusal. Words are stable.
type Word string

// The causes of a refusal.
const (
	// WordTooLate: the model can't be ready while a caller still waits.
	WordTooLate Word = "too_late"
	// WordNoMemory: no server has room, even after unloading what may be.
	WordNoMemory Word = "no_memory"
	// WordNoServer: no server of the service is known and staying.
	WordNoServer Word = "no_server"
	// WordNoReplica: the zone's share of replicas of the model is zero, or that
	// of its base model is used up.
	WordNoReplica Word = "no_replica"
)

// Refusal tells callers why they aren't served and when to come back.
type Refusal struct {
	Word   Word
	Detail string
	// RetryAfter is when another try is likely to be served.
	RetryAfter time.Duration
	// LackingBytes is the least memory that a server lacks, for WordNoMemory.
	LackingBytes int64
}

// Error returns the word and the detail.
func (r *Refusal) Error() string { return string(r.Word) + ": " + r.Detail }
