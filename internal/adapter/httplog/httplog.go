// Package httplog reads and appends to the platform's log service over HTTP.
//
//	POST /v1/records {"records":["base64",...]}   -> {"first":N}
//	GET  /v1/records?from=N&limit=N&wait_ms=N     -> {"oldest":N,"end":N,"records":[{"offset":N,"payload":"base64"}]}
//
// A read from before the oldest retained record is answered with 410 and the bounds
// of the log, and an append beyond the service's rate limit with 429.
package httplog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrBadPage means that the service answered with a page that is inconsistent or
// doesn't match the requested range.
var ErrBadPage = errors.New("invalid log page")

// Limits of the answers to a read and an append, and their timeouts. The timeout of a
// read is added to the wait of its long poll.
const (
	maxPageBytes   = 16 << 20
	maxAppendBytes = 4 << 10
	readTimeout    = 5 * time.Second
	appendTimeout  = 5 * time.Second
)

// Log is a port.Log over HTTP.
type Log struct {
	base   string
	client *http.Client
}

var _ port.Log = (*Log)(nil)

// New returns the log at baseURL. If c is nil, it uses a client of its own.
func New(baseURL string, c *http.Client) *Log {
	if c == nil {
		c = httpcall.NewClient()
	}
	return &Log{base: strings.TrimRight(baseURL, "/"), client: c}
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the answer to an append. First is the offset of the first record.
type AppendReply struct {
	First port.Offset `json:"first"`
}

// Entry is one record of a page.
type Entry struct {
	Offset  port.Offset `json:"offset"`
	Payload []byte      `json:"payload"`
}

// PageReply is the answer to a read. Oldest is the oldest retained offset, and End is
// the offset after the newest record.
type PageReply struct {
	Oldest  port.Offset `json:"oldest"`
	End     port.Offset `json:"end"`
	Records []Entry     `json:"records"`
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, payloads [][]byte) (port.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var reply AppendReply
	err := httpcall.JSON(ctx, l.client, http.MethodPost, l.base+"/v1/records",
		AppendRequest{Records: payloads}, &reply, maxAppendBytes)
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	if reply.First <= 0 {
		return 0, fmt.Errorf("append: %w: first offset %d", port.ErrUnknownOutcome, reply.First)
	}
	return reply.First, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, from port.Offset, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(int64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply PageReply
	err := httpcall.JSON(ctx, l.client, http.MethodGet, l.base+"/v1/records?"+query.Encode(),
		nil, &reply, maxPageBytes)
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return truncatedPage(status)
	}
	if err != nil {
		return port.Page{}, errors.Wrap(err, "read")
	}
	return toPage(reply, from)
}

// truncatedPage returns the log's bounds from an answer of status 410, and its error.
func truncatedPage(status *httpcall.StatusError) (port.Page, error) {
	var reply PageReply
	if err := json.Unmarshal(status.Body, &reply); err != nil {
		return port.Page{}, fmt.Errorf("read bounds: %w: %w", port.ErrUnknownOutcome, httpcall.ErrMalformed)
	}
	if !validBounds(reply) || reply.Oldest == 0 {
		return port.Page{}, fmt.Errorf("read bounds: %w: %w", port.ErrUnknownOutcome, ErrBadPage)
	}
	return port.Page{Oldest: reply.Oldest, End: reply.End}, errors.Wrap(status, "read")
}

func validBounds(reply PageReply) bool {
	return reply.Oldest >= 1 && reply.End >= reply.Oldest
}

// toPage checks that a page's records are in order, at or after from, and within
// its bounds. Whether a gap between offsets is an error is up to the reader.
func toPage(reply PageReply, from port.Offset) (port.Page, error) {
	if !validBounds(reply) {
		return port.Page{}, fmt.Errorf("read: %w: %w: bounds %d to %d", port.ErrUnknownOutcome, ErrBadPage, reply.Oldest, reply.End)
	}
	page := port.Page{Oldest: reply.Oldest, End: reply.End, Records: make([]port.Record, 0, len(reply.Records))}
	next := from
	for _, entry := range reply.Records {
		if entry.Offset < next || entry.Offset >= reply.End {
			return port.Page{}, fmt.Errorf("read: %w: %w: offset %d", port.ErrUnknownOutcome, ErrBadPage, entry.Offset)
		}
		page.Records = append(page.Records, port.Record{Offset: entry.Offset, Payload: entry.Payload})
		next = entry.Offset + 1
	}
	return page, nil
}
