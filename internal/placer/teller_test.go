package placer

import (
	"testing"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// Instances that are told of the manifest learn at once that the one that tells them is gone, from their next
// question (review/9).
func TestLossOfTheHolderIsNoticed(t *testing.T) {
	for name, lose := range map[string]func(*instance){
		"it ends":               func(i *instance) { i.end() },
		"it releases the lease": func(i *instance) { i.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
			holder := c.start("i0")
			c.eventually("it holds the lease", holder.elector.placing)
			told := c.start("i1")
			for _, i := range []*instance{holder, told} {
				i.mirror.ManifestRead(storemirror.ManifestReading{InForce: 7, Newest: 7, CurrentSince: bootclock.Now(), AtEnd: true})
			}
			c.eventually("the other one is told", func() bool { return told.mirror.ManifestWait() == platform.MaxPollWait })
			lose(holder)
			<-told.mirror.ManifestInterrupt()
		})
	}
}
