package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// virtual is a gateway in memory, for tests on virtual time.
type virtual struct {
	*testing.T

	gateway *Gateway
	router  *fakeRouter
	waker   *fakeWaker
}

// repeatableView has one class, which is repeatable and hedged.
var repeatableView = hedgedView{class: targets.Class{
	Name: "chat", Repeatable: true, Hedge: true, MaxWait: jsonc.Duration(5 * time.Second),
}}

// newVirtual returns a gateway with two servers, s1 and s2. Only attempts of a hedged one are hedged.
func newVirtual(t *testing.T, hedged bool, backend backendFunc, change ...func(*Deps)) *virtual {
	v := &virtual{T: t, waker: &fakeWaker{ready: make(chan struct{}), reply: WakeReply{Accepted: true, ReadyIn: time.Second}}}
	v.router = &fakeRouter{servers: []port.Server{{ID: "s1"}, {ID: "s2"}}, capacity: 100, absent: map[port.ModelID]bool{}}
	deps := Deps{
		Snapshot: func() View { return repeatableView }, Router: v.router, Waker: v.waker,
		Backend: backend, Clock: port.SystemClock{},
	}
	if hedged {
		deps.Router = hedgedRouter{v.router, nil}
	}
	for _, f := range change {
		f(&deps)
	}
	v.gateway = New(deps)
	return v
}

// send sends a request and returns its answer and how long it took.
func (v *virtual) send(path, body string) (reply, time.Duration) {
	began := time.Now()
	request := httptest.NewRequestWithContext(v.Context(), http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	v.gateway.Handler().ServeHTTP(recorder, request)
	took := time.Since(began)
	result := recorder.Result()
	defer result.Body.Close()
	return reply{status: recorder.Code, header: result.Header, body: recorder.Body.String()}, took
}

// end checks that nothing is left of the requests.
func (v *virtual) end() {
	v.gateway.stop()
	v.gateway.background.Wait()
	synctest.Wait()
	require.True(v, v.gateway.Endings().Balanced(), "%+v", v.gateway.Endings())
	require.Zero(v, v.router.busy, "reserved capacity not released")
}

// after waits, and returns an error once the attempt is cancelled.
func after(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.Wrap(port.ErrUnknownOutcome, "cancelled")
	}
}

// A silent but sound run was cancelled for a hedged attempt that was refused.
func TestRefusedHedgeKeepsTheRun(t *testing.T) {
	for name, second := range map[string]func() (*http.Response, error){
		"503":      func() (*http.Response, error) { return wholeResponse(503, `{}`), nil },
		"429":      func() (*http.Response, error) { return wholeResponse(429, `{}`), nil },
		"500":      func() (*http.Response, error) { return wholeResponse(500, `{}`), nil },
		"no model": func() (*http.Response, error) { return wholeResponse(404, `{}`), nil },
		"refused":  func() (*http.Response, error) { return nil, errors.Wrap(port.ErrRefused, "full") },
		"not sent": func() (*http.Response, error) { return nil, errors.Wrap(port.ErrNotSent, "connection refused") },
		"reset":    func() (*http.Response, error) { return nil, errors.Wrap(port.ErrUnknownOutcome, "reset") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, true, func(ctx context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
					if s.ID == "s2" {
						return second()
					}
					if err := after(ctx, time.Second); err != nil {
						return nil, err
					}
					return wholeResponse(200, wholeChat), nil
				})
				v.router.maxRetries = 1
				got, took := v.send("/v1/chat/completions", chatBody)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, wholeChat, got.body)
				require.Equal(t, time.Second, took)
				v.end()
			})
		})
	}
}

