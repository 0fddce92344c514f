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

// logService is the platform's log.
type logService struct {
	settings LogSettings
	faults   *faultSet
	limiter  *rate.Limiter

	mu       sync.Mutex
	oldest   port.Offset
	records  [][]byte
	appended []time.Time
	grown    chan struct{}
	appends  int
	refused  int
}

func newLogService(s LogSettings, faults *faultSet) *logService {
	burst := max(1, int(s.AppendsPerSecond/10))
	return &logService{
		settings: s, faults: faults, oldest: 1, grown: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(s.AppendsPerSecond), burst),
	}
}

func (l *logService) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(inject(faultsOf{
		set:  l.faults,
		look: func() CallFaults { return l.faults.current().Log.CallFaults },
		take: func(c func(*CallFaults) *int) bool {
			return l.faults.take(func(f *Faults) *int { return c(&f.Log.CallFaults) })
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
	if l.faults.take(func(f *Faults) *int { return &f.Log.LateAppends }) {
		late := l.faults.current().Log.LateBy.D()
		time.AfterFunc(late, func() { l.append(request.Records) })
		reset(w)
		return
	}
	writeJSON(w, http.StatusOK, httplog.AppendReply{First: l.append(request.Records)})
}

func (l *logService) append(records [][]byte) port.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.end()
	now := time.Now()
	for _, record := range records {
		l.records = append(l.records, record)
		l.appended = append(l.appended, now)
	}
	l.appends++
	l.forget(now)
	close(l.grown)
	l.grown = make(chan struct{})
	return first
}

// end returns the offset of the next record; l.mu is held.
func (l *logService) end() port.Offset { return l.oldest + port.Offset(len(l.records)) }

// forget drops the records that are no longer kept; l.mu is held.
func (l *logService) forget(now time.Time) {
	drop := max(0, len(l.records)-l.settings.RetainRecords)
	for drop < len(l.records) && now.Sub(l.appended[drop]) > l.settings.RetainFor.D() {
		drop++
	}
	l.truncate(drop)
}

func (l *logService) truncate(n int) {
	if n == 0 {
		return
	}
	l.records = append([][]byte(nil), l.records[n:]...)
	l.appended = append([]time.Time(nil), l.appended[n:]...)
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
		status, page, grown := l.page(port.Offset(from), min(limit, maxReadRecords))
		if status != http.StatusOK || len(page.Records) > 0 || wait == 0 {
			writeJSON(w, status, l.distort(page))
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page reads without waiting.
func (l *logService) page(from port.Offset, limit int) (int, httplog.PageReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(time.Now())
	page := httplog.PageReply{Oldest: l.oldest, End: l.end(), Records: []httplog.Entry{}}
	// Offset 0 is "before every record", and nothing is missed between it and 1.
	from = max(from, 1)
	if from < l.oldest {
		return http.StatusGone, page, l.grown
	}
	size := 0
	for at := from; at < l.end() && len(page.Records) < limit; at++ {
		payload := l.records[at-l.oldest]
		size += len(payload)
		if size > maxReadBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, httplog.Entry{Offset: at, Payload: payload})
	}
	return http.StatusOK, page, l.grown
}

// distort applies the faults of reads to a page.
func (l *logService) distort(page httplog.PageReply) httplog.PageReply {
	if len(page.Records) == 0 {
		return page
	}
	dropped := 0
	for len(page.Records) > 0 && l.faults.take(func(f *Faults) *int { return &f.Log.DropRecords }) {
		page.Records = page.Records[1:]
		dropped++
	}
	if len(page.Records) > 0 && l.faults.take(func(f *Faults) *int { return &f.Log.DuplicateRecords }) {
		page.Records = append([]httplog.Entry{page.Records[0]}, page.Records...)
	}
	if len(page.Records) > 1 && l.faults.take(func(f *Faults) *int { return &f.Log.ReorderRecords }) {
		page.Records[0], page.Records[1] = page.Records[1], page.Records[0]
	}
	return page
}

func (l *logService) truncateBefore(offset port.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truncate(max(0, min(int(offset-l.oldest), len(l.records))))
}

func (l *logService) count(c *Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.LogAppends = l.appends
	c.LogRefused = l.refused
	c.LogEnd = l.end()
}
