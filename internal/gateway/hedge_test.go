package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// hedgedRouter returns attempts that can be hedged after a millisecond.
type hedgedRouter struct {
	*fakeRouter
	ended func(port.ServerID)
}

type hedgedAttempt struct {
	Attempt
	// ended is called after the outcome of the attempt has been recorded; it may be nil.
	ended func(port.ServerID)
}

func (hedgedAttempt) HedgeAfter(time.Duration) (time.Duration, bool) { return time.Millisecond, true }

func (a hedgedAttempt) Done(now time.Time, o Outcome) {
	a.Attempt.Done(now, o)
	if a.ended != nil {
		a.ended(a.Server().ID)
	}
}

func (r hedgedRouter) Pick(now time.Time, q PickQuery) (Attempt, error) {
	attempt, err := r.fakeRouter.Pick(now, q)
	if err != nil {
		return nil, err
	}
	return hedgedAttempt{attempt, r.ended}, nil
}

// hedgedView has one class, given by the test.
type hedgedView struct {
	fakeView
	class targets.Class
}

func (v hedgedView) Classify(ClassQuery) *targets.Class { return &v.class }

// slowFirstBackend is a backend whose first server answers only when its call
// is cancelled or once the gateway has recorded the second server's failure.
type slowFirstBackend struct {
	secondFails bool
	failed      chan struct{}
	cancelled   chan struct{}
}

func (b *slowFirstBackend) Do(ctx context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
	switch {
	case s.ID == "second" && b.secondFails:
		return nil, errors.Wrap(port.ErrNotSent, "refused")
	case s.ID == "first":
		select {
		case <-ctx.Done():
			close(b.cancelled)
			return nil, errors.Wrap(port.ErrUnknownOutcome, "cancelled")
		case <-b.failed:
		}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(s.ID) + 2), Body: io.NopCloser(strings.NewReader(`"` + string(s.ID) + `"`)),
	}, nil
}

func TestHedging(t *testing.T) {
	for name, c := range map[string]struct {
		class       targets.Class
		secondFails bool
		answer      string
		outcomes    []OutcomeKind
	}{
		"the second attempt is faster": {
			class: targets.Class{Repeatable: true, Hedge: true}, answer: `"second"`,
			outcomes: []OutcomeKind{OutcomeCanceled, OutcomeAnswered},
		},
		"the second attempt fails": {
			class: targets.Class{Repeatable: true, Hedge: true}, secondFails: true, answer: `"first"`,
			outcomes: []OutcomeKind{OutcomeNotSent, OutcomeAnswered},
		},
	} {
		t.Run(name, func(t *testing.T) {
			router := &fakeRouter{servers: []port.Server{{ID: "first"}, {ID: "second"}}, capacity: 2}
			backend := &slowFirstBackend{secondFails: c.secondFails, failed: make(chan struct{}), cancelled: make(chan struct{})}
			c.class.MaxWait = jsonc.Duration(time.Minute)
			ended := func(server port.ServerID) {
				if server == "second" && c.secondFails {
					close(backend.failed)
				}
			}
			g := New(Deps{
				Snapshot: func() View { return hedgedView{class: c.class} }, Router: hedgedRouter{router, ended},
				Waker: &fakeWaker{}, Backend: backend, Clock: port.SystemClock{},
			})
			status, body := postJSON(t, g.Handler(), "/v1/chat/completions",
				`{"model": "`+testModel+`", "messages": [{"role": "user", "content": "x"}]}`)
			require.Equal(t, http.StatusOK, status, body)
			require.Equal(t, c.answer, body)
			if !c.secondFails {
				<-backend.cancelled // the slower attempt is cancelled
			}
			require.Eventually(t, func() bool {
				router.mu.Lock()
				defer router.mu.Unlock()
				return len(router.outcomes) == len(c.outcomes)
			}, 10*time.Second, time.Millisecond)
			require.ElementsMatch(t, c.outcomes, router.outcomes)
			require.Equal(t, 1, router.retries, "the second attempt is charged to the retry budget")
			require.EqualValues(t, 1, g.hedges.Load())
		})
	}
}

// TestOnlyRepeatableWorkIsHedged checks that a class is hedged only if it is
// repeatable and allows hedging.
func TestOnlyRepeatableWorkIsHedged(t *testing.T) {
	for _, class := range []*targets.Class{{Hedge: true}, {Repeatable: true}} {
		c := &Call{class: class, repeatable: class.Repeatable}
		g := New(Deps{Clock: port.SystemClock{}})
		_, hedged := g.hedgeDelay(c, &reservation{attempt: hedgedAttempt{}})
		require.False(t, hedged)
	}
}

func postJSON(t *testing.T, handler http.Handler, path, body string) (int, string) {
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

// modelLossBackend is a backend that answers its first calls as an engine that
// no longer has the model.
type modelLossBackend struct{ lost int }

func (b *modelLossBackend) Do(context.Context, port.Server, *http.Request) (*http.Response, error) {
	status, body := http.StatusOK, `"answer"`
	if b.lost > 0 {
		b.lost--
		status, body = http.StatusNotFound, `{"error":"model not loaded"}`
	}
	return &http.Response{
		StatusCode: status, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

// TestLostModelIsWaitedFor checks that an engine that has unloaded the model
// since the snapshot was made doesn't use up an attempt of the request.
func TestLostModelIsWaitedFor(t *testing.T) {
	router := &fakeRouter{servers: []port.Server{{ID: "first"}}, capacity: 1}
	g := New(Deps{
		Config: Config{MaxAttempts: 1}, Snapshot: func() View { return fakeView{} }, Router: router,
		Waker: &fakeWaker{}, Backend: &modelLossBackend{lost: 4}, Clock: port.SystemClock{},
	})
	status, body := postJSON(t, g.Handler(), "/v1/chat/completions",
		`{"model": "`+testModel+`", "messages": [{"role": "user", "content": "x"}]}`)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, `"answer"`, body)
	require.Equal(t, []OutcomeKind{OutcomeAbsent, OutcomeAbsent, OutcomeAbsent, OutcomeAbsent, OutcomeAnswered}, router.outcomes)
	require.Zero(t, router.retries)
}
