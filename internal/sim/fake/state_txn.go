package fake

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// TxnFault is a fault that is injected into a transaction that has reached the state service.
type TxnFault int

// The faults of transactions.
const (
	TxnNoFault     TxnFault = iota // the transaction is processed normally
	TxnTooLarge                    // rejected with 400, like a transaction with too many changes
	TxnUnavailable                 // rejected with 503
	TxnDropped                     // not committed, and there is no response
	TxnDelayed                     // committed after txnDelay, and there is no response
)

// txnDelay is well over the time after which a node gives up waiting for the response to a transaction.
const txnDelay = 6 * time.Second

// Transaction describes a transaction to the function that returns its fault; see SetTxnFault.
type Transaction struct {
	Compares []wire.Compare
	Keys     []string // that the transaction changes
}

// SetTxnFault sets the function that returns the fault of each transaction; nil: no faults. No lock is held when it is
// called.
func (s *StateService) SetTxnFault(decide func(Transaction) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFault = decide
}

// txnFaultOf returns the fault of a transaction.
func (s *StateService) txnFaultOf(t Transaction) TxnFault {
	s.mu.Lock()
	decide := s.txnFault
	s.mu.Unlock()
	if decide == nil {
		return TxnNoFault
	}
	return decide(t)
}

// transaction is the request body of a transaction.
type transaction struct {
	Compares   []wire.Compare `json:"when"`
	Operations []struct {
		Put       string          `json:"write"`
		Value     wire.RawMessage `json:"data"`
		SessionID uint64          `json:"permit"`
		Delete    string          `json:"remove"`
	} `json:"then"`
}

// keys returns the keys that the transaction changes.
func (t *transaction) keys() (keys []string) {
	for _, op := range t.Operations {
		keys = append(keys, op.Put+op.Delete)
	}
	return keys
}

// values returns the values that the transaction stores.
func (t *transaction) values() (values []wire.RawMessage) {
	for _, op := range t.Operations {
		if op.Delete == "" {
			values = append(values, op.Value)
		}
	}
	return values
}

// serveTxn commits a transaction, unless an injected fault prevents it.
func (s *StateService) serveTxn(w http.ResponseWriter, r *http.Request, body []byte) {
	var t transaction
	if wire.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.InspectTxn != nil {
		s.InspectTxn(t.Compares, t.keys())
	}
	switch s.txnFaultOf(Transaction{t.Compares, t.keys()}) {
	case TxnTooLarge:
		w.WriteHeader(http.StatusBadRequest)
	case TxnUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TxnDropped:
		<-r.Context().Done()
	case TxnDelayed:
		time.AfterFunc(txnDelay, func() { s.commit(discardResponseWriter{}, &t) })
		<-r.Context().Done()
	default:
		s.commit(w, &t)
	}
}

// commit commits a transaction if its limits, sessions and compares allow it, and responds.
func (s *StateService) commit(w http.ResponseWriter, t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if code := s.limits.checkTxn(t); code != 0 {
		w.WriteHeader(code)
		return
	}
	for _, op := range t.Operations {
		if op.SessionID != 0 && s.sessions[op.SessionID] == nil {
			respond(w, http.StatusBadRequest, wire.ErrorResponse{Message: "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.Compares {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		respond(w, http.StatusConflict, wire.TxnResponse{Revision: s.revision, FailedKeys: failed})
		return
	}
	s.revision++
	for _, op := range t.Operations {
		if op.Delete != "" {
			s.delete(op.Delete)
		} else {
			s.put(op.Put, op.Value, op.SessionID)
		}
	}
	s.notify()
	respond(w, http.StatusOK, wire.TxnResponse{Revision: s.revision})
}

// discardResponseWriter discards a response whose requester no longer waits for it.
type discardResponseWriter struct{}

// Header returns a new header, which is never sent.
func (discardResponseWriter) Header() http.Header { return http.Header{} }

// Write discards b.
func (discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status code.
func (discardResponseWriter) WriteHeader(int) {}
