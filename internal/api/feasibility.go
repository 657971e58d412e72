package api

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Reasons why a job can never run.
var (
	errNoInstanceTypeFits = errors.New("a task fits no allowed machine type")
	errGangZones          = errors.New("the gang's tasks may not all run in the zones allowed")
)

// checkFeasible returns why a job can never run, or nil. What is rejected is lost, and what is
// accepted must run: of a gang all tasks are checked together, as they run at the same time.
func checkFeasible(j *wire.Job, types []wire.InstanceType, teams []settings.Team) error {
	if err := checkTeamLimits(j, teams); err != nil {
		return err
	}
	zones, fits := feasibleZones(j, types)
	if !fits {
		return errNoInstanceTypeFits
	}
	// At most half of a spread gang's tasks may be in one zone, and all run at the same time.
	spreadGang := j.Kind == wire.KindGang && j.SpreadZones && j.Tasks > 1
	if spreadGang && (j.SingleZone || len(zones) < 2) {
		return errGangZones
	}
	return nil
}

// checkTeamLimits returns why a job's team may never use what the job needs at one time, or nil.
func checkTeamLimits(j *wire.Job, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %s is unknown", j.Team)
	}
	needs, concurrentTasks := "a task needs", 1.0
	if j.Kind == wire.KindGang {
		needs, concurrentTasks = "all tasks of the gang need", float64(max(1, j.Tasks))
	}
	if t := teams[i]; exceedsLimit(j.CPUs, concurrentTasks, t.MaxCPUs) || exceedsLimit(j.GPUs, concurrentTasks, t.MaxGPUs) {
		return fmt.Errorf("%s more than team %s may use", needs, j.Team)
	}
	return nil
}

// feasibleZones returns the allowed zones in which some allowed instance type has room for a
// task, and whether any type has.
func feasibleZones(j *wire.Job, types []wire.InstanceType) (zones map[string]bool, fits bool) {
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

// exceedsLimit reports whether tasks that need so much each are over a limit; 0 is none. What
// passes must fit as the leader counts, in thousandths: each task's need rounded up, the limit
// down.
func exceedsLimit(need, tasks, limit float64) bool {
	if limit <= 0 {
		return false
	}
	const (
		perUnit  = 1000 // thousandths, in which the leader counts
		rounding = 1e-6 // what binary fractions may be off
	)
	needs := tasks * math.Ceil(need*perUnit-rounding)
	return need > limit || tasks > 1 && needs > math.Floor(limit*perUnit+rounding)
}
