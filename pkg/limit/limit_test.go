package limit

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAdaptiveNext(t *testing.T) {
	c := AdaptiveConfig{}.withDefaults()
	level := Level{Limit: 32, Baseline: 0.1}
	busy := Window{Results: 64, Peak: 32}
	window := func(change func(*Window)) Window {
		w := busy
		change(&w)
		return w
	}
	cases := []struct {
		name string
		w    Window
		up   int
	}{
		{"fast and full: up", window(func(w *Window) { w.MeanLatency = 0.1 }), 1},
		{"slow: down", window(func(w *Window) { w.MeanLatency = 0.2 }), -1},
		{"refused: down", window(func(w *Window) { w.MeanLatency, w.Overloads = 0.1, 1 }), -1},
		{"fast but idle: stays", window(func(w *Window) { w.MeanLatency, w.Peak = 0.1, 3 }), 0},
		{"nothing measured: stays", busy, 0},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			got := c.Next(level, k.w).Limit
			require.Equal(t, k.up, cmp.Compare(got, level.Limit))
		})
	}
}

// TestAdaptiveFindsTheKnee closes windows against a server whose latency grows
// beyond a number of slots, for far longer than any drift would need.
func TestAdaptiveFindsTheKnee(t *testing.T) {
	for _, knee := range []float64{4, 32, 200} {
		t.Run(fmt.Sprint(knee), func(t *testing.T) {
			c := AdaptiveConfig{}.withDefaults()
			l := Level{Limit: c.Initial}
			for i := range 2000 {
				latency := 0.1 * math.Max(1, l.Limit/knee)
				l = c.Next(l, Window{Results: 100, MeanLatency: latency, Peak: int64(math.Ceil(l.Limit))})
				if i > 100 {
					require.Less(t, l.Limit, 1.6*knee)
					require.Greater(t, max(l.Limit, l.Held), 0.6*knee)
				}
			}
		})
	}
}

func TestCeiling(t *testing.T) {
	require.EqualValues(t, 0, Ceiling(0, 0.5, 8), "unknown slots, no ceiling")
	require.EqualValues(t, 4, Ceiling(64, 0.5, 8))
	require.EqualValues(t, 1, Ceiling(4, 0.5, 8))
	a := NewAdaptive(AdaptiveConfig{Initial: 50})
	a.SetCeiling(Ceiling(64, 0.5, 8))
	require.EqualValues(t, 4, a.Limit())
	a.SetCeiling(0)
	require.EqualValues(t, 50, a.Limit())
}

func item(class, caller, model string, deadline time.Duration) *Item {
	return &Item{Class: class, Caller: caller, Model: model, Deadline: start.Add(deadline), Bytes: 1}
}

// TestTurnsFollowTheShares keeps flows backlogged and compares the turns with the
// weighted shares.
func TestTurnsFollowTheShares(t *testing.T) {
	q := NewQueue(QueueConfig{})
	add := func(class string, priority int, caller, model string) {
		it := item(class, caller, model, time.Hour)
		it.Priority = priority
		require.Empty(t, q.Offer(start, it))
	}
	for range 2000 {
		add("high", 2, "a", "m")
		add("low", 1, "b", "m1")
		add("low", 1, "b", "m2")
		add("low", 1, "c", "m1")
	}
	turns := make(map[string]int)
	for range 1200 {
		it, shed := q.Next(start)
		require.Empty(t, shed)
		turns[it.Class+it.Caller+it.Model]++
	}
	for flow, want := range map[string]float64{"higham": 800, "lowbm1": 100, "lowbm2": 100, "lowcm1": 200} {
		require.InDelta(t, want, turns[flow], 3, flow)
	}
}

// TestOneAtATimeGainsNothing lets a low class send its next item only after the
// last has had its turn.
func TestOneAtATimeGainsNothing(t *testing.T) {
	q := NewQueue(QueueConfig{})
	for range 2000 {
		it := item("high", "a", "m", time.Hour)
		it.Priority = 3
		q.Offer(start, it)
	}
	low := 0
	for range 900 {
		if q.root.children["low"] == nil || q.root.children["low"].queued == 0 {
			q.Offer(start, item("low", "b", "m", time.Hour))
		}
		if it, _ := q.Next(start); it.Class == "low" {
			low++
		}
	}
	require.InDelta(t, 100, low, 3, "one turn in nine")
}

