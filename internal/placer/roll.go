package placer

import "time"

// instanceFresh is how long an instance counts after its last report. One that is
// cut off for a while still draws on the budgets that all share.
const instanceFresh = 20 * time.Second

// roll lists the instances that report. It isn't safe for concurrent use.
type roll map[string]seenInstance

type seenInstance struct {
	at      time.Time
	address string
}

// meet notes that an instance is there.
func (r roll) meet(instance, address string, now time.Time) {
	r[instance] = seenInstance{at: now, address: address}
}

// addresses returns the addresses of the instances that have reported lately.
func (r roll) addresses(now time.Time) []string {
	out := make([]string, 0, len(r))
	for instance, seen := range r {
		if now.Sub(seen.at) > instanceFresh {
			delete(r, instance)
			continue
		}
		out = append(out, seen.address)
	}
	return out
}
