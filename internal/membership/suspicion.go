package membership

import (
	"math"

	"caperlatch/internal/micros"
)

// timeoutForConfirmations returns the timeout of a suspicion that confirmations other members confirm, out of the
// possibleConfirmations that could. As in Lifeguard, each independent confirmation shortens the timeout, the first ones
// the most. So a node that alone is cut off from a member waits long, and a failure that all nodes see is detected
// quickly.
func timeoutForConfirmations(c *Config, confirmations, possibleConfirmations int) micros.Micros {
	if possibleConfirmations == 0 {
		return c.MaxSuspicionTimeout
	}
	progress := math.Log(float64(min(confirmations, possibleConfirmations))+1) / math.Log(float64(possibleConfirmations)+1)
	return c.MaxSuspicionTimeout - micros.Micros(float64(c.MaxSuspicionTimeout-c.MinSuspicionTimeout)*progress)
}
