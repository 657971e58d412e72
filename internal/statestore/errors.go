package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"caperlatch/internal/wire"
)

// Errors that callers tell apart by errors.Is. After any other error it is unknown whether the
// request was or will be executed.
var (
	// ErrConflict: a condition of the transaction does not hold. See ConflictError.
	ErrConflict = errors.New("conditions failed")
	// ErrSessionNotFound: the session has ended or never was.
	ErrSessionNotFound = errors.New("no such session")
	// ErrCompacted: the service no longer knows the changes since the watch's revision.
	ErrCompacted = errors.New("revision too old")
	// ErrNotExecuted: the request was refused or never sent, and will not be executed.
	ErrNotExecuted = errors.New("not executed")
	// ErrUnavailable: the service, or this node's way to it, is in an outage.
	ErrUnavailable = fmt.Errorf("%w: unavailable", ErrNotExecuted)
	// ErrRateLimited: the service got too many requests or operations.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrRejected: as it is, the request will never be executed, for its size.
	ErrRejected = fmt.Errorf("%w: rejected as it is", ErrNotExecuted)
)

// ConflictError is an ErrConflict with the keys whose conditions do not hold.
type ConflictError struct{ Keys []string }

// Error names the keys.
func (e *ConflictError) Error() string { return "conditions failed: " + strings.Join(e.Keys, " ") }

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// statusError returns the error that a status stands for whatever the request was, or nil.
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

// unexpectedStatus returns the error for a status that the request should not get. It leaves
// open whether the request was executed.
func unexpectedStatus(status int) error { return fmt.Errorf("answered %d", status) }
