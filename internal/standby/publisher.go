package standby

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"caperlatch/internal/micros"
)

// Publisher keeps what one term's leader decides for the followers to ask for. No decision
// waits for a follower: publishing appends to a log of bounded length, and a follower that is
// behind it takes a snapshot. It is safe for concurrent use.
type Publisher struct {
	maxEntries int

	mu        sync.Mutex
	view      *View   // as of all entries
	entries   []Entry // the newest; the last has the view's position
	followers map[string]FollowerState
}

// NewPublisher is the publisher of the term with a token, whose log keeps at least maxEntries, once there are as many.
func NewPublisher(token uint64, maxEntries int) *Publisher {
	return &Publisher{
		maxEntries: max(1, maxEntries),
		view:       NewView(token),
		followers:  map[string]FollowerState{},
	}
}

// Publish adds an entry. It takes only the publisher's own lock, and does no I/O.
func (p *Publisher) Publish(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.apply(&e)
	p.entries = append(p.entries, e)
	if len(p.entries) > p.maxEntries+p.maxEntries/4 { // cut rarely, as cutting copies
		p.entries = slices.Clone(p.entries[len(p.entries)-p.maxEntries:])
	}
}

// Position is that of the newest entry.
func (p *Publisher) Position() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Position
}

// HandleQuery answers a follower. One that asks in another version gets a page that only says so.
func (p *Publisher) HandleQuery(q *Query) *Page {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := &Page{Version: Version, FencingToken: p.view.FencingToken, LatestPosition: p.view.Position, AfterPosition: q.Position}
	if q.Version != Version {
		return page
	}
	p.noteFollower(q)
	first := p.view.Position - uint64(len(p.entries)) // position before the oldest entry
	switch {
	case q.Snapshot:
		page.Snapshot = p.view.snapshotPage(q.AfterMachine)
	case q.FencingToken != p.view.FencingToken, q.Position < first, q.Position > p.view.Position:
		page.Compacted = true
	default:
		entries := p.entries[q.Position-first:]
		page.Entries = slices.Clone(entries[:min(len(entries), maxPageEntries)])
	}
	return page
}

// noteFollower notes how far a follower says it is.
func (p *Publisher) noteFollower(q *Query) {
	state := FollowerState{Member: q.Member, LastQueryAt: micros.Now()}
	if q.FencingToken == p.view.FencingToken && !q.Snapshot {
		state.Position, state.Complete = q.Position, true
	}
	p.followers[q.Member] = state
}

// Followers lists how far the followers are, by name.
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

// MostUpToDateFollower is the follower that has applied most, of those that asked within a duration before now; the zero
// value if none of these has a complete view.
func (p *Publisher) MostUpToDateFollower(within micros.Micros) (furthest FollowerState) {
	for _, f := range p.Followers() {
		if f.Complete && micros.Now()-f.LastQueryAt <= within && (furthest.Member == "" || f.Position > furthest.Position) {
			furthest = f
		}
	}
	return furthest
}

// HasApplied reports whether a follower has applied all entries up to a position.
func (p *Publisher) HasApplied(member string, position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.followers[member]
	return f.Complete && f.Position >= position
}
