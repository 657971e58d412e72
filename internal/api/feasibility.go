package api

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Errors for jobs that can never run.
var (
	errNoInstanceTypeFits = errors.New("a task fits no allowed machine type")
	errGangZones          = errors.New("the gang's tasks may not all run in the zones allowed")
)

// checkFeasible returns an error that says why a job can never run, or nil if it can.
//
// The check must be exact: a rejected job is lost, and an accepted job must eventually run. All tasks of a gang
// are checked together, because they run at the same time.
func checkFeasible(j *wire.Job, types []wire.InstanceType, teams []settings.Team) error {
	if err := checkTeamLimits(j, teams); err != nil {
		return err
	}
	zones, fits := feasibleZones(j, types)
	if !fits {
		return errNoInstanceTypeFits
	}
	// A gang that is spread over zones runs all its tasks at the same time, at most half of them in one zone, so
	// it needs two zones.
	spreadGang := j.Kind == wire.KindGang && j.SpreadZones && j.Tasks > 1
	if spreadGang && (j.SingleZone || len(zones) < 2) {
		return errGangZones
	}
	return nil
}

// checkTeamLimits returns an error if the job's team is unknown, or if the job needs more resources at the same
// time than the team's limits allow.
func checkTeamLimits(j *wire.Job, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %s is unknown", j.Team)
	}
	requirement, concurrentTasks := "a task needs", 1.0
	if j.Kind == wire.KindGang {
		requirement, concurrentTasks = "all tasks of the gang need", float64(max(1, j.Tasks))
	}
	if t := teams[i]; exceedsLimit(j.CPUs, concurrentTasks, t.MaxCPUs) || exceedsLimit(j.GPUs, concurrentTasks, t.MaxGPUs) {
		return fmt.Errorf("%s more than team %s may use", requirement, j.Team)
	}
	return nil
}

// feasibleZones returns the zones in which a task of the job can run: those that the job allows and where an
// instance type that it allows is large enough. fits reports whether any allowed instance type is large enough.
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

// exceedsLimit reports whether the given number of tasks, which need perTask each, exceeds a limit; a limit of 0
// means no limit. A job that passes must also fit by the leader's accounting, which counts in thousandths and
// rounds each task's need up and the limit down.
func exceedsLimit(perTask, tasks, limit float64) bool {
	if limit <= 0 {
		return false
	}
	const (
		unitsPerWhole     = 1000 // the leader counts in thousandths
		roundingTolerance = 1e-6 // error of decimal fractions in binary floating point
	)
	total := tasks * math.Ceil(perTask*unitsPerWhole-roundingTolerance)
	return perTask > limit || tasks > 1 && total > math.Floor(limit*unitsPerWhole+roundingTolerance)
}
