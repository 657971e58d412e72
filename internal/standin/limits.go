package standin

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
	WriteRPS float64 // changes a second, with one second's worth at once
}

// limits is the part of State that keeps to them.
type limits struct {
	StateLimits
	writes  *rate.Limiter
	refused int // transactions refused for their size
}

// SetLimits changes the limits from now on, as the service does, without notice; what
// is stored stays.
func (s *State) SetLimits(l StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.StateLimits, s.limits.writes = l, nil
	if l.WriteRPS > 0 {
		s.limits.writes = rate.NewLimiter(rate.Limit(l.WriteRPS), max(1, int(l.WriteRPS)))
	}
}

// Refused counts the transactions refused for their size.
func (s *State) Refused() int {
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
	case l.writes != nil && !l.writes.AllowN(time.Now(), changes):
		return http.StatusTooManyRequests
	}
	return 0
}
