package fake

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// TxnFault is what happens to a transaction that has reached the state service.
type TxnFault int

// The faults of transactions.
const (
	TxnNoFault     TxnFault = iota // no fault
	TxnTooLarge                    // rejected with 400, as one with more changes than the service takes
	TxnUnavailable                 // rejected with 503
	TxnDropped                     // neither carried out nor answered
	TxnDelayed                     // carried out after txnDelay, and not answered
)

// txnDelay is well over the time after which a node gives a transaction up.
const txnDelay = 6 * time.Second

// Transaction is what a test sees of a transaction when it decides on its fault.
type Transaction struct {
	Compares []wire.Compare
	Keys     []string // that it changes
}

// SetTxnFault has decide choose the fault of each transaction from now on; nil: no faults. No lock
// is held when it is called.
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

// transaction is the body of a request for one.
type transaction struct {
	Compares   []wire.Compare `json:"when"`
	Operations []struct {
		Put       string          `json:"write"`
		Value     wire.RawMessage `json:"data"`
		SessionID uint64          `json:"permit"`
		Delete    string          `json:"remove"`
	} `json:"then"`
}

// keys lists the keys that a transaction changes.
func (t *transaction) keys() (keys []string) {
	for _, op := range t.Operations {
		keys = append(keys, op.Put+op.Delete)
	}
	return keys
}

// values lists the values that a transaction stores.
func (t *transaction) values() (values []wire.RawMessage) {
	for _, op := range t.Operations {
		if op.Delete == "" {
			values = append(values, op.Value)
		}
	}
	return values
}

// serveTxn carries a transaction out, unless a fault prevents that.
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
		time.AfterFunc(txnDelay, func() { s.commit(discardResponse{}, &t) })
		<-r.Context().Done()
	default:
		s.commit(w, &t)
	}
}

// commit carries a transaction out if its compares hold, and answers.
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

// discardResponse takes a response that nobody waits for any more.
type discardResponse struct{}

// Header implements http.ResponseWriter.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}
