package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// Each of several instances sees one crash, under another request. All of them block the part
// that these share, also one that starts later, and an instance that was gone meanwhile.
func TestInstancesFindTheCauseOfCrashesTogether(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	var all []*instance
	for n := range 4 {
		all = append(all, c.start(fmt.Sprint("i", n)))
	}
	for _, i := range all {
		c.eventually("the instances know each other", func() bool { return len(i.OtherInstances()) == len(all)-1 })
	}
	started := time.Now()
	for n, i := range all {
		i.Crashed(crashcause.Crash{
			Server: crashcause.Server{ID: fmt.Sprint("gone", n)}, At: started,
			Requests: []crashcause.LostRequest{{Request: crashcause.Request{Service: summaries, Prompt: crashcause.Prompt{"shared", "deadly", fmt.Sprint("own", n)}, Digest: fmt.Sprint(n)}, SentAt: started}},
		})
	}
	deadly := crashcause.Request{Service: summaries, Prompt: crashcause.Prompt{"shared", "deadly", "another"}}
	sound := crashcause.Request{Service: summaries, Prompt: crashcause.Prompt{"shared", "sound", "another"}}
	blocks := func(i *instance) bool { _, blocked := i.Blocked(deadly); return blocked }
	for _, i := range all {
		assert.False(t, blocks(i), "nothing was answered yet")
	}
	c.eventually("the part is blocked", func() bool {
		for _, i := range all {
			i.Answered(sound)
		}
		return blocks(all[0])
	})
	for _, i := range append(all, c.start("late")) {
		c.eventually("all instances block the part", func() bool { return blocks(i) })
		_, blocked := i.Blocked(sound)
		assert.False(t, blocked)
	}
	// A request that was on its way is answered after all.
	all[1].Answered(deadly)
	for _, i := range all {
		c.eventually("the part is sound", func() bool { return !blocks(i) })
	}
}

// TestNewInstanceReadFromOneThatKnewNothing: an instance read from a single peer, which was as new as itself, what
// the others knew of crashes.
func TestNewInstanceReadFromOneThatKnewNothing(t *testing.T) {
	for n := range 4 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
			all := []*instance{c.start("knows"), c.start("new"), c.start("new too")}
			for _, i := range all {
				c.eventually("the instances know each other", func() bool { return len(i.OtherInstances()) == len(all)-1 })
			}
			now := time.Now()
			all[0].Merge(crashcause.Evidence{Crashes: []crashcause.Crash{{
				Server: crashcause.Server{ID: "gone"}, At: now,
				Requests: []crashcause.LostRequest{{Request: crashcause.Request{Service: summaries, Digest: "d"}, SentAt: now}},
			}}})
			late := c.start("late")
			c.eventually("it knows of the crash", func() bool { return len(late.Evidence().Crashes) == 1 })
		})
	}
}

// What a faulty peer sends neither blocks for ever nor panics.
func TestEvidenceOfAFaultyPeer(t *testing.T) {
	now := time.Now()
	e := crashcause.Evidence{
		Crashes: []crashcause.Crash{{Server: crashcause.Server{ID: "s", StartedAt: -1}, At: now.Add(time.Hour), Requests: []crashcause.LostRequest{{}, {Request: crashcause.Request{Prompt: crashcause.Prompt{}}}, {Request: crashcause.Request{Prompt: crashcause.Prompt{"one"}}}, {Request: crashcause.Request{Digest: "d"}, SentAt: now.Add(time.Hour)}}}},
		Blocks:  []crashcause.Block{{Trait: "p", Until: now.Add(1000 * time.Hour), Blocks: 1 << 30, Crashes: -1, LastCrash: now.Add(time.Hour)}},
		Answers: []crashcause.Answer{{Trait: "p", At: now.Add(time.Hour)}},
	}
	f := crashcause.NewFinder()
	f.Merge(decodeEvidence(encodeEvidence(e, now), now), now)
	f.Decide(now)
	_, blocked := f.Blocked(crashcause.Request{Prompt: crashcause.Prompt{"p", "own"}}, now.Add(3*time.Hour))
	assert.False(t, blocked)
	replies := decodeReplies(encodeReplies([]crashcause.Reply{{Trait: "p", Answers: -5}}, now), now)
	f.Hear([]crashcause.Question{{Trait: "p", Since: now}}, replies, now)
	assert.Empty(t, decodeReplies(nil, now))
}
