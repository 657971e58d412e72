// Package replica keeps a node's copy of what the state service holds for caperlatch, fed by one watch of all
// keys.
//
// The copy lags behind the state service. Values in it were committed, and a key's value is never replaced by an
// older one, but a newer one may exist that is not known here yet. Who needs to know what is stored now calls
// Barrier first, which says what may be concluded after it. A job that is final needs no barrier, as it stays so.
//
// The package owns the names of the keys, the form of stored jobs, the order in which changes are applied,
// cancellations that peers pass on, and the read barrier. It never writes to the state service; who does says so by
// ApplyPut and ApplyDelete.
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

// Replica is a node's copy of the stored values. It is safe for concurrent use. Revisions are those of the state
// service; a mod revision of 0 stands for a key that does not exist.
type Replica struct {
	store      *statestore.Client
	lowLatency atomic.Bool // see SetLowLatency

	mu          sync.Mutex
	loaded      bool
	revision    uint64        // all changes up to it are applied
	currentAsOf micros.Micros // send time of the last request that read the changes
	values      map[string]storedValue
	jobs        jobTable
	// adoptedThrough is the revision up to which a peer has passed on all cancellations.
	adoptedThrough uint64
	changed        chan struct{} // closed and replaced at each change

	barrier barrierRounds
}

// New makes an empty replica; it is filled once Run is called.
func New(store *statestore.Client) *Replica {
	return &Replica{
		store:   store,
		values:  map[string]storedValue{},
		jobs:    newJobTable(),
		changed: make(chan struct{}),
	}
}

// IsLoaded reports whether all keys have been read once. Before that, a key that is not found here may exist.
func (r *Replica) IsLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// CurrentAsOf is an instant up to which all changes are known here, by this node's steady clock; 0 if none is.
func (r *Replica) CurrentAsOf() micros.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentAsOf
}

// Revision is the revision up to which all changes are known here. Some later ones may be known as well.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Changed is closed at the next change. It must be taken before what is to be compared with that change is read.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Get decodes the value of a key that is not a job's into v and returns its mod revision, 0 if there is
// no such key.
func (r *Replica) Get(key string, v any) (modRevision uint64, err error) {
	r.mu.Lock()
	stored, ok := r.values[key]
	r.mu.Unlock()
	if !ok {
		return 0, nil
	}
	if err := wire.Unmarshal(stored.value, v); err != nil {
		return 0, fmt.Errorf("stored %s: %w", key, err)
	}
	return stored.modRevision, nil
}

// ModRevision is the mod revision of any key as known here, 0 if there is no such key.
func (r *Replica) ModRevision(key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := strings.CutPrefix(key, JobPrefix); ok {
		return r.jobs.byID[id].modRevision
	}
	return r.values[key].modRevision
}

// Keys lists the keys with a prefix in order, those of jobs aside.
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
