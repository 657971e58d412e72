package leader

import "caperlatch/internal/leader/quarantine"

// newQuarantine returns the quarantine for this term.
func (l *Leader) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Config{
		Fleet:         l.fleet,
		Jobs:          l.jobs,
		Demand:        l.scaler,
		StopTask:      l.stopTask,
		EvictGangTask: l.gangs.EvictTask,
		OnChange:      func() { l.scheduler.RequestPlan() },
	})
}
