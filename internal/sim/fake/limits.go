package fake

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"caperlatch/internal/wire"
)

// StateLimits is what a state service takes; what is 0 is not limited.
type StateLimits struct {
	ValueKB  float64
	TxnOps   int     // changes in a transaction; conditions four times as many
	RPS      float64 // requests a second, with one second's worth at once
	WriteRPS float64 // changes a second, likewise
}

// limits is the part of State that keeps to them.
type limits struct {
	StateLimits
	requests, writes *rate.Limiter // nil: no limit
	refused          int           // transactions refused for their size
}

// SetLimits changes the limits from now on, as the service does, without notice; what
// is stored stays.
func (s *StateService) SetLimits(l StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.StateLimits = l
	s.limits.requests, s.limits.writes = limiter(l.RPS), limiter(l.WriteRPS)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// take tells whether n more are within a limit.
func (*limits) take(l *rate.Limiter, n int) bool { return l == nil || l.AllowN(time.Now(), n) }

// RejectedTxns counts the transactions refused for their size.
func (s *StateService) RejectedTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.refused
}

// check returns the status of a transaction that the limits forbid, else 0. As in the
// service, transactions whose conditions fail count as changes too.
func (l *limits) check(values []wire.Raw, conditions, changes int) int {
	tooLarge := l.TxnOps > 0 && (changes > l.TxnOps || conditions > 4*l.TxnOps)
	for _, raw := range values {
		var v any
		if l.ValueKB > 0 && wire.Unmarshal(raw, &v) == nil && float64(wire.JSONSize(v)) > l.ValueKB*1024 {
			tooLarge = true
		}
	}
	switch {
	case tooLarge:
		l.refused++
		return http.StatusBadRequest
	case !l.take(l.writes, changes):
		return http.StatusTooManyRequests
	}
	return 0
}
