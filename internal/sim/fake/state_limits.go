package fake

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"caperlatch/internal/wire"
)

// StateLimits are the limits of a state service; 0 means unlimited.
type StateLimits struct {
	ValueKB  float64 // maximum size of a value, encoded as JSON
	TxnOps   int     // maximum number of changes in a transaction; the maximum number of compares is four times as high
	RPS      float64 // requests per second, with a burst of one second's requests
	WriteRPS float64 // changes per second, with a burst of one second's changes
}

// limits enforces StateLimits; the state service's lock guards it.
type limits struct {
	StateLimits
	requests, writes *rate.Limiter // nil: unlimited
	rejectedTxns     int           // number of transactions rejected for their size
}

// SetLimits changes the limits. Like the real service, it does so without notice, and stored values remain even if
// they exceed the new limits.
func (s *StateService) SetLimits(l StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.StateLimits = l
	s.limits.requests, s.limits.writes = newLimiter(l.RPS), newLimiter(l.WriteRPS)
}

// RejectedTxns returns the number of transactions that were rejected for their size.
func (s *StateService) RejectedTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.rejectedTxns
}

// newLimiter returns a limiter for a rate, or nil if the rate is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// allowN reports whether n more events are within a limit, and counts the events if they are.
func allowN(l *rate.Limiter, n int) bool { return l == nil || l.AllowN(time.Now(), n) }

// checkTxn returns the status code with which the limits reject a transaction, or 0 if they allow it. As in the real
// service, the changes of a transaction count towards the limit even if its compares fail.
func (l *limits) checkTxn(t *transaction) int {
	tooLarge := l.TxnOps > 0 && (len(t.Operations) > l.TxnOps || len(t.Compares) > 4*l.TxnOps)
	for _, raw := range t.values() {
		var v any
		if l.ValueKB > 0 && wire.Unmarshal(raw, &v) == nil && float64(wire.JSONSize(v)) > l.ValueKB*1024 {
			tooLarge = true
		}
	}
	switch {
	case tooLarge:
		l.rejectedTxns++
		return http.StatusBadRequest
	case !allowN(l.writes, len(t.Operations)):
		return http.StatusTooManyRequests
	}
	return 0
}
