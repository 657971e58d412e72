package statestore

import (
	"caperlatch/internal/wire"
)

// Shares of the service's limits; see New.
const (
	requestShare     = 0.5 // of all requests, for each node
	leaderWriteShare = 0.6 // of the changes a second, for the leader's own
	writeBurstPart   = 3   // the leader's burst is this part of a second's changes
	minWriteBurst    = 3   // changes; as many as txn_ops allows at least
)

const bytesPerKB = 1024

// MaxOps is the most changes in a transaction.
func (c *Client) MaxOps() int { return c.maxOps }

// MaxLeaderOps is the most changes of the leader in a transaction.
func (c *Client) MaxLeaderOps() int { return c.maxLeaderOps }

// ValueAlwaysFits tells whether v may be stored under one key at any time.
func (c *Client) ValueAlwaysFits(v any) bool {
	return float64(wire.JSONSize(v)) <= c.valueKB*bytesPerKB
}

// ValueFitsNow tells whether v may be stored under one key as long as the present
// limits hold. A job that could be accepted before the change is not refused for a
// limit that may not hold yet: the write is tried, and ErrRejected tells.
func (c *Client) ValueFitsNow(v any) bool {
	return float64(wire.JSONSize(v)) <= c.currentValueKB*bytesPerKB
}
