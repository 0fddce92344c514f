package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

var sizes = []struct{ servers, replicas int }{{13, 130}, {130, 1300}, {1300, 12000}}

func fill(servers, replicas int) (*ledger.Ledger, []*port.Report) {
	l := ledger.New(0.6)
	reports := make([]*port.Report, servers)
	for i := range reports {
		reports[i] = &port.Report{
			Server: port.ServerID(fmt.Sprintf("server-%05d", i)), Incarnation: "i1", Sequence: 1,
			MemoryBytes: 80 << 30, OlderBytes: 20 << 30,
		}
		l.Observe(reports[i], true)
	}
	for i := range replicas {
		r := reports[i%servers]
		in := ledger.Intent{
			ID: fmt.Sprintf("intent-%032d", i), Kind: port.OrderLoad, Model: port.ModelID(fmt.Sprintf("adapter-%06d", i)),
			Server: r.Server, Bytes: 1 << 30, Incarnation: "i1",
		}
		l.Open(in)
		l.Close(in.ID, recordpb.Outcome_RESULT_LOADED)
		r.Replicas = append(r.Replicas, port.Replica{Model: in.Model, State: port.ReplicaReady, Bytes: in.Bytes, OrderID: in.ID})
	}
	return l, reports
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d/replicas=%d", size.servers, size.replicas), func(b *testing.B) {
			var l *ledger.Ledger
			before := heap()
			for b.Loop() {
				l, _ = fill(size.servers, size.replicas)
			}
			b.ReportMetric(float64(heap()-before)/float64(size.replicas), "bytes/replica")
			runtime.KeepAlive(l)
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d/replicas=%d", size.servers, size.replicas), func(b *testing.B) {
			l, reports := fill(size.servers, size.replicas)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := reports[i%len(reports)]
				r.Sequence++
				l.Observe(r, true)
				i++
			}
		})
	}
}

func BenchmarkCanLoad(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d/replicas=%d", size.servers, size.replicas), func(b *testing.B) {
			l, reports := fill(size.servers, size.replicas)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				_ = l.CanLoad(reports[i%len(reports)].Server, "other", 1<<30)
				i++
			}
		})
	}
}
