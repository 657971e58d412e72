package api

import (
	"fmt"
	"slices"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Runnable tells why a job can never run (422), or nil.
func Runnable(j *wire.Job, types []wire.MachineType, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return fmt.Errorf("team %s is unknown", j.Team)
	}
	if t := teams[i]; t.CPUsMax > 0 && j.CPUs > t.CPUsMax || t.GPUsMax > 0 && j.GPUs > t.GPUsMax {
		return fmt.Errorf("a task needs more than team %s may use", j.Team)
	}
	for _, t := range types {
		if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) || j.Zone != "" && !slices.Contains(t.Zones, j.Zone) {
			continue
		}
		if j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB {
			return nil
		}
	}
	return fmt.Errorf("a task fits no allowed machine type")
}
