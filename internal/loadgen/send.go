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

func weight(rank int, skew float64) float64 { return math.Pow(float64(rank), -skew) }

type ending int

const (
	noEnding ending = iota
	answered
	refusedNotRun
	unknown
)

// outcome is what became of one request.
type outcome struct {
	ending           ending
	group            groupKey
	firstByte, total time.Duration
}

const endMarker = "data: [DONE]"

func send(ctx context.Context, client *http.Client, o *Options, r request, due time.Time) outcome {
	out := outcome{group: groupKey{class: r.class}}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":"request %d"}]}`,
		r.model, o.Tokens, o.Stream, r.number)
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, r.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return out
	}
	call.Header.Set("Content-Type", "application/json")
	if r.class != "" {
		call.Header.Set("X-Request-Class", r.class)
	}
	if o.APIKey != "" {
		call.Header.Set("Authorization", "Bearer "+o.APIKey)
	}
	response, err := client.Do(call)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	out.firstByte = time.Since(due)
	out.group.cold = strings.HasPrefix(response.Header.Get("Server-Timing"), "cold;")
	answer, err := io.ReadAll(response.Body)
	out.total = time.Since(due)
	if err == nil {
		out.ending = endingOf(response.StatusCode, answer, o.Stream)
	}
	return out
}

func endingOf(status int, answer []byte, stream bool) ending {
	if status == http.StatusOK && (!stream || bytes.Contains(answer, []byte(endMarker))) {
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

func (r *recorder) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Endings.NotSent++
}

func (r *recorder) take(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.ending {
	case noEnding:
		r.report.Endings.NoEnding++
		return
	case refusedNotRun:
		r.report.Endings.RefusedNotRun++
		return
	case unknown:
		r.report.Endings.Unknown++
		return
	}
	r.report.Endings.Answered++
	h, ok := r.groups[o.group]
	if !ok {
		h = newHistograms()
		r.groups[o.group] = h
	}
	// Longer times than the histogram holds are beyond any timeout.
	_ = h.firstByte.RecordValue(o.firstByte.Microseconds())
	_ = h.total.RecordValue(o.total.Microseconds())
}

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
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}