// A request of which one hedged attempt may have run was reported as not run, as the other hadn't.
func TestHedgesThatFailMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, true, func(ctx context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
			if s.ID == "s2" {
				return nil, errors.Join(after(ctx, 2*time.Second), errors.Wrap(port.ErrNotSent, "unreachable"))
			}
			return nil, errors.Join(after(ctx, time.Second), errors.Wrap(port.ErrUnknownOutcome, "reset"))
		}, func(d *Deps) { d.Config.MaxAttempts = 2 })
		got, _ := v.send("/v1/chat/completions", chatBody)
		requireProblem(t, got, problem.ServerFailed)
		require.ElementsMatch(t, []OutcomeKind{OutcomeReset, OutcomeNotSent}, v.router.outcomes)
		v.end()
	})
}

// A hedged attempt ran on at its server for as long as the answer of the other one took.
func TestSlowerAttemptIsCancelledWhenTheOtherBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled time.Time
		v := newVirtual(t, true, func(ctx context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
			if s.ID == "s1" {
				err := after(ctx, time.Minute)
				cancelled = time.Now()
				return nil, err
			}
			r := wholeResponse(200, wholeChat)
			r.Body = io.NopCloser(slowReader{ctx, strings.NewReader(wholeChat)})
			return r, nil
		})
		began := time.Now()
		got, took := v.send("/v1/chat/completions", chatBody)
		require.Equal(t, wholeChat, got.body)
		require.Greater(t, took, time.Second)
		v.end()
		require.Equal(t, time.Millisecond, cancelled.Sub(began))
	})
}

// slowReader takes a second for each read.
type slowReader struct {
	ctx context.Context
	io.Reader
}

func (r slowReader) Read(p []byte) (int, error) {
	if err := after(r.ctx, time.Second); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

// The retry of a hedged attempt that broke off went to its server again, and spared the one that was only slow.
func TestRetryAvoidsTheServerThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var servers []port.ServerID
		v := newVirtual(t, true, func(ctx context.Context, s port.Server, r *http.Request) (*http.Response, error) {
			mu.Lock()
			servers = append(servers, s.ID)
			attempts := len(servers)
			mu.Unlock()
			switch attempts {
			case 1:
				return nil, after(ctx, time.Minute)
			case 2:
				return faultBroken.do(r)
			}
			return wholeResponse(200, wholeChat), nil
		})
		got, _ := v.send("/v1/chat/completions", chatBody)
		require.Equal(t, http.StatusOK, got.status, got.body)
		v.end()
		require.Equal(t, []port.ServerID{"s1", "s2", "s1"}, servers)
	})
}

// A hedged attempt wasn't counted, so that a request was sent once more than the limit allows.
func TestHedgedAttemptsCount(t *testing.T) {
	for limit, want := range map[int]int32{1: 1, 2: 2, 3: 3} {
		synctest.Test(t, func(t *testing.T) {
			var sent atomic.Int32
			v := newVirtual(t, true, func(ctx context.Context, _ port.Server, _ *http.Request) (*http.Response, error) {
				sent.Add(1)
				return nil, errors.Join(after(ctx, time.Second), errors.Wrap(port.ErrUnknownOutcome, "reset"))
			}, func(d *Deps) { d.Config.MaxAttempts = limit })
			got, _ := v.send("/v1/chat/completions", chatBody)
			requireProblem(t, got, problem.ServerFailed)
			require.Equal(t, want, sent.Load(), "limit %d", limit)
			v.end()
		})
	}
}

