package app

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// unconfigured is the class of all requests until a configuration has been
// accepted. Its requests aren't repeated and wait for at most one second.
var unconfigured = &targets.Class{
	Name: "unconfigured", StartWithin: jsonc.Duration(time.Second), MaxWait: jsonc.Duration(time.Second),
}

var (
	// ErrNoTargets means that no configuration has been accepted yet.
	ErrNoTargets = errors.New("no configuration has been accepted yet")
	// ErrNoCatalogue means that the weight store hasn't been read yet.
	ErrNoCatalogue = errors.New("the weight store's catalogue hasn't been read yet")
)

// missingConfiguration returns ErrNoTargets or ErrNoCatalogue if the instance can't
// serve requests yet, and nil if it can.
func missingConfiguration(v *configuration.View) error {
	switch {
	case v.Targets == nil:
		return ErrNoTargets
	case v.CatalogueAt.IsZero():
		return ErrNoCatalogue
	default:
		return nil
	}
}

// view is the immutable snapshot of the configuration that one request uses.
type view struct{ *configuration.View }

// Classify implements gateway.View.
func (v view) Classify(q gateway.ClassQuery) *targets.Class {
	if v.Targets == nil {
		return unconfigured
	}
	return v.Targets.Classify(targets.Request{
		Model: q.Model, Path: q.Path, Caller: q.Caller, Header: q.Header,
	})
}

// Class implements gateway.View.
func (v view) Class(name string) (*targets.Class, bool) {
	if v.Targets == nil {
		return nil, false
	}
	return v.Targets.Class(name)
}

// Models implements gateway.View.
func (v view) Models() []port.ModelInfo { return v.View.Models }

// Service implements gateway.View.
func (v view) Service(path string) (targets.Service, bool) {
	if v.Targets == nil {
		return targets.Service{}, false
	}
	s, ok := v.Targets.PlainService(path)
	if !ok {
		return targets.Service{}, false
	}
	return *s, true
}
