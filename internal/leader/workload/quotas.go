package workload

import (
	"cmp"
	"iter"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/settings"
	"caperlatch/placement"
)

// unbounded is more memory, and more tasks, than a fleet has. Quotas limit only CPUs and GPUs.
const unbounded = 1 << 60

// SetTeam sets a team's quotas.
func (w *Workload) SetTeam(t settings.Team) {
	w.teams[t.Name] = Team{
		Guaranteed: placement.Resources{CPU: state.FloorMilli(t.GuaranteedCPUs), GPU: state.FloorMilli(t.GuaranteedGPUs), Memory: unbounded, Tasks: unbounded},
		Limit:      placement.Resources{CPU: state.FloorMilli(t.MaxCPUs), GPU: state.FloorMilli(t.MaxGPUs)},
	}
}

// Teams returns an iterator over the teams' quotas by name.
func (w *Workload) Teams() iter.Seq2[string, Team] {
	return func(yield func(string, Team) bool) {
		for name, t := range w.teams {
			if !yield(name, t) {
				return
			}
		}
	}
}

// WithinLimit reports whether a team's limit allows it to use the given resources in total.
func (w *Workload) WithinLimit(team string, used placement.Resources) bool {
	limit := w.teams[team].Limit
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// JobsWithinGuarantee returns the jobs that fit into their team's guarantee together with all of the team's unfinished
// jobs that were submitted before. A job that does not fit excludes all later jobs of the team, even smaller ones.
// Quarantined jobs are left out, as they would keep the guarantee from the team's other jobs.
func (w *Workload) JobsWithinGuarantee(jobs map[string]*state.Job) map[*state.Job]bool {
	byTeam := map[string][]*state.Job{}
	for _, j := range jobs {
		if !j.Failures.Quarantined {
			byTeam[j.Spec.Team] = append(byTeam[j.Spec.Team], j)
		}
	}
	within := make(map[*state.Job]bool, len(jobs))
	for name, jobs := range byTeam {
		remaining := w.teams[name].Guaranteed
		if remaining.CPU == 0 && remaining.GPU == 0 {
			continue
		}
		slices.SortFunc(jobs, func(a, b *state.Job) int {
			return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		for _, j := range jobs {
			if !remaining.Fits(j.Need) {
				break
			}
			remaining = remaining.Add(j.Need, -int64(j.Spec.Tasks-j.DoneCount))
			if remaining.CPU < 0 || remaining.GPU < 0 {
				break
			}
			within[j] = true
		}
	}
	return within
}