// TestQueueAgainstOracle checks that each item has exactly one end, that bounds
// hold, that nothing hopeless runs, and that a flow's own order is by deadline.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(QueueConfig{Items: 8, Bytes: 20})
		now := start
		waiting := make(map[*Item]bool)
		end := func(it *Item) {
			require.True(t, waiting[it], "an end without a wait")
			delete(waiting, it)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				it := item(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
					rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
					rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), 0)
				it.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline")) * time.Second)
				it.Service = time.Duration(rapid.IntRange(0, 3).Draw(t, "service")) * time.Second
				it.Bytes = int64(rapid.IntRange(0, 9).Draw(t, "bytes"))
				waiting[it] = true
				for _, s := range q.Offer(now, it) {
					end(s)
				}
			},
			"next": func(t *rapid.T) {
				before := len(waiting)
				run, shed := q.Next(now)
				for _, s := range shed {
					require.True(t, s.hopeless(now))
					end(s)
				}
				if run == nil {
					require.Empty(t, waiting, "work was left while a place was free")
					return
				}
				require.Positive(t, before)
				require.False(t, run.hopeless(now))
				end(run)
				for it := range waiting {
					if it.Class == run.Class && it.Caller == run.Caller && it.Model == run.Model {
						require.False(t, it.Deadline.Before(run.Deadline))
					}
				}
			},
			"gone": func(t *rapid.T) {
				for it := range waiting {
					require.True(t, q.Remove(it))
					require.False(t, q.Remove(it))
					end(it)
					return
				}
			},
			"time": func(t *rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				bytes := int64(0)
				for it := range waiting {
					bytes += it.Bytes
				}
				require.Equal(t, len(waiting), q.Len())
				require.Equal(t, bytes, q.Bytes())
				require.LessOrEqual(t, q.Len(), 8)
				require.LessOrEqual(t, q.Bytes(), int64(20))
			},
		})
	})
}

func TestFullQueueShedsTheHeavyFlow(t *testing.T) {
	q := NewQueue(QueueConfig{Items: 10})
	for range 10 {
		require.Empty(t, q.Offer(start, item("c", "heavy", "m", time.Hour)))
	}
	shed := q.Offer(start, item("c", "light", "m", time.Hour))
	require.Len(t, shed, 1)
	require.Equal(t, "heavy", shed[0].Caller)
}

func TestIdleFlowsAreForgotten(t *testing.T) {
	q := NewQueue(QueueConfig{})
	for i := range 10_000 {
		q.Offer(start, item("c", fmt.Sprint(i), "m", time.Hour))
		run, _ := q.Next(start)
		require.NotNil(t, run)
	}
	require.LessOrEqual(t, len(q.root.children["c"].children), idleNodes+1)
}

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(2, QueueConfig{})
		enter := func(deadline time.Duration) error {
			it := item("c", "a", "m", 0)
			it.Deadline = time.Now().Add(deadline)
			return g.Enter(t.Context(), time.Now(), it)
		}
		require.NoError(t, enter(time.Second))
		require.NoError(t, enter(time.Second))
		began := time.Now()
		err := enter(time.Second)
		require.ErrorIs(t, err, ErrShed)
		require.Equal(t, time.Second, time.Since(began), "refused when it can't be met any more")
		require.ErrorIs(t, enter(-time.Second), ErrShed)

		var wg sync.WaitGroup
		wg.Go(func() { require.NoError(t, enter(time.Minute)) })
		synctest.Wait()
		require.EqualValues(t, 1, g.Waiting())
		g.Leave(time.Now())
		wg.Wait()
		require.EqualValues(t, 2, g.Running())

		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() {
			it := item("c", "a", "m", 0)
			it.Deadline = time.Now().Add(time.Hour)
			require.ErrorIs(t, g.Enter(ctx, time.Now(), it), context.Canceled)
		})
		synctest.Wait()
		cancel()
		wg.Wait()
		require.EqualValues(t, 0, g.Waiting(), "a caller that has gone leaves the queue")
	})
}

// TestTurnOfACallerThatHasGone lets the turn come at the moment the caller goes:
// the place must go to the next.
func TestTurnOfACallerThatHasGone(t *testing.T) {
	g := NewGate(1, QueueConfig{})
	now := time.Now()
	gone := &Item{Deadline: now.Add(time.Hour)}
	next := &Item{Deadline: now.Add(2 * time.Hour)}
	require.NoError(t, g.Enter(t.Context(), now, &Item{Deadline: now.Add(time.Hour)}))
	goneTurn, nextTurn := g.enqueue(now, gone), g.enqueue(now, next)
	g.Leave(now)
	require.ErrorIs(t, g.withdraw(gone, goneTurn, context.Canceled), context.Canceled)
	require.NoError(t, <-nextTurn)
	require.EqualValues(t, 1, g.Running())
}

// TestGateUnderRace checks that the limit holds and that no place is lost.
func TestGateUnderRace(t *testing.T) {
	const limit = 3
	g := NewGate(limit, QueueConfig{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	running, peak := 0, 0
	add := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		running += n
		peak = max(peak, running)
	}
	for i := range 16 {
		wg.Go(func() {
			for j := range 300 {
				ctx, cancel := context.WithCancel(t.Context())
				it := &Item{Caller: fmt.Sprint(i), Deadline: time.Now().Add(time.Hour)}
				if j%3 == 0 {
					go cancel()
				}
				if g.Enter(ctx, time.Now(), it) == nil {
					add(1)
					add(-1)
					g.Leave(time.Now())
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, peak, limit)
	require.EqualValues(t, 0, g.Running())
	require.EqualValues(t, 0, g.Waiting())
	require.Empty(t, g.turns)
}
