// Command lab holds the stand-ins and the schedules of the review's scripts. It starts instances as
// separate processes, and plays clients, runners and the platform's store on loopback.
//
//	lab CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// deployment is what a case plays on.
type deployment struct {
	rec       *recorder
	dir       string
	store     *store
	runners   []*runner
	instances []*instance
	client    *client
	trouble   bool
	stop      chan struct{}

	runnersMu sync.Mutex

	leaseMu     sync.Mutex
	leaseHolder string
	// claimed gets the next holder that isn't claimedNot.
	claimed    chan string
	claimedNot string
}

var cases = map[string]func(*deployment) (broken bool){}

func main() { os.Exit(mainCode()) }

func mainCode() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitUnusable
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	d := &deployment{dir: dir, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer func() {
		for _, i := range d.instances {
			if i.cmd != nil && i.cmd.ProcessState == nil {
				_ = i.cmd.Process.Kill()
				_, _ = i.cmd.Process.Wait()
			}
		}
		switch e := recover().(type) {
		case nil:
		case unusableCase:
			fmt.Println("the case couldn't run:", e.why)
			if d.rec != nil {
				d.rec.printf("the case couldn't run: %s", e.why)
			}
			code = exitUnusable
		default:
			panic(e)
		}
	}()
	d.rec = newRecorder(os.Args[2])
	d.store, d.client = newStore(d.rec), newClient(d.rec)
	if cases[os.Args[1]](d) {
		return exitBroken
	}
	return exitHeld
}

// say reports to the record and to the script's output.
func (d *deployment) say(format string, args ...any) {
	d.rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// keepRegistered lets the runners write their entries.
func (d *deployment) keepRegistered() {
	for _, r := range d.listRunners() {
		r.register(d.store)
	}
	go func() {
		for {
			select {
			case <-d.stop:
				return
			case <-time.After(heartbeat):
				for _, r := range d.listRunners() {
					r.register(d.store)
				}
			}
		}
	}()
}

func (d *deployment) listRunners() []*runner {
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	return slices.Clone(d.runners)
}

func (d *deployment) addRunner(r *runner) {
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	d.runners = append(d.runners, r)
}

func (d *deployment) removeRunner(gone *runner) {
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	d.runners = slices.DeleteFunc(d.runners, func(r *runner) bool { return r == gone })
}
