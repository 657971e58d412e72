package statestore

import (
	"golang.org/x/time/rate"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// This node's shares of the service's rate limits. All nodes share these: each keeps to half of
// the requests, as they are rarely all busy, and takes a refusal as a sign to wait. Of the
// operations a second, the leader's writes keep to a bit more than half, in transactions that
// leave most of the service's burst: users wait for their submissions, which are not held back
// here. When both passed one limit, submissions at the leader's node queued behind its progress
// for a second and more.
const (
	requestShare     = 0.5 // of all requests, for each node
	leaderWriteShare = 0.6 // of the operations a second, for the leader's own
	writeBurstPart   = 3   // the leader's burst is this part of a second's operations
	minWriteBurst    = 3   // operations; as many as a transaction may have at least
)

// bytesPerKB converts the limit on values.
const bytesPerKB = 1024

// limits are what this node keeps to of the service's limits.
type limits struct {
	requests     *rate.Limiter // all requests
	leaderWrites *rate.Limiter // the leader's operations
	maxOps       int           // operations in a transaction
	maxLeaderOps int           // the leader's operations in a transaction
	valueKB      float64       // of a value, at any time
	valueKBNow   float64       // of a value, until the limits change
}

// newLimits returns this node's limits. They hold before and after a change of the service's:
// see settings.State.Strictest. Only a new job's description may be larger, see ValueFitsNow.
func newLimits(service settings.State) limits {
	strictest := service.Strictest()
	requests := strictest.RPS * requestShare
	burst := max(minWriteBurst, int(strictest.WriteRPS/writeBurstPart))
	return limits{
		requests:     rate.NewLimiter(rate.Limit(requests), max(1, int(requests))),
		leaderWrites: rate.NewLimiter(rate.Limit(strictest.WriteRPS*leaderWriteShare), burst),
		maxOps:       strictest.TxnOps,
		maxLeaderOps: min(strictest.TxnOps, burst),
		valueKB:      strictest.ValueKB,
		valueKBNow:   service.ValueKB,
	}
}

// MaxOps returns the most operations in a transaction.
func (c *Client) MaxOps() int { return c.limits.maxOps }

// MaxLeaderOps returns the most operations in a transaction of the leader.
func (c *Client) MaxLeaderOps() int { return c.limits.maxLeaderOps }

// ValueAlwaysFits reports whether v may be stored under one key at any time.
func (c *Client) ValueAlwaysFits(v any) bool {
	return float64(wire.JSONSize(v)) <= c.limits.valueKB*bytesPerKB
}

// ValueFitsNow reports whether v may be stored under one key as long as the present limits
// hold. A job that could be accepted before the change is not refused for a limit that may not
// hold yet: the write is tried, and ErrRejected says if it does.
func (c *Client) ValueFitsNow(v any) bool {
	return float64(wire.JSONSize(v)) <= c.limits.valueKBNow*bytesPerKB
}
