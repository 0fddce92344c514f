package identitypeer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrIncomplete is returned if the queried instance doesn't have all member lists
// that still count.
var ErrIncomplete = errors.New("member history incomplete")

// handOverBatch is the maximum number of identities in one message.
const handOverBatch = 64

// Client implements identity.Peers over the peer protocol.
type Client struct {
	// Dial returns a client for the instance at a peer address.
	Dial func(ctx context.Context, address string) (peerpb.DRPCPeerClient, error)
}

// Claim implements identity.Peers.
func (c *Client) Claim(ctx context.Context, m identity.Member, r identity.ClaimRequest) (identity.Answer, error) {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return identity.Answer{}, errors.Wrap(err, "dial")
	}
	reply, err := link.ClaimIdentity(ctx, encodeClaim(r))
	if err != nil {
		return identity.Answer{}, errors.Wrap(err, "claim identity")
	}
	return decodeAnswer(reply), nil
}

// Finish implements identity.Peers.
func (c *Client) Finish(
	ctx context.Context, m identity.Member, key identity.Key, attempt string, r identity.Result,
) error {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	if _, err := link.FinishIdentity(ctx, encodeResult(key, attempt, r)); err != nil {
		return errors.Wrap(err, "finish identity")
	}
	return nil
}

// HandOver implements identity.Peers.
func (c *Client) HandOver(ctx context.Context, m identity.Member, retained []identity.RetainedIdentity) (int, error) {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return 0, errors.Wrap(err, "dial")
	}
	accepted := 0
	for accepted < len(retained) {
		batch := retained[accepted:min(accepted+handOverBatch, len(retained))]
		message := &peerpb.IdentityHandOver{}
		for _, k := range batch {
			message.Kept = append(message.Kept, encodeRetained(k))
		}
		reply, err := link.HandOverIdentities(ctx, message)
		if err != nil {
			return accepted, errors.Wrap(err, "hand over identities")
		}
		accepted += int(reply.GetTaken())
		if int(reply.GetTaken()) < len(batch) {
			break
		}
	}
	return accepted, nil
}

// FetchMembers imports into t the former member lists of the instance at the
// address, which must have read the log up to t.Version. Otherwise, or if its
// history is incomplete, the error is ErrIncomplete.
func (c *Client) FetchMembers(ctx context.Context, address string, t *Tracker) error {
	link, err := c.Dial(ctx, address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	reply, err := link.FetchMembers(ctx, &peerpb.FetchMembersRequest{Version: int64(t.Version())})
	if err != nil {
		return errors.Wrap(err, "fetch members")
	}
	if !reply.GetComplete() {
		return ErrIncomplete
	}
	var snapshot identity.FormerLists
	for _, f := range reply.GetFormer() {
		snapshot.Former = append(snapshot.Former, decodeMembers(f.GetMembers()))
		snapshot.Ages = append(snapshot.Ages, milliseconds(f.GetAgeMs()))
	}
	for _, id := range reply.GetHandedOver() {
		snapshot.HandedOver = append(snapshot.HandedOver, port.InstanceID(id))
	}
	t.Import(snapshot)
	return nil
}
