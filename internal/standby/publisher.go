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
// behind it takes a snapshot.
type Publisher struct {
	maxEntries int // entries

	mu          sync.Mutex
	view        *View   // as of all entries
	entries     []Entry // the newest; the last has the view's position
	followers   map[string]FollowerState
	queryCounts chan struct{} // closed at the next query
}

// FollowerState is how far a follower is, as its last query says.
type FollowerState struct {
	Member   string        `json:"member"`
	Position uint64        `json:"position"`
	Complete bool          `json:"whole"` // it is not taking a snapshot
	At       micros.Micros `json:"-"`     // when it last asked
	AgeS     float64       `json:"age_s"` // how long ago that is
}

// NewPublisher is the publisher of a term, which keeps so many entries.
func NewPublisher(token uint64, keep int) *Publisher {
	return &Publisher{
		maxEntries:  max(1, keep),
		view:        NewView(token),
		followers:   map[string]FollowerState{},
		queryCounts: make(chan struct{}),
	}
}

// Publish adds an entry. It only takes the publisher's own lock, for a moment.
func (p *Publisher) Publish(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.apply(&e)
	p.entries = append(p.entries, e)
	if len(p.entries) > p.maxEntries+p.maxEntries/4 {
		p.entries = slices.Clone(p.entries[len(p.entries)-p.maxEntries:])
	}
}

// Position is that of the newest entry.
func (p *Publisher) Position() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Position
}

// HandleQuery answers a follower.
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
		page.Snapshot = p.view.page(q.AfterMachine)
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
	state := FollowerState{Member: q.Member, At: micros.Now()}
	if q.FencingToken == p.view.FencingToken && !q.Snapshot {
		state.Position, state.Complete = q.Position, true
	}
	p.followers[q.Member] = state
	close(p.queryCounts)
	p.queryCounts = make(chan struct{})
}

// QueryCount is closed at the next query.
func (p *Publisher) QueryCount() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queryCounts
}

// Followers lists how far the followers are, by name.
func (p *Publisher) Followers() []FollowerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Values(p.followers))
	for i := range list {
		list[i].AgeS = (micros.Now() - list[i].At).Seconds()
	}
	slices.SortFunc(list, func(a, b FollowerState) int { return cmp.Compare(a.Member, b.Member) })
	return list
}

// FurthestFollower is the follower that has applied most, of those that asked lately; "" if none has
// a whole view.
func (p *Publisher) FurthestFollower(within micros.Micros) (furthest FollowerState) {
	for _, f := range p.Followers() {
		if f.Complete && micros.Now()-f.At <= within && (furthest.Member == "" || f.Position > furthest.Position) {
			furthest = f
		}
	}
	return furthest
}

// HasApplied tells whether a follower has applied all entries up to a position.
func (p *Publisher) HasApplied(member string, position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.followers[member]
	return f.Complete && f.Position >= position
}
