package scheduler

import (
	"context"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// logDeferrals logs, at level debug, which jobs a plan deferred, to which start deadline, and for which other job. What
// the plan before deferred alike is not repeated, as there are several plans a second. Deadlines are logged as
// what is left until them.
func (s *Scheduler) logDeferrals(deferrals []placement.Deferral, wall micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		s.deferred = nil
		return
	}
	deferred := make(map[string]placement.Deferral, len(deferrals))
	for _, d := range deferrals {
		deferred[d.Job.ID] = d // the last one of a job counts
	}
	for _, d := range deferrals {
		last, wasDeferred := s.deferred[d.Job.ID]
		isLast := deferred[d.Job.ID] == d
		if !isLast || wasDeferred && last.Late == d.Late && last.StartDeadline == d.StartDeadline {
			continue
		}
		slog.Debug("job deferred", "job", d.Job.ID, "team", d.Job.Team, "late", d.Late, "start_deadline", (d.StartDeadline - wall).Duration(),
			"for_job", d.ForJob.ID, "missed_deadline", (d.MissedDeadline - wall).Duration())
	}
	s.deferred = deferred
}
