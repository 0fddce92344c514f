package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// quotas is the holder, which grants the quotas of accounts to all instances.
type quotas struct {
	mu     sync.Mutex
	begun  time.Time
	holder *limit.Quotas
	calls  int
	// silent is true while no instance reaches the holder.
	silent bool
}

func newQuotas() *quotas { return &quotas{begun: time.Now(), holder: limit.NewQuotas(0, 0)} }

// clock is the time since the fleet has been started.
func (q *quotas) clock() time.Duration { return time.Since(q.begun) }

// of returns the holder as one instance reaches it.
func (q *quotas) of(instance string) edge.Quotas { return quotasOf{q, instance} }

type quotasOf struct {
	*quotas

	instance string
}

func (q quotasOf) ReserveQuota(ctx context.Context, account string, ask limit.QuotaAsk) (limit.QuotaGrant, error) {
	time.Sleep(2 * time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.silent {
		q.mu.Unlock()
		<-ctx.Done()
		q.mu.Lock()
		return limit.QuotaGrant{}, ctx.Err()
	}
	q.calls++
	return q.holder.Reserve(q.instance, account, ask, q.clock()), nil
}

// callsMade returns the number of calls so far.
func (q *quotas) callsMade() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.calls
}

func (quotasOf) StatesFallbackShares() bool { return true }

// quotaFleet is an instance with one server, which refuses requests while it is told to, and accounts
// of 2 requests a second.
func quotaFleet(t *testing.T, service string) (*virtualFleet, *edge.Edge) {
	f := newVirtualFleet(t)
	if service != "" {
		f.addServer(&fleet.Server{ID: "s0", Service: service, Slots: 8}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
			w.Header().Set(standin.HeaderSignature, "signed")
			w.WriteHeader(http.StatusOK)
		}))
	}
	limited := account.Account{Name: "limited", Quota: account.Quota{Rate: 2, Burst: 2}}
	directory, err := account.NewDirectory([]account.Keys{
		{Account: limited, Keys: []string{"limited"}}, {Account: account.Account{Name: "unlimited"}, Keys: []string{"unlimited"}},
	})
	require.NoError(t, err)
	manifest := fleet.NewManifest(1, []fleet.Route{{
		Name: "read", Host: host, PathPrefix: "/read/", Kind: fleet.KindSafe, MaxAttempts: 2, Shares: []fleet.Share{{Service: plain, Weight: 1}},
	}}, []fleet.Service{{Name: plain}}, fleet.CallerLimits{})
	manifest.Accounts = directory
	time.Sleep(time.Minute) // the bucket is full
	return f, f.newInstance("i0", f.newViews(manifest), 1)
}

// statuses sends requests at once, one after the other, and returns how many got each status.
func (f *virtualFleet) statuses(e *edge.Edge, key string, n int) map[int]int {
	statuses := map[int]int{}
	for i := range n {
		w := f.send(f.Context(), e, fmt.Sprint(key, time.Now(), i), "/read/a", map[string]string{standin.HeaderKey: key})
		statuses[w.Code]++
		if w.Code == http.StatusTooManyRequests {
			retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			assert.NoError(f, err)
			assert.Positive(f, retry)
		}
	}
	return statuses
}

// Guards against accounts above their limit that are served, and against others that are refused or
// cause calls.
func TestRequestsAboveTheQuotaAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f, e := quotaFleet(t, plain)
		assert.Equal(t, map[int]int{http.StatusOK: 20}, f.statuses(e, "unlimited", 20))
		assert.Zero(t, f.quotas.callsMade())
		begun := time.Now()
		first := f.statuses(e, "limited", 20)
		// They arrive one after the other, so that calls can't be shared.
		assert.LessOrEqual(t, f.quotas.callsMade(), int(time.Since(begun)/(25*time.Millisecond))+5, "calls while the bucket is empty")
		assert.LessOrEqual(t, first[http.StatusOK], 4+1, "the burst with its excess of 1 s, and one that waited")
		assert.GreaterOrEqual(t, first[http.StatusOK], 2)
		assert.Equal(t, 20, first[http.StatusOK]+first[http.StatusTooManyRequests])
		time.Sleep(5 * time.Second)
		assert.GreaterOrEqual(t, f.statuses(e, "limited", 2)[http.StatusOK], 2, "the bucket has been filled again")
	})
}

// Guards against requests that hang, or run without a limit, while there is no holder.
func TestQuotaWithoutTheHolder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f, e := quotaFleet(t, plain)
		f.quotas.mu.Lock()
		f.quotas.silent = true
		f.quotas.mu.Unlock()
		begun := time.Now()
		served := 0
		for range 100 {
			served += f.statuses(e, "limited", 1)[http.StatusOK]
			time.Sleep(100 * time.Millisecond)
		}
		seconds := time.Since(begun).Seconds()
		assert.Less(t, seconds, 21.0, "100 ms each, and at most as long to wait")
		assert.LessOrEqual(t, served, int(2*seconds)+2)
		assert.Positive(t, served)
	})
}

// Guards against cost that is lost with requests that no server has run.
func TestCostIsReturnedIfNoServerRanTheRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f, e := quotaFleet(t, "")
		assert.Equal(t, map[int]int{http.StatusServiceUnavailable: 20}, f.statuses(e, "limited", 20))
	})
}
