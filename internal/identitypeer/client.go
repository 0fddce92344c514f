package identitypeer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrIncomplete is returned when the instance asked doesn't know all lists that
// still count.
var ErrIncomplete = errors.New("member history incomplete")

// handOverBatch bounds the identities in one message.
const handOverBatch = 64

// Client is identity.Peers over the peer protocol.
type Client struct {
	// Dial returns the link to an instance by its peer address.
	Dial func(ctx context.Context, address string) (peerpb.DRPCPeerClient, error)
}

// Claim implements identity.Peers.
func (c *Client) Claim(ctx context.Context, m identity.Member, a identity.Ask) (identity.Answer, error) {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return identity.Answer{}, errors.Wrap(err, "dial")
	}
	reply, err := link.ClaimIdentity(ctx, fromAsk(a))
	if err != nil {
		return identity.Answer{}, errors.Wrap(err, "claim identity")
	}
	return toAnswer(reply), nil
}

// Finish implements identity.Peers.
func (c *Client) Finish(
	ctx context.Context, m identity.Member, key identity.Key, attempt string, r identity.Result,
) error {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	if _, err := link.FinishIdentity(ctx, fromResult(key, attempt, r)); err != nil {
		return errors.Wrap(err, "finish identity")
	}
	return nil
}

// HandOver implements identity.Peers.
func (c *Client) HandOver(ctx context.Context, m identity.Member, kept []identity.Kept) (int, error) {
	link, err := c.Dial(ctx, m.PeerAddress)
	if err != nil {
		return 0, errors.Wrap(err, "dial")
	}
	taken := 0
	for taken < len(kept) {
		batch := kept[taken:min(taken+handOverBatch, len(kept))]
		message := &peerpb.IdentityHandOver{}
		for _, k := range batch {
			message.Kept = append(message.Kept, fromKept(k))
		}
		reply, err := link.HandOverIdentities(ctx, message)
		if err != nil {
			return taken, errors.Wrap(err, "hand over identities")
		}
		taken += int(reply.GetTaken())
		if int(reply.GetTaken()) < len(batch) {
			break
		}
	}
	return taken, nil
}

// FetchMembers completes a new instance's tracker from that of another, which
// must know the newest list that the tracker has.
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
	var past identity.Past
	for _, f := range reply.GetFormer() {
		past.Former = append(past.Former, toMembers(f.GetMembers()))
		past.Ages = append(past.Ages, milliseconds(f.GetAgeMs()))
	}
	for _, id := range reply.GetHandedOver() {
		past.HandedOver = append(past.HandedOver, port.InstanceID(id))
	}
	t.Import(past)
	return nil
}
