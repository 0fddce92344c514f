package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// RunnerConfig configures a stand-in of one runner.
type RunnerConfig struct {
	ID, Service, Zone, Version string
	Slots                      int
	// Models are the models that it holds; nil for a plain service.
	Models []string
	// Events and Pause are the number of events of a stream and the time before each.
	Events int
	Pause  time.Duration
	// Answer replaces the answer to a request if it isn't nil. It returns whether the channel can be used
	// for another request.
	Answer func(run *Run, w *bufio.Writer) bool
}

// Run is one request that a runner ran.
type Run struct {
	Runner, Version string
	ID, Path, Model string
	After           string
	Deadline        string
	Body            string
	Began, Ended    time.Time
	Whole           bool
	Request         *http.Request
	runner          *Runner
	conn            net.Conn
	closed          chan struct{}
	closedOnce      sync.Once
	events          int
}

// Closed is closed when the caller has closed the channel.
func (r *Run) Closed() <-chan struct{} { return r.closed }

// Order is one order that a runner got.
type Order struct {
	Runner, Operation, Model, Holder string
	Fence                            int64
	Status                           int
	At                               time.Time
}

// Runner is a stand-in of a runner that follows the users' pages.
type Runner struct {
	Cfg     RunnerConfig
	address string

	mu       sync.Mutex
	listener net.Listener
	born     int64
	runs     []*Run
	orders   []Order
	models   []string
	sequence int64
	fence    int64
	entries  int64
	conns    map[net.Conn]bool
	running  atomic.Int64
	down     bool
}

// NewRunner starts a runner on a free loopback port.
func NewRunner(cfg RunnerConfig) *Runner {
	l := listenFree()
	r := &Runner{Cfg: cfg, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), models: slices.Clone(cfg.Models), conns: map[net.Conn]bool{}}
	go r.accept()
	return r
}

// Address returns the runner's address.
func (r *Runner) Address() string { return r.address }

func (r *Runner) accept() {
	r.mu.Lock()
	l := r.listener
	r.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// Exit ends the runner: it closes its port and all channels.
func (r *Runner) Exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	r.down = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// Entry returns the runner's entry in the list of runners.
func (r *Runner) Entry(state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries++
	return mustJSON(map[string]any{
		"service": r.Cfg.Service, "address": r.Address(), "zone": r.Cfg.Zone, "version": r.Cfg.Version, "slotCount": r.Cfg.Slots,
		"state": state, "coldRemainingMs": 0, "stage": "colocated", "models": r.residents(), "sequence": r.entries, "born": r.born,
	})
}

func (r *Runner) residents() []map[string]any {
	out := []map[string]any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// Runs returns what the runner ran.
func (r *Runner) Runs() []*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// Orders returns the orders that the runner got.
func (r *Runner) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.handle(c, reader, req, body) {
			return
		}
	}
}

func (r *Runner) reply(c net.Conn, status int, head map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nCyclamenhoist-Instance-Id: %s\r\nCyclamenhoist-Runner-Load: %d,0,%d\r\n",
		status, http.StatusText(status), len(body), r.Cfg.ID, r.running.Load(), r.Cfg.Slots)
	for k, v := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

