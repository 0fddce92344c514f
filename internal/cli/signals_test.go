package cli

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A second SIGTERM ended an instance at once, and cut off the requests that it had accepted (review/10).
func TestSignalsInSeries(t *testing.T) {
	const (
		term = syscall.SIGTERM
		quit = syscall.SIGINT
	)
	for name, c := range map[string]struct {
		signals     []os.Signal
		stops, ends bool
	}{
		"none":                 {nil, false, false},
		"SIGTERM":              {[]os.Signal{term}, true, false},
		"SIGTERM twice":        {[]os.Signal{term, term}, true, false},
		"SIGTERM ten times":    {[]os.Signal{term, term, term, term, term, term, term, term, term, term}, true, false},
		"SIGINT":               {[]os.Signal{quit}, true, false},
		"SIGINT and SIGTERM":   {[]os.Signal{quit, term, term}, true, false},
		"SIGTERM and SIGINT":   {[]os.Signal{term, quit}, true, false},
		"SIGINT twice":         {[]os.Signal{quit, quit}, true, true},
		"SIGINT between these": {[]os.Signal{quit, term, quit}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan os.Signal, len(c.signals))
			for _, s := range c.signals {
				received <- s
			}
			close(received)
			stops, ends := false, false
			handleSignals(received, func() { stops = true }, func() { ends = true })
			assert.Equal(t, c.stops, stops)
			assert.Equal(t, c.ends, ends)
		})
	}
}
