// Package configuration tracks the targets in force and the catalogue of
// models. It publishes both to the request path as one immutable view.
package configuration

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

const (
	catalogueInterval      = 15 * time.Second
	catalogueRetryInterval = time.Second
	catalogueTimeout       = 5 * time.Second
)

// View is an immutable snapshot of the targets and the catalogue.
type View struct {
	// Targets is nil before the first accepted version.
	Targets *targets.Compiled
	// Models is the catalogue, sorted by ID.
	Models []port.ModelInfo
	byID   map[port.ModelID]port.ModelInfo
	// CatalogueAt is when the catalogue was last read; zero if it never was.
	CatalogueAt time.Time
}

// Model returns one entry of the catalogue.
func (v *View) Model(id port.ModelID) (port.ModelInfo, bool) {
	info, known := v.byID[id]
	return info, known
}

// Sink receives changes of the catalogue and of the targets' version.
type Sink interface {
	SetCatalogue(models []port.ModelInfo)
	SetTargetsVersion(v port.Offset)
}

// Deps holds the dependencies of a Controller.
type Deps struct {
	Log     *logclient.Client
	Store   port.WeightStore
	Sink    Sink
	Clock   port.Clock
	Logger  *log.Logger
	Metrics metrics.Registry
}

// Controller keeps the view up to date with the log and the weight store.
type Controller struct {
	deps Deps
	mu   sync.Mutex // serialises updates of view
	view atomic.Pointer[View]
}

// New returns a controller with an empty view.
func New(deps Deps) *Controller {
	c := &Controller{deps: deps}
	c.view.Store(&View{byID: map[port.ModelID]port.ModelInfo{}})
	return c
}

// View returns the current view.
func (c *Controller) View() *View { return c.view.Load() }

// Targets returns the targets in force, or nil before the first accepted
// version.
func (c *Controller) Targets() *targets.Compiled { return c.View().Targets }

// Model returns one entry of the catalogue.
func (c *Controller) Model(id port.ModelID) (port.ModelInfo, bool) { return c.View().Model(id) }

// Models returns the catalogue, sorted by ID. It must not be modified.
func (c *Controller) Models() []port.ModelInfo { return c.View().Models }

// Run tracks the log and the weight store until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followTargets(ctx) })
	group.Go(func() error { return c.followCatalogue(ctx) })
	return group.Wait()
}

func (c *Controller) followTargets(ctx context.Context) error {
	for {
		state, changed := c.deps.Log.Watch()
		if state != nil {
			c.applyTargets(state)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyTargets puts a newer accepted version of the targets in force. An older
// version never replaces a newer one.
func (c *Controller) applyTargets(state *fold.State) {
	version, document := state.Targets()
	if now := c.Targets(); version == 0 || now != nil && version <= now.Version {
		return
	}
	parsed, err := targets.Parse(document)
	if err != nil {
		// The fold accepts only valid documents, so a different release must
		// have written this one.
		c.deps.Logger.Error().Err(err).Int64("version", int64(version)).Msg("targets_unreadable")
		return
	}
	compiled, err := targets.Compile(parsed)
	if err != nil {
		c.deps.Logger.Error().Err(err).Int64("version", int64(version)).Msg("targets_unreadable")
		return
	}
	compiled.Version = version
	c.updateView(func(v *View) { v.Targets = compiled })
	c.deps.Sink.SetTargetsVersion(version)
	metrics.GetOrRegisterGauge("targets.version", c.deps.Metrics).Update(int64(version))
	c.deps.Logger.Info().Int64("version", int64(version)).Str("publisher", state.Publisher()).Msg("targets_in_force")
}

func (c *Controller) updateView(f func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.view.Load()
	f(&next)
	c.view.Store(&next)
}

func (c *Controller) followCatalogue(ctx context.Context) error {
	for {
		wait := catalogueInterval
		if err := c.readCatalogue(ctx); err != nil {
			metrics.GetOrRegisterCounter("catalogue.failed", c.deps.Metrics).Inc(1)
			c.deps.Logger.Debug().Err(err).Msg("catalogue_failed")
			wait = catalogueRetryInterval
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

func (c *Controller) readCatalogue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catalogueTimeout)
	defer cancel()
	models, err := c.deps.Store.Catalog(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(models, func(a, b port.ModelInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	now := c.deps.Clock.Now()
	if slices.Equal(models, c.Models()) {
		c.updateView(func(v *View) { v.CatalogueAt = now })
		return nil
	}
	byID := make(map[port.ModelID]port.ModelInfo, len(models))
	for _, m := range models {
		byID[m.ID] = m
	}
	c.updateView(func(v *View) { v.Models, v.byID, v.CatalogueAt = models, byID, now })
	c.deps.Sink.SetCatalogue(models)
	c.deps.Logger.Info().Int("models", len(models)).Msg("catalogue_read")
	return nil
}
