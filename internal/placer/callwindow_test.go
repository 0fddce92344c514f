package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// linkReplay replays how a new holder fetches the reports of all servers, in steps of a
// millisecond, over a link that transfers one message after the other.
type linkReplay struct {
	// bytesPerMs is the bandwidth of the link, and otherBytesPerMs the part of it that placements
	// and demand take.
	bytesPerMs, otherBytesPerMs float64
	servers                     int
	// darkEvery is the interval of servers that never respond; 0 if all do.
	darkEvery int
	window    *callWindow
}

const (
	replayedReportBytes = 3000
	replayedTimeout     = 300 // ms, as platform.OrderTimeout
)

func (r linkReplay) isDark(server int) bool { return r.darkEvery > 0 && server%r.darkEvery == 0 }

// run returns how many reports have been read after the time, and how long the last one took.
func (r linkReplay) run(duration time.Duration) (read, lastMs int) {
	type call struct{ server, began int }
	retryAt := make([]int, r.servers)
	tracked := make([]trackedServer, r.servers)
	known, inFlight := make([]bool, r.servers), make([]bool, r.servers)
	var queue []call
	credit := 0.0
	for now := range int(duration.Milliseconds()) {
		for i := range r.servers {
			if !known[i] && !inFlight[i] && retryAt[i] <= now && r.window.begin() {
				inFlight[i] = true
				queue = append(queue, call{i, now})
			}
		}
		credit = min(credit+r.bytesPerMs-r.otherBytesPerMs, 2*replayedReportBytes)
		waiting := queue[:0]
		for _, c := range queue {
			switch {
			case !r.isDark(c.server) && credit >= replayedReportBytes && now-c.began < replayedTimeout:
				credit -= replayedReportBytes
				known[c.server], inFlight[c.server] = true, false
				read++
				lastMs = now
				r.window.end(false)
			case now-c.began >= replayedTimeout:
				// What was sent of the response in vain has used the link.
				credit -= replayedReportBytes / 2
				inFlight[c.server], retryAt[c.server] = false, now+int(tracked[c.server].retryDelay().Milliseconds())
				r.window.end(true)
			default:
				waiting = append(waiting, c)
			}
		}
		queue = waiting
	}
	return read, lastMs
}

// TestNewHolderOnASlowLinkReadsAllReports: a new holder with a link of 20 Mbit/s, most of which
// the placement took, asked all servers at once. Nearly all calls timed out and were repeated:
// 2,596 in 14 s.
func TestNewHolderOnASlowLinkReadsAllReports(t *testing.T) {
	for name, link := range map[string]struct{ mbps, otherShare float64 }{"10 Mbit/s": {10, 0.8}, "20 Mbit/s": {20, 0.9}} {
		t.Run(name, func(t *testing.T) {
			bytesPerMs := link.mbps * 1000 / 8
			replay := linkReplay{bytesPerMs: bytesPerMs, otherBytesPerMs: link.otherShare * bytesPerMs, servers: 140}
			replay.window = &callWindow{size: 140}
			unlimited, _ := replay.run(2 * time.Second)
			assert.Less(t, unlimited, 140, "all calls at once")
			replay.window = newCallWindow()
			read, lastMs := replay.run(4 * time.Second)
			assert.Equal(t, 140, read)
			assert.Less(t, lastMs, 3000)
		})
	}
}

// Servers that don't respond must not slow down the reports of the others.
func TestDarkServersDontDelayReportsOfOthers(t *testing.T) {
	replay := linkReplay{bytesPerMs: 20_000, servers: 140, darkEvery: 4, window: newCallWindow()}
	read, lastMs := replay.run(3 * time.Second)
	assert.Equal(t, 105, read)
	assert.Less(t, lastMs, 1500)
}

func TestCallWindowIsBounded(t *testing.T) {
	w := newCallWindow()
	for range 100 {
		if w.begin() {
			w.end(true)
		}
	}
	assert.Equal(t, minReports, w.size)
	for range 1000 {
		if w.begin() {
			w.end(false)
		}
	}
	assert.Equal(t, maxReports, w.size)
}
