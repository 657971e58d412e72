package replica

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ApplyWatch applies the response to a watch that was sent at an instant, from the revision of then or a lower one.
// Responses may overlap and come in any order.
func (r *Replica) ApplyWatch(response wire.WatchResponse, sent micros.Micros) {
	slices.SortStableFunc(response.Events, func(a, b wire.Event) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAsOf = max(r.currentAsOf, sent)
	before := r.revision
	for _, event := range response.Events {
		switch {
		case event.ModRevision <= before:
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

// ApplyPut applies a write of this node's own that was committed at a revision.
func (r *Replica) ApplyPut(key string, value any, revision uint64) {
	raw, err := wire.Marshal(value)
	if err != nil {
		slog.Error("own write not encoded", "key", key, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(key, raw, revision)
	r.notify()
}

// ApplyDelete applies a deletion of this node's own that was committed at a revision.
func (r *Replica) ApplyDelete(key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.values[key].modRevision < revision {
		delete(r.values, key)
	}
}

// put applies a value unless the one known is as new; mu must be held.
func (r *Replica) put(key string, value wire.RawMessage, modRevision uint64) {
	id, isJob := strings.CutPrefix(key, JobPrefix)
	if !isJob {
		if modRevision > r.values[key].modRevision {
			r.values[key] = storedValue{value, modRevision}
		}
		return
	}
	if modRevision <= r.jobs.byID[id].modRevision {
		return // before it is decoded
	}
	var job Job
	if err := wire.Unmarshal(value, &job); err != nil {
		slog.Error("stored job unreadable", "job", id, "error", err)
		return
	}
	r.jobs.put(id, job, modRevision)
}

// notify wakes those who wait for a change; mu must be held.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
