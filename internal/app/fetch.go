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

// ErrNotOnPeers means that no other instance returned the requested part of the
// log.
var ErrNotOnPeers = errors.New("no other instance has read this part of the log")

// fetchTimeout bounds one request to another instance for part of the log.
const fetchTimeout = time.Second

// fetcher reads snapshots and records of the log from other instances while this
// instance can't reach the log. It queries the instances of its own zone first.
type fetcher struct {
	self     port.Instance
	observer *observer.Observer
	peers    *peer.Client
	// appliedOffset returns the offset through which this instance has applied
	// the log.
	appliedOffset func() port.Offset
}

func newFetcher(self port.Instance, o *observer.Observer, c *peer.Client) *fetcher {
	return &fetcher{self: self, observer: o, peers: c, appliedOffset: func() port.Offset { return 0 }}
}

// forEachPeer calls query for one live instance after another until it returns
// true or ctx ends.
func (f *fetcher) forEachPeer(ctx context.Context, query func(ctx context.Context, link peerpb.DRPCPeerClient) (done bool)) {
	for _, sameZone := range []bool{true, false} {
		for _, i := range f.observer.View().Instances {
			if !i.Alive || i.Instance.ID == f.self.ID || i.Instance.PeerAddress == "" || (i.Instance.Zone == f.self.Zone) != sameZone {
				continue
			}
			call, cancel := context.WithTimeout(ctx, fetchTimeout)
			done := query(call, f.peers.To(i.Instance.PeerAddress))
			cancel()
			if done || ctx.Err() != nil {
				return
			}
		}
	}
}

// state returns the encoded state of an instance that has applied more of the log,
// or ErrNotOnPeers.
func (f *fetcher) state(ctx context.Context) ([]byte, error) {
	var state []byte
	f.forEachPeer(ctx, func(ctx context.Context, link peerpb.DRPCPeerClient) bool {
		reply, err := link.FetchState(ctx, &peerpb.FetchStateRequest{Through: int64(f.appliedOffset())})
		state = reply.GetState()
		return err == nil && len(state) > 0
	})
	if len(state) == 0 {
		return nil, ErrNotOnPeers
	}
	return state, nil
}

// records returns the records from the offset on that another instance retains.
// The result is empty if no instance has read further. The error is ErrNotOnPeers
// if the only instances that have read further no longer retain the records.
func (f *fetcher) records(ctx context.Context, from port.Offset) ([]port.Record, error) {
	var records []port.Record
	forgotten := false
	f.forEachPeer(ctx, func(ctx context.Context, link peerpb.DRPCPeerClient) bool {
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
		return nil, ErrNotOnPeers
	}
	return records, nil
}
