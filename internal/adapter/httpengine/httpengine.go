// Package httpengine sends orders to model engines over HTTP, using the model
// repository extension of the Open Inference Protocol:
//
//	POST /v2/repository/models/{model}/load    {"parameters":{...}}
//	POST /v2/repository/models/{model}/unload  {"parameters":{...}}
//
// An engine answers 200 once the order has taken full effect. There are two further
// calls: POST /v2/fence {"fence":N} raises the fencing token, and GET /v2/report
// returns a port.Report.
package httpengine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Limits of one call. A load can take long, so Apply is bounded only by its context.
const (
	maxReportBytes = 4 << 20
	maxOrderBytes  = 64 << 10
	reportTimeout  = 3 * time.Second
	fenceTimeout   = 3 * time.Second
	// maxServerBytes bounds the memory of a server and of all its replicas, so
	// that sums over servers don't overflow.
	maxServerBytes = int64(1) << 50
)

// Engine is a port.Engine over HTTP.
type Engine struct {
	client *http.Client
}

var _ port.Engine = (*Engine)(nil)

// New returns an engine adapter. If c is nil, it uses a client of its own.
func New(c *http.Client) *Engine {
	if c == nil {
		c = httpcall.NewClient()
	}
	return &Engine{client: c}
}

// Parameters are the parameters of a load or unload order. Bytes is the memory of the
// replica in bytes.
type Parameters struct {
	OrderID     string       `json:"order_id"`
	Fence       port.Epoch   `json:"fence"`
	Bytes       int64        `json:"bytes"`
	Incarnation string       `json:"incarnation,omitempty"`
	Base        port.ModelID `json:"base,omitempty"`
}

// OrderRequest is the body of a load or an unload.
type OrderRequest struct {
	Parameters Parameters `json:"parameters"`
}

// FenceRequest is the body of a call that raises the fencing token.
type FenceRequest struct {
	Fence port.Epoch `json:"fence"`
}

// Apply implements port.Engine.
func (e *Engine) Apply(ctx context.Context, s port.Server, o port.Order) error {
	if o.Kind != port.OrderLoad && o.Kind != port.OrderUnload {
		return fmt.Errorf("apply: %w: order kind %q", port.ErrNotSent, o.Kind)
	}
	path := "/v2/repository/models/" + url.PathEscape(string(o.Model)) + "/" + string(o.Kind)
	body := OrderRequest{Parameters: Parameters{
		OrderID: o.ID, Fence: o.Fence, Bytes: o.Bytes, Incarnation: o.Incarnation, Base: o.Base,
	}}
	err := httpcall.JSON(ctx, e.client, http.MethodPost, "http://"+s.Address+path, body, nil, maxOrderBytes)
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	return nil
}

// RaiseFence implements port.Engine.
func (e *Engine) RaiseFence(ctx context.Context, s port.Server, fence port.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	err := httpcall.JSON(ctx, e.client, http.MethodPost, "http://"+s.Address+"/v2/fence",
		FenceRequest{Fence: fence}, nil, maxOrderBytes)
	if err != nil {
		return errors.Wrap(err, "raise fence")
	}
	return nil
}

// Report implements port.Engine.
func (e *Engine) Report(ctx context.Context, s port.Server) (port.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report port.Report
	err := httpcall.JSON(ctx, e.client, http.MethodGet, "http://"+s.Address+"/v2/report", nil, &report, maxReportBytes)
	if err != nil {
		return port.Report{}, errors.Wrap(err, "report")
	}
	if err := validateReport(report, s.ID); err != nil {
		return port.Report{}, errors.Wrap(err, "report")
	}
	return report, nil
}

// ErrBadReport means that a report is inconsistent or is from another server.
var ErrBadReport = errors.New("invalid server report")

func validateReport(r port.Report, want port.ServerID) error {
	bad := func(what string) error {
		return fmt.Errorf("%w: %w: %s", port.ErrUnknownOutcome, ErrBadReport, what)
	}
	if r.Server != want {
		return bad("of server " + string(r.Server))
	}
	if r.Incarnation == "" {
		return bad("no incarnation")
	}
	for _, bytes := range []int64{r.MemoryBytes, r.OlderBytes} {
		if bytes < 0 || bytes > maxServerBytes {
			return bad("memory")
		}
	}
	if r.InFlight < 0 || r.Queued < 0 {
		return bad("a negative count")
	}
	last := uint64(0)
	for _, e := range r.CacheEvents {
		if e.Sequence <= last || e.AgeMS < 0 {
			return bad("cache event " + strconv.FormatUint(e.Sequence, 10))
		}
		last = e.Sequence
	}
	remainingBytes := maxServerBytes
	seen := make(map[port.ModelID]bool, len(r.Replicas))
	for _, replica := range r.Replicas {
		if replica.Model == "" || replica.Bytes < 0 || replica.Bytes > remainingBytes || seen[replica.Model] {
			return bad("replica " + string(replica.Model))
		}
		remainingBytes -= replica.Bytes
		seen[replica.Model] = true
		switch replica.State {
		case port.ReplicaLoading, port.ReplicaReady, port.ReplicaUnloading:
		default:
			return bad("replica state " + string(replica.State))
		}
	}
	return nil
}
