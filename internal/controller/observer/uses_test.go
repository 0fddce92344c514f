package observer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
)

func TestUsesAreToldOnceUnlessRestored(t *testing.T) {
	var uses observer.Uses
	end := uses.Begin("m", true)
	uses.Begin("m", false)(0)

	told := uses.Take()
	require.Len(t, told, 1)
	require.EqualValues(t, 1, told[0].Arrived, "a second attempt is no arrival")
	require.EqualValues(t, 1, told[0].InProgress)
	require.Zero(t, told[0].ServiceMs)

	end(80 * time.Millisecond)
	require.Empty(t, uses.Take(), "neither new nor in progress")

	uses.Restore(told)
	again := uses.Take()
	require.EqualValues(t, 1, again[0].Arrived)
	require.EqualValues(t, 80, again[0].ServiceMs)
}
