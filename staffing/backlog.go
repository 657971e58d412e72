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
func BacklogShortage(waiting []WaitingWork, running []RunningWork, mean, supply, boot float64) float64 {
	worst := 0.0
	for h := math.Max(1, boot); h < 3600; h *= 1.5 {
		work, all := 0.0, true
		for _, d := range waiting {
			if d.DueInS <= h {
				work += d.CPUSeconds
			} else {
				all = false
			}
		}
		if work == 0 {
			if all {
				break
			}
			continue
		}
		held := 0.0
		for _, r := range running {
			held += r.CPUs * math.Min(r.RemainingS, h) / h
		}
		worst = math.Max(worst, work/h+math.Max(held, mean)-supply)
		if all {
			break
		}
	}
	return worst
}
