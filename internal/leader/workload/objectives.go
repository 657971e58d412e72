package workload

import (
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
)

const (
	// defaultStartLimit is how long a job may wait for its start if it has no deadline and no objective applies to it.
	defaultStartLimit = 60 * micros.Second
	// distantDeadline is the start deadline, counted from submission, of a job that can no longer meet any objective.
	distantDeadline = 365 * 24 * 3600 * micros.Second
	// agingThreshold is how long a job must have waited for a start to be aged.
	agingThreshold = 120 * micros.Second
)

// HasAged reports whether a job has waited for a start for longer than agingThreshold, with none of its tasks on a
// machine. A job that is being probed does not age. termStartedAt and wall are wall-clock times.
func HasAged(j *state.Job, termStartedAt, wall micros.Micros) bool {
	since := max(j.SubmittedAt, j.LastStart)
	if j.DoneCount > 0 {
		since = max(since, termStartedAt) // starts of earlier terms are unknown
	}
	return len(j.Attempts) == 0 && wall-since > agingThreshold && !j.IsProbing()
}

// IsDelayTolerant reports whether a job can do without on-demand machines: it allows spot machines and has the lowest
// priority, no deadline, and no objective for its class. On-demand machines cost about three times as much as spot
// machines, which is more than such a job is worth.
func (w *Workload) IsDelayTolerant(j *state.Job) bool {
	return j.Priority == 0 && j.Spec.AllowSpot && j.Spec.DeadlineS == nil &&
		!slices.ContainsFunc(w.objectives, func(o settings.Objective) bool { return o.Class == j.Spec.Class })
}

// WaitObjectives returns the objectives that limit how long the tasks of a class wait for their start.
func (w *Workload) WaitObjectives(class string) (objectives []settings.Objective) {
	for _, o := range w.objectives {
		if o.Kind == settings.ObjectiveWait && o.Class == class && o.WithinS > 0 {
			objectives = append(objectives, o)
		}
	}
	return objectives
}

// Deadlines holds the wall-clock times by which the last of a job's tasks should have started.
type Deadlines struct {
	Next  micros.Micros   // deadline of the next objective that can still be met
	Later []micros.Micros // deadlines of all other objectives that can still be met, in ascending order
	// Late reports that no objective can be met any more. Next is then distantDeadline after the submission, later than
	// the deadlines that other jobs can still meet.
	Late bool
}

// StartDeadlines returns the times by which a job's tasks should have started. withinGuarantee reports whether
// the job is within its team's guarantee; wall is the current wall-clock time.
func (w *Workload) StartDeadlines(j *state.Job, withinGuarantee bool, wall micros.Micros) Deadlines {
	limits := w.startLimits(j, withinGuarantee)
	open := limits[:0] // reuses the memory of limits, as each plan calls StartDeadlines for every waiting job
	for _, limit := range limits {
		if at := j.SubmittedAt + limit; at >= wall {
			open = append(open, at)
		}
	}
	switch {
	case len(open) > 0:
		slices.Sort(open)
		return Deadlines{Next: open[0], Later: open[1:]}
	case len(limits) > 0:
		return Deadlines{Next: j.SubmittedAt + distantDeadline, Late: true}
	}
	return Deadlines{Next: j.SubmittedAt + defaultStartLimit}
}

// startLimits returns how soon after its submission a job's tasks should start: one limit for the job's deadline, if it
// has one, and one for each objective that applies. Wait and guarantee objectives apply only as long as no task of the
// job is done or on a machine.
func (w *Workload) startLimits(j *state.Job, withinGuarantee bool) (limits []micros.Micros) {
	s := j.Spec
	runtime := micros.FromSeconds(w.ExpectedRuntime(s))
	hasNotStarted := len(j.Attempts)+j.DoneCount == 0
	if s.DeadlineS != nil {
		limits = append(limits, micros.FromSeconds(*s.DeadlineS)-runtime)
	}
	for _, o := range w.objectives {
		if o.Class != s.Class && o.Kind != settings.ObjectiveGuarantee {
			continue
		}
		within := micros.FromSeconds(o.WithinS)
		switch {
		case o.Kind == settings.ObjectiveDeadline && s.DeadlineS != nil && o.Times > 1:
			limits = append(limits, micros.FromSeconds(*s.DeadlineS*o.Times)-runtime)
		case o.Kind == settings.ObjectiveGuarantee && withinGuarantee && hasNotStarted,
			o.Kind == settings.ObjectiveWait && hasNotStarted:
			limits = append(limits, within)
		case o.Kind == settings.ObjectiveFinished:
			limits = append(limits, within-runtime)
		}
	}
	return limits
}
