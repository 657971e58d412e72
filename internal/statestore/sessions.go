package statestore

import (
	"context"
	"fmt"
	"net/http"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// NewSession opens a session and returns its ID. The session ends unless it is renewed within ttl. The keys that were
// written with it are deleted when it ends.
func (c *Client) NewSession(ctx context.Context, ttl micros.Micros) (id uint64, err error) {
	body := wire.SessionRequest{TTLMS: int64(ttl / micros.Millisecond)}
	var response wire.SessionResponse
	status, err := c.call(ctx, request{method: http.MethodPost, path: wire.PathSessions, body: body, timeout: RequestTimeout}, &response)
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	if err != nil {
		return response.SessionID, fmt.Errorf("state service: open session: %w", err)
	}
	return response.SessionID, nil
}

// RenewSession renews a session for its whole TTL. The error wraps ErrSessionNotFound if the session has ended.
func (c *Client) RenewSession(ctx context.Context, id uint64) error {
	return c.callSession(ctx, "renew", id, request{method: http.MethodPost, path: wire.PathSessionRenewal(id), body: struct{}{}, timeout: RequestTimeout})
}

// EndSession ends a session at once. The error wraps ErrSessionNotFound if the session has already ended.
func (c *Client) EndSession(ctx context.Context, id uint64) error {
	return c.callSession(ctx, "end", id, request{method: http.MethodDelete, path: wire.PathSession(id), timeout: RequestTimeout})
}

// callSession sends a request that renews or ends a session. action names the request in errors.
func (c *Client) callSession(ctx context.Context, action string, id uint64, r request) error {
	status, err := c.call(ctx, r, nil)
	switch {
	case err != nil:
	case status == http.StatusNotFound:
		err = ErrSessionNotFound
	case status != http.StatusOK && status != http.StatusNoContent:
		err = unexpectedStatus(status)
	}
	if err != nil {
		return fmt.Errorf("state service: %s session %d: %w", action, id, err)
	}
	return nil
}
