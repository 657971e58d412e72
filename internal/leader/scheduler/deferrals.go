package scheduler

import (
	"context"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// logDeferrals logs, at debug level, which jobs a plan deferred, to which start deadline, and in favor of which job. A
// deferral that the previous plan made as well is not logged again, as there are several plans a second. Deadlines are
// logged as the time left until them.
func (s *Scheduler) logDeferrals(deferrals []placement.Deferral, wall micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		s.loggedDeferrals = nil
		return
	}
	deferred := make(map[string]placement.Deferral, len(deferrals))
	for _, d := range deferrals {
		deferred[d.Job.ID] = d // a later deferral of the same job replaces an earlier one
	}
	for _, d := range deferrals {
		last, wasDeferred := s.loggedDeferrals[d.Job.ID]
		isLast := deferred[d.Job.ID] == d
		if !isLast || wasDeferred && last.Late == d.Late && last.StartDeadline == d.StartDeadline {
			continue
		}
		slog.Debug("job deferred", "job", d.Job.ID, "team", d.Job.Team, "late", d.Late, "start_deadline", (d.StartDeadline - wall).Duration(),
			"for_job", d.ForJob.ID, "missed_deadline", (d.MissedDeadline - wall).Duration())
	}
	s.loggedDeferrals = deferred
}
