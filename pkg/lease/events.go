package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// Event is something that happened to the instance.
type Event interface{ event() }

// Tick lets timeouts pass. It is due at least every 100 ms.
type Tick struct{}

// Folded brings the fold of a longer prefix. The state must not change any
// more.
type Folded struct{ State *fold.State }

// LogUp says that the log answers again.
type LogUp struct{}

// LogDown says that the log has not answered for long enough to count as away.
type LogDown struct{}

// AppendSettled ends an Append effect: the record is in the log, or it isn't
// and never will be. As long as neither is known no event comes.
type AppendSettled struct {
	RecordID string
	Appended bool
	// Offset is set if Appended.
	Offset port.Offset
}

// LiveList brings an answer of the platform's live list.
type LiveList struct {
	Instances []port.InstanceID
	// Servers are the backend servers of the zone's engine services.
	Servers []port.ServerID
	At      time.Time
}

// PeerAlive says that an instance of the zone was heard from just now, by
// whatever way.
type PeerAlive struct {
	Instance port.InstanceID
	// Leaving is set if it is being stopped.
	Leaving bool
}

// SealRequested comes from a claimant. It is answered by a ReplySeal with the
// same Request.
type SealRequested struct {
	Request  uint64
	Claimant port.InstanceID
	Epoch    port.Epoch
}

// SealReply is the answer to a SendSeal.
type SealReply struct {
	From   port.InstanceID
	Epoch  port.Epoch
	Sealed bool
	Copies []record.Intent
}

// SealFailed says that a SendSeal got no answer.
type SealFailed struct {
	From  port.InstanceID
	Epoch port.Epoch
}

// CopyRequested comes from a holder. It is answered by a ReplyCopy with the
// same Request.
type CopyRequested struct {
	Request uint64
	Holder  port.InstanceID
	Intent  record.Intent
}

// CopyReply is the answer to a SendCopy.
type CopyReply struct {
	From         port.InstanceID
	IntentID     string
	Epoch        port.Epoch
	Acknowledged bool
}

// CopyFailed says that a SendCopy got no answer; the copy may be stored.
type CopyFailed struct {
	From     port.InstanceID
	IntentID string
	Epoch    port.Epoch
}

// FenceRaised ends a RaiseFence. Any error means that the number may not have
// been raised.
type FenceRaised struct {
	Token  uint64
	Server port.ServerID
	Err    error
}

// ServerRead ends a ReadServer, or brings a report that was not asked for, with
// token zero. Proofs are taken only from reads that were asked for.
type ServerRead struct {
	Token  uint64
	Report port.Report
	Err    error
}

// Propose asks for a load or an unload. The machine sets the intent's epoch and
// zone; everything else is the proposer's. Its ID must be unique. Whether the
// memory suffices is the proposer's to check, against Open.
type Propose struct{ Intent record.Intent }

// OrderEnded ends an Order.
type OrderEnded struct {
	IntentID string
	Result   OrderResult
	// Detail is for operators.
	Detail string
}

// OrderResult is how an order ended.
type OrderResult uint8

// The results of an order.
const (
	// OrderUnknown: the order may have had its effect or may still have it.
	OrderUnknown OrderResult = iota
	// OrderDone: the load is ready, or the memory is free.
	OrderDone
	// OrderNoEffect: the order had no effect and never will, as after
	// port.HadNoEffect, or because its NotAfter had passed before it was sent.
	OrderNoEffect
)

// HandOver starts the planned stop of the instance.
type HandOver struct {
	// IdentitiesBase goes into the record that takes the instance off the
	// members: the list as of this offset to whose owners the instance has handed
	// its request identities. Zero if it hasn't.
	IdentitiesBase port.Offset
}

func (Tick) event()          {}
func (Folded) event()        {}
func (LogUp) event()         {}
func (LogDown) event()       {}
func (AppendSettled) event() {}
func (LiveList) event()      {}
func (PeerAlive) event()     {}
func (SealRequested) event() {}
func (SealReply) event()     {}
func (SealFailed) event()    {}
func (CopyRequested) event() {}
func (CopyReply) event()     {}
func (CopyFailed) event()    {}
func (FenceRaised) event()   {}
func (ServerRead) event()    {}
func (Propose) event()       {}
func (OrderEnded) event()    {}
func (HandOver) event()      {}
