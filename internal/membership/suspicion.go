package membership

import (
	"math"

	"caperlatch/internal/micros"
)

// confirmedTimeout is how long a suspicion lasts that some of the members who could share it
// share. As in the Lifeguard extensions of SWIM, each independent confirmation shortens it, the
// first ones by most: one node that is cut off by itself waits for long, a failure that all see is
// confirmed soon.
func confirmedTimeout(c *Config, confirmations, possibleConfirmations int) micros.Micros {
	if possibleConfirmations == 0 {
		return c.MaxSuspicionTimeout
	}
	progress := math.Log(float64(min(confirmations, possibleConfirmations))+1) / math.Log(float64(possibleConfirmations)+1)
	return c.MaxSuspicionTimeout - micros.Micros(float64(c.MaxSuspicionTimeout-c.MinSuspicionTimeout)*progress)
}
