package staffing

import "math"

// Horizons, in seconds, within which a backlog is compared with supply: each is horizonGrowth times
// the one before.
const (
	minHorizonS   = 1
	maxHorizonS   = 3600
	horizonGrowth = 1.5
)

// WaitingWork is work that waits: CPU seconds that should be served within DueInS seconds from now.
type WaitingWork struct{ CPUSeconds, DueInS float64 }

// RunningWork is a running task: the CPUs that it holds, and for how many more seconds by estimate.
type RunningWork struct{ CPUs, RemainingS float64 }

// BacklogShortage is how many CPUs beyond supplyCPUs are needed to serve all waiting work in time.
// It is no formula of the paper: by formula (12) m decays for waiting work as well, so a backlog must
// be added. Within any horizon of h seconds the work due by then takes up CPUSeconds/h CPUs on
// average, besides what running tasks still hold or, if that is more, what m says that new arrivals
// will: meanCPUs. No machine launched now helps within the bootS seconds of a boot, so no horizon is
// shorter.
func BacklogShortage(waiting []WaitingWork, running []RunningWork, meanCPUs, supplyCPUs, bootS float64) float64 {
	shortage := 0.0
	for horizonS := math.Max(minHorizonS, bootS); horizonS < maxHorizonS; horizonS *= horizonGrowth {
		dueWork, allDue := workDueWithin(waiting, horizonS)
		if dueWork != 0 {
			heldCPUs := cpusHeldWithin(running, horizonS)
			shortage = math.Max(shortage, dueWork/horizonS+math.Max(heldCPUs, meanCPUs)-supplyCPUs)
		}
		if allDue {
			break
		}
	}
	return shortage
}

// workDueWithin is the waiting work, in CPU seconds, that is due within a time, and whether that is
// all.
func workDueWithin(waiting []WaitingWork, horizonS float64) (cpuSeconds float64, all bool) {
	all = true
	for _, w := range waiting {
		if w.DueInS <= horizonS {
			cpuSeconds += w.CPUSeconds
		} else {
			all = false
		}
	}
	return cpuSeconds, all
}

// cpusHeldWithin is how many CPUs running tasks hold on average over a time.
func cpusHeldWithin(running []RunningWork, horizonS float64) float64 {
	cpus := 0.0
	for _, r := range running {
		cpus += r.CPUs * math.Min(r.RemainingS, horizonS) / horizonS
	}
	return cpus
}
