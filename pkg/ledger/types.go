package ledger

import (
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Errors of the ledger.
var (
	// ErrUnknownServer: no report of the server has been received yet.
	ErrUnknownServer = errors.New("no report of the server yet")
	// ErrNoFreeMemory: the server has too little free memory within our limit.
	ErrNoFreeMemory = errors.New("no accelerator memory free")
	// ErrOccupied: an intent for the model on the server is already open.
	ErrOccupied = errors.New("model already decided on the server")
)

// Intent is a decision to load or unload that the log has accepted.
type Intent struct {
	ID          string
	Kind        port.OrderKind
	Model       port.ModelID
	Server      port.ServerID
	Bytes       int64
	Incarnation string
}

// IntentOf converts an intent record.
func IntentOf(in *recordpb.Intent) Intent {
	kind := port.OrderLoad
	if in.GetKind() == recordpb.Intent_KIND_UNLOAD {
		kind = port.OrderUnload
	}
	return Intent{
		ID: in.GetId(), Kind: kind, Model: port.ModelID(in.GetModel()),
		Server: port.ServerID(in.GetServer()), Bytes: in.GetBytes(), Incarnation: in.GetIncarnation(),
	}
}

// Allocation is one decided replica and the memory that it uses.
type Allocation struct {
	Model port.ModelID
	// Intent is the id of the load intent.
	Intent string
	// Unload is the id of the open unload intent; empty if there is none.
	Unload string
	// Bytes is the larger of the decided and the reported size, in bytes.
	Bytes  int64
	Loaded bool

	// incarnation is the engine's incarnation for which the load was decided; empty
	// if unknown.
	incarnation string
	// declared is the size in the intent, in bytes.
	declared int64
	// missedReads is the number of direct reads that lack the replica since it was
	// ready or last reported, up to missingThreshold.
	missedReads uint8
}

// Stray is a replica that an engine reports and that no intent explains.
type Stray struct {
	Model   port.ModelID
	OrderID string
	Bytes   int64
}

// Usage is the memory usage of one server, in bytes.
type Usage struct {
	// Memory is the accelerator memory of the server, Older the part that the older
	// system uses.
	Memory, Older int64
	// Limit is the memory available to us, Used the part of it in use. Used can
	// exceed Limit.
	Limit, Used int64
	// Reserved is the part of Used for loads that aren't ready, Unloading the part
	// for replicas with an open unload, Stray the part for replicas without an
	// intent.
	Reserved, Unloading, Stray int64
}

// Free returns the memory that can still be loaded, in bytes. It is negative
// while usage exceeds the limit.
func (u Usage) Free() int64 { return u.Limit - u.Used }

// Verdict is the result of processing a report.
type Verdict int

// The results of processing a report.
const (
	// Accepted: the report is newer than all earlier ones.
	Accepted Verdict = iota
	// Stale: a report of the same incarnation with the same or a higher sequence has
	// already been accepted.
	Stale
	// Restarted: the engine has restarted since the last report.
	Restarted
	// NeedsRead: the report has an incarnation other than the known one, and only a
	// direct read can determine which is newer.
	NeedsRead
)
