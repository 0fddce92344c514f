package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httplog"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Limits of the log service.
const (
	maxReadRecords   = 1000
	maxReadBytes     = 4 << 20
	maxAppendRecords = 256
	maxReadWait      = 60 * time.Second
)

// logService is the log of the platform: an append-only sequence of records with
// limited retention, which readers follow with long polls.
type logService struct {
	settings LogSettings
	faults   *faultSet
	limiter  *rate.Limiter

	mu sync.Mutex
	// oldest is the offset of records[0].
	oldest     port.Offset
	records    [][]byte
	appendedAt []time.Time
	// changed is closed and replaced at each append.
	changed chan struct{}
	appends int
	refused int
}

func newLogService(s LogSettings, faults *faultSet) *logService {
	burst := max(1, int(s.AppendsPerSecond/10))
	return &logService{
		settings: s, faults: faults, oldest: 1, changed: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(s.AppendsPerSecond), burst),
	}
}

func (l *logService) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(injectFaults(faultSource{
		set:     l.faults,
		current: func() CallFaults { return l.faults.current().Log.CallFaults },
		consume: func(c func(*CallFaults) *int) bool {
			return l.faults.consume(func(f *Faults) *int { return c(&f.Log.CallFaults) })
		},
	}))
	r.Post("/v1/records", l.serveAppend)
	r.Get("/v1/records", l.serveRead)
	return r
}

func (l *logService) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request httplog.AppendRequest
	if !readJSON(w, r, &request) {
		return
	}
	if len(request.Records) == 0 || len(request.Records) > maxAppendRecords {
		writeError(w, http.StatusRequestEntityTooLarge, "number of records")
		return
	}
	if !l.limiter.Allow() {
		l.mu.Lock()
		l.refused++
		l.mu.Unlock()
		writeError(w, http.StatusTooManyRequests, "append rate")
		return
	}
	if l.faults.consume(func(f *Faults) *int { return &f.Log.LateAppends }) {
		late := l.faults.current().Log.LateBy.D()
		time.AfterFunc(late, func() { l.append(request.Records) })
		resetConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, httplog.AppendReply{First: l.append(request.Records)})
}

// append adds the records and returns the offset of the first one.
func (l *logService) append(records [][]byte) port.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.nextOffset()
	now := time.Now()
	for _, record := range records {
		l.records = append(l.records, record)
		l.appendedAt = append(l.appendedAt, now)
	}
	l.appends++
	l.applyRetention(now)
	close(l.changed)
	l.changed = make(chan struct{})
	return first
}

// nextOffset returns the offset of the next record. The caller must hold l.mu.
func (l *logService) nextOffset() port.Offset { return l.oldest + port.Offset(len(l.records)) }

// applyRetention drops the records beyond the retention limits. The caller must
// hold l.mu.
func (l *logService) applyRetention(now time.Time) {
	drop := max(0, len(l.records)-l.settings.RetainRecords)
	for drop < len(l.records) && now.Sub(l.appendedAt[drop]) > l.settings.RetainFor.D() {
		drop++
	}
	l.dropOldest(drop)
}

// dropOldest drops the n oldest records. The caller must hold l.mu.
func (l *logService) dropOldest(n int) {
	if n == 0 {
		return
	}
	l.records = append([][]byte(nil), l.records[n:]...)
	l.appendedAt = append([]time.Time(nil), l.appendedAt[n:]...)
	l.oldest += port.Offset(n)
}

func (l *logService) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	waitMS, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || limitErr != nil || waitErr != nil || from < 0 || limit < 1 || waitMS < 0 {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		status, page, changed := l.page(port.Offset(from), min(limit, maxReadRecords))
		if status != http.StatusOK || len(page.Records) > 0 || wait == 0 {
			writeJSON(w, status, l.injectReadFaults(page))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the HTTP status and the records from an offset on without waiting,
// and a channel that is closed at the next append.
func (l *logService) page(from port.Offset, limit int) (int, httplog.PageReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyRetention(time.Now())
	page := httplog.PageReply{Oldest: l.oldest, End: l.nextOffset(), Records: []httplog.Entry{}}
	// Offset 0 means "from the first record". Records start at offset 1, so a read
	// from 0 misses nothing.
	from = max(from, 1)
	if from < l.oldest {
		return http.StatusGone, page, l.changed
	}
	size := 0
	for at := from; at < l.nextOffset() && len(page.Records) < limit; at++ {
		payload := l.records[at-l.oldest]
		size += len(payload)
		if size > maxReadBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, httplog.Entry{Offset: at, Payload: payload})
	}
	return http.StatusOK, page, l.changed
}

// injectReadFaults applies the read faults to a page of records.
func (l *logService) injectReadFaults(page httplog.PageReply) httplog.PageReply {
	if len(page.Records) == 0 {
		return page
	}
	dropped := 0
	for len(page.Records) > 0 && l.faults.consume(func(f *Faults) *int { return &f.Log.DropRecords }) {
		page.Records = page.Records[1:]
		dropped++
	}
	if len(page.Records) > 0 && l.faults.consume(func(f *Faults) *int { return &f.Log.DuplicateRecords }) {
		page.Records = append([]httplog.Entry{page.Records[0]}, page.Records...)
	}
	if len(page.Records) > 1 && l.faults.consume(func(f *Faults) *int { return &f.Log.ReorderRecords }) {
		page.Records[0], page.Records[1] = page.Records[1], page.Records[0]
	}
	return page
}

func (l *logService) truncateBefore(offset port.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOldest(max(0, min(int(offset-l.oldest), len(l.records))))
}

func (l *logService) addCounters(c *Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.LogAppends = l.appends
	c.LogRefused = l.refused
	c.LogEnd = l.nextOffset()
}
