package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"caperlatch/internal/micros"
)

// Follower keeps a view of the present term's leader. It applies entries in order, and
// refuses gaps, other terms and what is malformed; then it takes a snapshot.
type Follower struct {
	member string

	mu         sync.Mutex
	view       *View // nil until a leader was followed
	snapshot   *snapshotProgress
	latest     uint64        // position of the leader's newest entry, as last told
	caughtUp   micros.Micros // when a query was sent whose answer left nothing missing
	lastPageAt micros.Micros // when the last page came that was not refused
	rejected   map[string]int
}

// snapshotProgress is how far taking a snapshot is.
type snapshotProgress struct {
	after   string
	started bool
	// completeAt is the position from which on the view is as the leader's was: until then
	// entries may be older than what the pages show. 0: more pages are to come.
	completeAt uint64
}

// NewFollower is a follower that has not heard of any leader.
func NewFollower(member string) *Follower {
	return &Follower{member: member, rejected: map[string]int{}}
}

// NextQuery is what to ask the leader with a token next.
func (f *Follower) NextQuery(token uint64) *Query {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.FencingToken < token {
		f.restart(token)
	}
	q := &Query{Version: Version, Member: f.member, FencingToken: f.view.FencingToken, Position: f.view.Position}
	if f.snapshot != nil && f.snapshot.completeAt == 0 {
		q.Snapshot, q.AfterMachine = true, f.snapshot.after
	}
	return q
}

// restart forgets the view, and has a snapshot taken of a term.
func (f *Follower) restart(token uint64) {
	f.view = NewView(token)
	f.snapshot = &snapshotProgress{}
	f.latest, f.caughtUp = 0, 0
}

// ApplyPage takes over the answer to a query that was sent at an instant. A page that is refused
// changes nothing but that a snapshot may be taken anew.
func (f *Follower) ApplyPage(page *Page, sent micros.Micros) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.apply(page, sent)
	if err != nil {
		f.reject(err)
		return err
	}
	f.lastPageAt = micros.Now()
	return nil
}

// apply is Apply with the lock held.
func (f *Follower) apply(page *Page, sent micros.Micros) error {
	if err := f.check(page); err != nil {
		return err
	}
	switch {
	case page.Compacted:
		f.restart(page.FencingToken)
		return nil
	case page.Snapshot != nil:
		f.takeSnapshot(page)
		return nil
	case page.AfterPosition > f.view.Position:
		f.restart(page.FencingToken)
		return fmt.Errorf("%w: between %d and %d", ErrGap, f.view.Position, page.AfterPosition)
	}
	known := f.view.Position - page.AfterPosition // entries of a page that came before, in part or whole
	for i := range page.Entries {
		if uint64(i) >= known {
			f.view.apply(&page.Entries[i])
		}
	}
	if f.snapshot != nil && f.view.Position >= f.snapshot.completeAt && f.snapshot.completeAt > 0 {
		f.snapshot = nil
	}
	f.latest = max(f.latest, page.LatestPosition)
	if f.view.Position >= page.LatestPosition && f.snapshot == nil {
		f.caughtUp = max(f.caughtUp, sent)
	}
	return nil
}

// check tells why a page is to be refused.
func (f *Follower) check(page *Page) error {
	switch {
	case page.Version != Version:
		return fmt.Errorf("%w: %d, own %d", ErrVersion, page.Version, Version)
	case f.view == nil || page.FencingToken != f.view.FencingToken:
		return fmt.Errorf("%w: token %d", ErrTerm, page.FencingToken)
	case page.AfterPosition+uint64(len(page.Entries)) > page.LatestPosition && page.Snapshot == nil && !page.Compacted:
		f.restart(page.FencingToken)
		return fmt.Errorf("%w: entries beyond the newest", ErrMalformed)
	}
	for i := range page.Entries {
		if err := page.Entries[i].check(); err != nil {
			f.restart(page.FencingToken)
			return err
		}
	}
	return nil
}

// takeSnapshot takes over the next page of a snapshot. The first page's position is where the
// entries go on; what they repeat, the later pages have already.
func (f *Follower) takeSnapshot(page *Page) {
	s := f.snapshot
	if s == nil || s.completeAt > 0 {
		return // a late copy
	}
	if !s.started {
		s.started, f.view.Position = true, page.LatestPosition
	}
	f.view.add(page.Snapshot)
	f.latest = max(f.latest, page.LatestPosition)
	if n := len(page.Snapshot.Machines); n > 0 {
		s.after = page.Snapshot.Machines[n-1].Name
	}
	if page.Snapshot.HasMore {
		return
	}
	if s.completeAt = page.LatestPosition; f.view.Position >= s.completeAt {
		f.snapshot = nil
	}
}

// rejectionKinds are the errors that are counted apart.
var rejectionKinds = []error{ErrMalformed, ErrVersion, ErrTerm, ErrGap}

// reject counts a refused page, and logs the first of a kind.
func (f *Follower) reject(err error) {
	kind := "other"
	for _, k := range rejectionKinds {
		if errors.Is(err, k) {
			kind = k.Error()
		}
	}
	f.rejected[kind]++
	if f.rejected[kind] == 1 {
		slog.Warn("standby: a page is refused", "kind", kind, "error", err)
	}
}

// TakeView is the follower's view if it is whole, else nil: the follower must not be asked to
// apply anything to it any more.
func (f *Follower) TakeView() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.snapshot != nil {
		return nil
	}
	v := f.view
	f.view = nil
	return v
}

// HandedOverTo is whom the leader of the followed term has named to lead next, if it has handed
// over.
func (f *Follower) HandedOverTo() (member string, handed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.Handover == nil {
		return "", false
	}
	return f.view.Handover.To, true
}

// HasHandedOver tells whether the leader with a token has handed over, as far as it is known here.
func (f *Follower) HasHandedOver(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view != nil && f.view.FencingToken == token && f.view.Handover != nil
}

// Progress is how far a follower is.
type Progress struct {
	FencingToken uint64         `json:"token"`
	Position     uint64         `json:"position"`
	Complete     bool           `json:"whole"`
	LagEntries   uint64         `json:"lag_entries"`
	LagS         float64        `json:"lag_s"` // since the view was known to lack nothing; -1: never
	Machines     int            `json:"machines"`
	Tasks        int            `json:"tasks"`
	Rejected     map[string]int `json:"refused,omitempty"` // pages, by kind
}

// Progress tells how far the follower is.
func (f *Follower) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{LagS: -1, Rejected: map[string]int{}}
	for kind, n := range f.rejected {
		p.Rejected[kind] = n
	}
	if f.view == nil {
		return p
	}
	p.FencingToken, p.Position, p.Complete = f.view.FencingToken, f.view.Position, f.snapshot == nil
	p.Machines, p.Tasks = len(f.view.Machines), f.view.CountTasks()
	if f.latest > f.view.Position {
		p.LagEntries = f.latest - f.view.Position
	}
	if f.caughtUp != 0 {
		p.LagS = (micros.Now() - f.caughtUp).Seconds()
	}
	return p
}

// LastPageAt is when the leader was last heard; 0 if it never was.
func (f *Follower) LastPageAt() micros.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastPageAt
}
