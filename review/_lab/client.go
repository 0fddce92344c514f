package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reply is how one request ended.
type reply struct {
	id, model, path string
	sent            time.Time
	took            time.Duration
	// status is 0 if no answer came.
	status int
	body   string
	err    error
	signed bool
	// instance is where the request was sent, and server the runner that answered. headAt is when the head
	// of the answer came, and limited means that it names a limit.
	instance, server string
	headAt           time.Time
	limited          bool
}

// served reports whether the client got a complete success.
func (r reply) served() bool { return r.status == http.StatusOK && r.err == nil && r.signed }

// client sends requests, each on a channel of its own.
type client struct {
	rec  *recorder
	http *http.Client
	next atomic.Int64

	mu      sync.Mutex
	replies []reply
	pending sync.WaitGroup
}

func newClient(rec *recorder) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// request is what a client sends.
type request struct {
	method, path, model, body string
	limit                     time.Duration
}

// send sends one request to an instance in the background.
func (c *client) send(to *instance, q request) {
	id := fmt.Sprintf("%016x", c.next.Add(1))
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		r := c.exchange(to, id, q)
		c.rec.printf("request %s, model %s, sent to %s at %.3f: status %d, %v, after %d ms", id, q.model, to.name, c.rec.since(r.sent), r.status, r.err, r.took.Milliseconds())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.replies = append(c.replies, r)
	}()
}

func (c *client) exchange(to *instance, id string, q request) reply {
	r := reply{id: id, model: q.model, path: q.path, sent: time.Now(), instance: to.name}
	defer func() { r.took = time.Since(r.sent) }()
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+to.front+q.path, strings.NewReader(q.body))
	check(err)
	req.Host = host
	req.Header.Set("Cyclamenhoist-Attempt-Id", id)
	req.Header.Set("Cyclamenhoist-Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	if q.model != "" {
		req.Header.Set("Cyclamenhoist-Model", q.model)
		req.Header.Set("Cyclamenhoist-Token-Usage", "646,56")
		req.Header.Set("Cyclamenhoist-Prompt-Prefix", "5c1e07a2:155,"+id[8:]+":491")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.err, r.took = err, time.Since(r.sent)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.headAt, r.server, r.limited = time.Now(), resp.Header.Get("Cyclamenhoist-Instance-Id"), resp.Header.Get("Server-Limit") != ""
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err, r.signed = resp.StatusCode, string(body), err, resp.Header.Get("Cyclamenhoist-Response-Signature") != ""
	r.took = time.Since(r.sent)
	return r
}

// all returns the replies once no request is open.
func (c *client) all() []reply {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies
}
