package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Effect is something that the instance is to do.
type Effect interface{ effect() }

// Append asks for the record to be appended, with the same payload as often as
// it takes, until an AppendSettled can be given. The same record may be asked
// for again after it was settled as not appended.
type Append struct{ Record *recordpb.Record }

// SendSeal asks a copy holder to stop storing copies of the epoch.
type SendSeal struct {
	To    fold.Member
	Epoch port.Epoch
}

// SendCopy asks a copy holder to store a copy of the intent.
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
	// Sealed is the epoch through which the instance is sealed.
	Sealed port.Epoch
}

// RaiseFence asks for the server's fencing number to be raised. The call may be
// repeated; it ends by a FenceRaised with the same token.
type RaiseFence struct {
	Token  uint64
	Server port.ServerID
	Fence  port.Epoch
}

// ReadServer asks for a fresh report, requested after this effect was given. It
// ends by a ServerRead with the same token.
type ReadServer struct {
	Token  uint64
	Server port.ServerID
}

// Order is cleared to be sent. It is sent at most once for each effect, by no
// later than NotAfter on the clock of Step; the same intent may be cleared
// again, under the same ID, after an OrderEnded.
type Order struct {
	Intent   record.Intent
	Fence    port.Epoch
	NotAfter time.Duration
}

// Refuse ends a proposal that will not be ordered.
type Refuse struct {
	IntentID string
	Reason   Refusal
	// RetryAfter is when it makes sense to propose again.
	RetryAfter time.Duration
}

// Closed says that an intent counts no longer, or that a load is ready.
type Closed struct {
	IntentID string
	Result   recordpb.Outcome_Result
}

// Held says that the instance has become the holder, or renewed its claim.
type Held struct{ Epoch port.Epoch }

// Lost says that the instance is no longer the holder.
type Lost struct{ Epoch port.Epoch }

// Stopped says that a hand-over is complete.
type Stopped struct{}

// Refusal is why a proposal isn't ordered.
type Refusal string

// The refusals.
const (
	// RefusedNotHolder: another instance is the holder, or none is.
	RefusedNotHolder Refusal = "not the holder"
	// RefusedNotReady: the server has not been read yet in this term.
	RefusedNotReady Refusal = "new holder has not read the server yet"
	// RefusedOccupied: an intent for the model and server is open.
	RefusedOccupied Refusal = "an intent for the model and server is open"
	// RefusedNotLoaded: the model to unload isn't loaded there.
	RefusedNotLoaded Refusal = "not loaded"
	// RefusedLogAway: the log is away and a copy holder doesn't answer.
	RefusedLogAway Refusal = "log away and a copy holder doesn't answer"
	// RefusedAlone: the log is away, there is no other copy holder, and the
	// server doesn't check fencing numbers.
	RefusedAlone Refusal = "log away and the server doesn't check fencing numbers"
	// RefusedSealed: the log is away and another instance wants to take over.
	RefusedSealed Refusal = "log away and sealed by a claimant"
	// RefusedStopping: the instance is being stopped.
	RefusedStopping Refusal = "holder is stopping"
	// RefusedVoid: the log holds the intent as void.
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
func (Held) effect()       {}
func (Lost) effect()       {}
func (Stopped) effect()    {}
