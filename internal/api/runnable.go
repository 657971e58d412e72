package api

import (
	"fmt"
	"math"
	"slices"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Runnable tells why a job can never run (422), or nil. What is refused is lost, and what
// is accepted must run: a gang is weighed whole, as it runs whole.
func Runnable(j *wire.Job, types []wire.MachineType, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %s is unknown", j.Team)
	}
	what, atOnce := "a task needs", 1.0
	if j.Shape == wire.ShapeGang {
		what, atOnce = "all tasks of the gang need", float64(max(1, j.Tasks))
	}
	if t := teams[i]; over(j.CPUs, atOnce, t.CPUsMax) || over(j.GPUs, atOnce, t.GPUsMax) {
		return fmt.Errorf("%s more than team %s may use", what, j.Team)
	}
	fits, zones := false, map[string]bool{}
	for _, t := range types {
		if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) || j.Zone != "" && !slices.Contains(t.Zones, j.Zone) {
			continue
		}
		if j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB {
			fits = true
			for _, z := range t.Zones {
				zones[z] = j.Zone == "" || j.Zone == z
			}
		}
	}
	if !fits {
		return fmt.Errorf("a task fits no allowed machine type")
	}
	if j.Shape == wire.ShapeGang && j.Spread && j.Tasks > 1 {
		// At most half of its tasks may be in a zone, and all run at once.
		n := 0
		for _, allowed := range zones {
			if allowed {
				n++
			}
		}
		if j.OneZone || n < 2 {
			return fmt.Errorf("the gang's tasks may not all run in the zones allowed")
		}
	}
	return nil
}

// over tells whether n tasks are over a limit, if there is one. What is let through must
// fit as the leader counts, in thousandths: each task's need rounded up, the limit down.
func over(need, n, limit float64) bool {
	return limit > 0 && (need > limit || n > 1 && n*math.Ceil(need*1000-1e-6) > math.Floor(limit*1000+1e-6))
}
