package lab

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// NewID returns the ID of a client attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Answer is what a client got in one attempt.
type Answer struct {
	Status int
	Header http.Header
	// Body is what arrived of the body. Whole means that all of it did.
	Body  []byte
	Whole bool
	// Err is why the answer isn't whole.
	Err  error
	Took time.Duration
}

// RetryAfter returns the time that the answer states.
func (a Answer) RetryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Request is one client attempt.
type Request struct {
	Method, Host, Path string
	Header             map[string]string
	Body               string
}

// Encode returns the bytes of the request.
func (r Request) Encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	for k, v := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.Bytes()
}

// Send sends a request on a new channel and reads the answer.
func Send(address string, r Request, limit time.Duration) Answer {
	started := time.Now()
	done := func(a Answer) Answer { a.Took = time.Since(started); return a }
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return done(Answer{Header: http.Header{}, Err: err})
	}
	defer c.Close()
	_ = c.SetDeadline(started.Add(limit))
	if _, err := c.Write(r.Encode()); err != nil {
		return done(Answer{Header: http.Header{}, Err: err})
	}
	return done(ReadAnswer(bufio.NewReader(c), r.Method))
}

// ReadAnswer reads an answer to its end.
func ReadAnswer(from *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return Answer{Header: http.Header{}, Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Whole: err == nil, Err: err}
}

// Event is one complete event of a stream.
type Event struct {
	ID   int
	Text string
}

// Events returns the complete events of a body.
func Events(body []byte) []Event {
	var out []Event
	for {
		event, rest, found := bytes.Cut(body, []byte("\n\n"))
		if !found {
			return out
		}
		body = rest
		e := Event{Text: string(event)}
		for _, line := range bytes.Split(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.ID, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
			}
		}
		out = append(out, e)
	}
}
