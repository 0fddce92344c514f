package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

var (
	// ErrUnreachable means that the instance didn't answer, or that its answer
	// was incomplete or malformed.
	ErrUnreachable = errors.New("instance unreachable")
	// ErrFailed means that the instance answered with a status other than 200.
	ErrFailed = errors.New("request failed at the instance")
)

// FailedError is an ErrFailed with the status and the Failure of the answer.
type FailedError struct {
	Status  int
	Failure Failure
}

// Error returns the detail of the Failure.
func (e *FailedError) Error() string { return e.Failure.Detail }

// Is reports whether target is ErrFailed.
func (*FailedError) Is(target error) bool { return target == ErrFailed }

// Client calls the operators' API of one instance. Its methods return ErrUnreachable
// or a *FailedError.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the instance whose operators' API has the base URL.
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: c}
}

const maxAnswerBytes = 64 << 20

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		failed := &FailedError{Status: response.StatusCode}
		if json.Unmarshal(answer, &failed.Failure) != nil || failed.Failure.Detail == "" {
			failed.Failure.Detail = "status " + strconv.Itoa(response.StatusCode)
		}
		return failed
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	return nil
}

// Status returns the instance's status.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	return &s, c.do(ctx, http.MethodGet, "/status", nil, &s)
}

// Explain returns why a model is or isn't loaded, and where.
func (c *Client) Explain(ctx context.Context, model port.ModelID) (*Explanation, error) {
	var e Explanation
	return &e, c.do(ctx, http.MethodGet, "/explain/"+url.PathEscape(string(model)), nil, &e)
}

// Targets returns the accepted targets document and its version.
func (c *Client) Targets(ctx context.Context) (*Targets, error) {
	var t Targets
	return &t, c.do(ctx, http.MethodGet, "/targets", nil, &t)
}

// Publish publishes a targets document that is based on version base, and returns
// the version under which it was accepted. A failed call can be repeated with the
// same id, which is idempotent; a new id makes it another publish.
func (c *Client) Publish(ctx context.Context, id uuid.UUID, base port.Offset, publisher string, document []byte) (port.Offset, error) {
	query := url.Values{"id": {id.String()}, "base": {strconv.FormatInt(int64(base), 10)}, "publisher": {publisher}}
	var p Published
	err := c.do(ctx, http.MethodPost, "/targets?"+query.Encode(), document, &p)
	return p.Version, err
}
