package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Tick lets the Machine evaluate its timeouts. It must be sent at least every
// 100 ms.
type Tick struct{}

// Folded delivers the state of a longer prefix of the log. The state must not be
// modified afterwards.
type Folded struct{ State *fold.State }

// LogAvailable reports that the log is available again.
type LogAvailable struct{}

// LogUnavailable reports that the log has failed to respond for so long that it
// counts as unavailable.
type LogUnavailable struct{}

// AppendCompleted reports the result of an Append effect: either the record is
// in the log, or it isn't and never will be. No event is sent while the result
// is unknown.
type AppendCompleted struct {
	RecordID string
	Appended bool
	// Offset is set if Appended is true.
	Offset port.Offset
}

// LiveList delivers a response of the platform's live list.
type LiveList struct {
	Instances []port.InstanceID
	// Servers are the backend servers of the zone's engine services.
	Servers []port.ServerID
	At      time.Time
}

// PeerAlive reports that a message of an instance of the zone has just been
// received, over any channel.
type PeerAlive struct {
	Instance port.InstanceID
	// Leaving is set if the instance is shutting down.
	Leaving bool
}

// SealRequested is a claimant's seal request. It is answered by a ReplySeal with
// the same Request.
type SealRequested struct {
	Request  uint64
	Claimant port.InstanceID
	Epoch    port.Epoch
}

// SealReply is the response to a SendSeal.
type SealReply struct {
	From   port.InstanceID
	Epoch  port.Epoch
	Sealed bool
	Copies []record.Intent
}

// SealFailed reports that a SendSeal got no response.
type SealFailed struct {
	From  port.InstanceID
	Epoch port.Epoch
}

// CopyRequested is a holder's request to store a copy of an intent. It is
// answered by a ReplyCopy with the same Request.
type CopyRequested struct {
	Request uint64
	Holder  port.InstanceID
	Intent  record.Intent
}

// CopyReply is the response to a SendCopy.
type CopyReply struct {
	From         port.InstanceID
	IntentID     string
	Epoch        port.Epoch
	Acknowledged bool
}

// CopyFailed reports that a SendCopy got no response. The copy may have been
// stored.
type CopyFailed struct {
	From     port.InstanceID
	IntentID string
	Epoch    port.Epoch
}

// FenceRaised reports the result of a RaiseFence. With any error the fencing
// token may or may not have been raised.
type FenceRaised struct {
	Token  uint64
	Server port.ServerID
	Err    error
}

// ServerRead delivers the result of a ReadServer. With a zero token it delivers
// a report that was not requested; such a report is never used as proof of an
// intent's outcome.
type ServerRead struct {
	Token  uint64
	Report port.Report
	Err    error
}

// Propose proposes a load or an unload. The machine sets the intent's epoch and
// zone; the proposer sets all other fields. The ID must be unique. The proposer
// checks, against Open, whether the server has enough free memory.
type Propose struct{ Intent record.Intent }

// OrderEnded reports the result of an Order.
type OrderEnded struct {
	IntentID string
	Result   OrderResult
	// Detail is a message for operators.
	Detail string
}

// OrderResult is the result of an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderUnknown: the order may have taken effect or may still take effect.
	OrderUnknown OrderResult = iota
	// OrderDone: the loaded model is ready, or the unloaded model's memory is free.
	OrderDone
	// OrderNoEffect: the order has not taken effect and never will, either because
	// port.HadNoEffect reports so or because NotAfter passed before it was sent.
	OrderNoEffect
)

// HandOver starts the planned shutdown of the instance.
type HandOver struct {
	// IdentitiesBase is written to the record that removes the instance from the
	// members. It is the offset of the member list to whose owners the instance has
	// handed over its request identities; zero if it has handed over none.
	IdentitiesBase port.Offset
}

func (Tick) event()            {}
func (Folded) event()          {}
func (LogAvailable) event()    {}
func (LogUnavailable) event()  {}
func (AppendCompleted) event() {}
func (LiveList) event()        {}
func (PeerAlive) event()       {}
func (SealRequested) event()   {}
func (SealReply) event()       {}
func (SealFailed) event()      {}
func (CopyRequested) event()   {}
func (CopyReply) event()       {}
func (CopyFailed) event()      {}
func (FenceRaised) event()     {}
func (ServerRead) event()      {}
func (Propose) event()         {}
func (OrderEnded) event()      {}
func (HandOver) event()        {}
