package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// The maximum duration of a watch, and the pauses between two watches. The pauses keep the requests within the rate limit
// of the state service, which all nodes share, even while values change all the time.
const (
	watchWait          = 10 * micros.Second       // the longest time that the service may hold a watch without a change
	leaderWatchPause   = 100 * micros.Millisecond // with low latency, for the leader, which starts newly submitted jobs
	followerWatchPause = 400 * micros.Millisecond // without low latency, for all other nodes
	retryPause         = 250 * micros.Millisecond // after a failed request
)

// SetLowLatency sets whether the replica watches with the shorter pauses, to have changes early. Only the leader and a
// node that expects to lead need this, as users' requests for the state of a job wait for a barrier. When all five nodes
// did it on a day of many small jobs, their watches used most of the state service's rate limit, and such requests and
// submissions were rejected.
func (r *Replica) SetLowLatency(enabled bool) { r.lowLatency.Store(enabled) }

// Run loads the replica and applies changes to it until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.load(ctx)
		for err == nil {
			err = r.watchOnce(ctx)
		}
		slog.Debug("replica must be reloaded", "error", err)
		micros.Pause(ctx, retryPause)
	}
}

// watchOnce sends one watch, applies its changes, and pauses. An error means that the replica must be reloaded, or that
// ctx has ended. Other failures are logged, and the next call continues from the same revision.
func (r *Replica) watchOnce(ctx context.Context) error {
	sentAt := micros.Now()
	response, err := r.store.Watch(ctx, Prefix, r.Revision(), watchWait)
	switch {
	case err == nil:
		r.ApplyWatch(response, sentAt)
		micros.Pause(ctx, r.watchPause())
		return nil
	case errors.Is(err, statestore.ErrCompacted), ctx.Err() != nil:
		return err
	}
	slog.Debug("watch failed, retrying", "error", err)
	micros.Pause(ctx, retryPause)
	return nil
}

// watchPause returns the pause between two watches.
func (r *Replica) watchPause() micros.Micros {
	if r.lowLatency.Load() {
		return leaderWatchPause
	}
	return followerWatchPause
}

// load reads all keys and applies their values. The pages may be of different revisions: the watch starts from the
// revision of the first page, and put skips changes that a later page already contained, by their mod revisions.
func (r *Replica) load(ctx context.Context) error {
	entries, revision, err := r.list(ctx)
	if err != nil {
		return fmt.Errorf("load replica: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = true
		r.put(entry.Key, entry.Value, entry.ModRevision)
	}
	for key, stored := range r.values {
		if !listed[key] && stored.modRevision <= revision {
			delete(r.values, key)
		}
	}
	r.revision = max(r.revision, revision)
	r.loaded = true
	r.notify()
	return nil
}

// list reads all pages of keys and returns their entries, with the revision of the first page.
func (r *Replica) list(ctx context.Context) (entries []wire.KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := r.store.ListPage(ctx, Prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.HasMore || len(page.Entries) == 0 {
			return entries, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
