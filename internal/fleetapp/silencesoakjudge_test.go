package fleetapp_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
)

// TestSoakJudge: the check of the soak finds what is wrong, and excuses what servers broke off, the time
// limit and the end of the grace period.
func TestSoakJudge(t *testing.T) {
	const seed, id = 1, "id"
	sent := time.Now()
	at := func(d time.Duration) time.Time { return sent.Add(d) }
	kinds := map[string]soakKind{}
	for _, kind := range soakKinds {
		kinds[kind.name] = kind
	}
	answer := func(kind string, runs ...string) string {
		var out strings.Builder
		for n, run := range runs {
			out.WriteString(soakPart(kinds[kind], id, n+1, run))
		}
		return out.String()
	}
	events := func(kind string, count int, run string) string {
		runs := make([]string, count)
		for n := range runs {
			runs[n] = run
		}
		return answer(kind, runs...)
	}
	sound := soakArrival{server: "s", due: at(1500 * time.Millisecond)}
	other := soakArrival{server: "t", due: at(2 * time.Second)}
	broken := soakArrival{server: "s", due: at(time.Second), script: soakScript{breaksAt: 2}}
	failing := soakArrival{server: "s", due: at(time.Second), script: soakScript{fails: true}}
	refusing := soakArrival{server: "r", refused: true}
	errCut := errors.New("cut")
	all := soakParts(seed, kinds["stream"], id)
	half := all / 2
	for name, c := range map[string]struct {
		kind     string
		view     soakView
		arrivals []soakArrival
		stopped  time.Duration
		want     string
	}{
		"answered":                  {"read", soakView{status: 200, signed: true, body: answer("read", "s/0", "s/0")}, []soakArrival{refusing, sound}, 0, ""},
		"of two runs":               {"read", soakView{status: 200, signed: true, body: answer("read", "s/0", "t/0")}, []soakArrival{sound, other}, 0, "wrong content"},
		"not signed":                {"read", soakView{status: 200, body: answer("read", "s/0", "s/0")}, []soakArrival{sound}, 0, "wrong content"},
		"of no run":                 {"read", soakView{status: 200, signed: true, body: answer("read", "u/0", "u/0")}, []soakArrival{sound}, 0, "wrong content"},
		"failed":                    {"read", soakView{status: 500, signed: true, body: answer("read", "s/0", "s/0")}, []soakArrival{failing}, 0, ""},
		"failure as success":        {"read", soakView{status: 200, signed: true, body: answer("read", "s/0", "s/0")}, []soakArrival{failing}, 0, "wrong content"},
		"failure replaced":          {"read", soakView{status: 502}, []soakArrival{failing}, 0, "status 500 lost, status 502"},
		"lost for a refusal":        {"read", soakView{status: 502}, []soakArrival{sound, refusing}, 0, "lost, status 502"},
		"timed out early":           {"write", soakView{status: 504}, []soakArrival{sound}, 0, "lost, status 504"},
		"broken off":                {"write", soakView{status: 502}, []soakArrival{broken}, 0, ""},
		"broken off, then lost":     {"read", soakView{status: 502}, []soakArrival{broken, sound}, 0, "lost, status 502"},
		"given up for a broken run": {"read", soakView{status: 502}, []soakArrival{sound, broken}, 0, "lost, status 502, by a later server that broke off"},
		"goes on at a broken run":   {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0"), err: errCut}, []soakArrival{other, broken}, 0, ""},
		"before it goes on there":   {"stream", soakView{status: 200, signed: true, body: events("stream", half, "t/0"), err: errCut}, []soakArrival{other, broken}, 0, "lost, answer cut, by a later server that broke off"},
		"too late for the limit":    {"read", soakView{status: 504}, []soakArrival{{server: "s", due: at(4800 * time.Millisecond)}}, 0, ""},
		"refused":                   {"read", soakView{status: 503}, []soakArrival{refusing}, 0, ""},
		"refused after a run":       {"read", soakView{status: 503}, []soakArrival{broken, refusing}, 0, "refused after a run"},
		"rejected":                  {"read", soakView{status: 404}, nil, 0, "unexpected status"},
		"closed":                    {"write", soakView{err: errCut}, []soakArrival{sound}, 0, "lost, connection closed"},
		"crossed the close":         {"write", soakView{err: errCut, ended: at(time.Millisecond)}, nil, 0, ""},
		"closed after being held":   {"write", soakView{err: errCut}, nil, 0, "closed, never passed on"},
		"not sent whole":            {"write", soakView{err: errCut, unsent: true}, nil, 0, ""},
		"ran twice":                 {"write", soakView{status: 200, signed: true, body: answer("write", "t/0", "t/0")}, []soakArrival{sound, other}, 0, "not repeatable, ran twice; more runs than maxAttempts"},
		"stream":                    {"stream", soakView{status: 200, signed: true, body: events("stream", all, "s/0")}, []soakArrival{sound}, 0, ""},
		"resumed":                   {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0") + strings.Join(eventsOf(kinds["stream"], id, half+1, all, "t/0"), "")}, []soakArrival{sound, other}, 0, ""},
		"joined":                    {"once", soakView{status: 200, signed: true, body: events("once", half, "s/0") + strings.Join(eventsOf(kinds["once"], id, half+1, all, "t/0"), "")}, []soakArrival{sound, other}, 0, "not repeatable, ran twice; more runs than maxAttempts; wrong content"},
		"gap":                       {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0") + strings.Join(eventsOf(kinds["stream"], id, half+2, all, "s/0"), "")}, []soakArrival{sound}, 0, "wrong content"},
		"event twice":               {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0") + strings.Join(eventsOf(kinds["stream"], id, half, all, "s/0"), "")}, []soakArrival{sound}, 0, "wrong content"},
		"half an event":             {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0") + "id: 9\nda", err: errCut}, []soakArrival{broken}, 0, "wrong content"},
		"ends too early":            {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0")}, []soakArrival{broken}, 0, "wrong content"},
		"cut":                       {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0"), err: errCut}, []soakArrival{sound, refusing}, 0, "lost, answer cut"},
		"cut by its server":         {"stream", soakView{status: 200, signed: true, body: events("stream", half, "s/0"), err: errCut}, []soakArrival{broken, refusing}, 0, ""},
		"cut in the grace period":   {"stream", soakView{status: 200, signed: true, err: errCut}, []soakArrival{sound}, -time.Second, "lost, answer cut"},
		"cut at its end":            {"stream", soakView{status: 200, signed: true, err: errCut}, []soakArrival{{server: "s", due: at(4200 * time.Millisecond)}}, -2 * time.Second, ""},
		"cut there, accepted late":  {"stream", soakView{status: 200, signed: true, err: errCut}, []soakArrival{{server: "s", due: at(4200 * time.Millisecond)}}, -3100 * time.Millisecond, "lost, answer cut"},
		"cut before the signal":     {"stream", soakView{status: 200, signed: true, err: errCut, ended: at(time.Second)}, []soakArrival{{server: "s", due: at(4200 * time.Millisecond)}}, 2 * time.Second, "lost, answer cut"},
	} {
		t.Run(name, func(t *testing.T) {
			v := c.view
			v.id, v.kind, v.sent, v.limit = id, kinds[c.kind], sent, 5*time.Second
			if v.ended.IsZero() {
				v.ended = at(3 * time.Second)
			}
			var stopped time.Time
			if c.stopped != 0 {
				stopped = at(c.stopped)
			}
			var classes []string
			for _, fault := range v.judge(seed, c.arrivals, stopped) {
				classes = append(classes, fault.class)
			}
			assert.Equal(t, c.want, strings.Join(classes, "; "))
		})
	}
}

// eventsOf returns the events of a stream from first to last.
func eventsOf(kind soakKind, id string, first, last int, run string) []string {
	var out []string
	for n := first; n <= last; n++ {
		out = append(out, soakPart(kind, id, n, run))
	}
	return out
}
