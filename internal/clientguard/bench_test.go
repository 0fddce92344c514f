package clientguard_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

// BenchmarkOrdinaryRequest sends requests with bodies of 1 KB alternately to a server behind a guard and to
// one without, over kept connections. It reports the median time and the allocations of both. The handler
// only reads the body, so that the part of the guard is larger than in an instance.
func BenchmarkOrdinaryRequest(b *testing.B) {
	start := func(guard *clientguard.Guard, read func(r *http.Request) ([]byte, error)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		server := &http.Server{ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := read(r)
			if err != nil {
				panic(err)
			}
			_, _ = w.Write(body[:16])
		})}
		url := "http://" + l.Addr().String()
		if guard != nil {
			guard.Configure(server)
			l = guard.Listen(l)
		}
		go func() { _ = server.Serve(l) }()
		b.Cleanup(func() { _ = server.Close() })
		return url
	}
	guard := clientguard.New(clientguard.Config{
		Listener: "bench", MaxConnections: 100, Budget: bytebudget.New(32 << 20),
		Log: &log.Logger{Level: log.PanicLevel}, Registry: metrics.NewRegistry(),
	})
	urls := []string{
		start(nil, func(r *http.Request) ([]byte, error) { return io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody)) }),
		start(guard, func(r *http.Request) ([]byte, error) { return clientguard.ReadBody(r, maxBody, time.Time{}) }),
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	b.Cleanup(client.CloseIdleConnections)
	body := strings.Repeat("x", 1024)
	times, allocations := [2][]time.Duration{}, [2]uint64{}
	var before, after runtime.MemStats
	for n := 0; b.Loop(); n++ {
		for i := range urls {
			which := (n + i) % 2
			sample := n%100 == 0
			if sample {
				runtime.ReadMemStats(&before)
			}
			begin := time.Now()
			resp, err := client.Post(urls[which], "text/plain", strings.NewReader(body))
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if sample {
				runtime.ReadMemStats(&after)
				allocations[which] += after.Mallocs - before.Mallocs
				continue
			}
			times[which] = append(times[which], time.Since(begin))
		}
	}
	for i, name := range []string{"plain", "guarded"} {
		if len(times[i]) == 0 {
			continue
		}
		slices.Sort(times[i])
		b.ReportMetric(float64(times[i][len(times[i])/2].Nanoseconds()), name+"-p50-ns")
		b.ReportMetric(float64(allocations[i])/float64((b.N+99)/100), name+"-allocs")
	}
}
