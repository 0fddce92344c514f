// Package logquery finds in the logs of several instances what happened to one
// request or one model, and which decision ended it.
//
// Clocks of instances may differ by seconds: events of one instance stay in their
// order, and those of several are merged by time.
package logquery

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrRead means that a log couldn't be read.
var ErrRead = errors.New("read log")

const (
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// around is how long before and after a request the orders for its model are
	// of interest; a load from the weight store takes up to some 15 s.
	around = 20 * time.Second
)

// Event is one line of a log.
type Event struct {
	Time time.Time
	// Source names the file, or the instance if the log says so.
	Source string
	Name   string
	Fields map[string]string
	// Line is the line as it was written.
	Line string
}

// Read returns the events of a log. Lines that aren't events, such as what a
// collector put in between, are left out.
func Read(source string, in io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var events []Event
	for scanner.Scan() {
		event, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		if event.Name == "started" && event.Fields["instance"] != "" {
			source = event.Fields["instance"]
		}
		event.Source = source
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Join(ErrRead, err)
	}
	return events, nil
}

// parse reads a line of key=value pairs, after any prefix of a collector.
func parse(line string) (Event, bool) {
	start := strings.Index(line, "time=")
	if start < 0 {
		return Event{}, false
	}
	event := Event{Line: line[start:], Fields: map[string]string{}}
	for rest := event.Line; rest != ""; {
		var key, value string
		key, rest, _ = strings.Cut(rest, "=")
		value, rest = nextValue(rest)
		event.Fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, event.Fields["time"])
	event.Time, event.Name = at, event.Fields["event"]
	return event, err == nil && event.Name != ""
}

// nextValue splits a value, quoted or not, from the pairs after it.
func nextValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		// QuotedPrefix returns only what Unquote reads.
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// Request returns the events of a request and, between its first and its last and
// some time around them, the orders for its model and what servers and
// dependencies failed. The last event of the request itself tells how it ended.
func Request(events []Event, id string) []Event {
	var own []Event
	model := ""
	servers := map[string]bool{}
	for _, e := range events {
		if e.Fields["request"] == id {
			own = append(own, e)
			servers[e.Fields["server"]] = true
			if m := e.Fields["model"]; m != "" {
				model, _, _ = strings.Cut(m, "/")
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	delete(servers, "")
	sortEvents(own)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(time.Second)
	found := own
	for _, e := range events {
		if e.Fields["request"] == "" && !e.Time.Before(from) && !e.Time.After(to) && concerns(e, model, servers) {
			found = append(found, e)
		}
	}
	sortEvents(found)
	return found
}

// Model returns the orders for a model, in either part of a swap.
func Model(events []Event, model string) []Event {
	var found []Event
	for _, e := range events {
		if e.Name == "order_given" && orderFor(e, model) {
			found = append(found, e)
		}
	}
	sortEvents(found)
	return found
}

// concerns reports whether an event without a request may explain one.
func concerns(e Event, model string, servers map[string]bool) bool {
	switch e.Name {
	case "order_given":
		return model != "" && orderFor(e, model)
	case "server_ejected", "report_unread":
		return servers[e.Fields["server"]]
	case "dependency_lost", "dependency_regained", "tenure_changed", "tenure_superseded", "draining", "manifest_in_force", "settings_reloaded":
		return true
	}
	return false
}

func orderFor(e Event, model string) bool {
	return e.Fields["model"] == model || e.Fields["for"] == model
}

func sortEvents(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
}