// A caller got a 502 in place of a service's whole answer, which was put aside for a repeat that wasn't made.
func TestErrorAnswerIsDeliveredIfItsRepeatIsnt(t *testing.T) {
	const body = `{"closed":"until noon"}`
	for name, c := range map[string]struct {
		change func(v *virtual)
		repeat func(ctx context.Context) (*http.Response, error)
		took   time.Duration
	}{
		"no budget": {change: func(v *virtual) { v.router.maxRetries, v.router.retries = 1, 1 }},
		"no server": {change: func(v *virtual) { v.router.servers = v.router.servers[:1] }},
		"not sent": {repeat: func(context.Context) (*http.Response, error) {
			return nil, errors.Wrap(port.ErrNotSent, "connection refused")
		}},
		"reset": {repeat: func(context.Context) (*http.Response, error) {
			return nil, errors.Wrap(port.ErrUnknownOutcome, "reset")
		}},
		"broken off": {repeat: func(context.Context) (*http.Response, error) { return faultBroken.do(nil) }},
		"silent": {took: 2 * time.Second, repeat: func(ctx context.Context) (*http.Response, error) {
			return nil, after(ctx, time.Minute)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int32
				v := newVirtual(t, false, func(ctx context.Context, _ port.Server, _ *http.Request) (*http.Response, error) {
					if attempts.Add(1) == 1 {
						return wholeResponse(http.StatusServiceUnavailable, body), nil
					}
					return c.repeat(ctx)
				}, func(d *Deps) { d.Config.DefaultTimeout, d.Config.MaxAttempts = 2*time.Second, 2 })
				if c.change != nil {
					c.change(v)
				}
				got, took := v.send("/entries/7", "crew")
				require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
				require.Equal(t, body, got.body)
				require.Less(t, took, c.took+time.Second)
				v.end()
			})
		})
	}
}

// A whole answer was lost when the hedged attempt beside it stayed silent until the deadline.
func TestErrorAnswerOutlivesASilentHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, true, func(ctx context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
			if s.ID == "s1" {
				return nil, after(ctx, time.Minute)
			}
			r := wholeResponse(500, wholeChat)
			r.Body = io.NopCloser(slowReader{ctx, strings.NewReader(wholeChat)})
			return r, nil
		}, func(d *Deps) { d.Config.DefaultTimeout = 10 * time.Second })
		got, _ := v.send("/v1/chat/completions", chatBody)
		require.Equal(t, 500, got.status, got.body)
		require.Equal(t, wholeChat, got.body)
		v.end()
	})
}

// A repeatable run and a stream that a server had broken off were ended because no server had their
// model, or room, at that moment.
func TestBrokenRunWaitsForAServer(t *testing.T) {
	noModel := func(r *fakeRouter) { r.absent[testModel] = true }
	noRoom := func(r *fakeRouter) { r.capacity = 0 }
	noBudget := func(r *fakeRouter) { r.retries = r.maxRetries }
	for name, c := range map[string]struct {
		withdraw func(r *fakeRouter)
		body     string
	}{
		"stream, no model": {noModel, streamBody}, "stream, no room": {noRoom, streamBody},
		"run, no model": {noModel, chatBody}, "run, no room": {noRoom, chatBody},
		"stream, no budget": {noBudget, streamBody}, "run, no budget": {noBudget, chatBody},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int32
				var v *virtual
				v = newVirtual(t, false, func(_ context.Context, _ port.Server, r *http.Request) (*http.Response, error) {
					switch {
					case attempts.Add(1) > 1 && c.body == chatBody:
						return wholeResponse(200, wholeChat), nil
					case attempts.Load() > 1:
						assert.Equal(t, "0", r.Header.Get(headerLastEventID))
						return eventResponse(strings.NewReader("id: 1\ndata: 1\n\ndata: [DONE]\n\n")), nil
					}
					stream, server := io.Pipe()
					go func() { _, _ = io.WriteString(server, "id: 0\ndata: 0\n\n") }()
					// By then a first attempt of the class could no longer wait.
					time.AfterFunc(6*time.Second, func() {
						v.router.change(c.withdraw)
						_ = server.CloseWithError(io.ErrUnexpectedEOF)
					})
					time.AfterFunc(9*time.Second, func() {
						v.router.change(func(r *fakeRouter) { r.capacity, r.retries = 100, 0; delete(r.absent, testModel) })
					})
					if c.body == streamBody {
						return eventResponse(stream), nil
					}
					_, err := io.ReadAll(stream)
					return nil, errors.Join(port.ErrUnknownOutcome, err)
				})
				v.router.maxRetries = 1
				got, took := v.send("/v1/chat/completions", c.body)
				if c.body == streamBody {
					require.Equal(t, "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\ndata: [DONE]\n\n", got.body)
				} else {
					require.Equal(t, wholeChat, got.body)
				}
				require.InDelta(t, 9, took.Seconds(), 0.5)
				require.Equal(t, 1, v.router.retries)
				v.end()
			})
		})
	}
}

