package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"caperlatch/internal/wire"
)

// Errors that callers distinguish with errors.Is. After any other error it is unknown whether the request was or will
// be executed.
var (
	// ErrConflict means that a condition of the transaction does not hold. See ConflictError.
	ErrConflict = errors.New("transaction conditions failed")
	// ErrSessionNotFound means that the session has ended or has never existed.
	ErrSessionNotFound = errors.New("session not found")
	// ErrCompacted means that the service no longer has the changes since the revision of the watch.
	ErrCompacted = errors.New("revision has been compacted")
	// ErrNotExecuted means that the request was refused or never sent, and will not be executed.
	ErrNotExecuted = errors.New("not executed")
	// ErrUnavailable means that the service, or this node's connection to it, is in an outage.
	ErrUnavailable = fmt.Errorf("%w: service unavailable", ErrNotExecuted)
	// ErrRateLimited means that the service has received too many requests or operations.
	ErrRateLimited = fmt.Errorf("%w: rate limit exceeded", ErrNotExecuted)
	// ErrRejected means that the service rejected the request as invalid, such as one that is too large. Repeating it
	// unchanged does not help.
	ErrRejected = fmt.Errorf("%w: request rejected", ErrNotExecuted)
)

// ConflictError is an ErrConflict with the keys whose conditions do not hold.
type ConflictError struct{ Keys []string }

// Error returns a message that names the keys.
func (e *ConflictError) Error() string {
	return "transaction conditions failed: " + strings.Join(e.Keys, " ")
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// statusError returns the error for a status that means the same for every request, or nil for any other status.
func statusError(status int, response []byte) error {
	switch status {
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusBadRequest:
		var reason wire.ErrorResponse
		if wire.Unmarshal(response, &reason) == nil && reason.Message == wire.MessageSessionNotFound {
			return ErrSessionNotFound
		}
		return fmt.Errorf("%w: %s", ErrRejected, reason.Message)
	}
	return nil
}

// unexpectedStatus returns the error for a status that the service should not return for the request. After it, it is
// unknown whether the request was executed.
func unexpectedStatus(status int) error { return fmt.Errorf("unexpected status %d", status) }
