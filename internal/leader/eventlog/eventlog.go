// Package eventlog writes what happens to many machines at once as one log line a second and kind.
//
// It owns the counts until they are written. It takes no lock: the leader calls it with its own held.
package eventlog

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// Log collects events by what happened. Without it the loss of a zone was a thousand lines, and
// the log of a day could not be read.
type Log struct{ events map[event]*occurrences }

// event is what happened, and to which of its kinds.
type event struct{ message, detail string }

// occurrences counts an event, and names the first few machines.
type occurrences struct {
	count    int
	machines []string
}

// maxNamedMachines is how many machines a line names.
const maxNamedMachines = 5

// New makes a log without events.
func New() *Log { return &Log{events: map[event]*occurrences{}} }

// Add counts an event of a machine. detail, which may be empty, distinguishes kinds of the event.
func (l *Log) Add(message, detail, machine string) {
	e := event{message, detail}
	o := l.events[e]
	if o == nil {
		o = &occurrences{}
		l.events[e] = o
	}
	o.count++
	if len(o.machines) < maxNamedMachines {
		o.machines = append(o.machines, machine)
	}
}

// Counts is how often each event happened since the last Flush, by message and detail.
func (l *Log) Counts() map[string]int {
	counts := make(map[string]int, len(l.events))
	for e, o := range l.events {
		counts[strings.TrimSpace(e.message+" "+e.detail)] = o.count
	}
	return counts
}

// Flush writes the events since the last call.
func (l *Log) Flush() {
	order := slices.SortedFunc(maps.Keys(l.events), func(a, b event) int {
		return strings.Compare(a.message+a.detail, b.message+b.detail)
	})
	for _, e := range order {
		o := l.events[e]
		names := strings.Join(o.machines, " ")
		if more := o.count - len(o.machines); more > 0 {
			names += fmt.Sprintf(" and %d more", more)
		}
		attributes := []any{"count", o.count, "example_machines", names}
		if e.detail != "" {
			attributes = append(attributes, "reason", e.detail)
		}
		slog.Info(e.message, attributes...)
	}
	clear(l.events)
}
