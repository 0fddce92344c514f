package placer

const (
	// initialReports, minReports and maxReports bound the number of reports that are fetched at
	// once. A report has up to a few KB, so the initial number arrives within 50 ms on a link of
	// 10 Mbit/s.
	initialReports = 16
	minReports     = 4
	maxReports     = 64
	// windowSample is the number of consecutive calls that are judged together. A few servers
	// that don't respond time out too, so the window shrinks only if most calls do.
	windowSample = 8
)

// callWindow limits how many reports are fetched at once. If most calls time out, more calls at
// once would only delay each other, and orders and lease renewals with them: the window is
// halved. Each sample without a time-out enlarges it.
//
// The load pattern it answers: a new holder on a slow link needs the reports of all servers, and
// a call that times out is repeated.
//
// It isn't safe for concurrent use.
type callWindow struct {
	size, inFlight  int
	ended, timeouts int
}

func newCallWindow() *callWindow { return &callWindow{size: initialReports} }

// begin reports whether another call may begin, and counts it.
func (w *callWindow) begin() bool {
	if w.inFlight >= w.size {
		return false
	}
	w.inFlight++
	return true
}

// end records the end of a call, and whether it timed out.
func (w *callWindow) end(timedOut bool) {
	w.inFlight--
	w.ended++
	if timedOut {
		w.timeouts++
	}
	if w.ended < windowSample {
		return
	}
	switch {
	case w.timeouts > windowSample/2:
		w.size = max(w.size/2, minReports)
	case w.timeouts == 0:
		w.size = min(w.size+windowSample, maxReports)
	}
	w.ended, w.timeouts = 0, 0
}
