package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// TestDrain checks the order of a shutdown: readiness fails first, late
// arrivals are served, waiting and running requests end, and then new requests
// are refused.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, overHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == entryPath {
			<-release
		}
		engine(w, r)
	}), func(d *Deps) { d.Config.DrainDelay = 1500 * time.Millisecond })
	require.Equal(t, http.StatusOK, b.send("GET", "/readyz", "").status)
	replies := make(chan reply, 2)
	go func() { replies <- b.chat(coldBody) }()
	go func() { replies <- b.send("POST", entryPath, chatBody) }()
	require.Eventually(t, func() bool { return b.gateway.Endings().InProgress == 2 }, 5*time.Second, time.Millisecond)

	drained := make(chan DrainReport, 1)
	go func() { drained <- b.gateway.Drain(context.Background()) }()
	require.Eventually(t, func() bool { return !b.gateway.Ready() }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, b.send("GET", "/readyz", "").status)
	require.Equal(t, http.StatusOK, b.send("GET", "/livez", "").status)
	require.Equal(t, http.StatusOK, b.chat(chatBody).status, "a late arrival")

	require.Eventually(t, b.gateway.stopped, 5*time.Second, time.Millisecond)
	requireProblem(t, b.chat(chatBody), problem.Stopping)
	require.Empty(t, drained, "two requests are in progress")
	b.router.setReady(coldModel)
	close(b.waker.ready)
	close(release)
	for range 2 {
		require.Equal(t, http.StatusOK, (<-replies).status)
	}
	require.Zero(t, (<-drained).Unfinished)
}

// TestDrainBound checks that Drain reports the requests that are in flight when
// its context ends.
func TestDrainBound(t *testing.T) {
	b := newBench(t, overHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}), func(d *Deps) { d.Config.DrainDelay = time.Nanosecond })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() { done <- b.send("POST", entryPath, "crew", HeaderTimeout, "0.5") }()
	require.Eventually(t, func() bool { return b.gateway.Endings().InProgress == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.EqualValues(t, 1, b.gateway.Drain(ctx).Unfinished)
	requireProblem(t, <-done, problem.AnswerTimeout)
}

// TestDrainThenShutdown checks that answers that end during Drain, buffered and
// streamed, arrive complete although the server is shut down right after Drain.
// Drain must not return before an answer is written.
func TestDrainThenShutdown(t *testing.T) {
	const requests = 100
	release := make(chan struct{})
	b := newBench(t, overHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		engine(w, r)
	}), func(d *Deps) { d.Config.DrainDelay = time.Nanosecond })
	replies := make(chan reply, requests)
	for i := range requests {
		go func() {
			if i%2 == 0 {
				replies <- b.chat(streamBody)
			} else {
				replies <- b.chat(chatBody)
			}
		}()
	}
	require.Eventually(t, func() bool { return b.gateway.Endings().InProgress == requests }, 5*time.Second, time.Millisecond)
	drained := make(chan DrainReport)
	go func() { drained <- b.gateway.Drain(context.Background()) }()
	require.Eventually(t, b.gateway.stopped, 5*time.Second, time.Millisecond)
	close(release)
	require.Zero(t, (<-drained).Unfinished)
	require.NoError(t, b.server.Config.Shutdown(t.Context()))
	for range requests {
		got := <-replies
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	}
}

// Requests that still waited for a server at the end of a drain were cut, although they could be refused as not run.
func TestDrainRefusesWhatStillWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, false, func(context.Context, port.Server, *http.Request) (*http.Response, error) {
			return wholeResponse(200, wholeChat), nil
		}, func(d *Deps) { d.Config.DrainDelay = time.Nanosecond })
		v.router.change(func(r *fakeRouter) { r.absent[testModel] = true })
		drained := make(chan DrainReport, 1)
		time.AfterFunc(time.Second, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			drained <- v.gateway.Drain(ctx)
		})
		got, took := v.send("/v1/chat/completions", chatBody)
		requireProblem(t, got, problem.Stopping)
		require.Equal(t, 2*time.Second, took)
		require.Zero(t, (<-drained).Unfinished)
		v.end()
	})
}

// The end of a drain counted the requests that it cuts and didn't name them.
func TestDrainNamesWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		v := newVirtual(t, false, func(ctx context.Context, _ port.Server, _ *http.Request) (*http.Response, error) {
			return nil, after(ctx, time.Minute)
		}, func(d *Deps) {
			d.Config.DrainDelay, d.Config.DefaultTimeout = time.Nanosecond, 5*time.Second
			d.Logger = &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: &lines}}
		})
		const requests = maxCutLogged + 1
		v.router.capacity = requests
		var running sync.WaitGroup
		for range requests {
			running.Go(func() { v.send("/v1/chat/completions", chatBody) })
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.EqualValues(t, requests, v.gateway.Drain(ctx).Unfinished)
		require.Equal(t, maxCutLogged, strings.Count(lines.String(), `"event":"request_cut"`))
		require.Contains(t, lines.String(), `"path":"/v1/chat/completions"`)
		require.Contains(t, lines.String(), `"server":"s1"`)
		running.Wait()
		v.end()
	})
}
