package fleetapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// soakSlack is the time for which an answer may be on its way, and a closed connection unnoticed.
	soakSlack = 500 * time.Millisecond
	// soakAcceptTime is the time after SIGTERM until which a request that a server still runs in the last
	// soakLastShare of the grace period may be cut.
	soakAcceptTime = 3 * time.Second
	soakLastShare  = 6
)

// soakFault is a broken promise.
type soakFault struct {
	// class names the promise, for counts.
	class, details string
}

// judge returns what is wrong with the answer to a request, given what arrived at servers and when the
// process that got it was stopped; zero if it wasn't.
func (v *soakView) judge(seed uint64, arrivals []soakArrival, stopped time.Time) (faults []soakFault) {
	add := func(class, format string, args ...any) {
		faults = append(faults, soakFault{class, fmt.Sprintf(format, args...)})
	}
	var runs []soakArrival
	for _, a := range arrivals {
		if !a.refused {
			runs = append(runs, a)
		}
	}
	if !v.kind.repeatable && len(runs) > 1 {
		add("not repeatable, ran twice", "%d runs", len(runs))
	}
	if len(runs) > v.kind.maxAttempts {
		add("more runs than maxAttempts", "%d runs", len(runs))
	}
	if (v.status == http.StatusServiceUnavailable || v.status == http.StatusTooManyRequests) && len(runs) > 0 {
		add("refused after a run", "status %d, %d runs", v.status, len(runs))
		return faults
	}
	if v.status == http.StatusOK || v.signed {
		if why := v.checkContent(seed, runs); why != "" {
			add("wrong content", "%s", why)
		}
		if v.err == nil {
			return faults
		}
	}
	switch {
	case v.err == nil && (v.status == http.StatusServiceUnavailable || v.status == http.StatusTooManyRequests):
		return faults
	case v.err == nil && v.status != http.StatusBadGateway && v.status != http.StatusGatewayTimeout:
		add("unexpected status", "%d", v.status)
		return faults
	}
	limit := v.mustEndBy(stopped)
	for _, a := range runs {
		if in := limit.Sub(a.due); a.sound() && in >= soakSlack && !v.goesOnAt(runs[len(runs)-1]) {
			class := v.lossClass(a)
			if last := runs[len(runs)-1]; !last.sound() {
				class += ", by a later server that broke off"
			}
			add(class, "%s would have ended the answer %v after the client lost it, %v before it had to",
				a.run(), a.due.Sub(v.ended).Round(time.Millisecond), in.Round(time.Millisecond))
			return faults
		}
	}
	if held := v.ended.Sub(v.sent); !v.unsent && v.status == 0 && len(arrivals) == 0 && held > soakSlack {
		add("closed, never passed on", "held for %v", held.Round(time.Millisecond))
	}
	return faults
}

// goesOnAt reports whether the client has events of a server that then broke off: the stream went on there,
// and a server that breaks off excuses the instance.
func (v *soakView) goesOnAt(a soakArrival) bool {
	return v.kind.stream && v.status == http.StatusOK && a.script.breaksAt > 0 && strings.Contains(v.body, " "+a.run()+"\n")
}

// mustEndBy returns the end of the time in which an answer must be complete.
func (v *soakView) mustEndBy(stopped time.Time) time.Time {
	limit := v.sent.Add(v.limit)
	if stopped.IsZero() || v.ended.Before(stopped) || v.sent.After(stopped.Add(soakAcceptTime)) {
		return limit
	}
	if last := stopped.Add(soakGrace - soakGrace/soakLastShare); last.Before(limit) {
		return last
	}
	return limit
}

// lossClass names how an answer was lost that a server would have completed.
func (v *soakView) lossClass(a soakArrival) string {
	what := "lost"
	if a.script.fails {
		what = "status 500 lost"
	}
	switch v.status {
	case 0:
		return what + ", connection closed"
	case http.StatusOK:
		return what + ", answer cut"
	default:
		return fmt.Sprint(what, ", status ", v.status)
	}
}

// checkContent returns what is wrong with a server's answer, which is as long as the client got it.
func (v *soakView) checkContent(seed uint64, runs []soakArrival) string {
	if !v.signed {
		return fmt.Sprintf("status %d without a signature", v.status)
	}
	parts := soakParts(seed, v.kind, v.id)
	if !v.kind.stream {
		for _, a := range runs {
			whole := soakPart(v.kind, v.id, 1, a.run()) + soakPart(v.kind, v.id, parts, a.run())
			if a.script.fails == (v.status == http.StatusInternalServerError) && (v.body == whole || v.err != nil && strings.HasPrefix(whole, v.body)) {
				return ""
			}
		}
		return fmt.Sprintf("status %d, %q is the answer of no run", v.status, v.body)
	}
	if v.status != http.StatusOK {
		return fmt.Sprintf("status %d", v.status)
	}
	first, rest := "", v.body
	for part := 1; rest != ""; part++ {
		end := strings.Index(rest, "\n\n") + 2
		if end < 2 {
			return fmt.Sprintf("incomplete event %q", rest)
		}
		run := strings.TrimSpace(rest[strings.LastIndex(rest[:end], " ")+1 : end])
		switch {
		case rest[:end] != soakPart(v.kind, v.id, part, run) || !hasSoakRun(runs, run):
			return fmt.Sprintf("event %d is %q", part, rest[:end])
		case first != "" && run != first && !v.kind.repeatable:
			return fmt.Sprintf("events of %s and %s", first, run)
		case part > parts:
			return fmt.Sprintf("more than %d events", parts)
		}
		first, rest = run, rest[end:]
	}
	if got := strings.Count(v.body, "\n\n"); v.err == nil && got < parts {
		return fmt.Sprintf("looks complete after %d of %d events", got, parts)
	}
	return ""
}

func hasSoakRun(runs []soakArrival, name string) bool {
	for _, a := range runs {
		if a.run() == name {
			return true
		}
	}
	return false
}

// describe tells a request's story, with times relative to its sending.
func (v *soakView) describe(seed uint64, arrivals []soakArrival, stopped time.Time) string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprint(at.Sub(v.sent).Milliseconds(), " ms")
	}
	var out strings.Builder
	fmt.Fprintf(&out, "request %s (%s, limit %v) at %s, request %d of its connection, ended at %s: status %d, signed %v, %d bytes, error %v; SIGTERM at %s",
		v.id, v.kind.name, v.limit, v.process.instance, v.nth, since(v.ended), v.status, v.signed, len(v.body), v.err, since(stopped))
	if v.kind.stream {
		fmt.Fprintf(&out, "; %d of %d events", strings.Count(v.body, "\n\n"), soakParts(seed, v.kind, v.id))
	}
	for _, a := range arrivals {
		if a.refused {
			fmt.Fprintf(&out, "\n    at %s: %s refused", since(a.at), a.run())
			continue
		}
		fmt.Fprintf(&out, "\n    at %s: %s ran it from part %d on, due %s, silent for %v before part %d, breaks off before part %d, fails %v; ended %s, canceled %s",
			since(a.at), a.run(), a.script.from, since(a.due), a.script.silence, a.script.silentAt, a.script.breaksAt, a.script.fails,
			since(a.ended), since(a.canceled))
	}
	return out.String()
}
