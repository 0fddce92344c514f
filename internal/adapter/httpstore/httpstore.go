// Package httpstore reads the catalog of the weight store over HTTP:
// GET /v1/catalog returns a JSON array of port.ModelInfo.
package httpstore

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Limits of one call. The catalog can have 12,000 adapters at about 150 bytes each.
const (
	maxCatalogBytes = 16 << 20
	catalogTimeout  = 10 * time.Second
)

// ErrBadCatalog means that the catalog lists a model twice, without an ID or with a
// negative size.
var ErrBadCatalog = errors.New("invalid catalog")

// Store is a port.WeightStore over HTTP.
type Store struct {
	base   string
	client *http.Client
}

var _ port.WeightStore = (*Store)(nil)

// New returns the weight store at baseURL. If c is nil, it uses a client of its own.
func New(baseURL string, c *http.Client) *Store {
	if c == nil {
		c = httpcall.NewClient()
	}
	return &Store{base: strings.TrimRight(baseURL, "/"), client: c}
}

// Catalog implements port.WeightStore.
func (s *Store) Catalog(ctx context.Context) ([]port.ModelInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	var models []port.ModelInfo
	err := httpcall.JSON(ctx, s.client, http.MethodGet, s.base+"/v1/catalog", nil, &models, maxCatalogBytes)
	if err != nil {
		return nil, errors.Wrap(err, "catalog")
	}
	if err := validate(models); err != nil {
		return nil, errors.Wrap(err, "catalog")
	}
	return models, nil
}

func validate(models []port.ModelInfo) error {
	seen := make(map[port.ModelID]bool, len(models))
	for _, m := range models {
		if m.ID == "" || m.Bytes < 0 || seen[m.ID] {
			return fmt.Errorf("%w: %w: model %q", port.ErrUnknownOutcome, ErrBadCatalog, m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}
