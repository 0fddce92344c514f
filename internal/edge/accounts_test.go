package edge_test

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// manifestState is what an instance knows of newer manifests, as a test sets it.
type manifestState struct {
	age    time.Duration
	behind bool
}

// newAccountHarness returns a harness whose manifest has accounts, and a public route.
func newAccountHarness(t *testing.T, accounts ...account.Keys) (*harness, *standin.Server, *manifestState) {
	w, state := newHarness(t), &manifestState{}
	w.edge = newAccountEdge(w, state, &log.Logger{Level: log.PanicLevel})
	w.front.Config.Handler = w.edge
	s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
	w.publishAccounts(8, accounts...)
	return w, s, state
}

func newAccountEdge(w *harness, state *manifestState, logger *log.Logger) *edge.Edge {
	return edge.New(edge.Config{
		Zone: "zone-a", RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second, Instances: 1,
		Manifest: edge.ManifestState{
			WithdrawWithin: 5 * time.Second, ConfirmationAge: func() time.Duration { return state.age }, IsBehind: func() bool { return state.behind },
		},
	}, w.views, platform.NewServers(), noDemand{},
		edge.Peers{Permits: newPermits().of("i0"), Origins: w.origins.of("i0"), Crashes: newCrashes(w.T).of("i0"), Standings: newStandings().of("i0")},
		logger, metrics.NewRegistry(), w.tracer)
}

func (w *harness) publishAccounts(version int64, accounts ...account.Keys) {
	shares := []fleet.Share{{Service: plain, Weight: 1}}
	manifest := fleet.NewManifest(version, []fleet.Route{
		{Name: "write", Host: host, PathPrefix: "/write/", Kind: fleet.KindUnsafe, Shares: shares, MaxAttempts: 1, Priority: 3},
		{Name: "public", Host: host, PathPrefix: "/public/", Kind: fleet.KindSafe, Shares: shares, MaxAttempts: 1, Public: true},
	}, []fleet.Service{{Name: plain}}, fleet.CallerLimits{})
	directory, err := account.NewDirectory(accounts)
	require.NoError(w, err)
	manifest.Accounts = directory
	require.True(w, w.views.SetManifest(manifest))
	w.views.SetServers(w.servers)
}

func accountA(keys ...string) account.Keys {
	return account.Keys{Account: account.Account{Name: "account-a", Priority: 1, HasPriority: true}, Keys: keys}
}

// A server got the client's key, and requests ran whose keys no manifest had.
func TestServerGetsTheAccountAndNotTheKey(t *testing.T) {
	w, s, _ := newAccountHarness(t, accountA("key-1"), account.Keys{Account: account.Account{Name: "account-b"}, Keys: []string{"key-b"}})
	got := w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderKey: "key-1", standin.HeaderAccount: "forged"})
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, s.Runs(), 1)
	header := s.Runs()[0].Header
	assert.Equal(t, []string{"account-a"}, header.Values(standin.HeaderAccount))
	assert.Empty(t, header.Values(standin.HeaderKey))
	withRank := header.Get(standin.HeaderPriority)
	require.Equal(t, http.StatusOK, w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderKey: "key-b"}).status)
	assert.Less(t, withRank, s.Runs()[1].Header.Get(standin.HeaderPriority), "the account's rank goes before the route's")

	for name, header := range map[string]map[string]string{
		"no key": {}, "unknown key": {standin.HeaderKey: "key-2"}, "another case": {standin.HeaderKey: "KEY-1"}, "only the account": {standin.HeaderAccount: "account-a"},
	} {
		assert.Equal(t, http.StatusUnauthorized, w.do(http.MethodPost, "/write/", header).status, name)
	}
	req := w.request(t.Context(), http.MethodPost, "/write/", nil)
	req.Header[standin.HeaderKey] = []string{"key-1", "key-1"}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode, "a key given twice")
	assert.Len(t, s.Runs(), 2)

	got = w.do(http.MethodPost, "/public/", map[string]string{standin.HeaderKey: "key-2", standin.HeaderAccount: "forged"})
	require.Equal(t, http.StatusOK, got.status)
	header = s.Runs()[2].Header
	assert.Empty(t, header.Values(standin.HeaderAccount))
	assert.Empty(t, header.Values(standin.HeaderKey))
}

