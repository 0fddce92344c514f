package crashcause

import (
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

// Answer records that a request whose prompt has a part was answered.
type Answer struct {
	Part string
	At   time.Time
}

// Block is a part whose requests are refused.
type Block struct {
	Part string
	// Until is when requests with the part are accepted again, on trial.
	Until time.Time
	// Blocks is how many times in a row the part has been blocked.
	Blocks int
	// Crashes is the number of crashes that led to the block.
	Crashes int
}

// Evidence is what one instance tells another.
type Evidence struct {
	Crashes []Crash
	Answers []Answer
	Blocks  []Block
}

// Empty reports whether the evidence tells nothing.
func (e Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Answers) == 0 && len(e.Blocks) == 0
}
