package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// tallies gather what happens to many machines at once, so that the log tells it in a
// line a second and kind: a cut zone was a thousand lines, and a day could not be read.
type tallies map[string]*tally

type tally struct {
	count int
	names []string // the first few
}

// shownNames is how many machines a line names.
const shownNames = 5

func (t tallies) add(what, machine string) {
	x := t[what]
	if x == nil {
		x = &tally{}
		t[what] = x
	}
	x.count++
	if len(x.names) < shownNames {
		x.names = append(x.names, machine)
	}
}

// tell writes and forgets them.
func (t tallies) tell() {
	for _, what := range slices.Sorted(maps.Keys(t)) {
		x := t[what]
		names := strings.Join(x.names, " ")
		if more := x.count - len(x.names); more > 0 {
			names += fmt.Sprintf(" and %d more", more)
		}
		slog.Info(what, "count", x.count, "machines", names)
	}
	clear(t)
}
