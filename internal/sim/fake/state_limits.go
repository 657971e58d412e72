package fake

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"caperlatch/internal/wire"
)

// StateLimits are the limits of a state service; what is 0 is not limited.
type StateLimits struct {
	ValueKB  float64 // of a value, as JSON
	TxnOps   int     // changes in a transaction; compares: four times as many
	RPS      float64 // requests a second, with bursts of one second's worth
	WriteRPS float64 // changes a second, likewise
}

// limits enforces them; the state service's lock guards it.
type limits struct {
	StateLimits
	requests, writes *rate.Limiter // nil: no limit
	rejectedTxns     int           // for their size
}

// SetLimits changes the limits from now on, as the service does, without notice; what is stored
// stays.
func (s *StateService) SetLimits(l StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.StateLimits = l
	s.limits.requests, s.limits.writes = newLimiter(l.RPS), newLimiter(l.WriteRPS)
}

// RejectedTxns counts the transactions rejected for their size.
func (s *StateService) RejectedTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.rejectedTxns
}

// newLimiter returns a limiter of a rate, nil for 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// allow reports whether n more are within a limit, and counts them if so.
func allow(l *rate.Limiter, n int) bool { return l == nil || l.AllowN(time.Now(), n) }

// checkTxn returns the status code with which the limits reject a transaction, 0 if they do not. As
// in the service, a transaction whose compares fail counts as changes too.
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
	case !allow(l.writes, len(t.Operations)):
		return http.StatusTooManyRequests
	}
	return 0
}
