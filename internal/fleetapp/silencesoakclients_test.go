package fleetapp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// soakView is what a client sees of one request.
type soakView struct {
	id   string
	kind soakKind
	// process is the one that the client is connected to.
	process *soakProcess
	limit   time.Duration
	// sent is when the client began to send. unsent means that it couldn't send everything.
	sent, ended time.Time
	unsent      bool
	// nth counts the requests on the connection.
	nth int
	// status is 0 without an answer. err is nil if the answer is complete by its framing.
	status int
	signed bool
	body   string
	closes bool
	err    error
	// retryAfter is when the client may return after a refusal.
	retryAfter time.Duration
}

// soakClient sends one request after the other, on a connection that it keeps as long as it can.
type soakClient struct {
	name      string
	plan      *soakPlan
	random    *rand.Rand
	instances []*soakInstance
	// home is the instance that it connects to as long as that listens. Without stays, it connects to
	// any other one after an instance has closed a connection.
	home  int
	stays bool

	process *soakProcess
	conn    net.Conn
	reader  *bufio.Reader
	onConn  int
}

// soakAnswerSlack is how much longer than a request's time limit a client waits.
const soakAnswerSlack = 2 * time.Second

// run sends requests until ctx ends, and returns what came of them.
func (c *soakClient) run(ctx context.Context) []soakView {
	defer c.disconnect()
	var views []soakView
	for n := 0; ctx.Err() == nil; n++ {
		if !c.connect(ctx) {
			return views
		}
		kind := soakKinds[[]int{0, 0, 0, 1, 2, 2, 3}[c.random.IntN(7)]]
		v := soakView{
			id: fmt.Sprint(c.name, "-", n), kind: kind, process: c.process, nth: c.onConn,
			limit: time.Duration(4000+c.random.IntN(3000)) * time.Millisecond,
		}
		c.exchange(&v)
		c.onConn++
		views = append(views, v)
		if v.err != nil || v.closes {
			c.disconnect()
			if !c.stays {
				c.home = c.random.IntN(len(c.instances))
			}
		}
		pause := time.Duration(c.random.IntN(150)) * time.Millisecond
		wait(ctx, max(pause, v.retryAfter))
	}
	return views
}

// connect connects unless there is a connection. It reports false if ctx ends before.
func (c *soakClient) connect(ctx context.Context) bool {
	for at := c.home; c.conn == nil; at = c.random.IntN(len(c.instances)) {
		if ctx.Err() != nil {
			return false
		}
		p := c.instances[at].current()
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.front)
		if err != nil {
			wait(ctx, 20*time.Millisecond)
			continue
		}
		c.process, c.conn, c.reader, c.onConn = p, conn, bufio.NewReader(conn), 0
	}
	return true
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads its answer.
func (c *soakClient) exchange(v *soakView) {
	body := strings.Repeat("x", 10+c.random.IntN(3000))
	if c.random.IntN(20) == 0 {
		body = strings.Repeat("x", 60_000)
	}
	message := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		v.kind.name, soakHost, standin.HeaderID, v.id, standin.HeaderDeadline, v.limit.Milliseconds(),
		standin.HeaderModel, soakModel, len(body), body)
	v.sent = time.Now()
	defer func() { v.ended = time.Now() }()
	_ = c.conn.SetDeadline(v.sent.Add(v.limit + soakAnswerSlack))
	if _, v.err = io.WriteString(c.conn, message); v.err != nil {
		v.unsent = true
		return
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		v.err = err
		return
	}
	defer resp.Body.Close()
	v.status, v.closes = resp.StatusCode, resp.Close
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		v.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	v.signed = resp.Header.Get(standin.HeaderSignature) != ""
	answer, err := io.ReadAll(resp.Body)
	v.body, v.err = string(answer), err
}
