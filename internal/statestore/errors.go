package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"caperlatch/internal/wire"
)

// Errors that callers tell apart. Any other error means that nobody knows
// whether the request was or will be executed.
var (
	ErrConflict        = errors.New("a condition failed")
	ErrSessionNotFound = errors.New("no such session")
	ErrNotExecuted     = errors.New("not executed") // refused, or never sent
	ErrUnavailable     = fmt.Errorf("%w: unavailable", ErrNotExecuted)
	ErrRateLimited     = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	ErrCompacted       = errors.New("revision too old")
	// ErrRejected: as it is, the request will never be executed, for its size.
	ErrRejected = fmt.Errorf("%w: refused as it is", ErrNotExecuted)
)

// ConflictError carries the keys whose conditions failed.
type ConflictError struct{ Keys []string }

// Error names the keys.
func (c *ConflictError) Error() string { return "conditions failed: " + strings.Join(c.Keys, " ") }

// Unwrap makes errors.Is(err, ErrConflict) true.
func (c *ConflictError) Unwrap() error { return ErrConflict }

// errorNoSuchLease is what the service says when a write names a session that has ended.
const errorNoSuchLease = "no such lease"

// statusError is the error that a status stands for at every request.
func statusError(status int, answer []byte) error {
	switch status {
	case http.StatusServiceUnavailable:
		return fmt.Errorf("state service: %w", ErrUnavailable)
	case http.StatusTooManyRequests:
		return fmt.Errorf("state service: %w", ErrRateLimited)
	case http.StatusBadRequest:
		var e wire.ErrorResponse
		if wire.Unmarshal(answer, &e) == nil && e.Message == errorNoSuchLease {
			return ErrSessionNotFound
		}
		return fmt.Errorf("state service: %w: %s", ErrRejected, e.Message)
	}
	return nil
}
