package fake

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// TxnFault is what becomes of a transaction that has reached the state service.
type TxnFault int

// The fates. Oversized is refused with 400, as one with more changes than the service
// takes; Unserved is refused with 503; Unheard is never carried out, nor answered;
// Delayed is carried out delayBy later, and not answered.
const (
	TxnCommitted TxnFault = iota
	TxnTooLarge
	TxnUnavailable
	TxnDropped
	TxnDelayed
)

// delayBy is well over the time after which a node gives a transaction up.
const delayBy = 6 * time.Second

// Transaction is what a test is shown of a transaction to decide its fate.
type Transaction struct {
	Compares []wire.Compare
	Keys     []string // that it changes
}

// SetTxnFault decides what becomes of transactions from now on; nil has all carried out.
func (s *StateService) SetTxnFault(decide func(Transaction) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = decide
}

// fateOf decides what becomes of a transaction.
func (s *StateService) fateOf(t Transaction) TxnFault {
	s.mu.Lock()
	decide := s.fate
	s.mu.Unlock()
	if decide == nil {
		return TxnCommitted
	}
	return decide(t)
}

// txn carries a transaction out, unless its fate is another.
func (s *StateService) txn(w http.ResponseWriter, r *http.Request, body []byte) {
	var t transaction
	if wire.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.InspectTxn != nil {
		s.InspectTxn(t.If, t.keys())
	}
	switch s.fateOf(Transaction{t.If, t.keys()}) {
	case TxnTooLarge:
		w.WriteHeader(http.StatusBadRequest)
	case TxnUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TxnDropped:
		<-r.Context().Done()
	case TxnDelayed:
		time.AfterFunc(delayBy, func() { s.commit(discarded{}, &t) })
		<-r.Context().Done()
	default:
		s.commit(w, &t)
	}
}

// discarded takes an answer that nobody waits for any more.
type discarded struct{}

func (discarded) Header() http.Header         { return http.Header{} }
func (discarded) Write(b []byte) (int, error) { return len(b), nil }
func (discarded) WriteHeader(int)             {}
