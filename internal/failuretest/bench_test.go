package failuretest

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// quantile returns a quantile of durations in milliseconds.
func quantile(all []time.Duration, q float64) float64 {
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)].Seconds() * 1000
}

func startEight(b *testing.B, tune func(*settings.Settings)) *cluster {
	s := platformSettings()
	s.Engine.Slots, s.Engine.TokensPerSecond = 2000, 100_000
	return start(b, s, tune, document(b, true, nil), zoneA, zoneA, zoneA, zoneA, zoneB, zoneB, zoneB, zoneB)
}

// BenchmarkColdBurst sends 1,000 requests for a cold model to 8 instances at
// once. A load takes 100 ms.
func BenchmarkColdBurst(b *testing.B) {
	c := startEight(b, nil)
	caller := c.caller()
	var took []time.Duration
	loads, notAnswered := 0, 0
	for n := range b.N {
		id := fmt.Sprintf("survey-%d", n%40)
		before := c.platform.LoadsSeen(port.ModelID(id))
		var mu sync.Mutex
		var all sync.WaitGroup
		begin := make(chan struct{})
		for i := range 1000 {
			all.Go(func() {
				<-begin
				began := time.Now()
				e := caller.ask(c.nodes[i%len(c.nodes)], id, fmt.Sprintf("file %d", i))
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(began))
				if e.how != answered {
					notAnswered++
				}
			})
		}
		close(begin)
		all.Wait()
		loads += c.platform.LoadsSeen(port.ModelID(id)) - before
	}
	b.ReportMetric(quantile(took, 0.5), "p50-ms")
	b.ReportMetric(quantile(took, 0.99), "p99-ms")
	b.ReportMetric(float64(loads)/float64(b.N), "loads/op")
	b.ReportMetric(float64(notAnswered)/float64(b.N), "unanswered/op")
}

// BenchmarkPublishInForce measures from the publish to its being in force at all
// instances, with the log up, and in a zone that reaches only its peers.
func BenchmarkPublishInForce(b *testing.B) {
	for _, cut := range []bool{false, true} {
		b.Run(map[bool]string{false: "log", true: "peers"}[cut], func(b *testing.B) {
			c := startEight(b, nil)
			if cut {
				c.cutFromLog(zoneA)
				c.eventually(func() bool { return c.status(c.nodes[0]).Log.State != "up" }, "zone knows")
			}
			publisher := c.nodes[len(c.nodes)-1]
			var took []time.Duration
			for n := range b.N {
				base := c.status(publisher).TargetsVersion
				began := time.Now()
				version := c.publish(publisher, base, document(b, true, func(d map[string]any) {
					d["cold_start_weight"] = float64(n%100) / 100
				}))
				c.eventually(c.inForce(version, c.nodes...), "in force everywhere")
				took = append(took, time.Since(began))
			}
			b.ReportMetric(quantile(took, 0.5), "p50-ms")
			b.ReportMetric(quantile(took, 1), "max-ms")
		})
	}
}

// BenchmarkLeavingServer measures from a server's first sign of leaving to the
// last new request that it got, under steady load at all instances.
func BenchmarkLeavingServer(b *testing.B) {
	var took []time.Duration
	for range b.N {
		c := startEight(b, nil)
		caller := c.caller()
		require.Equal(b, answered, caller.ask(c.nodes[0], model, "before").how)
		leaving := c.busiest()
		stop, load := make(chan struct{}), sync.WaitGroup{}
		for i := range 2 * len(c.nodes) {
			load.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						caller.ask(c.nodes[i%len(c.nodes)], model, fmt.Sprintf("file %d", n))
					}
				}
			})
		}
		require.NoError(b, c.platform.Leave(leaving))
		began := time.Now()
		last, count := began, 0
		for time.Since(last) < 3*time.Second {
			if now := c.platform.Counters().Generations[leaving]; now > count {
				last, count = time.Now(), now
			}
			time.Sleep(time.Millisecond)
		}
		took = append(took, last.Sub(began))
		close(stop)
		load.Wait()
		c.close()
	}
	b.ReportMetric(quantile(took, 1), "max-ms")
}

// BenchmarkTakeover measures from the death of a holder, with the time-outs of
// the default settings, to the first load that its successor has ordered, for
// callers that were waiting before.
func BenchmarkTakeover(b *testing.B) {
	var took, deciding []time.Duration
	for range b.N {
		c := startEight(b, func(s *settings.Settings) {
			defaults := settings.Defaults()
			s.Deciding = defaults.Deciding
		})
		caller, requests := c.caller(), newTally()
		holder := c.loadedBy(model)
		killed := make(chan struct{})
		onLoadOrder(holder, model, func() {
			holder.pause()
			close(killed)
		})
		var others []*node
		for _, n := range c.nodes {
			if n != holder {
				others = append(others, n)
			}
		}
		caller.burst(requests, 70, model, others...)
		<-killed
		began := time.Now()
		go holder.end()
		c.eventually(func() bool { return c.takenOver(holder) }, "another decides")
		deciding = append(deciding, time.Since(began))
		c.eventually(func() bool { return c.platform.LoadsSeen(model) == 1 }, "load ordered")
		took = append(took, time.Since(began))
		require.Equal(b, 70, requests.wait()[answered], requests.details)
		c.close()
	}
	b.ReportMetric(quantile(deciding, 1), "deciding-max-ms")
	b.ReportMetric(quantile(took, 1), "load-max-ms")
}

// firstByte sends a streamed request and returns when its first event and its
// end came.
func firstByte(b *testing.B, client *http.Client, address, prompt string) (first, whole time.Duration) {
	began := time.Now()
	response, err := client.Post("http://"+address+"/v1/chat/completions", "application/json",
		strings.NewReader(chatBody(model, prompt, answerTokens, true)))
	require.NoError(b, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data:") {
			first = time.Since(began)
		}
	}
	return first, time.Since(began)
}

// BenchmarkWarmCall compares a streamed call through an instance with the direct
// call of the same server, in turns.
func BenchmarkWarmCall(b *testing.B) {
	s := platformSettings()
	s.Engine.TokensPerSecond = 100_000
	c := start(b, s, func(s *settings.Settings) {
		s.Deciding.Heartbeat, s.Deciding.ReportInterval = jsonc.Duration(250*time.Millisecond), jsonc.Duration(250*time.Millisecond)
	}, document(b, true, nil), zoneA, zoneB)
	caller := c.caller()
	require.Equal(b, answered, caller.ask(c.nodes[0], model, "before").how)
	server, _ := c.platform.Server(c.busiest())
	var first, whole [2][]time.Duration
	addresses := []string{server.Address, c.holder(replicaZone(model)).CallersAddress()}
	b.ResetTimer()
	for n := range b.N {
		for i, address := range addresses {
			f, w := firstByte(b, caller.client, address, fmt.Sprintf("file %d", n))
			first[i], whole[i] = append(first[i], f), append(whole[i], w)
		}
	}
	for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		b.ReportMetric(quantile(first[1], q)-quantile(first[0], q), "first-byte-added-"+name+"-ms")
		b.ReportMetric(quantile(whole[1], q)-quantile(whole[0], q), "whole-added-"+name+"-ms")
	}
}
