package identity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

func instanceID(i int) port.InstanceID { return port.InstanceID(fmt.Sprintf("i%d", i)) }
func zoneName(i int) port.Zone         { return port.Zone(fmt.Sprintf("z%d", i)) }

var errDown = errors.New("instance down")

// network connects claimers in one process.
type network struct {
	claimers map[port.InstanceID]*Claimer
	down     sync.Map
}

func (n *network) claimer(m Member) (*Claimer, error) {
	if _, down := n.down.Load(m.ID); down {
		return nil, errDown
	}
	return n.claimers[m.ID], nil
}

func (n *network) Claim(_ context.Context, m Member, r ClaimRequest) (Answer, error) {
	c, err := n.claimer(m)
	if err != nil {
		return Answer{}, err
	}
	return c.Store.Claim(r), nil
}

func (n *network) Finish(_ context.Context, m Member, key Key, attempt string, r Result) error {
	c, err := n.claimer(m)
	if err != nil {
		return err
	}
	c.Store.Finish(key, attempt, r)
	return nil
}

func (n *network) HandOver(_ context.Context, m Member, retained []RetainedIdentity) (int, error) {
	c, err := n.claimer(m)
	if err != nil {
		return 0, err
	}
	for i, k := range retained {
		if !c.Store.Import(k) {
			return i, nil
		}
	}
	return len(retained), nil
}

func newNetwork(size int) (*network, []Member) {
	n := &network{claimers: map[port.InstanceID]*Claimer{}}
	var members []Member
	for i := range size {
		members = append(members, Member{ID: instanceID(i), Zone: zoneName(i)})
	}
	for _, m := range members {
		n.claimers[m.ID] = &Claimer{
			Self:  m.ID,
			Store: NewStore(port.SystemClock{}, Limits{Entries: 1600, BodyBytes: 1 << 20, Retention: time.Minute}),
			Peers: n,
			Clock: port.SystemClock{},
			Lists: func(now time.Time) Lists {
				return Lists{Version: 1, Members: [][]Member{members}, Usable: true, Until: now.Add(time.Minute)}
			},
			MaxRun: time.Minute,
		}
	}
	return n, members
}

// TestManyClaimersOneRun claims one identity at every instance concurrently. One
// claim runs, and the others receive its answer.
func TestManyClaimersOneRun(t *testing.T) {
	n, members := newNetwork(4)
	var runs, answered atomic.Int32
	var wg sync.WaitGroup
	for i := range 20 {
		claimer := n.claimers[members[i%4].ID]
		wg.Go(func() {
			claim := claimer.Claim(context.Background(), Request{Key: Key{7}, Wait: 10 * time.Second, RunFor: time.Minute})
			switch claim.Verdict() {
			case Run:
				runs.Add(1)
				claim.Finish(context.Background(), Result{Known: true, Status: 200})
				answered.Add(1)
			case Finished:
				answered.Add(1)
			default:
				t.Errorf("verdict %d", claim.Verdict())
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, runs.Load())
	require.EqualValues(t, 20, answered.Load())
}

func TestOwnersDown(t *testing.T) {
	n, members := newNetwork(3)
	claim := func(by int) *Claim {
		return n.claimers[members[by].ID].Claim(context.Background(), Request{Key: Key{9}, RunFor: time.Minute})
	}
	first := claim(0)
	require.Equal(t, Run, first.Verdict())
	first.Finish(context.Background(), Result{Known: true, Status: 201, Body: []byte("lodged")})

	n.down.Store(first.holders[0].ID, true)
	second := claim(1)
	require.Equal(t, Finished, second.Verdict(), "one owner of three is down")
	require.Equal(t, "lodged", string(second.Result().Body))

	n.down.Store(first.holders[1].ID, true)
	n.down.Store(members[0].ID, true)
	n.down.Store(members[1].ID, true)
	require.Equal(t, Unavailable, n.claimers[members[2].ID].
		Claim(context.Background(), Request{Key: Key{10}, RunFor: time.Minute}).Verdict(), "no majority")
}

// unreachableOnce loses the first report of a result to each owner.
type unreachableOnce struct {
	*network
	lost sync.Map
}

func (u *unreachableOnce) Finish(ctx context.Context, m Member, key Key, attempt string, r Result) error {
	if _, lost := u.lost.LoadOrStore(m.ID, true); !lost {
		return errDown
	}
	return u.network.Finish(ctx, m, key, attempt, r)
}

// TestLostReportIsRepeated checks that a repeated request receives the answer although the
// first report of the result reached no owner. Without the repetition, the owners answer
// Running until the run's deadline.
func TestLostReportIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, members := newNetwork(4)
		// An instance that owns the identity itself knows its result at once.
		key, owner := Key{11}, map[port.InstanceID]bool{}
		for _, holder := range n.claimers[members[0].ID].Claim(t.Context(), Request{Key: key, RunFor: time.Minute}).holders {
			owner[holder.ID] = true
		}
		n, members = newNetwork(4)
		claimer := n.claimers[members[slices.IndexFunc(members, func(m Member) bool { return !owner[m.ID] })].ID]
		claimer.Peers = &unreachableOnce{network: n}
		claim := claimer.Claim(t.Context(), Request{Key: key, RunFor: time.Minute})
		require.Equal(t, Run, claim.Verdict())
		claim.Finish(t.Context(), Result{Known: true, Status: 200})
		again := n.claimers[members[1].ID].Claim(t.Context(), Request{Key: key, Wait: 10 * time.Second, RunFor: time.Minute})
		require.Equal(t, Finished, again.Verdict())
		synctest.Wait()
		require.Zero(t, claimer.pendingReports.Load())
	})
}

