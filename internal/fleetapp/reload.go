package fleetapp

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// settingsCheckInterval is the interval at which the settings file is checked.
// Not every change is followed by SIGHUP, and file change notifications are not
// available on the platform's machines.
const settingsCheckInterval = time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (i *Instance) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	seen := statVersion(i.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if statVersion(i.path) == seen {
				continue
			}
		}
		seen = statVersion(i.path)
		i.reload()
	}
}

// fileVersion identifies one version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statVersion returns the current version of a file. It is zero if the file
// cannot be read; reload logs the error.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload applies the settings that can change at run time. Invalid settings
// change nothing.
func (i *Instance) reload() {
	next, err := Load(i.path)
	if err != nil {
		i.log.Error().Err(err).Msg("settings_rejected")
		return
	}
	i.edge.SetRetries(next.Retries.Ratio, next.Retries.Extra, next.Retries.Window.D())
	i.log.SetLevel(log.ParseLevel(next.Log.Level))
	fixed := *next
	fixed.Retries, fixed.Log = i.settings.Retries, i.settings.Log
	i.log.Info().Bool("needs_restart", !reflect.DeepEqual(fixed, *i.settings)).Msg("settings_reloaded")
}
