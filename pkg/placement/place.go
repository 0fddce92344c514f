package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// secondReplicaGain is the minimum ratio of the time to serve the backlog to the time until
	// a second replica is ready.
	secondReplicaGain = 2
	// inFlightCost and queuedCost are the delays that each running and each queued request on
	// a server is assumed to add to a request that starts there.
	inFlightCost = 20 * time.Millisecond
	queuedCost   = 200 * time.Millisecond
	// minRetryAfter is the minimum delay after which callers should retry.
	minRetryAfter = time.Second
	// memoryRetryAfter is the delay after which callers should retry if the model can't be
	// loaded on any server now.
	memoryRetryAfter = 30 * time.Second
)

// Place decides where to load a model that callers wait for. The refusal is nil if they can be
// served before their deadline.
func Place(now time.Time, r *Request, v *View) (Plan, *Refusal) {
	share := v.replicaShare(r.Model.ID)
	if share <= 0 {
		return Plan{}, &Refusal{
			Reason: ReasonNoReplica, RetryAfter: memoryRetryAfter,
			Detail: "the model's replicas are the share of other availability zones",
		}
	}
	existing := v.replicas(now, r)
	if existing.count > 0 && (existing.count >= share || !existing.needsAnother(r)) {
		return existing.wait(now, r)
	}
	best, found, rejected := v.best(now, r)
	switch {
	case !found && existing.count > 0:
		return existing.wait(now, r)
	case !found:
		return Plan{}, rejected.refusal()
	case existing.count > existing.unloading && existing.queueDrain < secondReplicaGain*best.readyIn:
		return existing.wait(now, r)
	}
	plan := best.plan(r, &rejected, existing)
	return plan, checkDeadline(now, r, plan.ReadyIn)
}

// checkDeadline returns a refusal if the model becomes ready only after the deadline of all
// callers.
func checkDeadline(now time.Time, r *Request, readyIn time.Duration) *Refusal {
	if r.Deadline.IsZero() || !now.Add(readyIn).After(r.Deadline) {
		return nil
	}
	return &Refusal{
		Reason: ReasonTooLate, RetryAfter: max(minRetryAfter, readyIn),
		Detail: fmt.Sprintf("ready in %s, callers wait %s at most", short(readyIn), short(max(0, r.Deadline.Sub(now)))),
	}
}

func (v *View) replicaShare(model port.ModelID) int {
	if v.ReplicaShare == nil {
		return 1
	}
	return v.ReplicaShare(model)
}

func (v *View) worth(model port.ModelID) float64 {
	if v.Worth == nil {
		return 0
	}
	return v.Worth(model)
}

func (v *View) busy(server port.ServerID, model port.ModelID) bool {
	return v.Busy != nil && v.Busy(server, model)
}

func (v *View) baseOf(model port.ModelID) port.ModelID {
	if v.BaseOf == nil {
		return ""
	}
	return v.BaseOf(model)
}

// replicaState summarizes the replicas of a model in the zone.
type replicaState struct {
	count, ready, unloading int
	server                  port.ServerID
	readyIn                 time.Duration
	queueDrain              time.Duration
}

// replicas summarizes the replicas that exist or are being loaded. All count towards the
// zone's share, including those that are being unloaded.
func (v *View) replicas(now time.Time, r *Request) replicaState {
	var existing replicaState
	soonest := maxInterval
	for i := range v.Servers {
		id := v.Servers[i].ID
		allocation, found := v.Ledger.Allocation(id, r.Model.ID)
		if !found {
			continue
		}
		existing.count++
		readyIn := v.readyIn(now, &v.Servers[i], allocation)
		switch {
		case allocation.Unload != "":
			existing.unloading++
		case allocation.Loaded:
			existing.ready++
		}
		if readyIn < soonest || existing.server == "" {
			soonest, existing.server, existing.readyIn = readyIn, id, readyIn
		}
	}
	if serving := existing.count - existing.unloading; serving > 0 && r.Slots > 0 {
		existing.queueDrain = r.ServiceTime * time.Duration(r.Waiting) / time.Duration(r.Slots*serving)
	}
	return existing
}

