package placement

import "caperlatch/internal/micros"

// Penalties that are added to the expected delay of a start. Each is the additional delay on another machine that is
// accepted to avoid the penalized start.
const (
	// idleMachinePenalty keeps idle machines unused, so that they can be terminated.
	idleMachinePenalty = micros.Second / 2
	// freeCPUPenalty applies per CPU that would stay free; it keeps machines with much free capacity available.
	freeCPUPenalty = 10 * micros.Millisecond
	// failedMachinePenalty applies to restarting a gang on a machine where one of its tasks failed: one failing
	// task keeps all others waiting.
	failedMachinePenalty = 10 * micros.Second
)

// acceptableCommandDelay is the wait for a machine's next heartbeat that is acceptable for any task.
const acceptableCommandDelay = micros.Second / 2

// startCost returns the delay until a task of a job starts on a machine, plus the penalties for starting it there.
func startCost(m *Machine, j *Job) micros.Micros {
	cost := m.CommandDelay + imagePullTime(m, j)
	if m.Idle {
		cost += idleMachinePenalty
	}
	if _, ok := j.FailedOn[m.ID]; ok {
		cost += failedMachinePenalty
	}
	leftCPU := m.Free.CPU - j.Need.CPU // in thousandths of a CPU
	return cost + m.StartPenalty + micros.Micros(leftCPU)*freeCPUPenalty/1000
}

// imagePullTime returns how long a machine takes to pull a job's image.
func imagePullTime(m *Machine, j *Job) micros.Micros {
	if m.ImagePullGBPerS <= 0 || m.Images.Has(j.ImageIndex) {
		return 0
	}
	return micros.FromSeconds(j.ImageSizeGB / m.ImagePullGBPerS)
}

// isWorthWaitingFor reports whether a start on a machine may be planned before its next heartbeat. A job at risk
// does not wait for a distant heartbeat unless that saves a longer image pull, because any machine that sends a
// heartbeat sooner can take the job; see Fill.
func isWorthWaitingFor(m *Machine, j *Job) bool {
	return !j.AtRisk || m.CommandDelay <= acceptableCommandDelay ||
		m.Images.Has(j.ImageIndex) && m.ImagePullGBPerS > 0 && m.CommandDelay < micros.FromSeconds(j.ImageSizeGB/m.ImagePullGBPerS)
}
