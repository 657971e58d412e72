package wire

import "strconv"

// Paths between workers and nodes.
const (
	PathHeartbeats = "/hello"    // of nodes, for heartbeats
	PathCommands   = "/commands" // of workers, for commands that wait for no heartbeat
)

// Paths of the state service.
const (
	PathKeys         = "/store"
	PathTransactions = "/txn"
	PathWatches      = "/watch"
	PathSessions     = "/holds"
)

// PathSession is the path of a session, to end it.
func PathSession(id uint64) string { return PathSessions + "/" + strconv.FormatUint(id, 10) }

// PathSessionRenewal is the path to renew a session.
func PathSessionRenewal(id uint64) string { return PathSession(id) + "/extend" }

// Paths of the cloud.
const (
	PathInstanceTypes = "/catalog"
	PathInstances     = "/hosts"
	PathTerminations  = "/hosts/return"
)

// Parameters of queries for lists and watches.
const (
	QueryPrefix  = "starts"  // that keys must have
	QueryAfter   = "after"   // the last key or ID, or the revision, of the answer before
	QueryLimit   = "most"    // entries in a page
	QueryTimeout = "wait_ms" // of a watch for a change
)

// Texts of error responses that stand for more than their status.
const (
	MessageSessionNotFound = "no such lease" // a put names a session that has ended
	MessageNoCapacity      = "no capacity"   // the cloud has no such instance now
)
