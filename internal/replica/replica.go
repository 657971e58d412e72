// Package replica keeps a node's copy of what the state service holds for
// caperlatch, fed by one watch.
//
// It owns the names of the keys, the form of stored jobs, the order in which changes are
// taken over, and the read barrier. It writes nothing to the state service; who does tells
// it by Wrote and Removed.
package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Keys of the state service, all below Prefix.
const (
	Prefix             = "c/"
	LeaderKey          = "c/leader"
	TokenKey           = "c/token"
	InstanceTypesKey   = "c/catalog"
	AutoscalerKey      = "c/staffing"
	ZonesKey           = "c/zones"
	JobPrefix          = "c/j/"
	ProgressPrefix     = "c/p/"
	LaunchIntentPrefix = "c/b/"
	MachineListPrefix  = "c/u/"
)

// Job is a stored job. One that is done keeps no description. One that is cancelled does:
// its tasks may still be on machines, and a leader that finds them there must know whose
// limit they count against.
type Job struct {
	Spec        *wire.Job     `json:"job,omitempty"`
	SubmittedAt micros.Micros `json:"at"` // time of day
	State       string        `json:"state"`
	Reason      string        `json:"why,omitempty"` // why it ended
	EndedAt     micros.Micros `json:"end,omitempty"` // time of day
}

// IsFinal tells whether the job is over.
func (j *Job) IsFinal() bool { return j.State != wire.JobPending }

// Leader is the content of LeaderKey. Session lets a restarted member end the session of
// its earlier life.
type Leader struct {
	Member       string `json:"member"`
	FencingToken uint64 `json:"token"`
	SessionID    uint64 `json:"hold"`
}

// TokenRecord is the content of TokenKey: the highest fencing token given out.
type TokenRecord struct {
	FencingToken uint64 `json:"token"`
}

// storedValue is the value of a key other than a job's.
type storedValue struct {
	value       wire.Raw
	modRevision uint64
}

// storedJob is a job with its key's version.
type storedJob struct {
	job         Job
	modRevision uint64
}

// Replica is safe for concurrent use.
type Replica struct {
	store      *statestore.Client
	lowLatency atomic.Bool

	mu             sync.Mutex
	loaded         bool
	revision       uint64
	currentAsOf    micros.Micros // send time of the last read of the changes
	items          map[string]storedValue
	jobs           map[string]storedJob
	changed        map[string]bool // jobs changed since the last TakeChangedJobs
	cancelledJobs  []string        // jobs, in the order of their stamps
	adoptedThrough uint64          // revision up to which a peer told all cancellations
	changedCh      chan struct{}   // closed at the next change

	barrierMu      sync.Mutex
	barrierRunning bool
	nextRound      *barrierRound
}

// New makes an empty replica.
func New(store *statestore.Client) *Replica {
	return &Replica{
		store:     store,
		items:     map[string]storedValue{},
		jobs:      map[string]storedJob{},
		changed:   map[string]bool{},
		changedCh: make(chan struct{}),
	}
}

// Times between two requests, so that a busy day does not use up the state
// service's shared limit.
const (
	watchWait          = 10 * micros.Second
	leaderWatchPause   = 100 * micros.Millisecond // the leader, who starts what comes in
	followerWatchPause = 400 * micros.Millisecond // all others
	retryPause         = 250 * micros.Millisecond
)

// SetLowLatency has the replica follow the changes as closely as it may. Only the leader
// needs that: questions are answered after a barrier. When all five nodes did, on a day
// of many small jobs, their watches took most of the state service's limit, and questions
// and submissions were refused.
func (r *Replica) SetLowLatency(eager bool) { r.lowLatency.Store(eager) }

// Run loads the replica and follows the changes until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.load(ctx)
		for err == nil {
			err = r.watchOnce(ctx)
		}
		slog.Debug("replica must load", "error", err)
		micros.Pause(ctx, retryPause)
	}
}

