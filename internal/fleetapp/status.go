package fleetapp

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
)

// StatusPath is the path of the instance's status on the metrics listener.
const StatusPath = "/status"

// Status is the status of an instance, with what it has received about the
// deployment.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	// ManifestVersion is 0 if no manifest is in force.
	ManifestVersion int64 `json:"manifest_version"`
	Routes          int   `json:"routes"`
	// Holder is the last known holder of the placement lease, and Epoch its
	// fencing token. Placing means that this instance is the holder.
	Holder  string `json:"holder"`
	Epoch   int64  `json:"epoch"`
	Placing bool   `json:"placing"`
	// Instances is the number of instances that report to the holder, or 0 if
	// unknown.
	Instances int `json:"instances"`
	// InFlight is the number of client requests in progress.
	InFlight int64           `json:"in_flight"`
	Store    []SourceStatus  `json:"store"`
	Services []ServiceStatus `json:"services"`
}

// SourceStatus is the status of one source of data in the store.
type SourceStatus struct {
	Source string `json:"source"`
	// LostSeconds is the time for which reads have failed, or 0 if they
	// succeed.
	LostSeconds float64 `json:"lost_seconds"`
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	Service string `json:"service"`
	// Servers is the number of servers that accept requests. Models is the
	// number of distinct models on them.
	Servers int `json:"servers"`
	Models  int `json:"models"`
	// WaitForSlot is the number of requests on this instance that wait for a
	// slot.
	WaitForSlot int64 `json:"wait_for_slot"`
}

// status returns the instance's status. stopping is true once the instance has
// been signaled to stop.
func (i *Instance) status(stopping bool) Status {
	view := i.views.Load()
	holder, epoch, placing := i.placer.Holder()
	s := Status{
		Instance: i.settings.Instance.Name, Zone: i.settings.Instance.Zone,
		Ready: !stopping && i.views.Known(), Draining: stopping,
		Holder: holder, Epoch: epoch, Placing: placing, Instances: i.views.Instances(), InFlight: i.edge.InFlight(),
	}
	if view.Manifest != nil {
		s.ManifestVersion, s.Routes = view.Manifest.Version, view.Manifest.Routes()
	}
	now := time.Now()
	for _, d := range []*dependency{i.manifests, i.serverList} {
		s.Store = append(s.Store, SourceStatus{Source: d.name, LostSeconds: d.lostFor(now).Seconds()})
	}
	for name, counts := range view.Services() {
		s.Services = append(s.Services, ServiceStatus{
			Service: name, Servers: counts.Servers, Models: counts.Models, WaitForSlot: i.edge.WaitingForSlot(name),
		})
	}
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// ErrStatus means that the status of an instance could not be fetched.
var ErrStatus = errors.New("instance status not available")

// FetchStatus fetches the status of the instance whose metrics listener has the
// given URL.
func FetchStatus(ctx context.Context, client *http.Client, url string) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+StatusPath, nil)
	if err != nil {
		return nil, errors.Join(ErrStatus, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Join(ErrStatus, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrStatus, "status %d from %s", response.StatusCode, url)
	}
	var s Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return nil, errors.Join(ErrStatus, err)
	}
	return &s, nil
}

// diagnosticsHandler serves the metrics and the status.
func (i *Instance) diagnosticsHandler(stopping func() bool) http.Handler {
	router := chi.NewRouter()
	router.Get(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(i.status(stopping()))
	})
	router.Handle("/*", telemetry.Handler(i.registry))
	return router
}
