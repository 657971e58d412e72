package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// aggregatedLog gather what happens to many machines at once, so that the log tells it in a
// line a second and kind: a cut zone was a thousand lines, and a day could not be read.
type aggregatedLog map[string]*aggregatedEvent

type aggregatedEvent struct {
	count    int
	machines []string // the first few
}

// maxShownMachines is how many machines a line names.
const maxShownMachines = 5

func (t aggregatedLog) add(what, machine string) {
	x := t[what]
	if x == nil {
		x = &aggregatedEvent{}
		t[what] = x
	}
	x.count++
	if len(x.machines) < maxShownMachines {
		x.machines = append(x.machines, machine)
	}
}

// flush writes and forgets them.
func (t aggregatedLog) flush() {
	for _, what := range slices.Sorted(maps.Keys(t)) {
		x := t[what]
		names := strings.Join(x.machines, " ")
		if more := x.count - len(x.machines); more > 0 {
			names += fmt.Sprintf(" and %d more", more)
		}
		slog.Info(what, "count", x.count, "machines", names)
	}
	clear(t)
}
