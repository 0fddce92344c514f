package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// secondReplicaGain is how many times longer than its load the queue must
	// last for a second replica.
	secondReplicaGain = 2
	// inFlightCost and queuedCost are what the requests on a server are taken to
	// add to the wait of one that starts there.
	inFlightCost = 20 * time.Millisecond
	queuedCost   = 200 * time.Millisecond
	// minRetryAfter is the least time after which callers are told to return.
	minRetryAfter = time.Second
	// memoryRetryAfter is when callers return if nothing may be unloaded now.
	memoryRetryAfter = 30 * time.Second
)

// Place decides where to load a model that callers wait for. The refusal is nil
// if they can be served in time.
func Place(now time.Time, r *Request, v *View) (Plan, *Refusal) {
	share := v.replicaShare(r.Model.ID)
	if share <= 0 {
		return Plan{}, &Refusal{
			Word: WordNoReplica, RetryAfter: memoryRetryAfter,
			Detail: "the model's replicas are the share of other availability zones",
		}
	}
	have := v.replicas(now, r)
	if have.count > 0 && (have.count >= share || !have.wantsAnother(r)) {
		return have.wait(now, r)
	}
	best, found, tally := v.best(now, r)
	switch {
	case !found && have.count > 0:
		return have.wait(now, r)
	case !found:
		return Plan{}, tally.refusal()
	case have.count > have.unloading && have.drain < secondReplicaGain*best.readyIn:
		return have.wait(now, r)
	}
	plan := best.plan(r, &tally, have)
	return plan, lateness(now, r, plan.ReadyIn)
}

// lateness refuses the callers if the model isn't ready before all have gone.
func lateness(now time.Time, r *Request, readyIn time.Duration) *Refusal {
	if r.Patience.IsZero() || !now.Add(readyIn).After(r.Patience) {
		return nil
	}
	return &Refusal{
		Word: WordTooLate, RetryAfter: max(minRetryAfter, readyIn),
		Detail: fmt.Sprintf("ready in %s, callers wait %s at most", short(readyIn), short(max(0, r.Patience.Sub(now)))),
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

// replicas is what the zone has of a model.
type replicas struct {
	count, ready, unloading int
	server                  port.ServerID
	readyIn                 time.Duration
	drain                   time.Duration
}

// replicas counts the decided replicas. All count against the share, those being
// unloaded included.
func (v *View) replicas(now time.Time, r *Request) replicas {
	var have replicas
	soonest := maxInterval
	for i := range v.Servers {
		id := v.Servers[i].ID
		hold, found := v.Ledger.Hold(id, r.Model.ID)
		if !found {
			continue
		}
		have.count++
		readyIn := v.readyIn(now, &v.Servers[i], hold)
		switch {
		case hold.Unload != "":
			have.unloading++
		case hold.Loaded:
			have.ready++
		}
		if readyIn < soonest || have.server == "" {
			soonest, have.server, have.readyIn = readyIn, id, readyIn
		}
	}
	if serving := have.count - have.unloading; serving > 0 && r.Slots > 0 {
		have.drain = r.ServiceTime * time.Duration(r.Waiting) / time.Duration(r.Slots*serving)
	}
	return have
}

// readyIn estimates when a decided replica can serve. One that is being unloaded
// has to go first and be loaded again.
func (v *View) readyIn(now time.Time, s *Server, hold ledger.Hold) time.Duration {
	if hold.Loaded && hold.Unload == "" {
		return 0
	}
	if left, ok := v.Progress.Left(now, s.ID, hold.Model); ok && !hold.Loaded {
		return left
	}
	tier := TierDisk
	if s.Report != nil {
		tier = TierOf(s.Report, hold.Model)
	}
	took := v.Speeds.LoadTime(s.ID, tier, hold.Bytes)
	if hold.Unload != "" {
		took += v.Speeds.UnloadTime()
	}
	return took
}

// wantsAnother reports whether the callers justify one more replica by their
// number: the last of them would start later than its class allows. While all
// replicas are being unloaded, another one is the only way.
func (h *replicas) wantsAnother(r *Request) bool {
	if h.unloading == h.count {
		return true
	}
	return r.Class != nil && h.drain > r.Class.StartWithin.D()
}

func (h *replicas) wait(now time.Time, r *Request) (Plan, *Refusal) {
	state := "is loading on"
	switch {
	case h.ready > 0:
		state = "is ready on"
	case h.unloading == h.count:
		state = "is being unloaded from"
	}
	plan := Plan{
		Action: ActionWait, Server: h.server, ReadyIn: h.readyIn,
		Reason: fmt.Sprintf("%s %s %s, %d waiting", r.Model.ID, state, h.server, r.Waiting),
	}
	return plan, lateness(now, r, h.readyIn)
}

// best returns the candidate with the least expected waiting.
func (v *View) best(now time.Time, r *Request) (candidate, bool, tally) {
	var best candidate
	var found bool
	var t tally
	s := newScratch(now, r, v)
	for i := range v.Servers {
		c, ok := v.candidate(&v.Servers[i], s, &t)
		if ok && (!found || c.better(&best)) {
			best, found = c, true
		}
	}
	return best, found, t
}

// tally counts why servers were passed over.
type tally struct {
	seen, leaving, silent, occupied, noBase, full int
	// lacking is the least memory that a full server lacks.
	lacking int64
}

func (t *tally) addFull(lacking int64) {
	if t.full == 0 || lacking < t.lacking {
		t.lacking = lacking
	}
	t.full++
}

func (t *tally) String() string {
	var parts []string
	for _, p := range []struct {
		n    int
		what string
	}{
		{t.leaving, "leaving"}, {t.silent, "without a report"},
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

func (t *tally) refusal() *Refusal {
	if t.full > 0 {
		return &Refusal{
			Word: WordNoMemory, RetryAfter: memoryRetryAfter, LackingBytes: t.lacking,
			Detail: fmt.Sprintf("%s; the least lack is %d bytes", t, t.lacking),
		}
	}
	if t.noBase > 0 {
		return &Refusal{Word: WordNoReplica, RetryAfter: memoryRetryAfter, Detail: t.String()}
	}
	return &Refusal{Word: WordNoServer, RetryAfter: memoryRetryAfter, Detail: t.String()}
}

func short(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