func (r *Runner) handle(c net.Conn, reader *bufio.Reader, req *http.Request, body []byte) bool {
	id := req.Header.Get("Cyclamenhoist-Attempt-Id")
	if expect := req.Header.Get("Cyclamenhoist-Expect-Instance"); expect != "" && expect != r.Cfg.ID {
		return r.reply(c, http.StatusMisdirectedRequest, map[string]string{"Cyclamenhoist-Attempt-Id": id}, "")
	}
	switch {
	case req.URL.Path == "/-/report":
		r.mu.Lock()
		report := string(mustJSON(map[string]any{
			"stage": "colocated", "models": r.residents(), "busy": false, "sequence": r.sequence, "queued": 0, "running": r.running.Load(),
			"kvUsed": 0, "kvTotal": 248900, "handleCount": 0, "born": r.born,
		}))
		r.mu.Unlock()
		return r.reply(c, http.StatusOK, map[string]string{"Content-Type": "application/json"}, report)
	case req.URL.Path == "/-/order":
		return r.reply(c, r.order(body), nil, "")
	case req.URL.Path == "/healthz":
		return r.reply(c, http.StatusOK, nil, "")
	}
	model, _, _ := strings.Cut(req.Header.Get("Cyclamenhoist-Model"), "/")
	if len(r.Cfg.Models) > 0 {
		r.mu.Lock()
		held := slices.Contains(r.models, model)
		r.mu.Unlock()
		if !held {
			return r.reply(c, http.StatusMisdirectedRequest, map[string]string{"Cyclamenhoist-Attempt-Id": id}, "")
		}
	}
	if id == "" {
		return r.reply(c, http.StatusBadRequest, map[string]string{"Cyclamenhoist-Not-Executed": "1"}, "")
	}
	run := &Run{
		Runner: r.Cfg.ID, Version: r.Cfg.Version, ID: id, Path: req.URL.RequestURI(), Model: model, After: req.Header.Get("Last-Event-Id"),
		Deadline: req.Header.Get("Cyclamenhoist-Deadline-Ms"), Body: string(body), Began: time.Now(), Request: req, runner: r, conn: c, closed: make(chan struct{}),
	}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.running.Add(1)
	defer r.running.Add(-1)
	go func() {
		// One request at a time: anything but bytes of a next request is the end of the channel.
		if _, err := reader.Peek(1); err != nil {
			run.closedOnce.Do(func() { close(run.closed) })
		}
	}()
	w := bufio.NewWriter(c)
	reusable := false
	if r.Cfg.Answer != nil {
		reusable = r.Cfg.Answer(run, w)
	} else {
		reusable = r.Stream(run, w)
	}
	r.mu.Lock()
	run.Ended = time.Now()
	r.mu.Unlock()
	// The goroutine above still peeks, so a channel serves one request.
	_ = reusable
	return false
}

// Head writes the head of a success.
func (r *Run) Head(w *bufio.Writer, more string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCyclamenhoist-Attempt-Id: %s\r\nCyclamenhoist-Response-Signature: %s\r\nCyclamenhoist-Instance-Id: %s\r\nCyclamenhoist-Runner-Load: %d,0,%d\r\nConnection: close\r\n%s\r\n",
		r.ID, "sig-"+r.Runner, r.Runner, r.runner.running.Load(), r.runner.Cfg.Slots, more)
}

// Stream answers with events, from the one after Last-Event-Id on. Each says which version made it.
func (r *Runner) Stream(run *Run, w *bufio.Writer) bool {
	after, _ := strconv.Atoi(run.After)
	run.Head(w, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for i := after + 1; i <= r.Cfg.Events; i++ {
		select {
		case <-run.closed:
			return false
		case <-time.After(r.Cfg.Pause):
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d written by %s of version %s\n\n", i, i, r.Cfg.ID, r.Cfg.Version)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return false
		}
		run.events++
	}
	_, _ = w.WriteString("0\r\n\r\n")
	run.Whole = w.Flush() == nil
	return run.Whole
}

func (r *Runner) order(body []byte) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
		Expect                            *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	held := slices.Contains(r.models, o.Model)
	switch {
	case o.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case o.Expect != nil && *o.Expect != r.sequence:
		status = http.StatusConflict
	case o.Operation == "load" && held && o.Adapter == "":
		status = http.StatusOK
	case o.Operation == "load" && o.Adapter == "":
		r.models = append(r.models, o.Model)
		r.sequence++
	case o.Operation == "unload" && o.Adapter == "":
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
		r.sequence++
	default:
		r.sequence++
	}
	r.fence = max(r.fence, o.Fence)
	r.orders = append(r.orders, Order{Runner: r.Cfg.ID, Operation: o.Operation, Model: o.Model, Holder: o.Holder, Fence: o.Fence, Status: status, At: time.Now()})
	return status
}
