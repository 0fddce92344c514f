package crashcause

import (
	"slices"
	"strings"
	"time"
)

// Prompt lists the IDs of the parts of a prompt, in order.
type Prompt []string

// shared returns the parts that other prompts can have as well: all but the last one.
func (p Prompt) shared() []string {
	if len(p) == 0 {
		return nil
	}
	return p[:len(p)-1]
}

func (p Prompt) key() string { return strings.Join(p, ",") }

// Request is a request to a server.
type Request struct {
	// Service is the service that it is sent to.
	Service string
	// Prompt is nil if it has none.
	Prompt Prompt
	// Digest identifies its content, which its repeats share; empty if unknown.
	Digest string
}

// wholePrefix begins the traits that stand for whole requests. The IDs of parts hold no colon.
const wholePrefix = "request:"

// whole returns the trait that only repeats of the request share; empty if the digest is unknown.
func (r Request) whole() string {
	if r.Digest == "" {
		return ""
	}
	return wholePrefix + r.Digest
}

// IsWhole reports whether a trait is the content of a whole request, not a part of prompts.
func IsWhole(trait string) bool { return strings.HasPrefix(trait, wholePrefix) }

// traits returns what other requests can have as well.
func (r Request) traits() []string {
	if whole := r.whole(); whole != "" {
		return append(slices.Clip(r.Prompt.shared()), whole)
	}
	return r.Prompt.shared()
}

// Has reports whether the request has a trait.
func (r Request) Has(trait string) bool { return slices.Contains(r.traits(), trait) }

// key distinguishes requests of different content.
func (r Request) key() string {
	if r.Digest != "" {
		return r.Digest
	}
	return r.Prompt.key()
}

// Server identifies one run of a server's process.
type Server struct {
	ID        string
	StartedAt int64
}

// Crash is the crash of a server, with the requests that it was about to answer.
type Crash struct {
	Server   Server
	At       time.Time
	Requests []LostRequest
}

// LostRequest is a request that a crashed server was about to answer.
type LostRequest struct {
	Request

	// SentAt is when it was sent to the server.
	SentAt time.Time
}

// Block is a trait whose requests are refused.
type Block struct {
	Trait string
	// Until is when requests with the trait are accepted again, on trial.
	Until time.Time
	// Blocks is how many times in a row the trait has been blocked.
	Blocks int
	// Crashes is the number of crashes that led to the block, and LastCrash the time of the last
	// one. An answer after it ends the block.
	Crashes   int
	LastCrash time.Time
}

// Answer records that a request with a trait was answered.
type Answer struct {
	Trait string
	At    time.Time
}

// Evidence is what one instance tells another.
type Evidence struct {
	Crashes []Crash
	Blocks  []Block
	// Answers end blocks.
	Answers []Answer
}

// Empty reports whether the evidence tells nothing.
func (e Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Blocks) == 0 && len(e.Answers) == 0
}

// Append returns both pieces of evidence as one.
func (e Evidence) Append(other Evidence) Evidence {
	return Evidence{
		Crashes: append(slices.Clip(e.Crashes), other.Crashes...),
		Blocks:  append(slices.Clip(e.Blocks), other.Blocks...),
		Answers: append(slices.Clip(e.Answers), other.Answers...),
	}
}

// Question asks an instance for its answers to requests for a service since one with a trait was
// last answered, as far as the asking instance knows; since the zero time if it knows of none.
type Question struct {
	Trait   string
	Service string
	Since   time.Time
}

// Reply is the reply to a Question.
type Reply struct {
	Trait string
	// Answers is the number of all requests for the service that the instance has answered since
	// then.
	Answers int64
	// AnsweredAt is when it last answered one with the trait; the zero time if it hasn't.
	AnsweredAt time.Time
}
