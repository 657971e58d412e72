package statestore

import (
	"context"
	"fmt"
	"net/http"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// NewSession begins a session, which the service calls a hold: it ends unless it is renewed
// within life, and the keys written with it are removed then.
func (c *Client) NewSession(ctx context.Context, life micros.Micros) (uint64, error) {
	var a wire.SessionResponse
	code, err := c.call(ctx, http.MethodPost, "/holds", wire.SessionRequest{TTLMS: int64(life / micros.Millisecond)}, &a, RequestTimeout)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("state service: session answered %d", code)
	}
	return a.SessionID, err
}

// RenewSession has a session live for its whole life again.
func (c *Client) RenewSession(ctx context.Context, session uint64) error {
	code, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/holds/%d/extend", session), struct{}{}, nil, RequestTimeout)
	return sessionError(code, err)
}

// EndSession ends a session at once.
func (c *Client) EndSession(ctx context.Context, session uint64) error {
	code, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", session), nil, nil, RequestTimeout)
	return sessionError(code, err)
}

// sessionError is the outcome of a request about a session.
func sessionError(code int, err error) error {
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrSessionNotFound
	case code != http.StatusOK && code != http.StatusNoContent:
		return fmt.Errorf("state service: session answered %d", code)
	}
	return nil
}
