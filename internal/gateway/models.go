package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// modelObject is a model as the OpenAI API describes it.
type modelObject struct {
	ID      port.ModelID `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	OwnedBy string       `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func toObject(info port.ModelInfo) modelObject {
	return modelObject{ID: info.ID, Object: "model", OwnedBy: info.Service}
}

// serveModels lists the models that the caller is allowed to use.
func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	caller, err := g.authenticate(r)
	if err != nil {
		g.serveError(w, r, err)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, info := range g.deps.Snapshot().Models() {
		if caller == nil || caller.allowsModel(info.ID) {
			list.Data = append(list.Data, toObject(info))
		}
	}
	g.serveJSON(w, r, list)
}

// serveModel describes one model. Model names can contain slashes.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	caller, err := g.authenticate(r)
	if err != nil {
		g.serveError(w, r, err)
		return
	}
	info, ok := g.deps.Snapshot().Model(port.ModelID(chi.URLParam(r, "*")))
	if !ok || caller != nil && !caller.allowsModel(info.ID) {
		g.serveError(w, r, problem.New(problem.UnknownModel, "GET /v1/models lists the models"))
		return
	}
	g.serveJSON(w, r, toObject(info))
}

// serveJSON answers a request with JSON that the gateway itself generates.
func (g *Gateway) serveJSON(w http.ResponseWriter, r *http.Request, value any) {
	c := g.newCall(w, r, nil)
	defer c.span.End()
	body, err := json.Marshal(value)
	if err != nil {
		g.finishCall(c, problem.New(problem.Internal, "the answer can't be encoded"))
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	// The request counts as answered even if the caller has disconnected.
	_ = g.sendWhole(c, http.StatusOK, body)
	g.finishCall(c, nil)
}

func (g *Gateway) serveError(w http.ResponseWriter, r *http.Request, err error) {
	c := g.newCall(w, r, nil)
	defer c.span.End()
	g.finishCall(c, err)
}
