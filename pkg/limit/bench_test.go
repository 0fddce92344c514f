package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures one arrival and one turn while a number of items waits,
// all in one flow or spread over a hundred.
func BenchmarkQueue(b *testing.B) {
	for _, flows := range []int{1, 100} {
		for _, waiting := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("flows=%d/waiting=%d", flows, waiting), func(b *testing.B) {
				q := NewQueue(QueueConfig{Items: waiting + 1})
				add := func(i int) {
					q.Offer(start, &Item{Class: "c", Caller: fmt.Sprint(i % flows), Deadline: start.Add(time.Hour)})
				}
				for i := range waiting {
					add(i)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					add(i)
					q.Next(start)
				}
			})
		}
	}
}

// BenchmarkGateUncontended measures the way of a request that needn't wait.
func BenchmarkGateUncontended(b *testing.B) {
	g := NewGate(1<<20, QueueConfig{})
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		it := &Item{Deadline: now.Add(time.Hour)}
		for pb.Next() {
			if g.Enter(b.Context(), now, it) == nil {
				g.Leave(now)
			}
		}
	})
}
