package identity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

var testTimes = Times{Keep: 20 * time.Second, MaxRun: 5 * time.Second, Stale: 8 * time.Second}

// world is a log of lists of members, instances that read it at their own pace,
// and claims under way at them, one question at a time.
type world struct {
	now       time.Time
	times     Times
	log       []change
	instances []*instance
	claims    []*claimRun
	// runs holds when each identity ran.
	runs    map[Key][]time.Time
	granted int
	made    int
}

// change is one record of the log: the list of members after it.
type change struct {
	members    []Member
	handedOver port.InstanceID
	base       port.Offset
}

type instance struct {
	member  Member
	table   *Table
	history *History
	read    int
	dead    bool
}

// claimRun is one claim under way.
type claimRun struct {
	at      *instance
	key     Key
	attempt string
	round   *Round
	until   time.Time
	// started is when the claim was made, held that it may run.
	started time.Time
	held    bool
	over    bool
}

func newWorld(minMembers int) *world {
	times := testTimes
	times.MinMembers = minMembers
	return &world{times: times, now: time.Unix(1000, 0), runs: map[Key][]time.Time{}}
}

func (w *world) members() []Member {
	if len(w.log) == 0 {
		return nil
	}
	return w.log[len(w.log)-1].members
}

func (w *world) join() *instance {
	w.made++
	m := Member{ID: port.InstanceID(fmt.Sprintf("i%d", w.made)), Zone: port.Zone(fmt.Sprint(w.made % 3))}
	i := &instance{
		member:  m,
		table:   NewTable(Limits{Entries: 6, BodyBytes: 100, Keep: testTimes.Keep}),
		history: NewHistory(w.now, w.times, true),
	}
	w.instances = append(w.instances, i)
	w.log = append(w.log, change{members: append(append([]Member(nil), w.members()...), m)})
	return i
}

// remove takes an instance off the list, whether it is dead or not.
func (w *world) remove(id port.InstanceID, handedOver bool, base port.Offset) {
	var left []Member
	for _, m := range w.members() {
		if m.ID != id {
			left = append(left, m)
		}
	}
	c := change{members: left}
	if handedOver {
		c.handedOver, c.base = id, base
	}
	w.log = append(w.log, c)
}

// catchUp lets an instance read the log up to a record, or to its end.
func (w *world) catchUp(i *instance, records int) {
	for ; i.read < min(records, len(w.log)); i.read++ {
		c := w.log[i.read]
		if c.handedOver != "" {
			i.history.HandOver(c.handedOver, c.base)
		}
		i.history.Observe(w.now, port.Offset(i.read+1), c.members)
	}
	if i.read == len(w.log) {
		i.history.Confirm(w.now)
	}
}

func (w *world) find(id port.InstanceID) *instance {
	for _, i := range w.instances {
		if i.member.ID == id {
			return i
		}
	}
	return nil
}

func (w *world) claim(i *instance, key Key) {
	lists := i.history.Lists(w.now)
	w.made++
	w.claims = append(w.claims, &claimRun{
		at: i, key: key, attempt: fmt.Sprintf("c%d", w.made),
		round: NewRound(key, lists), until: lists.Until, started: w.now,
	})
}

// oneIn draws an event with a chance of one in n. The ranges of rapid prefer
// their ends.
func oneIn(t *rapid.T, n int, event string) bool {
	sides := make([]int, n)
	for i := range sides {
		sides[i] = i
	}
	return rapid.SampledFrom(sides).Draw(t, event) == n-1
}

// step asks one owner; the request or its answer may be lost.
func (w *world) step(t *rapid.T, c *claimRun) {
	owner, ok := c.round.Next()
	if !ok {
		c.held = c.round.Verdict().Verdict == Run && w.now.Before(c.until)
		if c.held {
			w.granted++
		} else {
			w.tell(t, c, Result{NotRun: true})
		}
		return
	}
	answer := Answer{Verdict: Unavailable}
	target := w.find(owner.ID)
	if !target.dead && !oneIn(t, 10, "request lost") {
		got := target.table.Claim(w.now, Ask{Key: c.key, Attempt: c.attempt, RunFor: testTimes.MaxRun})
		if !oneIn(t, 10, "answer lost") {
			answer = got
		}
	}
	c.round.Answer(owner, answer)
}

// tell reports the end of a claim to its holders; each report may be lost.
func (w *world) tell(t *rapid.T, c *claimRun, r Result) {
	c.over = true
	for _, m := range c.round.Holders() {
		if target := w.find(m.ID); !target.dead && !oneIn(t, 5, "report lost") {
			target.table.Finish(w.now, c.key, c.attempt, r)
		}
	}
}

