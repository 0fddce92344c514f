package share

import "github.com/cyclamenhoist/cyclamenhoist/pkg/port"

// maxSteps bounds the memory of a Window. If there are more, the two oldest versions are
// merged into one with the smaller of their shares.
const maxSteps = 64

// Window determines the share that a zone can use while zones have different versions of the
// configuration in force. The zero value is ready to use.
type Window struct {
	// steps hold strictly increasing shares. The first is the minimum share since the oldest
	// version that may be in force in some zone, the last the share of the newest version.
	steps []limitStep
}

type limitStep struct {
	version port.Offset // the last version that the share applies to
	share   float64
}

// Push adds the zone's share under a version newer than all before.
func (w *Window) Push(version port.Offset, share float64) {
	for len(w.steps) > 0 && w.steps[len(w.steps)-1].share >= share {
		w.steps = w.steps[:len(w.steps)-1]
	}
	if len(w.steps) == maxSteps {
		w.steps[0].version = w.steps[1].version
		w.steps = append(w.steps[:1], w.steps[2:]...)
	}
	w.steps = append(w.steps, limitStep{version: version, share: share})
}

// Confirm records that every other zone of the newest version has at least the given version
// in force.
func (w *Window) Confirm(version port.Offset) {
	for len(w.steps) > 1 && w.steps[0].version < version {
		w.steps = w.steps[1:]
	}
}

// Share returns the share that the zone can use now.
func (w *Window) Share() float64 {
	if len(w.steps) == 0 {
		return 0
	}
	return w.steps[0].share
}

// LowestVersion returns the lowest version that the zones other than own are known to have in
// force; zero if one of them hasn't reported any. Only the zones of the split count.
func LowestVersion(zones []Weight, own port.Zone, inForce map[port.Zone]port.Offset) port.Offset {
	lowest := port.Offset(-1)
	for _, z := range zones {
		if z.Zone == own {
			continue
		}
		if v := inForce[z.Zone]; lowest < 0 || v < lowest {
			lowest = v
		}
	}
	if lowest < 0 {
		return 1<<63 - 1 // there are no other zones to wait for
	}
	return lowest
}
