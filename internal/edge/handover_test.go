package edge

import (
	"context"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// A successor that began to answer just after the client had left, and the incumbent had failed, ended the
// process.
func TestSuccessorBeginsAfterTheClientHasLeft(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	leave()
	e := &Edge{log: &log.Logger{Level: log.PanicLevel}, views: NewViews(), budgets: map[string]*retry.Budget{}}
	q := &request{edge: e, route: &fleet.Route{}, tried: map[fleet.ServerID]bool{}}
	h := &q.handover
	h.request, h.ctx, h.open = q, ctx, 1
	h.changed = sync.NewCond(&h.mu)
	attemptOf := func(id string) *attempt {
		return &attempt{
			request: q, backend: &backend{server: &fleet.Server{ID: fleet.ServerID(id)}}, whole: true,
			cancel: func(error) {}, progress: &attemptProgress{},
		}
	}
	incumbent, successor := attemptOf("incumbent"), attemptOf("successor")
	incumbent.fault = retry.FaultCanceled
	h.incumbent, h.successors = incumbent, []*attempt{successor}
	assert.Nil(t, h.next(incumbent))
	assert.False(t, h.offer(successor))
}
