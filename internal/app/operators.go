package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/operator"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// operatorsAPI serves the operators' HTTP API.
type operatorsAPI struct {
	self     port.Instance
	log      *logclient.Client
	config   *configuration.Controller
	observer *observer.Observer
	decider  *decider.Decider
	gateway  *gateway.Gateway
	waker    *waker
	clock    port.Clock
	registry metrics.Registry
}

const (
	maxTargetsBytes = 1 << 20
	// publishTimeout bounds the time until a published document is read back
	// from the log.
	publishTimeout = 20 * time.Second
)

func (o *operatorsAPI) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Handle("/metrics", telemetry.Handler(o.registry))
	r.Get("/status", o.serveStatus)
	r.Get("/explain/*", o.serveExplain)
	r.Get("/targets", o.serveTargets)
	r.Post("/targets", o.servePublish)
	return r
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status has been sent, so a write error can't be reported; the client
	// sees the broken connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (o *operatorsAPI) serveStatus(w http.ResponseWriter, r *http.Request) {
	deciding, err := o.decider.Status(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{Detail: "the instance is stopping"})
		return
	}
	writeJSON(w, http.StatusOK, o.status(deciding))
}

func (o *operatorsAPI) status(deciding decider.Status) operator.Status {
	now := o.clock.Now()
	view, config, staleness := o.observer.View(), o.config.View(), o.log.Staleness()
	endings := o.gateway.Endings()
	s := operator.Status{
		Instance: o.self.ID, Zone: o.self.Zone, Ready: o.gateway.Ready(), Deciding: deciding,
		Log: operator.Source{State: staleness.Condition.String(), AgeSeconds: staleness.Age.Seconds()}, LogBehind: staleness.Behind,
		LiveList:  operator.SourceSince(now, view.ListAt),
		Catalogue: operator.SourceSince(now, config.CatalogueAt),
		Models:    len(config.Models),
		Endings:   operator.Endings(endings),
	}
	if config.Targets != nil {
		s.TargetsVersion = config.Targets.Version
	}
	for _, i := range view.Instances {
		s.Instances = append(s.Instances, operator.Member{
			ID: i.Instance.ID, Zone: i.Instance.Zone, Alive: i.Alive, Leaving: i.Instance.Leaving,
			Targets: o.observer.TargetsVersionAt(i.Instance.ID), SecondsSinceContact: operator.Since(now, i.LastContact),
		})
	}
	for _, v := range o.observer.Servers() {
		s.Servers = append(s.Servers, operator.Server{
			ID: v.Server.ID, Zone: v.Server.Zone, Service: v.Server.Service, Routable: v.Routable,
			Leaving: v.Server.Leaving, Replicas: len(v.Report.Replicas), ReportSeconds: operator.Since(now, v.ReportAt),
			MemoryBytes: v.Report.MemoryBytes, OlderBytes: v.Report.OlderBytes,
		})
	}
	return s
}

