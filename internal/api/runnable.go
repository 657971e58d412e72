package api

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// checkFeasible tells why a job can never run (422), or nil. What is refused is lost, and what
// is accepted must run: a gang is weighed whole, as it runs whole.
func checkFeasible(j *wire.Job, types []wire.InstanceType, teams []settings.Team) error {
	if err := withinTeam(j, teams); err != nil {
		return err
	}
	zones, fits := zonesThatFit(j, types)
	if !fits {
		return errors.New("a task fits no allowed machine type")
	}
	// At most half of a spread gang's tasks may be in a zone, and all run at once.
	spreadGang := j.Kind == wire.KindGang && j.SpreadZones && j.Tasks > 1
	if spreadGang && (j.SingleZone || len(zones) < 2) {
		return errors.New("the gang's tasks may not all run in the zones allowed")
	}
	return nil
}

// withinTeam tells why a job's team may never use what the job needs at one time.
func withinTeam(j *wire.Job, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %s is unknown", j.Team)
	}
	needs, atOnce := "a task needs", 1.0
	if j.Kind == wire.KindGang {
		needs, atOnce = "all tasks of the gang need", float64(max(1, j.Tasks))
	}
	if t := teams[i]; over(j.CPUs, atOnce, t.MaxCPUs) || over(j.GPUs, atOnce, t.MaxGPUs) {
		return fmt.Errorf("%s more than team %s may use", needs, j.Team)
	}
	return nil
}

// zonesThatFit lists the zones allowed in which some allowed machine type has room for a
// task, and tells whether any type has.
func zonesThatFit(j *wire.Job, types []wire.InstanceType) (zones map[string]bool, fits bool) {
	zones = map[string]bool{}
	for _, t := range types {
		allowed := (len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, t.Name)) && (j.Zone == "" || slices.Contains(t.Zones, j.Zone))
		if !allowed || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		fits = true
		for _, zone := range t.Zones {
			if j.Zone == "" || j.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones, fits
}

// over tells whether n tasks are over a limit, if there is one. What is let through must
// fit as the leader counts, in thousandths: each task's need rounded up, the limit down.
func over(need, n, limit float64) bool {
	if limit <= 0 {
		return false
	}
	const (
		perUnit  = 1000 // thousandths, in which the leader counts
		rounding = 1e-6 // what binary fractions may be off
	)
	needs := n * math.Ceil(need*perUnit-rounding)
	return need > limit || n > 1 && needs > math.Floor(limit*perUnit+rounding)
}
