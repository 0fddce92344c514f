package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

// Request headers that control how the gateway handles a request.
const (
	// HeaderIdempotencyKey carries the idempotency key, which identifies a
	// request across repetitions.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the timeout of the whole request in seconds, counted
	// from its arrival.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderClass selects the class of the request by name.
	HeaderClass = "X-Request-Class"
)

const (
	maxTimeoutDigits = 16
	maxTimeout       = 24 * time.Hour
)

// single returns the value of a header, or an empty string if it is absent. It
// returns a problem if the header appears more than once or is empty.
func single(h http.Header, name string) (string, error) {
	values := h.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", problem.New(problem.BadHeader, "more than one "+name+" header")
	case values[0] == "":
		return "", problem.New(problem.BadHeader, name+" is empty")
	}
	return values[0], nil
}

// classify determines the class of the request.
func (g *Gateway) classify(c *Call) error {
	name, err := single(c.r.Header, HeaderClass)
	if err != nil {
		return err
	}
	if name != "" {
		if _, ok := c.view.Class(name); !ok {
			return problem.New(problem.BadHeader, "there is no class of this name")
		}
	}
	c.class = c.view.Classify(ClassQuery{
		Model:  string(c.model),
		Path:   c.r.URL.Path,
		Caller: c.caller,
		Header: c.r.Header,
		Class:  name,
	})
	c.repeatable = c.class.Repeatable
	return c.Next()
}

// setDeadline sets the deadline of the request and the time by which it must
// start. It refuses a request whose time to start has passed.
func (g *Gateway) setDeadline(c *Call) error {
	value, err := single(c.r.Header, HeaderTimeout)
	if err != nil {
		return err
	}
	timeout := g.config.DefaultTimeout
	if value != "" {
		timeout, err = parseTimeout(value)
		if err != nil {
			return err
		}
	}
	c.deadline = c.arrived.Add(timeout)
	c.startBy = c.arrived.Add(min(time.Duration(c.class.MaxWait), timeout))
	if !g.now().Before(c.startBy) {
		return problem.New(problem.DeadlineExpired, "the deadline passed before the request had arrived whole")
	}
	return c.Next()
}

// parseTimeout reads a decimal number of seconds, such as "2.5".
func parseTimeout(value string) (time.Duration, error) {
	bad := problem.New(problem.BadHeader, HeaderTimeout+" must be a decimal number of seconds such as 2.5")
	if value == "" || len(value) > maxTimeoutDigits {
		return 0, bad
	}
	for _, b := range []byte(value) {
		if (b < '0' || b > '9') && b != '.' {
			return 0, bad
		}
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, bad
	}
	if seconds == 0 {
		return 0, problem.New(problem.DeadlineExpired, HeaderTimeout+" is zero")
	}
	if seconds >= maxTimeout.Seconds() {
		return maxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
