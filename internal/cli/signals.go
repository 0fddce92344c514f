package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContexts returns a context that is canceled at the first SIGINT or SIGTERM
// and one that is canceled at the second SIGINT. The caller must call release.
func signalContexts() (stop, kill context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM)
	go handleSignals(received, cancelStop, cancelKill)
	return stop, kill, func() {
		signal.Stop(received)
		close(received)
		cancelStop()
		cancelKill()
	}
}

// handleSignals calls stop for each signal, and kill from the second SIGINT on, until the channel is closed.
// A platform sends SIGTERM whenever it wants an instance to stop, also if it is stopping already, and SIGKILL
// to end it at once. SIGINT comes from a terminal.
func handleSignals(received <-chan os.Signal, stop, kill func()) {
	interrupts := 0
	for s := range received {
		stop()
		if s == syscall.SIGINT {
			interrupts++
		}
		if interrupts > 1 {
			kill()
		}
	}
}
