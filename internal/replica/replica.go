// Package replica keeps a node's copy of what the state service holds for
// caperlatch, fed by one watch.
//
// It owns the names of the keys, the form of stored jobs, the order in which changes are
// taken over, and the read barrier. It writes nothing to the state service; who does tells
// it by Wrote and Removed.
package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Keys of the state service, all below Prefix.
const (
	Prefix         = "c/"
	LeaderKey      = "c/leader"
	TokenKey       = "c/token"
	CatalogKey     = "c/catalog"
	StaffingKey    = "c/staffing"
	JobPrefix      = "c/j/"
	ProgressPrefix = "c/p/"
	BookingPrefix  = "c/b/"
	UpPrefix       = "c/u/"
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

// Final tells whether the job is over.
func (j *Job) Final() bool { return j.State != wire.JobPending }

// Leader is the content of LeaderKey. Session lets a restarted member end the session of
// its earlier life.
type Leader struct {
	Member  string `json:"member"`
	Token   uint64 `json:"token"`
	Session uint64 `json:"hold"`
}

// Token is the content of TokenKey: the highest fencing token given out.
type Token struct {
	Token uint64 `json:"token"`
}

// item is the value of a key other than a job's.
type item struct {
	value wire.Raw
	stamp uint64
}

// Cancellation is a job's stored cancellation, as nodes tell it each other.
type Cancellation struct {
	ID    string `json:"id"`
	Stamp uint64 `json:"stamp"`
	Job   Job    `json:"job"`
}

// storedJob is a job with its key's version.
type storedJob struct {
	job   Job
	stamp uint64
}

// Replica is safe for concurrent use.
type Replica struct {
	store *statestore.Client
	eager atomic.Bool

	mu        sync.Mutex
	loaded    bool
	revision  uint64
	seen      micros.Micros // send time of the last read of the changes
	items     map[string]item
	jobs      map[string]storedJob
	changed   map[string]bool // jobs changed since the last TakeChanged
	cancelled []string        // jobs, in the order of their stamps
	told      uint64          // see CancelledThrough
	wake      chan struct{}   // closed at the next change

	barrierMu sync.Mutex
	running   bool
	next      *round
}

// round is one request on behalf of all who wait for a barrier.
type round struct {
	done chan struct{}
	err  error
}

// New makes an empty replica.
func New(store *statestore.Client) *Replica {
	return &Replica{store: store, items: map[string]item{}, jobs: map[string]storedJob{},
		changed: map[string]bool{}, wake: make(chan struct{})}
}

// Times between two requests, so that a busy day does not use up the state
// service's shared limit.
const (
	watchWait    = 10 * micros.Second
	eagerPause   = 100 * micros.Millisecond // the leader, who starts what comes in
	watchPause   = 400 * micros.Millisecond
	barrierPause = 150 * micros.Millisecond
	retryPause   = 250 * micros.Millisecond
)

// SetEager has the replica follow the changes as closely as it may. Only the leader
// needs that: questions are answered after a barrier. When all five nodes did, on a day
// of many small jobs, their watches took most of the state service's limit, and questions
// and submissions were refused.
func (r *Replica) SetEager(eager bool) { r.eager.Store(eager) }

// Run loads the replica and follows the changes until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.load(ctx)
		for err == nil {
			var e wire.Events
			sent := micros.Now()
			e, err = r.store.Watch(ctx, Prefix, r.Revision(), watchWait)
			switch {
			case err == nil:
				r.Apply(e, sent)
				pause := watchPause
				if r.eager.Load() {
					pause = eagerPause
				}
				micros.Pause(ctx, pause)
			case errors.Is(err, statestore.ErrCompacted):
			case ctx.Err() == nil:
				slog.Debug("watch failed", "error", err)
				micros.Pause(ctx, retryPause)
				err = nil
			}
		}
		slog.Debug("replica must load", "error", err)
		micros.Pause(ctx, retryPause)
	}
}

