package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenhoist/cyclamenhoist/internal/app"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
)

const (
	burstRequests = 200
	burstModel    = "protest-review"
	burstTokens   = 8
	entryPath     = "/entries/crew"
	entryKey      = "crew-entry-1"
	// entryAttempts is the number of instances to which the entry is sent
	// concurrently.
	entryAttempts = 2
	// requestTimeout is the timeout of one request of the burst.
	requestTimeout = 15 * time.Second
)

// Result holds the outcome of a burst.
type Result struct {
	Answered int `json:"answered"`
	// Refused counts requests that were refused and not run, Unknown those that
	// may have run, and Dropped those that got no complete answer.
	Refused int `json:"refused"`
	// Reasons counts the refusals by the problem detail in the answer.
	Reasons map[string]int `json:"reasons"`
	Unknown int            `json:"unknown"`
	Dropped int            `json:"dropped"`
	// Wrong counts answers that differ from what the engine generates.
	Wrong        int           `json:"wrong"`
	LoadsDecided int           `json:"loads_decided"`
	LoadsSeen    int           `json:"loads_seen"`
	Overcommits  int           `json:"overcommits"`
	EntryAnswers int           `json:"entry_answers"`
	EntryRuns    int           `json:"entry_runs"`
	ColdP50      time.Duration `json:"cold_p50_ns"`
	ColdP99      time.Duration `json:"cold_p99_ns"`
}

// Violations lists the guarantees that the burst found violated.
func (r *Result) Violations() []string {
	var broken []string
	check := func(ok bool, text string) {
		if !ok {
			broken = append(broken, text)
		}
	}
	check(r.Answered+r.Refused+r.Unknown+r.Dropped == burstRequests, "every request has one ending")
	check(r.Answered > 0, "some requests are answered")
	check(r.Dropped == 0, "no request is dropped")
	check(r.Wrong == 0, "every answer is whole and its own")
	check(r.LoadsSeen <= r.LoadsDecided, "no more replicas are loaded than decided")
	check(r.LoadsDecided == 1, "one load is decided for the burst")
	check(r.Overcommits == 0, "memory is never overcommitted")
	check(r.EntryRuns == 1, "the entry runs once")
	check(r.EntryAnswers > 0, "the entry is answered")
	return broken
}

// Burst concurrently sends requests for one cold model to all instances, and one
// entry that mustn't run twice to two of them.
func (c *Cluster) Burst(ctx context.Context) (*Result, error) {
	b := &burst{
		cluster: c, histogram: hdrhistogram.New(1, requestTimeout.Microseconds()*2, 3),
		result: Result{Reasons: map[string]int{}},
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: burstRequests}},
	}
	var all sync.WaitGroup
	for n := range burstRequests {
		all.Go(func() { b.requestCompletion(ctx, c.Instances[n%len(c.Instances)], n) })
	}
	for n := range entryAttempts {
		all.Go(func() { b.submitEntry(ctx, c.Instances[n*instancesPerZone%len(c.Instances)]) })
	}
	all.Wait()
	return b.collectCounters(ctx)
}

type burst struct {
	cluster   *Cluster
	client    *http.Client
	mu        sync.Mutex // guards result and histogram
	result    Result
	histogram *hdrhistogram.Histogram
}

func (b *burst) record(f func(*Result)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.result)
}

type chatAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (b *burst) requestCompletion(ctx context.Context, to *app.Instance, n int) {
	prompt := fmt.Sprintf("protest file %d", n)
	body := fmt.Sprintf(`{"model": %q, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, burstModel, burstTokens, prompt)
	began := time.Now()
	status, answer, err := b.post(ctx, to, "/v1/chat/completions", "", body)
	took := time.Since(began)
	b.record(func(r *Result) {
		switch {
		case err != nil:
			r.Dropped++
		case status == http.StatusOK:
			r.Answered++
			_ = b.histogram.RecordValue(took.Microseconds())
			if !answerMatches(answer, prompt) {
				r.Wrong++
			}
		case parseProblem(answer).Ran == "not_run":
			r.Refused++
			r.Reasons[parseProblem(answer).Detail]++
		default:
			r.Unknown++
		}
	})
}

func answerMatches(answer []byte, prompt string) bool {
	var chat chatAnswer
	if json.Unmarshal(answer, &chat) != nil || len(chat.Choices) != 1 {
		return false
	}
	full := standin.ChatPrompt([]standin.Message{{Role: "user", Content: prompt}})
	return chat.Choices[0].Message.Content == strings.Join(standin.Answer(burstModel, full, burstTokens), "")
}

// problem holds the members of a problem answer that the burst evaluates.
type problem struct {
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
}

func parseProblem(answer []byte) problem {
	var p problem
	if json.Unmarshal(answer, &p) != nil {
		return problem{}
	}
	return p
}

func (b *burst) submitEntry(ctx context.Context, to *app.Instance) {
	status, _, err := b.post(ctx, to, entryPath, entryKey, `{"crew": "8+", "lane": 4}`)
	if err == nil && status == http.StatusOK {
		b.record(func(r *Result) { r.EntryAnswers++ })
	}
}

func (b *burst) post(ctx context.Context, to *app.Instance, path, key, body string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.CallersAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// collectCounters completes the result with the counters of the stand-ins and the
// decisions of the lease holders.
func (b *burst) collectCounters(ctx context.Context) (*Result, error) {
	r := b.result
	counters := b.cluster.Platform.Counters()
	r.LoadsSeen = counters.Loads[burstModel]
	r.Overcommits = counters.Overcommits
	r.EntryRuns = counters.PlainRuns[entryKey]
	r.ColdP50 = time.Duration(b.histogram.ValueAtQuantile(50)) * time.Microsecond
	r.ColdP99 = time.Duration(b.histogram.ValueAtQuantile(99)) * time.Microsecond
	seen := map[string]bool{}
	for _, i := range b.cluster.Instances {
		explained, err := b.cluster.operator(i).Explain(ctx, burstModel)
		if err != nil {
			return nil, err
		}
		for server := range explained.Decisions.Replicas {
			seen[string(server)] = true
		}
	}
	r.LoadsDecided = len(seen)
	return &r, nil
}