// run lets a claim that is held run: within its time, the only one.
func (w *world) run(t *rapid.T, c *claimRun) {
	if w.now.Sub(c.started) >= testTimes.MaxRun {
		w.tell(t, c, Result{NotRun: true})
		return
	}
	for _, earlier := range w.runs[c.key] {
		require.GreaterOrEqual(t, w.now.Sub(earlier), testTimes.Keep, "identity ran twice")
	}
	w.runs[c.key] = append(w.runs[c.key], w.now)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		w.tell(t, c, Result{Known: true, Status: 200})
	case 1:
		w.tell(t, c, Result{})
	default:
		// The claimant dies before it reports.
		c.over = true
	}
}

// leave hands an instance's identities over; each copy may be lost.
func (w *world) leave(t *rapid.T, i *instance) {
	lists := i.history.Lists(w.now)
	kept := i.table.Close(w.now)
	var others []Member
	for _, m := range lists.Members[0] {
		if m.ID != i.member.ID {
			others = append(others, m)
		}
	}
	perOwner, copies := spread(kept, others)
	taken := map[Key]int{}
	for _, m := range others {
		target := w.find(m.ID)
		for _, k := range perOwner[m.ID] {
			if target.dead || oneIn(t, 10, "copy lost") || !target.table.Import(w.now, k) {
				continue
			}
			taken[k.Key]++
		}
	}
	ok := lists.Usable
	for _, k := range kept {
		ok = ok && taken[k.Key] > copies[k.Key]/2
	}
	// Another change of members may come first.
	if oneIn(t, 5, "race") {
		w.join()
	}
	w.remove(i.member.ID, ok, lists.Version)
	i.dead = rapid.Bool().Draw(t, "exits")
}

func pick[T any](t *rapid.T, from []T, keep func(T) bool) T {
	var matching []T
	for _, x := range from {
		if keep(x) {
			matching = append(matching, x)
		}
	}
	if len(matching) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(matching).Draw(t, "which")
}

// TestAtMostOnce: whatever happens to members, messages and claimants, no
// identity runs twice within the time for which it is kept.
func TestAtMostOnce(t *testing.T) {
	const rounds = 5
	granted := 0
	for range rounds {
		rapid.Check(t, func(t *rapid.T) { granted += playWorld(t) })
	}
	// The check proves nothing if hardly anything is granted.
	require.Greater(t, granted, 100)
}

// playWorld returns how many claims were granted.
func playWorld(t *rapid.T) int {
	w := newWorld(rapid.SampledFrom([]int{0, 2, 3}).Draw(t, "min members"))
	for range rapid.IntRange(2, 5).Draw(t, "members") {
		w.join()
	}
	for _, i := range w.instances {
		w.catchUp(i, len(w.log))
	}
	alive := func(i *instance) bool { return !i.dead }
	open := func(c *claimRun) bool { return !c.held && !c.over }
	advance := func(t *rapid.T, c *claimRun) {
		for range rapid.SampledFrom([]int{0, 1, 2, 3, 4, 8, 8, 8}).Draw(t, "steps") {
			if open(c) {
				w.step(t, c)
			}
		}
		if c.held && !c.over && rapid.Bool().Draw(t, "run") {
			w.run(t, c)
		}
	}
	claim := func(t *rapid.T) {
		for range rapid.IntRange(1, 4).Draw(t, "claims") {
			w.claim(pick(t, w.instances, alive), Key{byte(rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "key"))})
			advance(t, w.claims[len(w.claims)-1])
		}
	}
	proceed := func(t *rapid.T) {
		for range rapid.IntRange(1, 4).Draw(t, "claims") {
			advance(t, pick(t, w.claims, func(c *claimRun) bool { return !c.over }))
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim":         claim,
		"claim again":   claim,
		"proceed":       proceed,
		"proceed again": proceed,
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 5, 9}).Draw(t, "seconds")) * time.Second)
			for _, i := range w.instances {
				if !oneIn(t, 4, "lags") {
					w.catchUp(i, len(w.log))
				}
			}
		},
		"read": func(t *rapid.T) {
			i := pick(t, w.instances, alive)
			w.catchUp(i, rapid.IntRange(i.read, len(w.log)).Draw(t, "records"))
		},
		"read all": func(*rapid.T) {
			for _, i := range w.instances {
				w.catchUp(i, len(w.log))
			}
		},
		"join": func(t *rapid.T) {
			if len(w.members()) < 6 {
				w.catchUp(w.join(), len(w.log))
			}
		},
		"lose": func(t *rapid.T) {
			i := pick(t, w.instances, alive)
			i.dead = rapid.Bool().Draw(t, "dies")
			w.remove(i.member.ID, false, 0)
		},
		"leave": func(t *rapid.T) {
			i := pick(t, w.instances, func(i *instance) bool { return !i.dead && !i.table.closed && i.read > 0 })
			w.leave(t, i)
		},
	})
	return w.granted
}
