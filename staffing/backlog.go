package staffing

import "math"

// Range of the horizons, in seconds, within which a backlog is compared with the supply. Each horizon is horizonGrowth
// times the previous one.
const (
	minHorizonS   = 1
	maxHorizonS   = 3600
	horizonGrowth = 1.5
)

// WaitingWork is waiting work of CPUSeconds that should be served within DueInS seconds from now.
type WaitingWork struct{ CPUSeconds, DueInS float64 }

// RunningWork is a running task: the CPUs that it holds, and its estimated remaining run time in seconds.
type RunningWork struct{ CPUs, RemainingS float64 }

// BacklogShortage returns how many CPUs beyond supplyCPUs are needed to serve all waiting work in time. The paper has
// no such formula. Its formula (12) lets the mean m decay as if no work were waiting, so the backlog must be added.
//
// For each of several horizons of h seconds, the work due by then takes CPUSeconds/h CPUs on average. To this are
// added the CPUs that running tasks still hold or, if that is more, meanCPUs, which is what m predicts for new
// arrivals. The result is the largest shortage over all horizons. A machine launched now does not help until it has
// booted, so no horizon is shorter than bootS seconds.
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

// workDueWithin returns the waiting work, in CPU seconds, that is due within a horizon, and whether all waiting work
// is due within it.
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

// cpusHeldWithin returns how many CPUs running tasks hold on average over a horizon.
func cpusHeldWithin(running []RunningWork, horizonS float64) float64 {
	cpus := 0.0
	for _, r := range running {
		cpus += r.CPUs * math.Min(r.RemainingS, horizonS) / horizonS
	}
	return cpus
}
