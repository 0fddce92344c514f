package demo

import (
	"context"
	_ "embed" // the targets
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/internal/app"
	"github.com/cyclamenhoist/cyclamenhoist/internal/operator"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

//go:embed targets.jsonc
var targetsDocument []byte

var (
	// ErrStart means that the demonstration couldn't be started.
	ErrStart = errors.New("start demonstration")
	// ErrNotReady means that the instances didn't become ready in time.
	ErrNotReady = errors.New("instances not ready in time")
)

const (
	instancesPerZone  = 2
	readyPollInterval = 20 * time.Millisecond
	// drainDelay is zero to shorten the shutdown, because no load balancer checks
	// the instances' readiness.
	drainDelay = 0
)

// Cluster is a platform of stand-ins and the entry instances on it.
type Cluster struct {
	Platform  *standin.Platform
	Instances []*app.Instance
	kill      context.CancelFunc
	stop      context.CancelFunc
	group     *errgroup.Group
}

// Start starts a cluster with two instances in each zone of the platform, and
// returns once all of them apply the published targets and every zone has a lease
// holder. The error is ErrStart, or ErrNotReady if ctx ends first. The cluster runs
// until kill is canceled, or until Stop or Close is called.
func Start(ctx, kill context.Context, platform standin.Settings, logOutput io.Writer) (*Cluster, error) {
	p, err := standin.Start(platform)
	if err != nil {
		return nil, errors.Join(ErrStart, err)
	}
	kill, cancelKill := context.WithCancel(kill)
	stop, cancelStop := context.WithCancel(kill)
	c := &Cluster{Platform: p, kill: cancelKill, stop: cancelStop, group: &errgroup.Group{}}
	for _, zone := range platform.Zones {
		for range instancesPerZone {
			instance, err := app.New(instanceSettings(p, zone.Name), app.Options{LogOutput: logOutput})
			if err != nil {
				c.Close()
				return nil, errors.Join(ErrStart, err)
			}
			c.Instances = append(c.Instances, instance)
			c.group.Go(func() error { return instance.Run(kill, stop) })
		}
	}
	if err := c.configure(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Stop stops the instances gracefully, then the platform.
func (c *Cluster) Stop() error {
	c.stop()
	err := c.group.Wait()
	c.Platform.Close()
	return err
}

// Close stops the instances and the platform without draining.
func (c *Cluster) Close() {
	c.kill()
	_ = c.group.Wait()
	c.Platform.Close()
}

func instanceSettings(p *standin.Platform, zone port.Zone) *settings.Settings {
	s := settings.Defaults()
	s.Instance.Zone = zone
	s.Callers.Address, s.Operators.Address, s.Peers.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.LogURL, s.Platform.StoreURL, s.Platform.LiveURL = p.LogURL, p.StoreURL, p.LiveURL
	s.Shutdown.Delay = jsonc.Duration(drainDelay)
	s.Deciding.Heartbeat = jsonc.Duration(100 * time.Millisecond)
	s.Deciding.HolderTimeout = jsonc.Duration(2 * time.Second)
	s.Deciding.ReportInterval = jsonc.Duration(100 * time.Millisecond)
	return &s
}

// configure publishes the targets and waits until all instances are ready.
func (c *Cluster) configure(ctx context.Context) error {
	first := c.operator(c.Instances[0])
	id := uuid.New()
	err := poll(ctx, func() (bool, error) {
		_, err := first.Publish(ctx, id, 0, "demo", targetsDocument)
		var failed *operator.FailedError
		if errors.As(err, &failed) && failed.Status != http.StatusServiceUnavailable && failed.Status != http.StatusGatewayTimeout {
			return false, errors.Join(ErrStart, err)
		}
		return err == nil, nil
	})
	if err != nil {
		return err
	}
	for _, i := range c.Instances {
		if err := poll(ctx, func() (bool, error) { return c.ready(ctx, i), nil }); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) ready(ctx context.Context, i *app.Instance) bool {
	status, err := c.operator(i).Status(ctx)
	return err == nil && status.TargetsVersion > 0 && status.Models > 0 && status.Deciding.Holder != "" &&
		(status.Deciding.Ready || !status.Deciding.IsHolder)
}

func poll(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ErrNotReady, context.Cause(ctx))
		case <-time.After(readyPollInterval):
		}
	}
}

func (c *Cluster) operator(i *app.Instance) *operator.Client {
	return operator.NewClient("http://"+i.OperatorsAddress(), http.DefaultClient)
}
