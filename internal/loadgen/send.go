package loadgen

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// zipfWeight returns the unnormalized probability of a rank in a Zipf distribution.
func zipfWeight(rank int, skew float64) float64 { return math.Pow(float64(rank), -skew) }

type outcome int

const (
	noResponse outcome = iota
	answered
	refusedNotRun
	unknown
)

// measurement is the outcome of one request and its latencies from the scheduled time.
type measurement struct {
	outcome          outcome
	group            groupKey
	firstByte, total time.Duration
}

// streamEndMarker is the last event of a complete stream.
const streamEndMarker = "data: [DONE]"

func send(ctx context.Context, client *http.Client, o *Options, r request, scheduledAt time.Time) measurement {
	result := measurement{group: groupKey{class: r.class}}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":"request %d"}]}`,
		r.model, o.Tokens, o.Stream, r.number)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, r.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return result
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.class != "" {
		httpRequest.Header.Set("X-Request-Class", r.class)
	}
	if o.APIKey != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+o.APIKey)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	result.firstByte = time.Since(scheduledAt)
	result.group.cold = strings.HasPrefix(response.Header.Get("Server-Timing"), "cold;")
	answer, err := io.ReadAll(response.Body)
	result.total = time.Since(scheduledAt)
	if err == nil {
		result.outcome = outcomeOf(response.StatusCode, answer, o.Stream)
	}
	return result
}

// outcomeOf classifies a response. A stream counts as answered only if it ends with the
// end marker.
func outcomeOf(status int, answer []byte, stream bool) outcome {
	if status == http.StatusOK && (!stream || bytes.Contains(answer, []byte(streamEndMarker))) {
		return answered
	}
	var problem struct {
		Ran string `json:"ran"`
	}
	if json.Unmarshal(answer, &problem) == nil && problem.Ran == "not_run" {
		return refusedNotRun
	}
	return unknown
}

func (r *recorder) recordNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Outcomes.NotSent++
}

func (r *recorder) record(o measurement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.outcome {
	case noResponse:
		r.report.Outcomes.NoResponse++
		return
	case refusedNotRun:
		r.report.Outcomes.RefusedNotRun++
		return
	case unknown:
		r.report.Outcomes.Unknown++
		return
	}
	r.report.Outcomes.Answered++
	h, ok := r.groups[o.group]
	if !ok {
		h = newHistograms()
		r.groups[o.group] = h
	}
	// RecordValue fails only for latencies above maxMicros, which is longer than
	// any timeout in use.
	_ = h.firstByte.RecordValue(o.firstByte.Microseconds())
	_ = h.total.RecordValue(o.total.Microseconds())
}

// finish computes the percentiles of all groups, sorted by class and warm before cold.
func (r *recorder) finish(took time.Duration) *Report {
	for key, h := range r.groups {
		r.report.Groups = append(r.report.Groups, Group{
			Class: key.class, Cold: key.cold, FirstByte: percentiles(h.firstByte), Total: percentiles(h.total),
		})
	}
	slices.SortFunc(r.report.Groups, func(a, b Group) int {
		if c := cmp.Compare(a.Class, b.Class); c != 0 || a.Cold == b.Cold {
			return c
		}
		if a.Cold {
			return 1
		}
		return -1
	})
	r.report.Took = took
	return &r.report
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Percentiles{Count: h.TotalCount(), P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: time.Duration(h.Max()) * time.Microsecond}
}
