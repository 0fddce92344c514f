package fleetapp

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

type noStandings struct{}

func (noStandings) TellAll(edge.Standing)      {}
func (noStandings) Tell(string, edge.Standing) {}
func (noStandings) OnTold(func(edge.Standing)) {}

// Servers in doubt are asked at the health path of their service, many at once, and one that leaves isn't found running.
func TestServersInDoubtAreAsked(t *testing.T) {
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(standin.HeaderInstance, r.Header.Get(standin.HeaderExpect))
		w.Header().Set(standin.HeaderLeaving, "1")
	}))
	defer leaving.Close()
	healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "/healthz", r.URL.Path)
		w.Header().Set(standin.HeaderInstance, r.Header.Get(standin.HeaderExpect))
	}))
	defer healthy.Close()
	logger := &log.Logger{Level: log.PanicLevel}
	views := edge.NewViews()
	checker := newDoubtChecker(logger, views, edge.NewStandingRecorder(views, noStandings{}, logger))
	ask := func(address string) <-chan bool {
		result := make(chan bool, 1)
		checker.check(&fleet.Server{ID: "s", Service: "plain", Address: address}, func(running bool) { result <- running })
		return result
	}
	assert.False(t, <-ask(healthy.Listener.Addr().String()), "no manifest names the path")
	views.SetManifest(fleet.NewManifest(1, nil, []fleet.Service{{Name: "plain", HealthPath: "/healthz"}}, fleet.CallerLimits{}))
	assert.False(t, <-ask(leaving.Listener.Addr().String()))
	results := make([]<-chan bool, 4*maxHealthChecks)
	for i := range results {
		results[i] = ask(healthy.Listener.Addr().String())
	}
	for _, result := range results {
		assert.True(t, <-result)
	}
}
