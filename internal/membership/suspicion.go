package membership

import (
	"math"

	"caperlatch/internal/micros"
)

// timeoutForConfirmations returns the timeout of a suspicion with the given number of confirmations by other members.
// possibleConfirmations is the number of members that could confirm it. As in Lifeguard, each independent confirmation
// shortens the timeout, the first ones the most. So a node that alone is cut off from a member waits long, and a
// failure that all nodes see is detected quickly.
func timeoutForConfirmations(c *Config, confirmations, possibleConfirmations int) micros.Micros {
	if possibleConfirmations == 0 {
		return c.MaxSuspicionTimeout
	}
	progress := math.Log(float64(min(confirmations, possibleConfirmations))+1) / math.Log(float64(possibleConfirmations)+1)
	return c.MaxSuspicionTimeout - micros.Micros(float64(c.MaxSuspicionTimeout-c.MinSuspicionTimeout)*progress)
}
