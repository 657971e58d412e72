package staffing

import "math"

// WaitingWork is waiting work: CPU seconds that should have been served within Due
// seconds from now.
type WaitingWork struct{ CPUSeconds, DueInS float64 }

// RunningWork is a running task: the GuaranteedCPUs that it holds, and for how many seconds
// more by estimate.
type RunningWork struct{ CPUs, RemainingS float64 }

// BacklogShortage is how many GuaranteedCPUs beyond supply are needed for all waiting work to be
// served in time. The paper's m decays for waiting work as well, so a backlog
// must be added: within any horizon h, the work due by then takes up Work/h
// GuaranteedCPUs on average besides what the running tasks still hold or, if that is more,
// what m says that new arrivals will (mean, in GuaranteedCPUs). Nothing rented now helps
// before boot seconds have passed, so no horizon is shorter.
func BacklogShortage(waiting []WaitingWork, running []RunningWork, meanCPUs, supplyCPUs, bootS float64) float64 {
	shortage := 0.0
	for horizonS := math.Max(1, bootS); horizonS < 3600; horizonS *= 1.5 {
		dueWork, allDue := 0.0, true
		for _, w := range waiting {
			if w.DueInS <= horizonS {
				dueWork += w.CPUSeconds
			} else {
				allDue = false
			}
		}
		if dueWork == 0 {
			if allDue {
				break
			}
			continue
		}
		heldCPUs := 0.0
		for _, r := range running {
			heldCPUs += r.CPUs * math.Min(r.RemainingS, horizonS) / horizonS
		}
		shortage = math.Max(shortage, dueWork/horizonS+math.Max(heldCPUs, meanCPUs)-supplyCPUs)
		if allDue {
			break
		}
	}
	return shortage
}
