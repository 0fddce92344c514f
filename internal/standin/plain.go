package standin

import (
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// plainService is one server of the plain service. It accepts every request, counts
// it as executed and echoes it in the answer.
type plainService struct {
	server   port.Server
	faults   *faultSet
	counters *counterSet
	leaving  atomic.Bool
}

// PlainReply is the answer of a plain service: a copy of the request it executed.
type PlainReply struct {
	Server port.ServerID `json:"server"`
	// Run counts the executions with the request's Idempotency-Key, starting at 1.
	// Without a key it counts all executions.
	Run    int         `json:"run"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

func (p *plainService) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(injectFaults(p.faults.callFaultsOf(p.server.ID)))
	r.Get("/v2/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, port.Report{
			Server: p.server.ID, Incarnation: string(p.server.ID), Sequence: 1,
			Replicas: []port.Replica{}, Leaving: p.leaving.Load(),
		})
	})
	r.HandleFunc("/*", p.serve)
	return r
}

func (p *plainService) serve(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "body")
		return
	}
	run := p.counters.recordPlainRun(r.Header.Get("Idempotency-Key"))
	writeJSON(w, http.StatusOK, PlainReply{
		Server: p.server.ID, Run: run, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Header: r.Header, Body: string(body),
	})
}
