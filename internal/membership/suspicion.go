package membership

import (
	"math"

	"caperlatch/internal/micros"
)

// confirmedTimeout is how long a suspicion lasts that some of the members who could confirm it do. As
// in Lifeguard, each independent confirmation shortens it, the first ones by most: a node that is cut
// off alone waits for long, and a failure that all see is found soon.
func confirmedTimeout(c *Config, confirmations, possibleConfirmations int) micros.Micros {
	if possibleConfirmations == 0 {
		return c.MaxSuspicionTimeout
	}
	progress := math.Log(float64(min(confirmations, possibleConfirmations))+1) / math.Log(float64(possibleConfirmations)+1)
	return c.MaxSuspicionTimeout - micros.Micros(float64(c.MaxSuspicionTimeout-c.MinSuspicionTimeout)*progress)
}
