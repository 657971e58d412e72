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

// Times between two requests, so that a busy day does not use up the state
// service's shared limit.
const (
	watchWait          = 10 * micros.Second       // that the service may hold a watch for a change
	leaderWatchPause   = 100 * micros.Millisecond // the leader, which starts newly submitted jobs
	followerWatchPause = 400 * micros.Millisecond // all others
	retryPause         = 250 * micros.Millisecond // after a request that failed
)

// SetLowLatency has the replica follow the changes as closely as it may, or not. Only the leader
// needs that, and a node that expects to lead: polls are answered after a barrier. When all five nodes did, on a day
// of many small jobs, their watches took most of the state service's limit, and polls and submissions were rejected.
func (r *Replica) SetLowLatency(enabled bool) { r.lowLatency.Store(enabled) }

// Run loads the replica and follows the changes until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.load(ctx)
		for err == nil {
			err = r.watchOnce(ctx)
		}
		slog.Debug("replica to be loaded anew", "error", err)
		micros.Pause(ctx, retryPause)
	}
}

// watchOnce waits for changes once and applies them. Its error says that the replica must
// be loaded anew, or that ctx has ended; other failures are logged, and the next call continues.
func (r *Replica) watchOnce(ctx context.Context) error {
	sent := micros.Now()
	response, err := r.store.Watch(ctx, Prefix, r.Revision(), watchWait)
	switch {
	case err == nil:
		r.ApplyWatch(response, sent)
		micros.Pause(ctx, r.watchPause())
		return nil
	case errors.Is(err, statestore.ErrCompacted), ctx.Err() != nil:
		return err
	}
	slog.Debug("watch failed", "error", err)
	micros.Pause(ctx, retryPause)
	return nil
}

// watchPause is the time between two watches.
func (r *Replica) watchPause() micros.Micros {
	if r.lowLatency.Load() {
		return leaderWatchPause
	}
	return followerWatchPause
}

// load reads every key and applies the values. The pages are not of one revision: the watch continues from the first
// page's, and what a later page already showed is recognised by its mod revision.
func (r *Replica) load(ctx context.Context) error {
	entries, revision, err := r.list(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
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

// list reads all pages of keys, and returns them with the first page's revision.
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
