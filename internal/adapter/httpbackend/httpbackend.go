// Package httpbackend forwards callers' requests to backend servers over HTTP,
// each at most once.
package httpbackend

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Backend is a port.Backend over HTTP.
type Backend struct {
	client *http.Client
}

var _ port.Backend = (*Backend)(nil)

// New returns a backend adapter. If c is nil, the adapter uses a client of its own.
// With a client that wasn't made by httpcall.NewClient, a request that fails after
// it got a connection always has an unknown outcome.
func New(c *http.Client) *Backend {
	if c == nil {
		c = httpcall.NewClient()
	}
	return &Backend{client: c}
}

// Do implements port.Backend. It sends r's method, path, query, headers and body
// to the server and follows no redirect. It sends r's Host header if set.
func (b *Backend) Do(ctx context.Context, s port.Server, r *http.Request) (*http.Response, error) {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.Address
	resp, err := httpcall.Send(b.client, out)
	if err != nil {
		return nil, errors.Wrap(err, "backend")
	}
	return resp, nil
}
