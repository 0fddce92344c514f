package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
)

const (
	maxKeyBytes = 255
	// finishTimeout limits the time for recording the end of a run.
	finishTimeout = time.Second
	// maxRetainedBody limits the body in bytes of an answer that is retained
	// for repeated requests.
	maxRetainedBody = 16 << 10
)

// Claim is the result of claiming an identity, which is to ask for the right to
// run its request.
type Claim interface {
	Verdict() identity.Verdict
	// Result returns the retained answer. It is set only with the verdict
	// identity.Finished.
	Result() identity.Result
	// Finish records how the run ended. It is called once, and only after the
	// verdict identity.Run.
	Finish(ctx context.Context, r identity.Result)
}

// Deduplicator ensures that the request of one identity runs at most once.
type Deduplicator interface {
	Claim(ctx context.Context, r identity.Request) Claim
}

// claimer adapts an identity.Claimer to a Deduplicator.
type claimer struct{ *identity.Claimer }

// Claim implements Deduplicator.
func (c claimer) Claim(ctx context.Context, r identity.Request) Claim {
	return c.Claimer.Claim(ctx, r)
}

// Deduplicate returns the Deduplicator that claims identities with c.
func Deduplicate(c *identity.Claimer) Deduplicator { return claimer{c} }

// recording is the answer to be retained for the identity of the request.
type recording struct {
	result identity.Result
}

// deduplicate claims the identity of a request that isn't repeatable. Without
// an idempotency key every arrival counts as a request of its own.
func (g *Gateway) deduplicate(c *Call) error {
	key, err := single(c.r.Header, HeaderIdempotencyKey)
	if err != nil {
		return err
	}
	if len(key) > maxKeyBytes {
		return problem.New(problem.BadHeader, HeaderIdempotencyKey+" is longer than 255 bytes")
	}
	if c.repeatable {
		return c.Next()
	}
	if key == "" {
		if g.config.RequireIdempotencyKey {
			return problem.New(problem.IdentityRequired, "send "+HeaderIdempotencyKey)
		}
		return c.Next()
	}
	if g.deps.Identity == nil {
		return problem.New(problem.IdentityUnavailable, "this instance keeps no identities").WithRetryAfter(minRetryAfter)
	}
	return g.runOnce(c, key)
}

func (g *Gateway) runOnce(c *Call, key string) error {
	ctx, span := g.startSpan(c.ctx, "claim identity")
	claim := g.deps.Identity.Claim(ctx, identity.Request{
		Key:         identityKey(c, key),
		Fingerprint: fingerprint(c),
		Wait:        c.startBy.Sub(g.now()),
		RunFor:      c.deadline.Sub(g.now()),
	})
	span.End()
	if claim.Verdict() != identity.Run {
		return g.replay(c, claim)
	}
	c.record = &recording{}
	// Finish the claim also after a panic. Otherwise the identity would count
	// as running.
	defer g.finish(c, claim)
	return c.Next()
}

// finish records the end of the run. It does so before a refusal is sent, so
// that the caller can retry at once.
func (g *Gateway) finish(c *Call, claim Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), finishTimeout)
	defer cancel()
	switch {
	case !c.possiblyRan:
		claim.Finish(ctx, identity.Result{NotRun: true})
	case c.record.result.Known:
		// The backend server's answer is complete, even if the caller has
		// disconnected.
		claim.Finish(ctx, c.record.result)
	default:
		claim.Finish(ctx, identity.Result{})
	}
}

// replay answers a request whose identity has been claimed before.
func (g *Gateway) replay(c *Call, claim Claim) error {
	switch claim.Verdict() {
	case identity.Finished:
		return g.sendRetained(c, claim.Result())
	case identity.Running:
		return problem.New(problem.IdentityRunning, "the first request hasn't ended yet").WithRetryAfter(g.durationMean.retryAfter())
	case identity.Unknown:
		return problem.New(problem.IdentityUnknown, "the first request may have run")
	case identity.Mismatch:
		return problem.New(problem.IdentityMismatch, "the method, path or body differs from the first request's")
	case identity.Full:
		return problem.New(problem.IdentityUnavailable, "too many identities are kept").WithRetryAfter(g.durationMean.retryAfter())
	default:
		return problem.New(problem.IdentityUnavailable, "the instances that keep the identity can't be reached").
			WithRetryAfter(g.durationMean.retryAfter())
	}
}

func (g *Gateway) sendRetained(c *Call, r identity.Result) error {
	if r.BodyGone {
		return problem.New(problem.AnswerGone, "the first request ran to its end")
	}
	copyHeader(c.w.Header(), r.Header)
	c.w.Header().Set("Idempotency-Replayed", "true")
	return g.sendWhole(c, r.Status, r.Body)
}

// identityKey derives the key of an identity. Equal idempotency keys of
// different callers or services yield different keys.
func identityKey(c *Call, key string) identity.Key {
	var digest identityHash
	digest.add(c.caller)
	digest.add(c.service)
	digest.add(key)
	return identity.Key(digest.sum())
}

func fingerprint(c *Call) identity.Fingerprint {
	var digest identityHash
	digest.add(c.r.Method)
	digest.add(c.r.URL.RequestURI())
	digest.addBytes(c.body)
	return identity.Fingerprint(digest.sum())
}

func retainedHeader(h http.Header) http.Header {
	kept := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Location", "Etag"} {
		if values := h.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}
