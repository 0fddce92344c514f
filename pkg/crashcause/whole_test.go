package crashcause

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// evidenceTest feeds a Finder with crashes and answers.
type evidenceTest struct {
	*Finder

	now     time.Time
	crashes int
}

func newEvidenceTest() *evidenceTest {
	return &evidenceTest{Finder: NewFinder(), now: time.Unix(1_800_000_000, 0)}
}

func content(digest string, parts ...string) Request {
	return Request{Service: "s", Prompt: parts, Digest: digest}
}

// answer answers n requests of different content, with one request's prompt parts.
func (e *evidenceTest) answer(n int) {
	for i := range n {
		e.now = e.now.Add(10 * time.Millisecond)
		e.Answered(content(fmt.Sprint("answered", e.now.UnixNano(), i), "other", "own"), e.now)
	}
}

// crash crashes a server under requests that were sent a moment before.
func (e *evidenceTest) crash(requests ...Request) {
	e.now = e.now.Add(time.Second)
	e.crashAt(e.now, requests...)
}

func (e *evidenceTest) crashAt(at time.Time, requests ...Request) {
	var lost []LostRequest
	for _, r := range requests {
		lost = append(lost, LostRequest{r, at.Add(-50 * time.Millisecond)})
	}
	e.crashes++
	e.Crashed(Crash{Server: Server{ID: fmt.Sprint("server", e.crashes)}, At: at, Requests: lost}, e.now)
}

// decide returns the traits that become blocked.
func (e *evidenceTest) decide() []string { return e.decideWith() }

// decideWith returns the traits that become blocked, once the other instances have replied to the
// questions of the first decision.
func (e *evidenceTest) decideWith(others ...*Finder) []string {
	blocks, questions := e.Decide(e.now)
	if len(questions) > 0 {
		var replies []Reply
		for _, other := range others {
			replies = append(replies, other.Reply(questions, e.now)...)
		}
		e.Hear(questions, replies, e.now)
		further, _ := e.Decide(e.now)
		blocks = append(blocks, further...)
	}
	var traits []string
	for _, b := range blocks {
		traits = append(traits, b.Trait)
	}
	return traits
}

func whole(digest string) string { return wholePrefix + digest }

func TestWholeRequestIsBlockedAfterThreeCrashes(t *testing.T) {
	e := newEvidenceTest()
	e.answer(500)
	for n := range 3 {
		assert.Empty(t, e.decide())
		e.crash(content("deadly"), content(fmt.Sprint("sound", n)))
	}
	assert.Equal(t, []string{whole("deadly")}, e.decide())
	trait, blocked := e.Blocked(content("deadly"), e.now)
	assert.True(t, blocked)
	assert.True(t, IsWhole(trait))
	_, blocked = e.Blocked(content("sound0"), e.now)
	assert.False(t, blocked)
}

// Copies of a request on servers that crash at the same moment are one trial.
func TestServersCrashAtOnceUnderCopiesOfARequest(t *testing.T) {
	e := newEvidenceTest()
	e.answer(2000)
	for range 6 {
		e.crashAt(e.now, content("common"))
	}
	assert.Empty(t, e.decide())
}

// A request that has been answered since isn't to blame.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	e := newEvidenceTest()
	e.answer(500)
	for range 6 {
		e.crash(content("common"))
		e.Answered(content("common"), e.now.Add(time.Millisecond))
		e.now = e.now.Add(time.Second)
		assert.Empty(t, e.decide())
	}
}

// Of many requests that were lost, some are lost several times by chance.
func TestManyRequestsAreLost(t *testing.T) {
	lost := func(others int) *evidenceTest {
		e := newEvidenceTest()
		e.answer(140)
		for n := range 3 {
			requests := []Request{content("again")}
			for other := range others {
				requests = append(requests, content(fmt.Sprint("lost", n, other)))
			}
			e.crash(requests...)
		}
		return e
	}
	assert.Equal(t, []string{whole("again")}, lost(1).decide())
	e := lost(3)
	d := &decision{Finder: e.Finder, now: e.now}
	for _, found := range e.evidence(e.now) {
		if found.trait == whole("again") {
			assert.Less(t, d.chanceIfSound(found, 140)/float64(d.crashesSince("s", time.Time{}).wholes), chanceOfError, "without the others it would be")
		}
	}
	assert.Empty(t, e.decide())
}

// Two requests that crash servers together can't be told apart by few crashes. The next one tells.
func TestRequestsCrashServersTogether(t *testing.T) {
	e := newEvidenceTest()
	e.answer(500)
	for range 3 {
		e.crash(content("deadly"), content("with it"))
	}
	assert.Empty(t, e.decide())
	e.crash(content("deadly"))
	assert.Equal(t, []string{whole("deadly")}, e.decide())
	_, blocked := e.Blocked(content("with it"), e.now)
	assert.False(t, blocked)
	e.crash(content("with it"))
	assert.Equal(t, []string{whole("with it")}, e.decide(), "it crashes servers without the other one")
}

