package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// preemptForGangs stops work of less claim for gangs that would otherwise be late, each on
// one machine: its worker reports at once when tasks on it end, so the gang starts with
// that report, sooner than on a machine with room that may report much later. A task that
// would take too long to save is stopped at once; what it loses is little against a gang.
func (l *Leader) preemptForGangs(now micros.Micros) {
	wall := micros.Wall()
	var late []*placement.Job
	for _, w := range l.queue.waiting {
		k := l.reservations[w.ID]
		if w.Gang && w.AtRisk && !w.Late && (k == nil || len(k.Machines) == 0) && (w.EarliestStart == 0 || wall+w.EarliestStart > w.StartDeadline) {
			late = append(late, w)
		}
	}
	if len(late) == 0 || now-l.preemptedForGangsAt < gangPreemptInterval {
		return
	}
	l.preemptedForGangsAt = now
	machines, ms := l.machinesWithVictims(now)
	for _, w := range late[:min(len(late), maxReservationJobs)] {
		stops, at := placement.PreemptOnSingleMachine(machines, w, l.queue.teams[w.Team])
		if len(stops) == 0 {
			continue
		}
		l.reserveMachineFor(w.ID, ms[at], now)
		for _, s := range stops {
			a := ms[at].Attempts[state.TaskID(s.Victim.JobID, s.Victim.Task)]
			if a == nil {
				continue
			}
			grace := micros.FromSeconds(a.Job.Spec.CheckpointDurationS)
			if wall+grace > w.StartDeadline || a.RunningSince == 0 || now-a.RunningSince < grace {
				grace = 0
			}
			l.stopTask(a, grace, "stopped to make room for "+w.ID)
		}
	}
}

// gangPreemptInterval bounds how often all running tasks are looked at for gangs.
const gangPreemptInterval = micros.Second / 2
