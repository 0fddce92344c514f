package telemetry

import (
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// ErrEncode means that the metrics couldn't be encoded or written.
var ErrEncode = errors.New("encode metrics")

const (
	metricPrefix = "cyclamenhoist_"
	// counterSuffix marks gauges that never decrease and are exported as counters.
	counterSuffix = "_total"
)

var invalidInName = regexp.MustCompile(`[^a-zA-Z0-9_]`)

var exportedQuantiles = []float64{0.5, 0.95, 0.99}

// Handler serves a registry in the Prometheus text format.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		// The status has been sent, so a write error can't be reported; the client
		// sees the broken connection.
		_ = WriteMetrics(w, registry)
	})
}

// WriteMetrics writes a registry in the Prometheus text format, sorted by name.
func WriteMetrics(out io.Writer, registry metrics.Registry) error {
	families := map[string]*dto.MetricFamily{}
	registry.Each(func(name string, metric any) {
		full := metricPrefix + invalidInName.ReplaceAllString(name, "_")
		if family := toFamily(full, metric); family != nil {
			families[full] = family
		}
	})
	for _, name := range slices.Sorted(maps.Keys(families)) {
		if _, err := expfmt.MetricFamilyToText(out, families[name]); err != nil {
			return errors.Join(ErrEncode, err)
		}
	}
	return nil
}

func toFamily(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return counter(name, float64(m.Count()))
	case metrics.Gauge:
		if strings.HasSuffix(name, counterSuffix) {
			return counter(name, float64(m.Value()))
		}
		return gauge(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return gauge(name, m.Value())
	case metrics.Meter:
		return counter(name, float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(exportedQuantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(exportedQuantiles))
	default:
		return nil
	}
}

func counter(name string, value float64) *dto.MetricFamily {
	return family(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(value)}})
}

func gauge(name string, value float64) *dto.MetricFamily {
	return family(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(value)}})
}

func summary(name string, count int64, sum float64, values []float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: proto.Uint64(uint64(count)), SampleSum: proto.Float64(sum)}
	for i, q := range exportedQuantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i])})
	}
	return family(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}

func family(name string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Type: kind.Enum(), Metric: []*dto.Metric{metric}}
}