// TestHandOver checks that identities are still known after the instance that
// owned them has shut down in an orderly way.
func TestHandOver(t *testing.T) {
	n, members := newNetwork(4)
	leaving := n.claimers[members[0].ID]
	const identities = 200
	for i := range identities {
		claim := leaving.Claim(context.Background(), Request{Key: Key{byte(i)}, RunFor: time.Minute})
		require.Equal(t, Run, claim.Verdict())
		claim.Finish(context.Background(), Result{Known: true, Status: 200})
	}
	base, ok := leaving.HandOver(context.Background())
	require.True(t, ok)
	require.EqualValues(t, 1, base)
	n.down.Store(members[0].ID, true)
	for _, c := range n.claimers {
		c.Lists = func(now time.Time) Lists {
			return Lists{
				Version: 2, Members: [][]Member{members[1:], members}, Usable: true, Until: now.Add(time.Minute),
				HandedOver: map[port.InstanceID]bool{members[0].ID: true},
			}
		}
	}
	for i := range identities {
		claim := n.claimers[members[1].ID].Claim(context.Background(), Request{Key: Key{byte(i)}, RunFor: time.Minute})
		require.Equal(t, Finished, claim.Verdict())
	}
}

// TestRollingReplacement replaces all instances one after the other, each with a
// hand-over. Every identity is still known, and new identities can be claimed.
func TestRollingReplacement(t *testing.T) {
	const size, identities = 4, 50
	n, _ := newNetwork(2 * size)
	times := Times{Retention: time.Minute, MaxRun: time.Minute, MaxListAge: time.Minute}
	histories := map[port.InstanceID]*History{}
	var list []Member
	version := port.Offset(0)
	publish := func() {
		version++
		for _, h := range histories {
			h.Observe(time.Now(), version, list)
			h.Confirm(time.Now())
		}
	}
	join := func(i int) {
		m := Member{ID: instanceID(i), Zone: zoneName(i % size)}
		h := NewHistory(time.Now(), times, len(list) == 0)
		for _, other := range list {
			formerLists, ok := histories[other.ID].Export(time.Now())
			require.True(t, ok)
			h.Observe(time.Now(), version, list)
			h.Import(time.Now(), formerLists)
			break
		}
		histories[m.ID] = h
		n.claimers[m.ID].Lists = h.Lists
		list = append(slices.Clone(list), m)
		publish()
	}
	claim := func(i, identity int) *Claim {
		return n.claimers[instanceID(i)].Claim(context.Background(), Request{Key: Key{byte(identity)}, RunFor: time.Second})
	}
	for i := range size {
		join(i)
	}
	for k := range identities {
		c := claim(k%size, k)
		require.Equal(t, Run, c.Verdict())
		c.Finish(context.Background(), Result{Known: true, Status: 200})
	}
	for i := range size {
		join(size + i)
		base, ok := n.claimers[instanceID(i)].HandOver(context.Background())
		require.True(t, ok)
		for _, h := range histories {
			h.HandOver(instanceID(i), base)
		}
		list = slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.ID == instanceID(i) })
		publish()
		n.down.Store(instanceID(i), true)
	}
	for k := range identities {
		require.Equal(t, Finished, claim(size+k%size, k).Verdict(), k)
	}
	require.Equal(t, Run, claim(2*size-1, identities).Verdict(), "the newest instance")
}

func BenchmarkOwners320(b *testing.B) {
	var members []Member
	for i := range 320 {
		members = append(members, Member{ID: instanceID(i), Zone: zoneName(i % 6)})
	}
	b.ReportAllocs()
	for b.Loop() {
		Owners(Key{1, 2, 3}, members)
	}
}

func BenchmarkClaimFinish(b *testing.B) {
	n, members := newNetwork(3)
	c := n.claimers[members[0].ID]
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		claim := c.Claim(context.Background(), Request{Key: Key{byte(i), byte(i >> 8)}, RunFor: time.Minute})
		claim.Finish(context.Background(), Result{NotRun: true})
	}
}

// lateClaims delivers the first claim to each owner after the claimant has given it up.
type lateClaims struct {
	*network

	delay time.Duration
	late  sync.Map
}

func (l *lateClaims) Claim(ctx context.Context, m Member, r ClaimRequest) (Answer, error) {
	if _, delayed := l.late.LoadOrStore(m.ID, true); !delayed {
		time.AfterFunc(l.delay, func() { _, _ = l.network.Claim(context.WithoutCancel(ctx), m, r) })
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return l.network.Claim(ctx, m, r)
}

// TestClaimArrivesAfterItsEnd: an owner that processed a claim after the report of its end counted it
// as running until its time limit, and the request was refused with 409 for so long.
func TestClaimArrivesAfterItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, members := newNetwork(4)
		key := Key{11}
		claimer := n.claimers[members[0].ID]
		claimer.Peers = &lateClaims{network: n, delay: 2 * time.Second}
		refused := claimer.Claim(t.Context(), Request{Key: key, RunFor: time.Minute})
		require.Equal(t, Unavailable, refused.Verdict())
		time.Sleep(3 * time.Second) // the late claims have arrived
		for _, m := range members[1:] {
			again := n.claimers[m.ID].Claim(t.Context(), Request{Key: key, Wait: time.Second, RunFor: time.Minute})
			require.Equal(t, Run, again.Verdict())
			again.Finish(t.Context(), Result{NotRun: true})
		}
	})
}
