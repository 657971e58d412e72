package workload

import (
	"cmp"
	"iter"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/settings"
	"caperlatch/placement"
)

// unbounded is more memory than any machine has: quotas count CPUs and GPUs alone.
const unbounded = 1 << 60

// SetTeam takes over a team's quotas.
func (w *Workload) SetTeam(t settings.Team) {
	w.teams[t.Name] = Team{
		Guaranteed: placement.Resources{CPU: state.FloorMilli(t.GuaranteedCPUs), GPU: state.FloorMilli(t.GuaranteedGPUs), Memory: unbounded},
		Limit:      placement.Resources{CPU: state.FloorMilli(t.MaxCPUs), GPU: state.FloorMilli(t.MaxGPUs)},
	}
}

// Teams yields the teams' quotas by name.
func (w *Workload) Teams() iter.Seq2[string, Team] {
	return func(yield func(string, Team) bool) {
		for name, t := range w.teams {
			if !yield(name, t) {
				return
			}
		}
	}
}

// WithinLimit reports whether a team may use so many resources.
func (w *Workload) WithinLimit(team string, used placement.Resources) bool {
	limit := w.teams[team].Limit
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// JobsWithinGuarantee finds the jobs that fit into their team's guarantee together with the team's
// earlier unfinished jobs. Quarantined jobs don't count: they would keep the guarantee from the others.
func (w *Workload) JobsWithinGuarantee(jobs map[string]*state.Job) map[*state.Job]bool {
	byTeam := map[string][]*state.Job{}
	for _, j := range jobs {
		if !j.Failures.Quarantined {
			byTeam[j.Spec.Team] = append(byTeam[j.Spec.Team], j)
		}
	}
	within := make(map[*state.Job]bool, len(jobs))
	for name, jobs := range byTeam {
		left := w.teams[name].Guaranteed
		if left.CPU == 0 && left.GPU == 0 {
			continue
		}
		slices.SortFunc(jobs, func(a, b *state.Job) int {
			return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		for _, j := range jobs {
			if !left.Fits(j.Need) {
				break
			}
			left = left.Add(j.Need, -int64(j.Spec.Tasks-j.DoneCount))
			if left.CPU < 0 || left.GPU < 0 {
				break
			}
			within[j] = true
		}
	}
	return within
}
