package storemirror

import (
	"fmt"
	"maps"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// inTouch reports whether an instance is bound by what the store has acknowledged.
func (w *world) inTouch(p *worldInstance) bool {
	return p.former == nil && w.now >= p.disturbedUntil+contactTime && w.now >= w.store.disturbedUntil+contactTime
}

// checkLeft returns an error if an instance in touch uses a server later than it may after it left,
// or if one that has withdrawn a leaving server uses it again.
func (w *world) checkLeft() error {
	for i, p := range w.instances {
		if w.now < p.pausedUntil || p.former != nil {
			continue
		}
		for _, s := range w.servers {
			incarnation := fmt.Sprint(s.id, s.startedAt)
			used := p.used[s.id]
			switch {
			case used == nil || used.StartedAt != s.startedAt || used.Draining:
				if s.boundFrom != 0 && p.wasUsed[incarnation] && !p.m.end.Before(s.leftBy) {
					p.withdrawn[incarnation] = true
				}
				continue
			case !s.draining && !s.gone:
				p.wasUsed[incarnation] = true
				continue
			case s.relisted && !p.withdrawn[incarnation]:
				// It is listed, and in a complete list nothing says that it was removed before.
				continue
			}
			if p.withdrawn[incarnation] {
				return fmt.Errorf("%v: instance %d uses %s again, which it had withdrawn", w.now-time.Hour, i, s.id)
			}
			if s.boundFrom != 0 && w.inTouch(p) && w.now-s.boundFrom > drainTimeout {
				return fmt.Errorf("%v: instance %d uses %s %v after it left", w.now-time.Hour, i, s.id, w.now-s.boundFrom)
			}
		}
	}
	return nil
}

const (
	// returnTime is the time within which an instance must use a server that has registered again.
	returnTime = 2 * time.Second
)

// checkUsed returns an error if an instance in touch doesn't use a server that has registered in time, and that
// neither leaves nor has left since.
func (w *world) checkUsed() error {
	for i, p := range w.instances {
		if w.now < p.pausedUntil || !w.inTouch(p) {
			continue
		}
		for _, s := range w.servers {
			since := max(s.listedAt, w.store.awayUntil)
			if s.gone || s.draining || s.listedAt == 0 || w.now-since <= returnTime {
				continue
			}
			if used := p.used[s.id]; used == nil || used.StartedAt != s.startedAt {
				return fmt.Errorf("%v: instance %d doesn't use %s %v after it registered", w.now-time.Hour, i, s.id, w.now-since)
			}
		}
	}
	return nil
}

// check returns an error if an instance uses a server that left, or doesn't use one that it should.
func (w *world) check() error {
	if err := w.checkLeft(); err != nil {
		return err
	}
	return w.checkUsed()
}

// checkAgreement returns an error if an instance's list differs from the store's.
func (w *world) checkAgreement() error {
	want := map[fleet.ServerID]string{}
	for id, e := range w.store.newest() {
		if e.Server != nil {
			want[id] = fmt.Sprint(e.Server.StartedAt, e.Server.Draining)
		}
	}
	for i, p := range w.instances {
		got := map[fleet.ServerID]string{}
		for id, s := range p.used {
			got[id] = fmt.Sprint(s.StartedAt, s.Draining)
		}
		if p.former == nil && !maps.Equal(got, want) {
			return fmt.Errorf("instance %d has %v, the store %v", i, got, want)
		}
	}
	return nil
}
