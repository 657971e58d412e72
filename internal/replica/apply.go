package replica

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ApplyWatch applies the response to a watch that was sent at sentAt. The watch must have started at the replica's
// revision at that time or at a lower one. Responses may overlap, and may be applied in any order.
func (r *Replica) ApplyWatch(response wire.WatchResponse, sentAt micros.Micros) {
	slices.SortStableFunc(response.Events, func(a, b wire.Event) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAsOf = max(r.currentAsOf, sentAt)
	appliedThrough := r.revision
	for _, event := range response.Events {
		switch {
		case event.ModRevision <= appliedThrough:
		case event.Put != "":
			r.put(event.Put, event.Value, event.ModRevision)
		case event.Delete != "" && r.values[event.Delete].modRevision < event.ModRevision:
			delete(r.values, event.Delete)
		}
	}
	r.revision = max(r.revision, response.Revision)
	if len(response.Events) > 0 {
		r.notify()
	}
}

// ApplyPut applies a write of this node that was committed at the given revision.
func (r *Replica) ApplyPut(key string, value any, revision uint64) {
	raw, err := wire.Marshal(value)
	if err != nil {
		slog.Error("cannot encode a committed write, the replica lacks it until the next watch", "key", key, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(key, raw, revision)
	r.notify()
}

// ApplyDelete applies a deletion by this node that was committed at the given revision.
func (r *Replica) ApplyDelete(key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.values[key].modRevision < revision {
		delete(r.values, key)
	}
}

// put stores a value unless the replica already has one with the same or a higher mod revision; mu must be held.
func (r *Replica) put(key string, value wire.RawMessage, modRevision uint64) {
	id, isJob := strings.CutPrefix(key, JobPrefix)
	if !isJob {
		if modRevision > r.values[key].modRevision {
			r.values[key] = storedValue{value, modRevision}
		}
		return
	}
	if modRevision <= r.jobs.byID[id].modRevision {
		return // saves decoding the value
	}
	var job Job
	if err := wire.Unmarshal(value, &job); err != nil {
		slog.Error("cannot decode a stored job, ignoring this change of it", "job", id, "error", err)
		return
	}
	r.jobs.put(id, job, modRevision)
}

// notify wakes all goroutines that wait for a change; mu must be held.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
