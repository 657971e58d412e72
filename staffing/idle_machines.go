package staffing

import "math"

// IdleMachines returns how many machines must have room so that, with probability 1-alpha, at least one of them sends
// a heartbeat within waitS seconds. The paper has no such formula, as its servers start work at once, whereas a
// machine starts tasks only at a heartbeat. Each machine sends one heartbeat in every intervalS seconds, and the
// machines do so at independent times, so each sends one within waitS with probability waitS/intervalS.
func IdleMachines(waitS, intervalS, alpha float64) int {
	if waitS >= intervalS || alpha >= 1 {
		return 1
	}
	if waitS <= 0 || alpha <= 0 {
		return math.MaxInt32
	}
	return max(1, int(math.Ceil(math.Log(alpha)/math.Log(1-waitS/intervalS))))
}
