package wire

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string `json:"key"`
	Value       Raw    `json:"data"`
	ModRevision uint64 `json:"stamp"`
	SessionID   uint64 `json:"permit,omitempty"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Entries  []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger"`
}

// Compare asks that a key has a version; 0 stands for no such key.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op is one change in a transaction: a write or a removal.
type Op struct {
	Put       string `json:"write,omitempty"`
	Value     any    `json:"data,omitempty"`
	SessionID uint64 `json:"permit,omitempty"`
	Delete    string `json:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Compare `json:"when"`
	Then []Op      `json:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Put         string `json:"write,omitempty"`
	Delete      string `json:"remove,omitempty"`
	Value       Raw    `json:"data,omitempty"`
	ModRevision uint64 `json:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// SessionRequest asks for a hold: a session, in the words of the state service, whose keys are
// removed when it ends.
type SessionRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// SessionResponse names the granted hold.
type SessionResponse struct {
	SessionID uint64 `json:"permit"`
}