// readyIn estimates when a replica can serve requests. One that is being unloaded must be
// loaded again after the unload.
func (v *View) readyIn(now time.Time, s *Server, allocation ledger.Allocation) time.Duration {
	if allocation.Loaded && allocation.Unload == "" {
		return 0
	}
	if remaining, ok := v.Progress.Remaining(now, s.ID, allocation.Model); ok && !allocation.Loaded {
		return remaining
	}
	tier := TierDisk
	if s.Report != nil {
		tier = TierOf(s.Report, allocation.Model)
	}
	duration := v.Speeds.LoadTime(s.ID, tier, allocation.Bytes)
	if allocation.Unload != "" {
		duration += v.Speeds.UnloadTime()
	}
	return duration
}

// needsAnother reports whether the backlog justifies another replica: the last caller would
// start later than its class allows. If all replicas are being unloaded, another one is always
// needed.
func (s *replicaState) needsAnother(r *Request) bool {
	if s.unloading == s.count {
		return true
	}
	return r.Class != nil && s.queueDrain > r.Class.StartWithin.D()
}

func (s *replicaState) wait(now time.Time, r *Request) (Plan, *Refusal) {
	state := "is loading on"
	switch {
	case s.ready > 0:
		state = "is ready on"
	case s.unloading == s.count:
		state = "is being unloaded from"
	}
	plan := Plan{
		Action: ActionWait, Server: s.server, ReadyIn: s.readyIn,
		Reason: fmt.Sprintf("%s %s %s, %d waiting", r.Model.ID, state, s.server, r.Waiting),
	}
	return plan, checkDeadline(now, r, s.readyIn)
}

// best returns the candidate with the lowest cost.
func (v *View) best(now time.Time, r *Request) (candidate, bool, rejections) {
	var best candidate
	var found bool
	var t rejections
	s := newEvaluation(now, r, v)
	for i := range v.Servers {
		c, ok := v.candidate(&v.Servers[i], s, &t)
		if ok && (!found || c.lessThan(&best)) {
			best, found = c, true
		}
	}
	return best, found, t
}

// rejections counts the servers that were rejected, by reason.
type rejections struct {
	seen, leaving, unreported, occupied, noBase, full int
	// lacking is the smallest number of bytes that a full server lacks.
	lacking int64
}

func (t *rejections) addFull(lacking int64) {
	if t.full == 0 || lacking < t.lacking {
		t.lacking = lacking
	}
	t.full++
}

func (t *rejections) String() string {
	var parts []string
	for _, p := range []struct {
		n    int
		what string
	}{
		{t.leaving, "leaving"}, {t.unreported, "without a report"},
		{t.occupied, "holding it already"}, {t.noBase, "without its base model"}, {t.full, "without memory"},
	} {
		if p.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", p.n, p.what))
		}
	}
	if len(parts) == 0 {
		return fmt.Sprintf("of %d servers", t.seen)
	}
	return fmt.Sprintf("of %d servers, %s", t.seen, strings.Join(parts, ", "))
}

func (t *rejections) refusal() *Refusal {
	if t.full > 0 {
		return &Refusal{
			Reason: ReasonNoMemory, RetryAfter: memoryRetryAfter, LackingBytes: t.lacking,
			Detail: fmt.Sprintf("%s; the least lack is %d bytes", t, t.lacking),
		}
	}
	if t.noBase > 0 {
		return &Refusal{Reason: ReasonNoReplica, RetryAfter: memoryRetryAfter, Detail: t.String()}
	}
	return &Refusal{Reason: ReasonNoServer, RetryAfter: memoryRetryAfter, Detail: t.String()}
}

func short(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
