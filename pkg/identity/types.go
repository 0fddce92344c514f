package identity

import (
	"net/http"
	"time"
)

// KeySize is the length of keys and fingerprints in bytes.
const KeySize = 16

// Key is a hash of the caller, the service and the caller's idempotency key.
type Key [KeySize]byte

// Fingerprint is a hash of what the request asks for. One key with two
// fingerprints is a caller's mistake.
type Fingerprint [KeySize]byte

// Request asks for the right to run.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// Wait is how long to wait for a run of the same identity to end.
	Wait time.Duration
	// RunFor bounds the time until the request's own run has ended.
	RunFor time.Duration
}

// Verdict is the answer to a Request.
type Verdict int

// The verdicts.
const (
	// Unavailable: the places that keep the identity can't be asked. The
	// request must not run.
	Unavailable Verdict = iota
	// Run: the request may run, and nobody else runs it.
	Run
	// Running: another attempt had the right and hasn't ended.
	Running
	// Finished: another attempt ran; Result is its answer.
	Finished
	// Unknown: another attempt had the right; how it ended isn't known.
	Unknown
	// Mismatch: the key was used for another request.
	Mismatch
	// Full: there is no room to keep the identity. The request must not run.
	Full
)

// Result is how a run ended.
type Result struct {
	// NotRun: it is proved that nothing ran, so the identity is free again.
	NotRun bool
	// Known: the answer is known. With neither, the run may have happened.
	Known  bool
	Status int
	Header http.Header
	Body   []byte
	// BodyGone: the answer had a body which isn't kept.
	BodyGone bool
}
