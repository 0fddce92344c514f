// Package logquery searches the logs of several instances for the events of one request
// or one model, and for the decision that ended the request.
//
// Events are merged by their timestamps, which keeps the events of one instance in their
// order. The clocks of instances can differ by seconds, so the order of events of
// different instances is approximate.
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

// ErrRead is returned when a log can't be read.
var ErrRead = errors.New("read log")

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextWindow is how long before a request's first event related events are
	// included. It is longer than a load from the weight store, which can take about
	// 15 s.
	contextWindow = 20 * time.Second
)

// Event is one event of a log.
type Event struct {
	Time time.Time
	// Source is the instance's name if the log contains it, otherwise the file's.
	Source string
	// Name is the event name.
	Name   string
	Fields map[string]string
	// Line is the line as written by the instance, without any prefix of a log collector.
	Line string
}

// Read returns the events of a log. It skips lines that aren't events, such as those
// that a log collector adds. Event.Source is the given source until an event states the
// name of the instance. Read returns ErrRead if reading fails or a line is longer than
// maxLineBytes.
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

// parse parses a line of key=value pairs, which can follow a prefix of a log collector.
// It returns false if the line isn't an event.
func parse(line string) (Event, bool) {
	start := strings.Index(line, "time=")
	if start < 0 {
		return Event{}, false
	}
	event := Event{Line: line[start:], Fields: map[string]string{}}
	for rest := event.Line; rest != ""; {
		var key, value string
		key, rest, _ = strings.Cut(rest, "=")
		value, rest = splitValue(rest)
		event.Fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, event.Fields["time"])
	event.Time, event.Name = at, event.Fields["event"]
	return event, err == nil && event.Name != ""
}

// splitValue splits the text after a key into the value, quoted or not, and the
// remaining pairs.
func splitValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		// Unquote can't fail: QuotedPrefix returns only valid quoted strings.
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// Request returns the events of a request, in the order of time, together with the
// events that can explain its outcome: orders for its model, failures of its servers,
// and changes of dependencies, leases and settings. These are included from
// contextWindow before the request's first event until a second after its last one. The
// last event of the request itself states its outcome. Request returns nil if there are
// no events of the request.
func Request(events []Event, id string) []Event {
	var requestEvents []Event
	model := ""
	servers := map[string]bool{}
	for _, e := range events {
		if e.Fields["request"] == id {
			requestEvents = append(requestEvents, e)
			servers[e.Fields["server"]] = true
			if m := e.Fields["model"]; m != "" {
				model, _, _ = strings.Cut(m, "/")
			}
		}
	}
	if len(requestEvents) == 0 {
		return nil
	}
	delete(servers, "")
	sortEvents(requestEvents)
	from, to := requestEvents[0].Time.Add(-contextWindow), requestEvents[len(requestEvents)-1].Time.Add(time.Second)
	found := requestEvents
	for _, e := range events {
		if e.Fields["request"] == "" && !e.Time.Before(from) && !e.Time.After(to) && isRelated(e, model, servers) {
			found = append(found, e)
		}
	}
	sortEvents(found)
	return found
}

// Model returns the orders for a model in the order of time. The order to unload another
// model in its favor is included.
func Model(events []Event, model string) []Event {
	var found []Event
	for _, e := range events {
		if e.Name == "order_given" && isOrderFor(e, model) {
			found = append(found, e)
		}
	}
	sortEvents(found)
	return found
}

// isRelated reports whether an event without a request ID can explain the outcome of a
// request for the model that was sent to the servers.
func isRelated(e Event, model string, servers map[string]bool) bool {
	switch e.Name {
	case "order_given":
		return model != "" && isOrderFor(e, model)
	case "server_ejected", "report_unread":
		return servers[e.Fields["server"]]
	case "dependency_lost", "dependency_regained", "tenure_changed", "tenure_superseded", "draining", "manifest_in_force", "settings_reloaded":
		return true
	}
	return false
}

// isOrderFor reports whether an order loads or unloads the model, or frees memory for it.
func isOrderFor(e Event, model string) bool {
	return e.Fields["model"] == model || e.Fields["for"] == model
}

func sortEvents(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
}