// load reads every key. The pages are not of one revision: the watch goes on
// from the first page's, and what a page already showed is recognised by its
// stamp.
func (r *Replica) load(ctx context.Context) error {
	var first uint64
	after := ""
	var all []wire.Entry
	for {
		page, err := r.store.List(ctx, Prefix, after)
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		if after == "" {
			first = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	have := make(map[string]bool, len(all))
	for _, e := range all {
		have[e.Key] = true
		r.put(e.Key, e.Value, e.Stamp)
	}
	for key, it := range r.items {
		if !have[key] && it.stamp <= first {
			delete(r.items, key)
		}
	}
	r.revision = max(r.revision, first)
	r.loaded = true
	r.notify()
	return nil
}

// put takes a value over unless what is known is as new.
func (r *Replica) put(key string, value wire.Raw, stamp uint64) {
	id, isJob := strings.CutPrefix(key, JobPrefix)
	if !isJob {
		if stamp > r.items[key].stamp {
			r.items[key] = item{value, stamp}
		}
		return
	}
	if stamp <= r.jobs[id].stamp {
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
	if stamp <= r.jobs[id].stamp {
		return
	}
	r.jobs[id] = storedJob{j, stamp}
	r.changed[id] = true
	if j.State == wire.JobCancelled {
		at := len(r.cancelled)
		for at > 0 && r.jobs[r.cancelled[at-1]].stamp > stamp {
			at--
		}
		r.cancelled = slices.Insert(r.cancelled, at, id)
	}
}

// notify wakes those who wait for a change; mu must be held.
func (r *Replica) notify() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// Apply takes over the answer of a watch that began at or before the present
// revision. Answers may overlap and come in any order.
func (r *Replica) Apply(e wire.Events, sent micros.Micros) {
	slices.SortStableFunc(e.Events, func(a, b wire.Event) int {
		if a.Stamp < b.Stamp {
			return -1
		}
		if a.Stamp > b.Stamp {
			return 1
		}
		return 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = max(r.seen, sent)
	before := r.revision
	for _, ev := range e.Events {
		switch {
		case ev.Stamp <= before:
		case ev.Write != "":
			r.put(ev.Write, ev.Value, ev.Stamp)
		case ev.Remove != "" && r.items[ev.Remove].stamp < ev.Stamp:
			delete(r.items, ev.Remove)
		}
	}
	r.revision = max(r.revision, e.Revision)
	if len(e.Events) > 0 {
		r.notify()
	}
}

// Wrote takes over a write of this node's own that was committed.
func (r *Replica) Wrote(key string, value any, revision uint64) {
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

// Removed takes over a removal of this node's own.
func (r *Replica) Removed(key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items[key].stamp < revision {
		delete(r.items, key)
	}
}

// Loaded tells whether the replica has been filled.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Seen is an instant up to which all changes are known here.
func (r *Replica) Seen() micros.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
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
	return r.wake
}

// Job returns a job as far as it is known here.
func (r *Replica) Job(id string) (j Job, stamp uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.jobs[id]
	return s.job, s.stamp, ok
}

// TakeChanged returns the jobs that changed since the last call; with all it
// returns every job that is not over.
func (r *Replica) TakeChanged(all bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	if all {
		for id, s := range r.jobs {
			if !s.job.Final() {
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

// maxTold bounds the cancellations in one message between nodes.
const maxTold = 1000

// CancelledThrough is a revision up to which every cancellation is known here: what the
// changes have shown, or what another node told that had read further.
func (r *Replica) CancelledThrough() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.revision, r.told)
}

// CancelledSince lists the cancellations known here with a stamp above since, oldest
// first, and tells up to which revision these are all there are. With whole it is all that
// is known here, which includes all that this node ever told a user: it is told by stamp
// and not by time, as a transaction may be carried out minutes after it was sent.
func (r *Replica) CancelledSince(since uint64) (list []Cancellation, through uint64, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := len(r.cancelled)
	for from > 0 && r.jobs[r.cancelled[from-1]].stamp > since {
		from--
	}
	through, whole = r.revision, true
	for _, id := range r.cancelled[from:] {
		if len(list) == maxTold {
			// A transaction's changes share one stamp, so the last may be told in part.
			return list, min(through, list[maxTold-1].Stamp-1), false
		}
		s := r.jobs[id]
		list = append(list, Cancellation{id, s.stamp, s.job})
	}
	return list, through, whole
}

// Adopt takes over what another node told by CancelledSince(since), where since was
// CancelledThrough here or less. A cancellation is final, so it holds here as if it had
// been read from the state service.
func (r *Replica) Adopt(list []Cancellation, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		if c.Job.State == wire.JobCancelled {
			r.putJob(c.ID, c.Job, c.Stamp)
		}
	}
	r.told = max(r.told, through)
	if len(list) > 0 {
		r.notify()
	}
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
	return it.stamp, nil
}

// Stamp is a key's version as known here.
func (r *Replica) Stamp(key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := strings.CutPrefix(key, JobPrefix); ok {
		return r.jobs[id].stamp
	}
	return r.items[key].stamp
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

// Barrier returns once the replica has seen all that was committed before the
// call. Calls share requests: one that comes while a request is under way
// waits for the next, since that one's answer may be older than the call.
func (r *Replica) Barrier(ctx context.Context) error {
	r.barrierMu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		go r.barriers()
	}
	r.barrierMu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("barrier: %w", ctx.Err())
	}
}

// barriers runs rounds until nobody waits for one.
func (r *Replica) barriers() {
	for {
		r.barrierMu.Lock()
		this := r.next
		r.next = nil
		if this == nil {
			r.running = false
			r.barrierMu.Unlock()
			return
		}
		r.barrierMu.Unlock()
		this.err = r.barrier()
		close(this.done)
		time.Sleep(barrierPause.Duration())
	}
}

// barrier reads the changes up to the present.
func (r *Replica) barrier() error {
	if !r.Loaded() {
		return errors.New("barrier: nothing loaded yet")
	}
	ctx, cancel := context.WithTimeout(context.Background(), statestore.Timeout.Duration())
	defer cancel()
	sent := micros.Now()
	e, err := r.store.Watch(ctx, Prefix, r.Revision(), 0)
	if errors.Is(err, statestore.ErrTooMany) {
		// All who wait share this request: a refusal for the rate limit, which
		// passes soon, would send them all away.
		micros.Pause(ctx, barrierPause)
		sent = micros.Now()
		e, err = r.store.Watch(ctx, Prefix, r.Revision(), 0)
	}
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	r.Apply(e, sent)
	return nil
}
