// Package eventlog aggregates events that affect many machines at once into one log line per second and kind
// of event.
//
// It owns the counts until they are written. It takes no lock; the leader calls it with its own lock held.
package eventlog

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// Log aggregates events by message and detail. When each event was logged by itself, the loss of a zone
// produced a thousand lines, and the log of a day was unreadable.
type Log struct{ events map[event]*occurrences }

// event identifies a kind of event.
type event struct{ message, detail string }

// occurrences counts the events of one kind, with the IDs of the first few machines.
type occurrences struct {
	count    int
	machines []string
}

// maxNamedMachines is the maximum number of machines named in a line.
const maxNamedMachines = 5

// New returns an empty log.
func New() *Log { return &Log{events: map[event]*occurrences{}} }

// Add counts an event of a machine. detail distinguishes kinds of events with the same message, and may be
// empty.
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

// Counts returns the number of events since the last Flush, by message and detail.
func (l *Log) Counts() map[string]int {
	counts := make(map[string]int, len(l.events))
	for e, o := range l.events {
		counts[strings.TrimSpace(e.message+" "+e.detail)] = o.count
	}
	return counts
}

// Flush logs the events since the last call.
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
