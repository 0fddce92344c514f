package ledger

import (
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Errors of the ledger.
var (
	// ErrUnknownServer: no report of the server has arrived yet.
	ErrUnknownServer = errors.New("no report of the server yet")
	// ErrNoRoom: the server has too little memory that we may use.
	ErrNoRoom = errors.New("no accelerator memory free")
	// ErrOccupied: an intent for the model on the server is open.
	ErrOccupied = errors.New("model already decided on the server")
)

// Intent is an accepted decision of the log.
type Intent struct {
	ID          string
	Kind        port.OrderKind
	Model       port.ModelID
	Server      port.ServerID
	Bytes       int64
	Incarnation string
}

// IntentOf converts an intent of the log.
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

// Hold is one decided replica and the memory that it takes.
type Hold struct {
	Model port.ModelID
	// Intent is the id of the load that was decided.
	Intent string
	// Unload is the id of the open unload; empty if there is none.
	Unload string
	// Bytes is the larger of the decided and the reported size.
	Bytes  int64
	Loaded bool

	// incarnation is the engine's when the load was decided, if known.
	incarnation string
	// declared is the size in the intent.
	declared int64
	// absent counts the direct reads since the load was ready, without a
	// replica, up to absentReads.
	absent uint8
}

// Stray is a replica that an engine reports and no intent explains.
type Stray struct {
	Model   port.ModelID
	OrderID string
	Bytes   int64
}

// Usage is the account of one server, in bytes.
type Usage struct {
	// Memory is the accelerator's memory, Older what the older system uses.
	Memory, Older int64
	// Limit is what we may use, Used what we do use.
	Limit, Used int64
	// Reserved is the part of Used for loads that aren't ready, Unloading that
	// of open unloads, Stray that of replicas without an intent.
	Reserved, Unloading, Stray int64
}

// Free is what may still be loaded; negative while we use more than we may.
func (u Usage) Free() int64 { return u.Limit - u.Used }

// Verdict tells what became of a report.
type Verdict int

// The verdicts on a report.
const (
	// Accepted: the report is newer than all before.
	Accepted Verdict = iota
	// Stale: a newer report of the same incarnation is known.
	Stale
	// Restarted: the engine has restarted since the last report.
	Restarted
	// NeedsRead: the report is of another incarnation than the one known, and
	// only a direct read can tell which is newer.
	NeedsRead
)
