package logclient_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// appendFault is what happens to one append.
type appendFault int

const (
	appendFine appendFault = iota
	// appendLost takes effect, but the answer is lost.
	appendLost
	// appendLate fails at once and takes effect later.
	appendLate
	// appendDropped fails with its outcome unknown and never takes effect.
	appendDropped
	appendRefused
	appendNotSent
	// appendHangs answers only when the caller gives up, and has no effect.
	appendHangs
	appendFaults

	// appendNotKept is answered with an offset and has no effect, which no
	// service should do.
	appendNotKept
)

// readFault is what happens to one read.
type readFault int

const (
	readFine readFault = iota
	readFails
	readHole
	readOverlap
	readHangs
	readFaults
)

// fakeLog is a log in memory with scripted faults.
type fakeLog struct {
	mu      sync.Mutex
	oldest  port.Offset
	records [][]byte
	// full holds every record ever appended.
	full    [][]byte
	grown   chan struct{}
	appends []appendFault
	reads   []readFault
	lateBy  time.Duration
	down    bool
	// calls counts appends that were asked for.
	calls int
}

func newFakeLog() *fakeLog {
	return &fakeLog{oldest: 1, grown: make(chan struct{}), lateBy: 300 * time.Millisecond}
}

func (l *fakeLog) end() port.Offset { return l.oldest + port.Offset(len(l.records)) }

func (l *fakeLog) add(payloads [][]byte) port.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.end()
	l.records = append(l.records, payloads...)
	l.full = append(l.full, payloads...)
	close(l.grown)
	l.grown = make(chan struct{})
	return first
}

func (l *fakeLog) nextAppend() (fault appendFault, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if len(l.appends) > 0 {
		fault, l.appends = l.appends[0], l.appends[1:]
	}
	return fault, l.down
}

func (l *fakeLog) Append(ctx context.Context, payloads [][]byte) (port.Offset, error) {
	time.Sleep(time.Millisecond)
	fault, down := l.nextAppend()
	if down {
		return 0, port.ErrRefused
	}
	switch fault {
	case appendLost:
		l.add(payloads)
		return 0, port.ErrUnknownOutcome
	case appendLate:
		time.AfterFunc(l.lateBy, func() { l.add(payloads) })
		return 0, port.ErrUnknownOutcome
	case appendDropped:
		return 0, port.ErrUnknownOutcome
	case appendRefused:
		return 0, port.ErrRefused
	case appendNotSent:
		return 0, port.ErrNotSent
	case appendNotKept:
		return port.Offset(1), nil
	case appendHangs:
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", port.ErrUnknownOutcome, ctx.Err())
	}
	return l.add(payloads), nil
}

func (l *fakeLog) nextRead() (fault readFault, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reads) > 0 {
		fault, l.reads = l.reads[0], l.reads[1:]
	}
	return fault, l.down
}

func (l *fakeLog) Read(ctx context.Context, from port.Offset, limit int, wait time.Duration) (port.Page, error) {
	time.Sleep(time.Millisecond)
	fault, down := l.nextRead()
	switch {
	case down || fault == readFails:
		return port.Page{}, port.ErrUnknownOutcome
	case fault == readHangs:
		<-ctx.Done()
		return port.Page{}, ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown, err := l.page(from, limit)
		if err != nil || len(page.Records) > 0 {
			return distort(page, fault), err
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return port.Page{}, ctx.Err()
		}
	}
}

func (l *fakeLog) page(from port.Offset, limit int) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := port.Page{Oldest: l.oldest, End: l.end()}
	if from < l.oldest {
		return page, l.grown, port.ErrTruncated
	}
	for at := from; at < l.end() && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, port.Record{Offset: at, Payload: l.records[at-l.oldest]})
	}
	return page, l.grown, nil
}

func distort(page port.Page, fault readFault) port.Page {
	switch n := len(page.Records); {
	case fault == readHole && n > 1:
		page.Records = append(page.Records[:n-2:n-2], page.Records[n-1])
	case fault == readOverlap && n > 0:
		page.Records = append([]port.Record{page.Records[0]}, page.Records...)
	}
	return page
}

// forget drops the records before an offset.
func (l *fakeLog) forget(before port.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := max(0, min(int(before-l.oldest), len(l.records)))
	l.records = l.records[n:]
	l.oldest += port.Offset(n)
}

// forgetThroughSnapshot drops what the newest snapshot on the log covers, as a
// retention does that snapshots keep ahead of.
func (l *fakeLog) forgetThroughSnapshot() {
	_, records := l.all()
	through := port.Offset(0)
	for _, payload := range records {
		if r, err := record.Unmarshal(payload); err == nil && r.GetSnapshot() != nil {
			through = max(through, port.Offset(r.GetSnapshot().Through))
		}
	}
	l.forget(through + 1)
}

// cutLog is one client's way to the log, which can be cut.
type cutLog struct {
	*fakeLog
	cut atomic.Bool
}

func (l *cutLog) Append(ctx context.Context, payloads [][]byte) (port.Offset, error) {
	if l.cut.Load() {
		return 0, port.ErrNotSent
	}
	return l.fakeLog.Append(ctx, payloads)
}

func (l *cutLog) Read(ctx context.Context, from port.Offset, limit int, wait time.Duration) (port.Page, error) {
	if l.cut.Load() {
		return port.Page{}, port.ErrNotSent
	}
	page, err := l.fakeLog.Read(ctx, from, limit, wait)
	if l.cut.Load() {
		return port.Page{}, port.ErrUnknownOutcome
	}
	return page, err
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) all() (port.Offset, [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oldest, l.records
}
