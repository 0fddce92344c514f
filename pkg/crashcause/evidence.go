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

// Shares reports whether the prompt has a part that other prompts can have as well.
func (p Prompt) Shares(part string) bool { return slices.Contains(p.shared(), part) }

func (p Prompt) key() string { return strings.Join(p, ",") }

// Server identifies one run of a server's process.
type Server struct {
	ID        string
	StartedAt int64
}

// Crash is the crash of a server, with the prompts of requests that it was about to answer.
type Crash struct {
	Server  Server
	At      time.Time
	Prompts []Prompt
}

// Block is a part whose requests are refused.
type Block struct {
	Part string
	// Until is when requests with the part are accepted again, on trial.
	Until time.Time
	// Blocks is how many times in a row the part has been blocked.
	Blocks int
	// Crashes is the number of crashes that led to the block, and LastCrash the time of the last
	// one. An answer after it ends the block.
	Crashes   int
	LastCrash time.Time
}

// Answer records that a request whose prompt has a part was answered.
type Answer struct {
	Part string
	At   time.Time
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

// Question asks an instance for its answers to requests since one with a part was last answered,
// as far as the asking instance knows; since the zero time if it knows of none.
type Question struct {
	Part  string
	Since time.Time
}

// Reply is the reply to a Question.
type Reply struct {
	Part string
	// Answers is the number of all requests that the instance has answered since then.
	Answers int64
	// AnsweredAt is when it last answered one with the part; the zero time if it hasn't.
	AnsweredAt time.Time
}
