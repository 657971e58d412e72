package standby

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"caperlatch/internal/micros"
)

// Publisher holds the decisions and observations of one term's leader, and answers the queries of followers. No
// decision waits for a follower: the leader appends to a log of bounded length, and a follower that needs entries
// which the log no longer holds fetches a snapshot. It is safe for concurrent use.
type Publisher struct {
	maxEntries int

	mu        sync.Mutex
	view      *View                    // with all entries applied
	entries   []Entry                  // the newest entries; the last one is at the view's position
	followers map[string]FollowerState // by member name
}

// NewPublisher returns the publisher of the term with the given fencing token. Its log retains at least the newest
// maxEntries entries.
func NewPublisher(token uint64, maxEntries int) *Publisher {
	return &Publisher{
		maxEntries: max(1, maxEntries),
		view:       NewView(token),
		followers:  map[string]FollowerState{},
	}
}

// Publish appends an entry. It acquires only the publisher's own lock, and does no I/O.
func (p *Publisher) Publish(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.apply(&e)
	p.entries = append(p.entries, e)
	if len(p.entries) > p.maxEntries+p.maxEntries/4 { // truncated rarely, because truncation copies the log
		p.entries = slices.Clone(p.entries[len(p.entries)-p.maxEntries:])
	}
}

// Position returns the position of the newest entry.
func (p *Publisher) Position() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Position
}

// HandleQuery returns the answer to a follower's query. The answer to a query of another version has neither entries
// nor a snapshot, and its version makes the follower reject it.
func (p *Publisher) HandleQuery(q *Query) *Page {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := &Page{Version: Version, FencingToken: p.view.FencingToken, LatestPosition: p.view.Position, AfterPosition: q.Position}
	if q.Version != Version {
		return page
	}
	p.recordFollower(q)
	logStart := p.view.Position - uint64(len(p.entries)) // position before the oldest entry in the log
	switch {
	case q.Snapshot:
		page.Snapshot = p.view.snapshotPage(q.AfterMachine)
	case q.FencingToken != p.view.FencingToken, q.Position < logStart, q.Position > p.view.Position:
		page.Compacted = true
	default:
		entries := p.entries[q.Position-logStart:]
		page.Entries = slices.Clone(entries[:min(len(entries), maxPageEntries)])
	}
	return page
}

// recordFollower records the progress that a follower's query reports. The caller must hold mu.
func (p *Publisher) recordFollower(q *Query) {
	state := FollowerState{Member: q.Member, LastQueryAt: micros.Now()}
	if q.FencingToken == p.view.FencingToken && !q.Snapshot {
		state.Position, state.Complete = q.Position, true
	}
	p.followers[q.Member] = state
}

// Followers returns the states of all followers, sorted by member name.
func (p *Publisher) Followers() []FollowerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Values(p.followers))
	for i := range list {
		list[i].AgeS = (micros.Now() - list[i].LastQueryAt).Seconds()
	}
	slices.SortFunc(list, func(a, b FollowerState) int { return cmp.Compare(a.Member, b.Member) })
	return list
}

// MostUpToDateFollower returns the state of the follower that has applied the most entries, among those that sent a
// query within the given duration before now. Only followers whose state is Complete
// are considered; if there is none, it returns the zero value.
func (p *Publisher) MostUpToDateFollower(within micros.Micros) (best FollowerState) {
	for _, f := range p.Followers() {
		if f.Complete && micros.Now()-f.LastQueryAt <= within && (best.Member == "" || f.Position > best.Position) {
			best = f
		}
	}
	return best
}

// HasApplied reports whether a follower's last query shows that it has applied all entries up to and including the
// given position.
func (p *Publisher) HasApplied(member string, position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.followers[member]
	return f.Complete && f.Position >= position
}
