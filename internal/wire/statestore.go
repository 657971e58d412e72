package wire

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key         string     `json:"key"`
	Value       RawMessage `json:"data"`
	ModRevision uint64     `json:"stamp"`            // of its last change
	SessionID   uint64     `json:"permit,omitempty"` // the session that it is deleted with; 0: none
}

// KeyPage is a page of keys, in their order.
type KeyPage struct {
	Entries  []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger"` // of the service when the page was read
}

// Compare is a condition of a transaction: that a key has a mod revision, or does not exist if
// that is 0.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op is one operation of a transaction: a put or a delete.
type Op struct {
	Put       string `json:"write,omitempty"` // the key, if it is a put
	Value     any    `json:"data,omitempty"`
	SessionID uint64 `json:"permit,omitempty"` // of a put: the session that the key is deleted with
	Delete    string `json:"remove,omitempty"` // the key, if it is a delete
}

// Txn is a transaction: its operations are carried out, all at one revision, if all conditions
// hold, and else none.
type Txn struct {
	If   []Compare `json:"when"`
	Then []Op      `json:"then"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"` // whose conditions do not hold
}

// Event is a change of a key that a watch has seen: a put or a delete.
type Event struct {
	Put         string     `json:"write,omitempty"`  // the key, if it is a put
	Delete      string     `json:"remove,omitempty"` // the key, if it is a delete
	Value       RawMessage `json:"data,omitempty"`
	ModRevision uint64     `json:"stamp"`
}

// WatchResponse is the response to a watch: all changes up to a revision.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// SessionRequest asks for a session, whose keys are deleted when it ends.
type SessionRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// SessionResponse names the session that was granted.
type SessionResponse struct {
	SessionID uint64 `json:"permit"`
}
