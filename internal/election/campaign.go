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

// campaign opens a session and tries to write the leader key with it, replacing the key that has the mod revision
// replacedRevision. An error means that this process has won no term; the transaction may still have been executed if
// its response was lost.
func (e *Election) campaign(ctx context.Context, replacedRevision uint64) (*Term, error) {
	token, tokenRevision, err := e.storedToken()
	if err != nil {
		return nil, err
	}
	sentAt := micros.Now()
	session, err := e.store.NewSession(ctx, SessionTTL)
	if err != nil {
		return nil, fmt.Errorf("election: open session: %w", err)
	}
	leader := replica.Leader{Member: e.member, FencingToken: token.FencingToken + 1, SessionID: session}
	revision, err := e.takeLeaderKey(ctx, leader, replacedRevision, tokenRevision)
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
		sessionConfirmedAt: sentAt,
	}, nil
}

// takeLeaderKey begins a term by a compare-and-swap: it stores the leader and its fencing token if the leader key and
// the token key still have the given mod revisions. It returns the new mod revision, which both keys share.
func (e *Election) takeLeaderKey(ctx context.Context, leader replica.Leader, replacedRevision, tokenRevision uint64) (revision uint64, err error) {
	token := replica.TokenRecord{FencingToken: leader.FencingToken}
	revision, err = e.store.Commit(ctx, wire.Txn{
		If: []wire.Compare{
			{Key: replica.LeaderKey, ModRevision: replacedRevision},
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

// backoffAfter returns how long to wait after a campaign whose transaction ended with err.
func backoffAfter(err error) micros.Micros {
	if !errors.Is(err, statestore.ErrRejected) {
		return retryInterval
	}
	// The transaction holds only two short values and cannot be made smaller. Repeating it five times a second
	// would not remove the cause, whatever it is.
	slog.Error("state service rejected the leader key, campaigning less often", "key", replica.LeaderKey, "error", err)
	return rejectedBackoff
}
