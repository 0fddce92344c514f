// Command lab runs one case of the review: it starts the stand-ins and the project's own programs, plays
// the disruption, unless TROUBLE=0, and reports whether the rule was broken.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// caseRun is one run of a case.
type caseRun struct {
	// dir is a temporary folder, and record the file in the folder of the case.
	dir     string
	record  *record
	trouble bool
}

var cases = map[string]func(*caseRun) (broken bool, err error){
	"crash-again":   crashAgain,
	"foreign-entry": foreignEntry,
	"long-ids":      longIDs,
	"odd-names":     oddNames,
	"two-holders":   twoHolders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return 2
	}
	dir, err := os.MkdirTemp("", "cyclamenhoist-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer startedMachines.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		startedMachines.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](&caseRun{dir: dir, record: r, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken")
		return 1
	default:
		r.say("the rule held")
		return 0
	}
}
