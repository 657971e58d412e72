package placement

import "caperlatch/internal/micros"

// What is added to the expected delay of a start, as a delay that is accepted instead.
const (
	// idleMachinePenalty leaves machines idle that may then be terminated.
	idleMachinePenalty = micros.Second / 2
	// freeCPUPenalty is for each CPU that stays free: it leaves machines with much room as they are.
	freeCPUPenalty = 10 * micros.Millisecond
	// failedMachinePenalty is for starting a gang again where a task of it failed: one that fails
	// keeps all waiting.
	failedMachinePenalty = 10 * micros.Second
)

// shortCommandDelay is how long any task may wait for a machine's next heartbeat.
const shortCommandDelay = micros.Second / 2

// startCost is the delay until a task of a job starts on a machine, with the penalties for starting
// it there.
func startCost(m *Machine, j *Job) micros.Micros {
	cost := m.CommandDelay + imagePullTime(m, j)
	if m.Idle {
		cost += idleMachinePenalty
	}
	if _, ok := j.FailedOn[m.ID]; ok {
		cost += failedMachinePenalty
	}
	leftCPU := m.Free.CPU - j.Need.CPU // in thousandths
	return cost + m.StartPenalty + micros.Micros(leftCPU)*freeCPUPenalty/1000
}

// imagePullTime is how long a machine takes to pull a job's image.
func imagePullTime(m *Machine, j *Job) micros.Micros {
	if m.ImagePullGBPerS <= 0 || m.Images.Has(j.ImageIndex) {
		return 0
	}
	return micros.FromSeconds(j.ImageSizeGB / m.ImagePullGBPerS)
}

// isWorthWaitingFor reports whether a start on a machine may be planned before its next heartbeat. A
// job at risk does not wait for a heartbeat that is far off, unless that saves a longer image pull:
// any machine that sends one sooner takes it, see Fill.
func isWorthWaitingFor(m *Machine, j *Job) bool {
	return !j.AtRisk || m.CommandDelay <= shortCommandDelay ||
		m.Images.Has(j.ImageIndex) && m.ImagePullGBPerS > 0 && m.CommandDelay < micros.FromSeconds(j.ImageSizeGB/m.ImagePullGBPerS)
}
