package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
)

// Retries for which no server was found, or that reached none, used the retry budget up.
func TestRetryThatReachesNoServerIsGivenBack(t *testing.T) {
	now := time.Now()
	route := routing.NewRouter(routing.Config{Zone: "a"}, now)
	builder := route.NewBuilder()
	builder.SetCatalogue([]port.ModelInfo{{ID: "tide-summary", Service: "llm"}})
	builder.Update(membership.ServerView{
		Server:   port.Server{ID: "s1", Zone: "a", Service: "llm", Kind: port.KindEngine},
		Routable: true, Reported: true, ReportAt: now,
		Report: port.Report{Incarnation: "1", Sequence: 1, Replicas: []port.Replica{{Model: "tide-summary", State: port.ReplicaReady}}},
	})
	route.Publish(builder.Snapshot(now))
	r := &router{
		routing: route, config: configuration.New(configuration.Deps{}), uses: &observer.Uses{},
		onModelAbsent: func(port.Server) {}, start: now,
	}
	query := gateway.PickQuery{Service: "llm", Model: "tide-summary", Retry: true}
	left := func() float64 { return r.budget("llm").Left(0) }
	full := left()

	none := query
	none.Exclude = []port.ServerID{"s1"}
	_, err := r.Pick(now, none)
	require.ErrorIs(t, err, gateway.ErrNoReplica)
	require.Equal(t, full, left(), "no server")

	for kind, charged := range map[gateway.OutcomeKind]float64{
		gateway.OutcomeNotSent: 0, gateway.OutcomeUnused: 0,
		gateway.OutcomeRefused: 1, gateway.OutcomeReset: 1, gateway.OutcomeAnswered: 1, gateway.OutcomeCanceled: 1,
	} {
		before := left()
		attempt, err := r.Pick(now, query)
		require.NoError(t, err)
		require.Equal(t, before-1, left())
		attempt.Done(now, gateway.Outcome{Kind: kind})
		require.Equal(t, before-charged, left(), "outcome %d", kind)
	}
}
