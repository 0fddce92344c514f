package logclient_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// TestRecordsByPeers: an instance that can't read the log goes on by the records
// that another has read, and asks for a whole state only where none has them.
func TestRecordsByPeers(t *testing.T) {
	for name, c := range map[string]struct {
		records        bool
		states, folded int
	}{
		"a peer has the records":       {records: true, folded: 5},
		"no peer has the records, any": {states: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				ahead := run(t, log, logclient.Config{})
				cut := &cutLog{fakeLog: log}
				var states, folded atomic.Int64
				behind := run(t, cut, logclient.Config{
					FetchRecords: func(_ context.Context, from port.Offset) ([]port.Record, error) {
						if !c.records {
							return nil, port.ErrRefused
						}
						return ahead.Recent(from, 1<<20), nil
					},
					FetchState: func(context.Context) ([]byte, error) {
						states.Add(1)
						return ahead.State().Encode(), nil
					},
					Hooks: logclient.Hooks{Folded: func(port.Record, fold.Verdict, *fold.State) { folded.Add(1) }},
				})
				time.Sleep(time.Second)
				cut.cut.Store(true)
				for n := range 5 {
					appendOne(t, ahead, member(n))
				}
				time.Sleep(20 * time.Second)
				require.Equal(t, logclient.ConditionDown, behind.Staleness().Condition)
				require.Equal(t, ahead.State().Encode(), behind.State().Encode())
				require.EqualValues(t, c.folded, folded.Load(), "hooks see relayed records")
				require.Equal(t, c.states > 0, states.Load() > 0)
				cut.cut.Store(false)
				appendOne(t, ahead, member(9))
				time.Sleep(10 * time.Second)
				require.Equal(t, ahead.State().Encode(), behind.State().Encode(), "the log goes on where the peers ended")
			})
		})
	}
}
