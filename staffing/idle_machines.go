package staffing

import "math"

// IdleMachines is how many servers must have room so that, with a chance of 1-alpha, one of
// them can be reached within wait. A server is reached once in every interval, and the
// servers at times that are independent of each other; so each is reached within wait with
// the chance wait/interval.
func IdleMachines(waitS, intervalS, alpha float64) int {
	if waitS >= intervalS || alpha >= 1 {
		return 1
	}
	if waitS <= 0 || alpha <= 0 {
		return math.MaxInt32
	}
	return max(1, int(math.Ceil(math.Log(alpha)/math.Log(1-waitS/intervalS))))
}
