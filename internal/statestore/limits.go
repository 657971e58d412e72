package statestore

import (
	"golang.org/x/time/rate"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// This node's shares of the service's rate limits, which all nodes share. Each node uses up to half of the requests, as
// the nodes are rarely all busy, and waits when the service refuses one. The leader's writes use a little more than half
// of the operations, in transactions that leave most of the service's burst for submissions: users wait for these, so
// they are not limited here. When one limiter held both, submissions at the leader's node queued behind its progress
// writes for a second or more.
const (
	requestShare      = 0.5 // each node's share of the requests per second
	leaderWriteShare  = 0.6 // the share of the operations per second for the leader's writes
	writeBurstDivisor = 3   // the leader's burst is the operations per second divided by this
	minWriteBurst     = 3   // operations; the settings accept no lower limit on the operations in a transaction
)

// bytesPerKB is the number of bytes in a KB of the settings' limit on the size of a value.
const bytesPerKB = 1024

// limits holds the limits that this node observes.
type limits struct {
	requests          *rate.Limiter // all requests
	leaderWrites      *rate.Limiter // the leader's operations
	maxOps            int           // the most operations in a transaction
	maxLeaderOps      int           // the most operations in a transaction of the leader
	maxValueKB        float64       // the largest value, before and after the service's limits change
	currentMaxValueKB float64       // the largest value until the service's limits change
}

// newLimits returns the limits that this node observes. They hold before and after the service's limits change, see
// settings.State.Strictest. Only the description of a new job may be larger, see ValueFitsNow.
func newLimits(service settings.State) limits {
	strictest := service.Strictest()
	requests := strictest.RPS * requestShare
	burst := max(minWriteBurst, int(strictest.WriteRPS/writeBurstDivisor))
	return limits{
		requests:          rate.NewLimiter(rate.Limit(requests), max(1, int(requests))),
		leaderWrites:      rate.NewLimiter(rate.Limit(strictest.WriteRPS*leaderWriteShare), burst),
		maxOps:            strictest.TxnOps,
		maxLeaderOps:      min(strictest.TxnOps, burst),
		maxValueKB:        strictest.ValueKB,
		currentMaxValueKB: service.ValueKB,
	}
}

// MaxOps returns the most operations in a transaction.
func (c *Client) MaxOps() int { return c.limits.maxOps }

// MaxLeaderOps returns the most operations in a transaction of the leader, which also must not exceed its burst.
func (c *Client) MaxLeaderOps() int { return c.limits.maxLeaderOps }

// ValueAlwaysFits reports whether v is small enough to be stored under one key, before and after the service's limits
// change.
func (c *Client) ValueAlwaysFits(v any) bool {
	return float64(wire.JSONSize(v)) <= c.limits.maxValueKB*bytesPerKB
}

// ValueFitsNow reports whether v is small enough to be stored under one key until the service's limits change. A new
// job is not refused for a limit that may not apply yet: the write is tried, and fails with ErrRejected if the limit
// applies.
func (c *Client) ValueFitsNow(v any) bool {
	return float64(wire.JSONSize(v)) <= c.limits.currentMaxValueKB*bytesPerKB
}
