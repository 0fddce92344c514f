package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
)

func TestWriteMetricsParsesAsPrometheusText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.answered", registry).Inc(3)
	metrics.GetOrRegisterGauge("log.up", registry).Update(1)
	metrics.GetOrRegisterHistogram("wait", registry, metrics.NewUniformSample(10)).Update(7)
	var out bytes.Buffer
	require.NoError(t, telemetry.WriteMetrics(&out, registry))

	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(&out)
	require.NoError(t, err)
	require.Len(t, families, 3)
	require.InDelta(t, 3, families["cyclamenhoist_requests_answered"].Metric[0].Counter.GetValue(), 0)
	require.InDelta(t, 1, families["cyclamenhoist_log_up"].Metric[0].Gauge.GetValue(), 0)
	require.InDelta(t, 7, families["cyclamenhoist_wait"].Metric[0].Summary.GetSampleSum(), 0)
}

func TestLoggerWritesOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger := telemetry.NewLogger(&out, "info")
	logger.Info().Str("model", "crew entry\ndraft").Str("server", "").Int("waiting", 3).Err(nil).Msg("wake")
	logger.Debug().Msg("hidden")
	_, pairs, found := strings.Cut(out.String(), " ")
	require.True(t, found)
	require.Equal(t, "level=info event=wake model=\"crew entry\\ndraft\" server=\"\" waiting=3\n", pairs)
}
