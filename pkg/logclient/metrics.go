package logclient

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values that a histogram samples.
const sampleSize = 1028

// clientMetrics holds the metrics of a client. None of them needs a goroutine.
type clientMetrics struct {
	records, readFailures, joins, rebases  metrics.Counter
	peerStates, badPeerStates              metrics.Counter
	refused, unknown, repeated             metrics.Counter
	snapshots, snapshotFailures            metrics.Counter
	appendMicroseconds, appendBatchRecords metrics.Histogram
}

func newClientMetrics(r metrics.Registry) *clientMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampleSize))
	}
	return &clientMetrics{
		records:            counter("log.records"),
		readFailures:       counter("log.read.failures"),
		joins:              counter("log.joins"),
		rebases:            counter("log.rebases"),
		peerStates:         counter("log.peer_states"),
		badPeerStates:      counter("log.peer_states.malformed"),
		refused:            counter("log.append.refused"),
		unknown:            counter("log.append.unknown"),
		repeated:           counter("log.append.repeated"),
		snapshots:          counter("log.snapshots"),
		snapshotFailures:   counter("log.snapshots.failures"),
		appendMicroseconds: histogram("log.append.us"),
		appendBatchRecords: histogram("log.append.batch_records"),
	}
}

// registerGauges registers the gauges that are computed when they are read.
func (m *clientMetrics) registerGauges(r metrics.Registry, c *Client) {
	gauge := func(name string, value func() int64) {
		r.GetOrRegister(name, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
	}
	gauge("log.condition", func() int64 { return int64(c.Staleness().Condition) })
	gauge("log.age_ms", func() int64 { return c.Staleness().Age.Milliseconds() })
	gauge("log.behind_records", func() int64 { return c.Staleness().Behind })
	gauge("log.outages", func() int64 {
		n, _ := c.health.outages(time.Now())
		return n
	})
	gauge("log.outage_ms", func() int64 {
		_, total := c.health.outages(time.Now())
		return total.Milliseconds()
	})
	gauge("log.pending_appends", func() int64 { return int64(c.tracker.pending()) })
}

func (m *clientMetrics) recordAppend(took time.Duration, records int) {
	m.appendMicroseconds.Update(took.Microseconds())
	m.appendBatchRecords.Update(int64(records))
}
