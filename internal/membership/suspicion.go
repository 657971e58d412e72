package membership

import (
	"math"

	"caperlatch/internal/micros"
)

// suspicionTimeout is how long a suspicion lasts that some of the members who could share it
// share. As in the Lifeguard extensions of SWIM, each independent confirmation shortens it, the
// first ones by most: one node that is cut off by itself waits for long, a failure that all see is
// confirmed soon.
func suspicionTimeout(c *Config, confirmed, possible int) micros.Micros {
	if possible == 0 {
		return c.MaxSuspicionTimeout
	}
	part := math.Log(float64(min(confirmed, possible))+1) / math.Log(float64(possible)+1)
	return c.MaxSuspicionTimeout - micros.Micros(float64(c.MaxSuspicionTimeout-c.MinSuspicionTimeout)*part)
}
