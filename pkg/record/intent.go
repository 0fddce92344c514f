package record

import (
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Intent is the decision to load or unload a model on a backend server. Its ID
// is also the ID of the resulting order.
type Intent struct {
	ID     string
	Zone   port.Zone
	Epoch  port.Epoch
	Kind   port.OrderKind
	Model  port.ModelID
	Base   port.ModelID
	Server port.ServerID
	// Bytes is the accelerator memory that a load reserves, in bytes.
	Bytes int64
	// Reason is the reason for the decision, for operators.
	Reason string
	// Incarnation is the engine's incarnation for which the decision was made.
	Incarnation string
}

// Order returns the order for the intent with the given fencing token.
func (i Intent) Order(fence port.Epoch) port.Order {
	return port.Order{
		ID: i.ID, Kind: i.Kind, Model: i.Model, Base: i.Base, Bytes: i.Bytes,
		Fence: fence, Incarnation: i.Incarnation,
	}
}

// Proto returns the encoded form of the intent.
func (i Intent) Proto() *recordpb.Intent {
	kind := recordpb.Intent_KIND_LOAD
	if i.Kind == port.OrderUnload {
		kind = recordpb.Intent_KIND_UNLOAD
	}
	return &recordpb.Intent{
		Id: i.ID, Zone: string(i.Zone), Epoch: int64(i.Epoch), Kind: kind,
		Model: string(i.Model), Base: string(i.Base), Server: string(i.Server),
		Bytes: i.Bytes, Reason: i.Reason, Incarnation: i.Incarnation,
	}
}

// IntentFromProto validates p and returns the intent that it encodes, or
// ErrMalformed.
func IntentFromProto(p *recordpb.Intent) (Intent, error) {
	if err := checkIntent(p); err != nil {
		return Intent{}, err
	}
	kind := port.OrderLoad
	if p.Kind == recordpb.Intent_KIND_UNLOAD {
		kind = port.OrderUnload
	}
	return Intent{
		ID: p.Id, Zone: port.Zone(p.Zone), Epoch: port.Epoch(p.Epoch), Kind: kind,
		Model: port.ModelID(p.Model), Base: port.ModelID(p.Base),
		Server: port.ServerID(p.Server), Bytes: p.Bytes, Reason: p.Reason,
		Incarnation: p.Incarnation,
	}, nil
}