// A sound request that is lost in each crash under a deadly part is not to blame.
func TestRequestIsLostBesideADeadlyPart(t *testing.T) {
	e := newEvidenceTest()
	e.answer(500)
	for n := range 3 {
		e.crash(content(fmt.Sprint("deadly", n), "dead", "own"), content("beside", "other", "own"))
	}
	assert.Equal(t, []string{"dead"}, e.decide())
	_, blocked := e.Blocked(content("beside", "other", "own"), e.now)
	assert.False(t, blocked)
}

// A part that a deadly request shares with sound ones, which were lost beside it, is not to blame.
func TestPartOfADeadlyRequest(t *testing.T) {
	e := newEvidenceTest()
	e.answer(500)
	for n := range 3 {
		e.crash(content("deadly", "rare", "own"), content(fmt.Sprint("sound", n), "rare", "own2"))
		assert.NotContains(t, e.decide(), "rare")
	}
	_, blocked := e.Blocked(content("deadly", "rare", "own"), e.now)
	assert.True(t, blocked)
	_, blocked = e.Blocked(content("sound", "rare", "own2"), e.now)
	assert.False(t, blocked)
}

// Answers of one service tell nothing of the requests of another, whose servers are all down.
func TestAnswersOfAnotherServiceDontCount(t *testing.T) {
	e := newEvidenceTest()
	for n := range 3 {
		e.crash(Request{Service: "down", Digest: "lost"}, Request{Service: "down", Digest: fmt.Sprint(n)})
		e.answer(1000)
	}
	assert.Empty(t, e.decide())
}

// A request that was answered before so many others that it is forgotten isn't held to be one that
// never was. Such answers don't displace those to parts of prompts.
func TestAnswerIsForgotten(t *testing.T) {
	e := newEvidenceTest()
	answeredAt := e.now
	e.Answered(content("seldom", "part", "own"), answeredAt)
	for n := range 2 * maxAnswered {
		e.now = e.now.Add(time.Millisecond)
		e.Answered(content(fmt.Sprint("other", n)), e.now)
	}
	assert.Zero(t, e.answered.last(whole("seldom")))
	assert.Greater(t, e.answered.unansweredSince(whole("seldom")), answeredAt)
	assert.LessOrEqual(t, e.answered.unansweredSince(whole("seldom")), e.now.Add(-maxAnswered*time.Millisecond))
	assert.Equal(t, answeredAt, e.answered.unansweredSince("part"))
	assert.Zero(t, e.answered.unansweredSince("never"))
}

func BenchmarkDecideAfterManyCrashes(b *testing.B) {
	e := newEvidenceTest()
	for crash := range maxCrashes {
		var requests []Request
		for n := range maxCrashRequests {
			requests = append(requests, content(fmt.Sprint(crash, "-", n), "first", fmt.Sprint("topic", n), "own"))
		}
		e.crashAt(e.now.Add(-time.Duration(crash)*time.Millisecond), requests...)
	}
	for b.Loop() {
		e.decide()
	}
}

// TestSeldomRequestAnsweredElsewhereWasBlocked: an instance with enough answers of its own blocked a
// request that was lost in crashes of other causes, though another instance had answered it between
// them.
func TestSeldomRequestAnsweredElsewhereWasBlocked(t *testing.T) {
	for _, crashes := range []int{minCrashes, certainCrashes} {
		for _, answeredBefore := range []int{1, crashes - 1} {
			t.Run(fmt.Sprint(crashes, " crashes, answered before the last ", answeredBefore), func(t *testing.T) {
				e, other := newEvidenceTest(), NewFinder()
				e.answer(2000)
				for n := range crashes {
					if n == crashes-answeredBefore {
						other.Answered(content("seldom"), e.now.Add(100*time.Millisecond))
					}
					e.crash(content("seldom"), content(fmt.Sprint("lost", n)))
				}
				assert.Empty(t, e.decideWith(other))
				_, blocked := e.Blocked(content("seldom"), e.now)
				assert.False(t, blocked)
			})
		}
	}
}

// What the others have said before the last crash doesn't count: one of them may have answered the
// request since.
func TestOthersAreAskedAgainAfterAFurtherCrash(t *testing.T) {
	e, other := newEvidenceTest(), NewFinder()
	e.answer(2)
	for n := range minCrashes {
		e.crash(content("seldom"), content(fmt.Sprint("lost", n)))
	}
	assert.Empty(t, e.decideWith(other), "too little has been answered")
	e.answer(2000)
	other.Answered(content("seldom"), e.now)
	e.crash(content("seldom"), content("lost again"))
	assert.Empty(t, e.decideWith(other))
}
