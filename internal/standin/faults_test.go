package standin

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChangeDuringTheLook: a change that comes while a hold looks at the faults
// is not missed.
func TestChangeDuringTheLook(t *testing.T) {
	f := newFaultSet()
	f.update(func(f *Faults) { f.Store.Stalled = true })
	looks := 0
	lifted := f.waitWhile(context.Background(), func() bool {
		stalled := f.current().Store.Stalled
		looks++
		f.update(func(f *Faults) { f.Store.Stalled = false })
		return stalled
	})
	require.True(t, lifted)
	require.Equal(t, 2, looks)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, f.waitWhile(ended, func() bool { return true }))
}

func TestCountedFaults(t *testing.T) {
	f := newFaultSet()
	f.update(func(f *Faults) { f.Servers["s"] = ServerFaults{FailLoads: 2} })
	failLoads := func(s *ServerFaults) *int { return &s.FailLoads }
	require.True(t, f.takeServer("s", failLoads))
	require.False(t, f.takeServer("other", failLoads))
	require.True(t, f.takeServer("s", failLoads))
	require.False(t, f.takeServer("s", failLoads), "used up")
	f.update(func(f *Faults) { f.Log.LateAppends = -1 })
	for range 3 {
		require.True(t, f.take(func(f *Faults) *int { return &f.Log.LateAppends }), "all calls")
	}
}