func (o *operatorsAPI) serveExplain(w http.ResponseWriter, r *http.Request) {
	model := port.ModelID(chi.URLParam(r, "*"))
	info, known := o.config.Model(model)
	if !known {
		writeJSON(w, http.StatusNotFound, operator.Failure{Detail: "the weight store has no model " + strconv.Quote(string(model))})
		return
	}
	explained, err := o.decider.Explain(r.Context(), model)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{Detail: "the instance is stopping"})
		return
	}
	out := operator.Explanation{Model: info, Zone: o.self.Zone, Decisions: o.explainFromHolder(r.Context(), model, explained)}
	for _, v := range o.observer.Servers() {
		for _, replica := range v.Report.Replicas {
			if replica.Model == model {
				out.Replicas = append(out.Replicas, operator.Replica{Server: v.Server.ID, Zone: v.Server.Zone, State: replica.State})
			}
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// explainFromHolder fetches the explanation from the zone's lease holder, which
// has the reasons for its decisions. It returns own if this instance is the holder
// or the holder can't be reached.
func (o *operatorsAPI) explainFromHolder(ctx context.Context, model port.ModelID, own decider.Explanation) decider.Explanation {
	holder, address, known := o.waker.holder(o.self.Zone)
	if own.IsHolder || !known || holder == o.self.ID {
		return own
	}
	reply, err := o.waker.peers.To(address).Explain(ctx, &peerpb.ExplainRequest{Model: string(model)})
	if err != nil {
		return own
	}
	return decodeExplanation(reply)
}

func (o *operatorsAPI) serveTargets(w http.ResponseWriter, _ *http.Request) {
	state := o.log.State()
	if state == nil {
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{Detail: "the log has not been read yet"})
		return
	}
	version, document := state.Targets()
	writeJSON(w, http.StatusOK, operator.Targets{
		Version: version, Publisher: state.Publisher(), Document: string(document), InForce: o.inForce(),
	})
}

func (o *operatorsAPI) inForce() port.Offset {
	if t := o.config.Targets(); t != nil {
		return t.Version
	}
	return 0
}

// servePublish appends a targets document to the log and answers once it is
// accepted or rejected, or after publishTimeout. Publishing again with the same
// id, base and document is idempotent.
func (o *operatorsAPI) servePublish(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil || base < 0 {
		writeJSON(w, http.StatusBadRequest, operator.Failure{Detail: "base must be the version that the document is based on"})
		return
	}
	id, err := uuid.Parse(r.URL.Query().Get("id"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, operator.Failure{Detail: "id must be a UUID"})
		return
	}
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTargetsBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, operator.Failure{Detail: "the document is larger than 1 MiB, or broke off"})
		return
	}
	if err := targets.Validate(document); err != nil {
		failure := operator.Failure{Detail: "the document isn't valid"}
		var faults jsonc.Faults
		if errors.As(err, &faults) {
			failure.Faults = faults
		}
		writeJSON(w, http.StatusUnprocessableEntity, failure)
		return
	}
	o.publish(w, r, publishID(id, base, document), port.Offset(base), document)
}

// publishID derives the record ID of a publish on the log. The same operator's id
// with another document or base is a different publish.
func publishID(id uuid.UUID, base int64, document []byte) string {
	return uuid.NewSHA1(id, append(strconv.AppendInt(nil, base, 10), document...)).String()
}

func (o *operatorsAPI) publish(w http.ResponseWriter, r *http.Request, id string, base port.Offset, document []byte) {
	state := o.log.State()
	if state != nil {
		if version, accepted := state.AcceptedVersion(id); accepted {
			writeJSON(w, http.StatusOK, operator.Published{Version: version})
			return
		}
	}
	if state == nil || !o.log.Up() {
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{
			Detail: "the log is away; this call published nothing, an earlier one with the same id may have", Unknown: true})
		return
	}
	ctx, cancel := contextWithTimeout(r, publishTimeout)
	defer cancel()
	body := &recordpb.Targets{Base: int64(base), Document: document, Publisher: r.URL.Query().Get("publisher")}
	result, err := o.log.Append(ctx, record.NewWithID(id, o.self.Zone, o.self.ID, body))
	switch {
	case errors.Is(err, logclient.ErrNotAppended):
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{Detail: "the log is away; nothing was published"})
	case err != nil:
		writeJSON(w, http.StatusGatewayTimeout, operator.Failure{
			Detail: "it isn't known whether the document was published; publish it again with the same id", Unknown: true})
	case result.Verdict.Accepted:
		writeJSON(w, http.StatusOK, operator.Published{Version: result.Offset})
	default:
		o.writePublishConflict(w, id, result)
	}
}

// writePublishConflict answers a publish whose record was rejected, usually because
// another publish on the same base was accepted first. A retry of an accepted
// publish is recognised by its id and answered as accepted.
func (o *operatorsAPI) writePublishConflict(w http.ResponseWriter, id string, result logclient.Result) {
	state := o.log.State()
	if version, accepted := state.AcceptedVersion(id); accepted {
		writeJSON(w, http.StatusOK, operator.Published{Version: version})
		return
	}
	version, _ := state.Targets()
	detail := "not accepted: " + string(result.Verdict.Reason)
	if result.Verdict.Reason == fold.ReasonBase {
		detail = "another version was accepted first"
	}
	writeJSON(w, http.StatusConflict, operator.Failure{Detail: detail, Winner: version, WinnerPublisher: state.Publisher()})
}
