// Package replica keeps a node's copy of all keys of caperlatch in the state service, updated by one watch of all of
// them.
//
// The copy lags behind the state service. Its values were committed, and a value is never replaced by an older one, but
// a newer value may exist that the copy does not have yet. Code that needs the present value calls Barrier first, whose
// documentation states what holds afterwards. A final job needs no barrier, as its state never changes.
//
// The package owns the names of the keys, the format of stored jobs, the order in which changes are applied, the
// cancellations that peers pass on, and the read barrier. It never writes to the state service: code that does reports
// its writes with ApplyPut and ApplyDelete.
package replica

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// storedValue is the value of a key other than a job's.
type storedValue struct {
	value       wire.RawMessage
	modRevision uint64
}

// Replica is a node's copy of the values in the state service. It is safe for concurrent use. Revisions are those of
// the state service; a mod revision of 0 means that the key does not exist.
type Replica struct {
	store      *statestore.Client
	lowLatency atomic.Bool // see SetLowLatency

	mu          sync.Mutex
	loaded      bool
	revision    uint64        // all changes up to this revision are applied
	currentAsOf micros.Micros // send time of the last request that read the changes
	values      map[string]storedValue
	jobs        jobTable
	// adoptedThrough is the revision up to which a peer has passed on all cancellations.
	adoptedThrough uint64
	changed        chan struct{} // closed and replaced by notify

	barrier barrierRounds
}

// New returns an empty replica, which Run loads and keeps up to date.
func New(store *statestore.Client) *Replica {
	return &Replica{
		store:   store,
		values:  map[string]storedValue{},
		jobs:    newJobTable(),
		changed: make(chan struct{}),
	}
}

// IsLoaded reports whether all keys have been read once. Before that, a key that the replica lacks may exist.
func (r *Replica) IsLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// CurrentAsOf returns an instant of this node's steady clock up to which the replica has all changes; 0 if it has read
// no changes yet.
func (r *Replica) CurrentAsOf() micros.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentAsOf
}

// Revision returns the revision up to which the replica has all changes. It may have some later ones as well.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Changed returns a channel that is closed at the next change. A caller that reads values and then waits for them to
// change must call Changed before it reads them, so as not to miss a change in between.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Get decodes the value of a key into v and returns the key's mod revision, or 0 if there is no such key. It does not
// find the keys of jobs.
func (r *Replica) Get(key string, v any) (modRevision uint64, err error) {
	r.mu.Lock()
	stored, ok := r.values[key]
	r.mu.Unlock()
	if !ok {
		return 0, nil
	}
	if err := wire.Unmarshal(stored.value, v); err != nil {
		return 0, fmt.Errorf("decode stored value of %s: %w", key, err)
	}
	return stored.modRevision, nil
}

// ModRevision returns the mod revision that a key has in the replica, or 0 if there is no such key. Unlike Get, it also
// finds the keys of jobs.
func (r *Replica) ModRevision(key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := strings.CutPrefix(key, JobPrefix); ok {
		return r.jobs.byID[id].modRevision
	}
	return r.values[key].modRevision
}

// Keys returns the sorted keys that have the given prefix, without those of jobs.
func (r *Replica) Keys(prefix string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key := range r.values {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