// TestRefusedRequestDoesntWaitForTheBudget checks that a request that no server executed is refused at once.
func TestRefusedRequestDoesntWaitForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, false, func(context.Context, port.Server, *http.Request) (*http.Response, error) {
			return nil, errors.Wrap(port.ErrRefused, "full")
		})
		v.router.maxRetries, v.router.retries = 1, 1
		got, took := v.send("/v1/chat/completions", chatBody)
		requireProblem(t, got, problem.NoCapacity)
		require.Less(t, took, firstRetryDelay*2)
		v.end()
	})
}

func eventResponse(events io.Reader) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(events), ContentLength: -1,
		Header: http.Header{"Content-Type": {"text/event-stream"}}}
}

// TestNoRunIsLeftWithoutItsCaller checks that every run ends at once when its caller disconnects, also a hedged one.
func TestNoRunIsLeftWithoutItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Int32
		v := newVirtual(t, true, func(ctx context.Context, _ port.Server, _ *http.Request) (*http.Response, error) {
			running.Add(1)
			defer running.Add(-1)
			return nil, after(ctx, time.Minute)
		})
		ctx, cancel := context.WithCancel(t.Context())
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody))
		request.Header.Set("Content-Type", "application/json")
		go v.gateway.Handler().ServeHTTP(httptest.NewRecorder(), request)
		time.Sleep(time.Second)
		require.EqualValues(t, 2, running.Load())
		cancel()
		synctest.Wait()
		require.Zero(t, running.Load())
		v.end()
	})
}

// TestPiecesOfHedgedStreamsArentJoined checks that a stream has the events of one attempt until that breaks off, and is then
// continued at its position.
func TestPiecesOfHedgedStreamsArentJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int32
		v := newVirtual(t, true, func(ctx context.Context, _ port.Server, r *http.Request) (*http.Response, error) {
			n := sent.Add(1)
			if n == 1 { // begins to answer after the hedged attempt
				return eventResponse(strings.NewReader("id: 0\ndata: a0\n\nid: 1\ndata: a1\n\ndata: [DONE]\n\n")), after(ctx, 10*time.Millisecond)
			}
			if n == 2 {
				return eventResponse(breakingReader{io.MultiReader(strings.NewReader("id: 0\ndata: b0\n\n"), slowReader{ctx, strings.NewReader("")})}), nil
			}
			assert.Equal(t, "0", r.Header.Get(headerLastEventID))
			return eventResponse(strings.NewReader("id: 1\ndata: b1\n\ndata: [DONE]\n\n")), nil
		})
		got, _ := v.send("/v1/chat/completions", streamBody)
		require.Equal(t, "id: 0\ndata: b0\n\nid: 1\ndata: b1\n\ndata: [DONE]\n\n", got.body)
		v.end()
	})
}

// A retry that had to wait went to the server that had failed, though another one had room again.
func TestWaitingRetryAvoidsTheServerThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var v *virtual
		v = newVirtual(t, false, func(_ context.Context, s port.Server, _ *http.Request) (*http.Response, error) {
			if s.ID == "s2" {
				return wholeResponse(200, wholeChat), nil
			}
			v.router.change(func(r *fakeRouter) { r.capacity = 0 })
			time.AfterFunc(time.Second, func() { v.router.change(func(r *fakeRouter) { r.capacity = 100 }) })
			return nil, errors.Wrap(port.ErrNotSent, "unreachable")
		}, func(d *Deps) { d.Config.MaxAttempts = 2 })
		got, _ := v.send("/v1/chat/completions", chatBody)
		require.Equal(t, wholeChat, got.body)
		v.end()
	})
}
