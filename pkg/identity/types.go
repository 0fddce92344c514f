package identity

import (
	"net/http"
	"time"
)

// KeySize is the length of keys and fingerprints in bytes.
const KeySize = 16

// Key identifies a request: a hash of the caller, the service and the caller's
// idempotency key.
type Key [KeySize]byte

// Fingerprint is a hash of the content of a request. Using one key with two
// fingerprints is an error of the caller.
type Fingerprint [KeySize]byte

// Request is a request for the right to run.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// Wait bounds the time to wait until another run of the same identity ends.
	Wait time.Duration
	// RunFor bounds the time until the run of this request has ended.
	RunFor time.Duration
}

// Verdict is the decision on a Request or a ClaimRequest.
type Verdict int

// The verdicts.
const (
	// Unavailable means that too few owners of the identity could be reached,
	// or that the member lists aren't usable. The request must not run.
	Unavailable Verdict = iota
	// Run means that the request is allowed to run and that no other attempt runs.
	Run
	// Running means that another attempt has the right to run and hasn't ended.
	Running
	// Finished means that another attempt has ended. Result is its answer.
	Finished
	// Unknown means that another attempt had the right to run and that its
	// outcome is unknown.
	Unknown
	// Mismatch means that the key was used for a request with another
	// fingerprint.
	Mismatch
	// Full means that an owner has no free capacity for the identity. The
	// request must not run.
	Full
)

// Result is the outcome of a run.
type Result struct {
	// NotRun means that the request certainly didn't run. The identity is
	// released.
	NotRun bool
	// Known means that the answer is known. If neither NotRun nor Known is set,
	// it is unknown whether the request ran.
	Known  bool
	Status int
	Header http.Header
	Body   []byte
	// BodyGone means that the answer had a body that wasn't stored.
	BodyGone bool
}
