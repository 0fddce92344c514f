package fleetapp

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// healthCheckTimeout limits a check, including the wait for others. maxHealthChecks limits those that are
	// made at once, since all servers can come into doubt together after an outage of the store.
	healthCheckTimeout = time.Second
	maxHealthChecks    = 16
	// checkGracePerInstance and maxCheckGrace bound how long an instance leaves a check to the instance that tells
	// the others, so that hundreds of them don't check all servers at the same moment.
	checkGracePerInstance = 3 * time.Millisecond
	maxCheckGrace         = time.Second
)

// doubtChecker finds out whether servers that are listed again after a removal are running and don't leave.
type doubtChecker struct {
	log     *log.Logger
	views   *edge.Views
	control *platform.Control
	slots   chan struct{}
}

func newDoubtChecker(logger *log.Logger, views *edge.Views, recorder *edge.StandingRecorder) *doubtChecker {
	control := platform.NewControl(func(server *fleet.Server, notice platform.Notice) {
		recorder.Record(server, notice, edge.AnswerOrigin{})
	})
	return &doubtChecker{log: logger, views: views, control: control, slots: make(chan struct{}, maxHealthChecks)}
}

// check calls result with whether a server says that it is healthy. It doesn't wait for that.
func (c *doubtChecker) check(server *fleet.Server, result func(running bool)) {
	go func() {
		err := c.checkHealth(server)
		if err != nil {
			c.log.Info().Str("server", string(server.ID)).Err(err).Msg("registration_unconfirmed")
		}
		result(err == nil)
	}()
}

// grace returns how long to leave a check to another instance.
func (c *doubtChecker) grace() time.Duration {
	return rand.N(min(time.Duration(c.views.Instances())*checkGracePerInstance, maxCheckGrace) + 1)
}

func (c *doubtChecker) checkHealth(server *fleet.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	var path string
	if view := c.views.Load(); view.Manifest != nil {
		path = view.Manifest.Services[server.Service].HealthPath
	}
	return c.control.CheckHealth(ctx, server, path)
}

// logDoubt logs what was found out about a server in doubt.
func (c *doubtChecker) logDoubt(doubt fleet.Doubt, event storemirror.DoubtEvent, age time.Duration) {
	entry := c.log.Info().Str("server", string(doubt.Server.ID)).Str("service", doubt.Server.Service).Int64("sequence", doubt.Server.Sequence)
	if event == storemirror.DoubtBegan {
		entry.Msg("registration_doubted")
		return
	}
	entry.Str("by", string(event)).Dur("after", age).Msg("registration_confirmed")
}
