package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Caller is an authenticated caller and what it is allowed to use.
type Caller struct {
	Name string
	// KeySHA256 is the SHA-256 hash of the caller's API key.
	KeySHA256 [sha256.Size]byte
	// Models lists the names of models that the caller can use. A name that
	// ends in "*" is a prefix.
	Models []string
	// Paths lists the path prefixes of plain services that the caller can use.
	Paths []string
}

func (c *Caller) allowsModel(model port.ModelID) bool {
	for _, pattern := range c.Models {
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		if isPrefix && strings.HasPrefix(string(model), prefix) || pattern == string(model) {
			return true
		}
	}
	return false
}

func (c *Caller) allowsPath(path string) bool {
	for _, prefix := range c.Paths {
		if underPath(path, prefix) {
			return true
		}
	}
	return false
}

// underPath reports whether the path equals the prefix or lies below it.
func underPath(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// hasDotSegment reports whether the path contains a dot segment. A backend
// server could resolve such a path to one outside the prefix by which it was
// routed and authorised.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// authenticate returns the caller of the request, or nil if no callers are
// configured. It returns a problem if the API key is missing or unknown.
func (g *Gateway) authenticate(r *http.Request) (*Caller, error) {
	if len(g.config.Callers) == 0 {
		return nil, nil
	}
	values := r.Header.Values("Authorization")
	if len(values) > 1 {
		return nil, problem.New(problem.BadHeader, "more than one Authorization header")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, problem.New(problem.Unauthorized, "send Authorization: Bearer KEY")
	}
	hash := sha256.Sum256([]byte(key))
	var found *Caller
	// Compare with every hash, so that the time taken reveals nothing about the
	// key.
	for i := range g.config.Callers {
		candidate := &g.config.Callers[i]
		if subtle.ConstantTimeCompare(hash[:], candidate.KeySHA256[:]) == 1 {
			found = candidate
		}
	}
	if found == nil {
		return nil, problem.New(problem.Unauthorized, "the API key isn't known")
	}
	return found, nil
}

// identify authenticates the caller and determines the requested model or
// service.
func (g *Gateway) identify(c *Call) error {
	caller, err := g.authenticate(c.r)
	if err != nil {
		return err
	}
	if caller != nil {
		c.caller = caller.Name
	}
	if c.engine {
		err = g.identifyModel(c, caller)
	} else {
		err = g.identifyService(c, caller)
	}
	if err != nil {
		return err
	}
	return c.Next()
}

func (g *Gateway) identifyModel(c *Call, caller *Caller) error {
	if err := checkJSONType(c.r.Header); err != nil {
		return err
	}
	if err := g.readBody(c); err != nil {
		return err
	}
	head, err := parseHead(c.body)
	if err != nil {
		return err
	}
	c.model, c.stream = port.ModelID(head.Model), head.Stream
	if caller != nil && !caller.allowsModel(c.model) {
		return problem.New(problem.Forbidden, "the caller may not use this model")
	}
	info, ok := c.view.Model(c.model)
	if !ok {
		return problem.New(problem.UnknownModel, "GET /v1/models lists the models")
	}
	c.service = info.Service
	return nil
}

func (g *Gateway) identifyService(c *Call, caller *Caller) error {
	if hasDotSegment(c.r.URL.Path) {
		return problem.New(problem.BadRequest, "the path has a dot segment")
	}
	service, ok := c.view.Service(c.r.URL.Path)
	if !ok {
		return problem.New(problem.UnknownPath, "no service is configured for this path")
	}
	if caller != nil && !caller.allowsPath(c.r.URL.Path) {
		return problem.New(problem.Forbidden, "the caller may not use this path")
	}
	c.service = service.Name
	return g.readBody(c)
}

func checkJSONType(h http.Header) error {
	values := h.Values("Content-Type")
	if len(values) > 1 {
		return problem.New(problem.BadHeader, "more than one Content-Type header")
	}
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return problem.New(problem.UnsupportedMedia, "send application/json")
	}
	if encoding := h.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return problem.New(problem.UnsupportedMedia, "send the body without a content encoding")
	}
	return nil
}

// limitBodyTime limits the time in which the body of a request must arrive. It
// applies also to requests that are refused before their body is read.
func (g *Gateway) limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			// The error is ignored: only the writers of tests don't support
			// deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(g.now().Add(g.config.BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads the whole body within the limits of size and time, so that no
// request runs whose body is incomplete.
func (g *Gateway) readBody(c *Call) error {
	body, err := clientguard.ReadBody(c.r, g.config.MaxBodyBytes, time.Time{})
	if err != nil {
		c.w.Header().Set("Connection", "close")
		return g.bodyError(err)
	}
	_ = c.w.control.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

func (g *Gateway) bodyError(err error) error {
	switch {
	case errors.Is(err, clientguard.ErrTooLarge):
		return bodyTooLarge()
	case errors.Is(err, clientguard.ErrNoMemory):
		return problem.New(problem.Overloaded, "the instance has no memory for the body").WithRetryAfter(g.durationMean.retryAfter())
	case errors.Is(err, clientguard.ErrTimeout):
		return problem.New(problem.BodyTimeout, "the body didn't arrive in time")
	default:
		return problem.New(problem.BadRequest, "the body didn't arrive whole")
	}
}

func bodyTooLarge() error {
	return problem.New(problem.BodyTooLarge, "the body is larger than this instance takes")
}
