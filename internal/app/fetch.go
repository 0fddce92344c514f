package app

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrNoPeerKnows means that no other instance has what was asked for.
var ErrNoPeerKnows = errors.New("no other instance knows")

// fetchTimeout bounds one question to another instance about the log.
const fetchTimeout = time.Second

// fetcher asks other instances for what they have read of the log, while it is
// away from this one. The own zone's are asked first.
type fetcher struct {
	self     port.Instance
	observer *observer.Observer
	peers    *peer.Client
	// through is what this instance has read itself.
	through func() port.Offset
}

func newFetcher(self port.Instance, o *observer.Observer, c *peer.Client) *fetcher {
	return &fetcher{self: self, observer: o, peers: c, through: func() port.Offset { return 0 }}
}

// each asks one instance after another until ask reports an end.
func (f *fetcher) each(ctx context.Context, ask func(ctx context.Context, link peerpb.DRPCPeerClient) (end bool)) {
	for _, sameZone := range []bool{true, false} {
		for _, i := range f.observer.View().Instances {
			if !i.Alive || i.Instance.ID == f.self.ID || i.Instance.PeerAddress == "" || (i.Instance.Zone == f.self.Zone) != sameZone {
				continue
			}
			call, cancel := context.WithTimeout(ctx, fetchTimeout)
			end := ask(call, f.peers.To(i.Instance.PeerAddress))
			cancel()
			if end || ctx.Err() != nil {
				return
			}
		}
	}
}

// state returns the encoded fold of an instance that is ahead.
func (f *fetcher) state(ctx context.Context) ([]byte, error) {
	var state []byte
	f.each(ctx, func(ctx context.Context, link peerpb.DRPCPeerClient) bool {
		reply, err := link.FetchState(ctx, &peerpb.FetchStateRequest{Through: int64(f.through())})
		state = reply.GetState()
		return err == nil && len(state) > 0
	})
	if len(state) == 0 {
		return nil, ErrNoPeerKnows
	}
	return state, nil
}

// records returns the records from an offset on of an instance that is ahead;
// none if no instance is.
func (f *fetcher) records(ctx context.Context, from port.Offset) ([]port.Record, error) {
	var records []port.Record
	forgotten := false
	f.each(ctx, func(ctx context.Context, link peerpb.DRPCPeerClient) bool {
		reply, err := link.FetchRecords(ctx, &peerpb.FetchRecordsRequest{From: int64(from)})
		if err != nil {
			return false
		}
		forgotten = forgotten || reply.Forgotten
		for n, payload := range reply.Payloads {
			records = append(records, port.Record{Offset: from + port.Offset(n), Payload: payload})
		}
		return len(records) > 0
	})
	if len(records) == 0 && forgotten {
		return nil, ErrNoPeerKnows
	}
	return records, nil
}
