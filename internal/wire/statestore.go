package wire

// KeyValue is a key in the state service and its value.
type KeyValue struct {
	Key         string     `json:"key"`
	Value       RawMessage `json:"data"`
	ModRevision uint64     `json:"stamp"`            // revision of the key's last change
	SessionID   uint64     `json:"permit,omitempty"` // session that the key is attached to; 0: none
}

// KeyPage is a page of keys, in key order.
type KeyPage struct {
	Entries  []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger"` // the state service's revision when the page was read
}

// Compare is a condition of a transaction: the key has the given mod revision or, if that is 0, does not exist.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op is one operation of a transaction: a put or a delete.
type Op struct {
	Put       string `json:"write,omitempty"` // key to write, if the operation is a put
	Value     any    `json:"data,omitempty"`
	SessionID uint64 `json:"permit,omitempty"` // for a put: session that the key is attached to; 0: none
	Delete    string `json:"remove,omitempty"` // key to delete, if the operation is a delete
}

// Txn is a transaction. If all its conditions hold, all its operations are executed at the same revision; otherwise
// none is.
type Txn struct {
	If   []Compare `json:"when"`
	Then []Op      `json:"then"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"` // keys whose conditions do not hold
}

// Event is a change of a key that a watch reports: a put or a delete.
type Event struct {
	Put         string     `json:"write,omitempty"`  // key that was written, if the event is a put
	Delete      string     `json:"remove,omitempty"` // key that was deleted, if the event is a delete
	Value       RawMessage `json:"data,omitempty"`
	ModRevision uint64     `json:"stamp"`
}

// WatchResponse is the response to a watch: all changes up to and including a revision.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// SessionRequest asks for a new session. Keys that are attached to a session are deleted when it ends.
type SessionRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// SessionResponse contains the ID of the new session.
type SessionResponse struct {
	SessionID uint64 `json:"permit"`
}
