package failuretest

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/operator"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// verdict is the settled end of one publish.
type verdict struct {
	version, winner port.Offset
}

// settled publishes with one id until the answer is final.
func (c *cluster) settled(n *node, id uuid.UUID, base port.Offset, publisher string, document []byte) verdict {
	var end verdict
	assert.Eventually(c, func() bool {
		version, err := n.operator.Publish(context.Background(), id, base, publisher, document)
		var failed *operator.FailedError
		switch {
		case err == nil:
			end = verdict{version: version}
			return true
		case errors.As(err, &failed) && failed.Status == http.StatusConflict:
			end = verdict{winner: failed.Failure.Winner}
			return true
		}
		return false
	}, patience, pollEach, "publish settled")
	return end
}

// neverReverts watches the version in force at every instance until the returned
// function is called.
func (c *cluster) neverReverts() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	for _, n := range c.nodes {
		watchers.Go(func() {
			var last port.Offset
			for ctx.Err() == nil {
				if now := c.status(n).TargetsVersion; now != 0 {
					assert.GreaterOrEqual(c, now, last, "version in force")
					last = now
				}
				pause.For(ctx, pollEach)
			}
		})
	}
	return func() {
		cancel()
		watchers.Wait()
	}
}

func TestTwoOperatorsPublishOnOneBase(t *testing.T) {
	for name, fault := range map[string]func(*standin.LogFaults){
		"answers lost": func(f *standin.LogFaults) { f.LoseAnswers = 12 },
		"late append": func(f *standin.LogFaults) {
			f.LateAppends, f.LateBy = 1, jsonc.Duration(300*time.Millisecond)
		},
		"reset before": func(f *standin.LogFaults) { f.ResetBefore = 12 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneB)
			stop := c.neverReverts()
			defer stop()
			base := c.status(c.nodes[0]).TargetsVersion
			for round := range 3 {
				weights := []float64{0.1 + float64(round)/10, 0.5 + float64(round)/10}
				ids := []uuid.UUID{uuid.New(), uuid.New()}
				c.platform.SetFaults(func(f *standin.Faults) { fault(&f.Log) })
				var ends [2]verdict
				publish := func(i int) verdict {
					return c.settled(c.nodes[i], ids[i], base, "operator", document(t, true, func(d map[string]any) {
						d["cold_start_weight"] = weights[i]
					}))
				}
				var both sync.WaitGroup
				for i := range ends {
					both.Go(func() { ends[i] = publish(i) })
				}
				both.Wait()
				won, lost := ends[0], ends[1]
				if won.version == 0 {
					won, lost = lost, won
				}
				require.NotZero(t, won.version, "one wins")
				require.Equal(t, verdict{winner: won.version}, lost, "the other is told by which version it lost")
				for i := range ends {
					assert.Equal(t, ends[i], publish(i), "the same id gives the same answer")
				}
				for _, n := range c.nodes {
					c.eventually(func() bool { return c.status(n).TargetsVersion == won.version }, "in force everywhere")
				}
				base = won.version
			}
		})
	}
}
