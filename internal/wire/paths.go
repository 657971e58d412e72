package wire

import "strconv"

// HTTP paths of nodes and workers.
const (
	PathHeartbeats = "/hello"    // on nodes, for heartbeats
	PathCommands   = "/commands" // on workers, for commands that are sent without waiting for a heartbeat
)

// HTTP paths of the state service.
const (
	PathKeys         = "/store"
	PathTransactions = "/txn"
	PathWatches      = "/watch"
	PathSessions     = "/holds"
)

// PathSession returns the path of a session, which is used to end it.
func PathSession(id uint64) string { return PathSessions + "/" + strconv.FormatUint(id, 10) }

// PathSessionRenewal returns the path that is used to renew a session.
func PathSessionRenewal(id uint64) string { return PathSession(id) + "/extend" }

// HTTP paths of the cloud.
const (
	PathInstanceTypes = "/catalog"
	PathInstances     = "/hosts"
	PathTerminations  = "/hosts/return"
)

// Query parameters of list and watch requests.
const (
	QueryPrefix  = "starts"  // prefix that the keys must have
	QueryAfter   = "after"   // last key or ID, or the revision, of the previous response
	QueryLimit   = "most"    // maximum number of entries in a page
	QueryTimeout = "wait_ms" // maximum time that a watch waits for a change, in milliseconds
)

// Texts of error responses that identify a specific error, which the status alone does not.
const (
	MessageSessionNotFound = "no such lease" // a put refers to a session that has ended
	MessageNoCapacity      = "no capacity"   // the cloud currently has no such instance
)
