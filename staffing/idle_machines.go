package staffing

import "math"

// IdleMachines is how many machines must have room so that, with a chance of 1-alpha, one of them
// sends a heartbeat within waitS seconds: only then it can start a task. It is no formula of the
// paper, whose servers start work at once. Each machine sends one heartbeat in every intervalS
// seconds, and the machines at independent times, so each does within waitS with the chance
// waitS/intervalS.
func IdleMachines(waitS, intervalS, alpha float64) int {
	if waitS >= intervalS || alpha >= 1 {
		return 1
	}
	if waitS <= 0 || alpha <= 0 {
		return math.MaxInt32
	}
	return max(1, int(math.Ceil(math.Log(alpha)/math.Log(1-waitS/intervalS))))
}
