package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// campaign opens a session and tries to take the leader key with it, in place of the key with a mod revision. Its error says that no term was won here; the
// transaction may still have been carried out if its response was lost.
func (e *Election) campaign(ctx context.Context, replaced uint64) (*Term, error) {
	token, tokenRevision, err := e.storedToken()
	if err != nil {
		return nil, err
	}
	sent := micros.Now()
	session, err := e.store.NewSession(ctx, SessionTTL)
	if err != nil {
		return nil, fmt.Errorf("election: open session: %w", err)
	}
	leader := replica.Leader{Member: e.member, FencingToken: token.FencingToken + 1, SessionID: session}
	revision, err := e.takeLeaderKey(ctx, leader, replaced, tokenRevision)
	e.campaignBackoff = backoffAfter(err)
	if err != nil {
		e.endSession(ctx, session)
		return nil, fmt.Errorf("election: take leader key: %w", err)
	}
	return &Term{
		peers:              e.peers,
		replica:            e.replica,
		FencingToken:       leader.FencingToken,
		LeaderKeyRevision:  revision,
		sessionID:          session,
		sessionConfirmedAt: sent,
	}, nil
}

// takeLeaderKey is the compare-and-swap that begins a term: it stores the leader and its token, if the leader key
// and the token's key still have the given mod revisions. It returns the mod revision of both.
func (e *Election) takeLeaderKey(ctx context.Context, leader replica.Leader, replaced, tokenRevision uint64) (revision uint64, err error) {
	token := replica.TokenRecord{FencingToken: leader.FencingToken}
	revision, err = e.store.Commit(ctx, wire.Txn{
		If: []wire.Compare{
			{Key: replica.LeaderKey, ModRevision: replaced},
			{Key: replica.TokenKey, ModRevision: tokenRevision},
		},
		Then: []wire.Op{
			{Put: replica.LeaderKey, Value: leader, SessionID: leader.SessionID},
			{Put: replica.TokenKey, Value: token},
		},
	})
	if err != nil {
		return 0, err
	}
	e.replica.ApplyPut(replica.LeaderKey, leader, revision)
	e.replica.ApplyPut(replica.TokenKey, token, revision)
	return revision, nil
}

// backoffAfter is how long to wait after a campaign whose transaction ended with err.
func backoffAfter(err error) micros.Micros {
	if !errors.Is(err, statestore.ErrRejected) {
		return retryInterval
	}
	// Two short values: nothing could be made smaller. Whatever the cause, repeating the request five times a
	// second does not remove it.
	slog.Error("state service rejects the leader key", "key", replica.LeaderKey, "error", err)
	return rejectedBackoff
}
