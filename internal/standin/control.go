package standin

import (
	"io"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// control returns the handler of the control endpoint, with which faults are
// injected and counters are read:
//
//	GET  /faults                   returns the faults in force
//	PUT  /faults                   replaces the faults (JSON, comments allowed)
//	GET  /counters                 returns the counters of all stand-ins
//	GET  /servers                  lists the backend servers
//	POST /servers/{id}/restart     starts a new incarnation of an engine
//	POST /servers/{id}/leave       marks a server as leaving
//	POST /servers/{id}/kill        stops a server without draining it
//	POST /servers/{id}/revive      restarts a killed server
func (p *Platform) control() http.Handler {
	r := chi.NewRouter()
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Faults()) })
	r.Put("/faults", p.servePutFaults)
	r.Get("/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counters()) })
	r.Get("/servers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Servers) })
	actions := map[string]func(port.ServerID) error{
		"restart": p.RestartEngine, "leave": p.Leave, "kill": p.Kill, "revive": p.Revive,
	}
	r.Post("/servers/{id}/{action}", func(w http.ResponseWriter, r *http.Request) {
		act, ok := actions[pathParam(r, "action")]
		if !ok {
			writeError(w, http.StatusNotFound, "no such action")
			return
		}
		if err := act(port.ServerID(pathParam(r, "id"))); err != nil {
			writeError(w, http.StatusNotFound, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return r
}

func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "body")
		return
	}
	var faults Faults
	if err := jsonc.Decode(body, &faults); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.SetFaults(func(f *Faults) {
		if faults.Servers == nil {
			faults.Servers = make(map[port.ServerID]ServerFaults)
		}
		*f = faults
	})
	writeJSON(w, http.StatusOK, p.Faults())
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// pathParam returns the unescaped value of a path parameter.
func pathParam(r *http.Request, name string) string {
	value := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return value
	}
	unescaped, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return unescaped
}
