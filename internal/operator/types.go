// Package operator defines the messages of the operators' API, and its client.
package operator

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Failure is the body of every answer whose status isn't 200.
type Failure struct {
	Detail string        `json:"detail"`
	Faults []jsonc.Fault `json:"faults,omitempty"`
	// Winner is the version of the publish that was accepted instead.
	Winner          port.Offset `json:"winner,omitempty"`
	WinnerPublisher string      `json:"winner_publisher,omitempty"`
	// Unknown is true if the call may have taken effect.
	Unknown bool `json:"unknown,omitempty"`
}

// Published is the answer to an accepted publish.
type Published struct {
	Version port.Offset `json:"version"`
}

// Targets is the accepted targets document.
type Targets struct {
	// Version is zero before the first accepted publish.
	Version   port.Offset `json:"version"`
	Publisher string      `json:"publisher"`
	Document  string      `json:"document"`
	// InForce is the version that the instance currently applies.
	InForce port.Offset `json:"in_force"`
}

// Never is the age in seconds of an event that hasn't happened.
const Never = -1.0

// Since returns the seconds from at until now, or Never if at is zero.
func Since(now, at time.Time) float64 {
	if at.IsZero() {
		return Never
	}
	return now.Sub(at).Seconds()
}

// Source describes how stale the data from one of the platform's services is.
type Source struct {
	State      string  `json:"state"`
	AgeSeconds float64 `json:"age_seconds"`
}

// SourceSince describes a source that was last read at the given time, or never if
// that is zero.
func SourceSince(now, at time.Time) Source {
	if at.IsZero() {
		return Source{State: "never read", AgeSeconds: Never}
	}
	return Source{State: "read", AgeSeconds: Since(now, at)}
}

// Endings counts the callers' requests by outcome.
type Endings struct {
	Accepted   int64 `json:"accepted"`
	Answered   int64 `json:"answered"`
	Refused    int64 `json:"refused"`
	Unknown    int64 `json:"unknown"`
	InProgress int64 `json:"in_progress"`
}

// Member is one instance as observed by another. Targets is the version of the
// targets that it applies, and SecondsSinceContact the time since the last contact, or
// Never.
type Member struct {
	ID                  port.InstanceID `json:"id"`
	Zone                port.Zone       `json:"zone"`
	Alive               bool            `json:"alive"`
	Leaving             bool            `json:"leaving"`
	Targets             port.Offset     `json:"targets"`
	SecondsSinceContact float64         `json:"silent_seconds"`
}

// Server is one backend server as observed by an instance. ReportSeconds is the age
// of its last report, or Never. OlderBytes is the part of MemoryBytes that the older
// system uses.
type Server struct {
	ID            port.ServerID `json:"id"`
	Zone          port.Zone     `json:"zone"`
	Service       string        `json:"service"`
	Routable      bool          `json:"routable"`
	Leaving       bool          `json:"leaving"`
	Replicas      int           `json:"replicas"`
	ReportSeconds float64       `json:"report_seconds"`
	MemoryBytes   int64         `json:"memory_bytes"`
	OlderBytes    int64         `json:"older_bytes"`
}

// Status is the status of one instance and its view of the other instances, the
// backend servers and the platform. LogBehind is the number of records that the
// instance hasn't read yet.
type Status struct {
	Instance       port.InstanceID `json:"instance"`
	Zone           port.Zone       `json:"zone"`
	Ready          bool            `json:"ready"`
	TargetsVersion port.Offset     `json:"targets_version"`
	Deciding       decider.Status  `json:"deciding"`
	Log            Source          `json:"log"`
	LogBehind      int64           `json:"log_behind"`
	LiveList       Source          `json:"live_list"`
	Catalogue      Source          `json:"catalogue"`
	Models         int             `json:"models"`
	Endings        Endings         `json:"endings"`
	Instances      []Member        `json:"instances"`
	Servers        []Server        `json:"servers"`
}

// Replica is a replica of a model, as reported by the engine that holds it.
type Replica struct {
	Server port.ServerID     `json:"server"`
	Zone   port.Zone         `json:"zone"`
	State  port.ReplicaState `json:"state"`
}

// Explanation describes why a model is or isn't loaded, and where.
type Explanation struct {
	Model     port.ModelInfo      `json:"model"`
	Zone      port.Zone           `json:"zone"`
	Replicas  []Replica           `json:"replicas"`
	Decisions decider.Explanation `json:"decisions"`
}