// watchOnce waits for changes once and takes them over. Its error says that the replica must
// be loaded anew, or that ctx has ended.
func (r *Replica) watchOnce(ctx context.Context) error {
	sent := micros.Now()
	e, err := r.store.Watch(ctx, Prefix, r.Revision(), watchWait)
	switch {
	case err == nil:
		r.ApplyWatch(e, sent)
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

// load reads every key and takes the values over. The pages are not of one revision: the
// watch goes on from the first page's, and what a page already showed is recognised by its
// stamp.
func (r *Replica) load(ctx context.Context) error {
	entries, revision, err := r.list(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	have := make(map[string]bool, len(entries))
	for _, e := range entries {
		have[e.Key] = true
		r.put(e.Key, e.Value, e.ModRevision)
	}
	for key, it := range r.items {
		if !have[key] && it.modRevision <= revision {
			delete(r.items, key)
		}
	}
	r.revision = max(r.revision, revision)
	r.loaded = true
	r.notify()
	return nil
}

// list reads all pages of keys, and the first page's revision.
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

// put takes a value over unless what is known is as new.
func (r *Replica) put(key string, value wire.Raw, stamp uint64) {
	id, isJob := strings.CutPrefix(key, JobPrefix)
	if !isJob {
		if stamp > r.items[key].modRevision {
			r.items[key] = storedValue{value, stamp}
		}
		return
	}
	if stamp <= r.jobs[id].modRevision {
		return
	}
	var j Job
	if err := wire.Unmarshal(value, &j); err != nil {
		slog.Error("stored job is unreadable", "job", id, "error", err)
		return
	}
	r.putJob(id, j, stamp)
}

// putJob takes a job over unless what is known is as new.
func (r *Replica) putJob(id string, j Job, stamp uint64) {
	if stamp <= r.jobs[id].modRevision {
		return
	}
	r.jobs[id] = storedJob{j, stamp}
	r.changed[id] = true
	if j.State == wire.JobCancelled {
		at := len(r.cancelledJobs)
		for at > 0 && r.jobs[r.cancelledJobs[at-1]].modRevision > stamp {
			at--
		}
		r.cancelledJobs = slices.Insert(r.cancelledJobs, at, id)
	}
}

// notify wakes those who wait for a change; mu must be held.
func (r *Replica) notify() {
	close(r.changedCh)
	r.changedCh = make(chan struct{})
}

// ApplyWatch takes over the answer of a watch that began at or before the present
// revision. Answers may overlap and come in any order.
func (r *Replica) ApplyWatch(e wire.WatchResponse, sent micros.Micros) {
	slices.SortStableFunc(e.Events, func(a, b wire.Event) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAsOf = max(r.currentAsOf, sent)
	before := r.revision
	for _, ev := range e.Events {
		switch {
		case ev.ModRevision <= before:
		case ev.Put != "":
			r.put(ev.Put, ev.Value, ev.ModRevision)
		case ev.Delete != "" && r.items[ev.Delete].modRevision < ev.ModRevision:
			delete(r.items, ev.Delete)
		}
	}
	r.revision = max(r.revision, e.Revision)
	if len(e.Events) > 0 {
		r.notify()
	}
}

// ApplyPut takes over a write of this node's own that was committed.
func (r *Replica) ApplyPut(key string, value any, revision uint64) {
	raw, err := wire.Marshal(value)
	if err != nil {
		slog.Error("encode own write", "key", key, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(key, raw, revision)
	r.notify()
}

// ApplyDelete takes over a removal of this node's own.
func (r *Replica) ApplyDelete(key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items[key].modRevision < revision {
		delete(r.items, key)
	}
}

// IsLoaded tells whether the replica has been filled.
func (r *Replica) IsLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// CurrentAsOf is an instant up to which all changes are known here.
func (r *Replica) CurrentAsOf() micros.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentAsOf
}

// Revision is what the replica has seen at least.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Changed is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedCh
}

// Job returns a job as far as it is known here.
func (r *Replica) Job(id string) (j Job, stamp uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.jobs[id]
	return s.job, s.modRevision, ok
}

// TakeChangedJobs returns the jobs that changed since the last call; with all it
// returns every job that is not over.
func (r *Replica) TakeChangedJobs(all bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	if all {
		for id, s := range r.jobs {
			if !s.job.IsFinal() {
				ids = append(ids, id)
			}
		}
	} else {
		for id := range r.changed {
			ids = append(ids, id)
		}
	}
	clear(r.changed)
	slices.Sort(ids)
	return ids
}

// Get decodes another key's value into v and returns its stamp, 0 if there is
// no such key.
func (r *Replica) Get(key string, v any) (uint64, error) {
	r.mu.Lock()
	it, ok := r.items[key]
	r.mu.Unlock()
	if !ok {
		return 0, nil
	}
	if err := wire.Unmarshal(it.value, v); err != nil {
		return 0, fmt.Errorf("stored %s: %w", key, err)
	}
	return it.modRevision, nil
}

// ModRevision is a key's version as known here.
func (r *Replica) ModRevision(key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := strings.CutPrefix(key, JobPrefix); ok {
		return r.jobs[id].modRevision
	}
	return r.items[key].modRevision
}

// Keys lists the keys with a prefix, jobs aside.
func (r *Replica) Keys(prefix string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key := range r.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