// Withdrawn keys were served by instances that couldn't read the manifest.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	w, s, state := newAccountHarness(t, accountA("key-1", "key-2"))
	send := func(key string) reply {
		return w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderKey: key})
	}
	state.age = 4800 * time.Millisecond
	require.Equal(t, http.StatusOK, send("key-1").status)
	state.age = 5 * time.Second
	refused := send("key-1")
	assert.Equal(t, http.StatusServiceUnavailable, refused.status, "the key may have been withdrawn 5 s ago")
	assert.NotEmpty(t, refused.header.Get("Retry-After"))
	assert.Equal(t, http.StatusServiceUnavailable, send("unknown").status, "it may have been added meanwhile")
	assert.Equal(t, http.StatusOK, w.do(http.MethodPost, "/public/", nil).status)
	state.age = 0
	assert.Equal(t, http.StatusOK, send("key-1").status)

	w.publishAccounts(9, accountA("key-2"))
	assert.Equal(t, http.StatusUnauthorized, send("key-1").status)
	assert.Equal(t, http.StatusOK, send("key-2").status)
	w.publishAccounts(10)
	assert.Equal(t, http.StatusUnauthorized, send("key-2").status)
	w.publishAccounts(11, accountA("key-1"))
	assert.Equal(t, http.StatusOK, send("key-1").status)
	assert.Len(t, s.Runs(), 5)
}

// An instance that knew of a newer manifest, which it couldn't read, answered 404 for its routes.
func TestRoutesAndKeysOfANewerManifestAreNotDenied(t *testing.T) {
	w, _, state := newAccountHarness(t, accountA("key-1"))
	state.behind = true
	key := map[string]string{standin.HeaderKey: "key-1"}
	assert.Equal(t, http.StatusServiceUnavailable, w.do(http.MethodPost, "/added/", key).status)
	assert.Equal(t, http.StatusServiceUnavailable, w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderKey: "added"}).status)
	assert.Equal(t, http.StatusOK, w.do(http.MethodPost, "/write/", key).status)
	state.behind = false
	assert.Equal(t, http.StatusNotFound, w.do(http.MethodPost, "/added/", key).status)
}

// Each attempt builds its own head: repeats, and streams that go on at another server or are taken up by
// the client, get the account and not the key as well.
func TestEveryAttemptGetsTheAccountAndNotTheKey(t *testing.T) {
	w := newHarness(t)
	first, second := w.add(standin.ServerConfig{ID: "s1", Service: engine}), w.add(standin.ServerConfig{ID: "s2", Service: engine})
	plainServers := []*standin.Server{w.add(standin.ServerConfig{ID: "p1", Service: plain}), w.add(standin.ServerConfig{ID: "p2", Service: plain})}
	w.publish()
	directory, err := account.NewDirectory([]account.Keys{accountA("key-1")})
	require.NoError(t, err)
	withAccounts := *w.views.Load().Manifest
	withAccounts.Version++
	withAccounts.Accounts = directory
	require.True(t, w.views.SetManifest(&withAccounts))
	w.origins.announced.Put("first", streamorigin.Origin{Service: engine}, time.Now())
	key := map[string]string{standin.HeaderKey: "key-1", standin.HeaderAccount: "forged"}

	for _, s := range plainServers {
		s.SetFaults(standin.ServerFaults{Fail: true})
	}
	w.do(http.MethodPost, "/read/", key)
	first.SetFaults(standin.ServerFaults{CutAfter: 3})
	second.SetFaults(standin.ServerFaults{CutAfter: 3})
	w.do(http.MethodPost, "/stream/", key)
	first.SetFaults(standin.ServerFaults{})
	second.SetFaults(standin.ServerFaults{})
	takenUp := maps.Clone(key)
	takenUp["Last-Event-Id"], takenUp[standin.HeaderResumes] = "4", "first"
	require.Equal(t, http.StatusOK, w.do(http.MethodPost, "/stream/", takenUp).status)

	runs := slices.Concat(first.Runs(), second.Runs(), plainServers[0].Runs(), plainServers[1].Runs())
	assert.Len(t, runs, 5, "two of each of the first requests, one of the last")
	for _, run := range runs {
		assert.Equal(t, []string{"account-a"}, run.Header.Values(standin.HeaderAccount))
		for name, values := range run.Header {
			assert.NotContains(t, values, "key-1", name)
		}
	}
}

// Keys are secret: neither the log nor an answer contains them, whatever becomes of the request.
func TestKeysAreNotLogged(t *testing.T) {
	var written bytes.Buffer
	w, _, state := newAccountHarness(t, accountA("secret-1"))
	w.edge = newAccountEdge(w, state, &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: &written}})
	w.front.Config.Handler = w.edge
	for _, age := range []time.Duration{0, time.Hour} {
		state.age = age
		for _, key := range []string{"secret-1", "secret-2"} {
			got := w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderKey: key})
			assert.NotContains(t, got.body, "secret")
		}
	}
	w.front.Close()
	assert.Contains(t, written.String(), "key unknown")
	assert.NotContains(t, written.String(), "secret")
}
