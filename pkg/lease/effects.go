package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Effect is an action that the caller of Step carries out.
type Effect interface{ effect() }

// Append requests that the record be appended to the log. The append is retried
// with the same payload until its result is known and reported by
// AppendCompleted. The same record can be requested again after it was reported
// as not appended.
type Append struct{ Record *recordpb.Record }

// SendSeal requests that a copy holder stop storing copies of the epoch.
type SendSeal struct {
	To    fold.Member
	Epoch port.Epoch
}

// SendCopy requests that a copy holder store a copy of the intent.
type SendCopy struct {
	To     fold.Member
	Intent record.Intent
}

// ReplySeal answers a SealRequested.
type ReplySeal struct {
	Request uint64
	Sealed  bool
	Copies  []record.Intent
}

// ReplyCopy answers a CopyRequested.
type ReplyCopy struct {
	Request      uint64
	Acknowledged bool
	// Sealed is the epoch through which the instance stores no more copies.
	Sealed port.Epoch
}

// RaiseFence requests that the server's fencing token be raised. The call can be
// repeated. Its result is reported by a FenceRaised with the same token.
type RaiseFence struct {
	Token  uint64
	Server port.ServerID
	Fence  port.Epoch
}

// ReadServer requests a report that is read from the server after this effect
// was returned. The result is reported by a ServerRead with the same token.
type ReadServer struct {
	Token  uint64
	Server port.ServerID
}

// Order requests that an order be sent to a server. It is sent at most once for
// each effect and no later than NotAfter on the clock of Step. The machine can
// return another Order for the same intent, under the same ID, after an
// OrderEnded.
type Order struct {
	Intent   record.Intent
	Fence    port.Epoch
	NotAfter time.Duration
}

// Refuse reports that no order will be sent for a proposal.
type Refuse struct {
	IntentID string
	Reason   Refusal
	// RetryAfter is the delay before the proposal can usefully be repeated.
	RetryAfter time.Duration
}

// Closed reports that an intent has ended and no longer counts, or that a load
// is ready.
type Closed struct {
	IntentID string
	Result   recordpb.Outcome_Result
}

// Acquired reports that the instance has become the holder or has renewed its
// lease.
type Acquired struct{ Epoch port.Epoch }

// Lost reports that the instance is no longer the holder.
type Lost struct{ Epoch port.Epoch }

// Stopped reports that a hand-over is complete.
type Stopped struct{}

// Refusal is the reason why a proposal was refused.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedNotHolder: another instance is the holder, or there is none.
	RefusedNotHolder Refusal = "not the holder"
	// RefusedNotReady: the holder has not read the server yet under this lease.
	RefusedNotReady Refusal = "new holder has not read the server yet"
	// RefusedOccupied: an intent for the model and server is open.
	RefusedOccupied Refusal = "an intent for the model and server is open"
	// RefusedNotLoaded: the model to unload isn't loaded on the server.
	RefusedNotLoaded Refusal = "not loaded"
	// RefusedLogUnavailable: the log is unavailable and a copy holder doesn't
	// respond.
	RefusedLogUnavailable Refusal = "log away and a copy holder doesn't answer"
	// RefusedSoleCopyHolder: the log is unavailable, there is no other copy holder,
	// and the server doesn't check fencing tokens.
	RefusedSoleCopyHolder Refusal = "log away and the server doesn't check fencing numbers"
	// RefusedSealed: the log is unavailable and another instance has sealed the
	// epoch to take over the lease.
	RefusedSealed Refusal = "log away and sealed by a claimant"
	// RefusedStopping: the instance is shutting down.
	RefusedStopping Refusal = "holder is stopping"
	// RefusedVoid: the intent is in the log but was rejected as void.
	RefusedVoid Refusal = "void in the log"
)

func (Append) effect()     {}
func (SendSeal) effect()   {}
func (SendCopy) effect()   {}
func (ReplySeal) effect()  {}
func (ReplyCopy) effect()  {}
func (RaiseFence) effect() {}
func (ReadServer) effect() {}
func (Order) effect()      {}
func (Refuse) effect()     {}
func (Closed) effect()     {}
func (Acquired) effect()   {}
func (Lost) effect()       {}
func (Stopped) effect()    {}
