package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"

	"caperlatch/internal/micros"
)

// Follower keeps a view of the present term's leader. It applies entries in order, and
// rejects gaps, other terms and what is malformed; then it takes a snapshot. It is safe for concurrent use.
type Follower struct {
	member string

	mu             sync.Mutex
	view           *View             // nil until a leader was followed, and once the view is taken
	snapshot       *snapshotProgress // nil: the view is complete
	latestPosition uint64            // of the leader's newest entry, as last known
	caughtUpAt     micros.Micros     // when a query was sent whose page left nothing missing; 0: never
	lastPageAt     micros.Micros     // when the last page came that was not rejected; 0: never
	rejected       map[string]int    // pages, by the text of the error
}

// NewFollower is a follower that has followed no leader yet.
func NewFollower(member string) *Follower {
	return &Follower{member: member, rejected: map[string]int{}}
}

// NextQuery is what to ask the leader with a token next. If the token is above that of the view, the view is
// replaced by one of that term.
func (f *Follower) NextQuery(token uint64) *Query {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.FencingToken < token {
		f.restart(token)
	}
	q := &Query{Version: Version, Member: f.member, FencingToken: f.view.FencingToken, Position: f.view.Position}
	if f.snapshot.needsPage() {
		q.Snapshot, q.AfterMachine = true, f.snapshot.afterMachine
	}
	return q
}

// restart forgets the view, and has a snapshot taken of a term.
func (f *Follower) restart(token uint64) {
	f.view = NewView(token)
	f.snapshot = &snapshotProgress{}
	f.latestPosition, f.caughtUpAt = 0, 0
}

// ApplyPage applies the page that answered a query that was sent at an instant. A page that is rejected, with one of
// the errors above, changes nothing but that a snapshot may be taken anew.
func (f *Follower) ApplyPage(page *Page, sent micros.Micros) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.applyPage(page, sent)
	if err != nil {
		f.countRejected(err)
		return err
	}
	f.lastPageAt = micros.Now()
	return nil
}

// applyPage is ApplyPage with the lock held.
func (f *Follower) applyPage(page *Page, sent micros.Micros) error {
	if err := f.check(page); err != nil {
		return err
	}
	switch {
	case page.Compacted:
		f.restart(page.FencingToken)
		return nil
	case page.Snapshot != nil:
		f.applySnapshotPage(page)
		return nil
	case page.AfterPosition > f.view.Position:
		f.restart(page.FencingToken)
		return fmt.Errorf("%w: between %d and %d", ErrGap, f.view.Position, page.AfterPosition)
	}
	known := f.view.Position - page.AfterPosition // entries of a page that came before, in part or in full
	for i := range page.Entries {
		if uint64(i) >= known {
			f.view.apply(&page.Entries[i])
		}
	}
	if f.snapshot != nil && f.snapshot.isComplete(f.view.Position) {
		f.snapshot = nil
	}
	f.latestPosition = max(f.latestPosition, page.LatestPosition)
	if f.view.Position >= page.LatestPosition && f.snapshot == nil {
		f.caughtUpAt = max(f.caughtUpAt, sent)
	}
	return nil
}

// check returns why a page is to be rejected, nil if it is not. After a page that may hide entries a snapshot is to
// be taken.
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

// applySnapshotPage applies the next page of a snapshot. The first page's position is where the
// entries continue; what they repeat, the later pages have already.
func (f *Follower) applySnapshotPage(page *Page) {
	s := f.snapshot
	if !s.needsPage() {
		return // a late copy
	}
	if s.phase == firstPageMissing {
		s.phase, f.view.Position = laterPagesMissing, page.LatestPosition
	}
	f.view.addSnapshotPage(page.Snapshot)
	f.latestPosition = max(f.latestPosition, page.LatestPosition)
	if n := len(page.Snapshot.Machines); n > 0 {
		s.afterMachine = page.Snapshot.Machines[n-1].Name
	}
	if page.Snapshot.HasMore {
		return
	}
	s.phase, s.completeAt = entriesMissing, page.LatestPosition
	if s.isComplete(f.view.Position) {
		f.snapshot = nil
	}
}

// rejectionKinds are the errors that are counted apart.
var rejectionKinds = []error{ErrMalformed, ErrVersion, ErrTerm, ErrGap}

// countRejected counts a rejected page, and logs the first of a kind.
func (f *Follower) countRejected(err error) {
	kind := "other"
	for _, k := range rejectionKinds {
		if errors.Is(err, k) {
			kind = k.Error()
		}
	}
	f.rejected[kind]++
	if f.rejected[kind] == 1 {
		slog.Warn("standby page rejected", "error", err)
	}
}

// TakeView returns the follower's view if it is complete, else nil. The view becomes the caller's: no page is applied
// to it any more.
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

// HandedOverTo is the member that the leader of the followed term has named to lead next, "" if it named none;
// handedOver reports whether it has handed over.
func (f *Follower) HandedOverTo() (member string, handedOver bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.Handover == nil {
		return "", false
	}
	return f.view.Handover.To, true
}

// HasHandedOver reports whether the leader with a token has handed over, as far as it is known here.
func (f *Follower) HasHandedOver(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view != nil && f.view.FencingToken == token && f.view.Handover != nil
}

// IsSuccessorOf reports whether the leader with a token has handed over to this follower, whose view is complete.
func (f *Follower) IsSuccessorOf(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view != nil && f.snapshot == nil && f.view.FencingToken == token && f.view.Handover != nil && f.view.Handover.To == f.member
}

// Progress is how far the follower is.
func (f *Follower) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{LagS: -1, Rejected: maps.Clone(f.rejected)}
	if f.view == nil {
		return p
	}
	p.FencingToken, p.Position, p.Complete = f.view.FencingToken, f.view.Position, f.snapshot == nil
	p.Machines, p.Tasks = len(f.view.Machines), f.view.CountTasks()
	if f.latestPosition > f.view.Position {
		p.LagEntries = f.latestPosition - f.view.Position
	}
	if f.caughtUpAt != 0 {
		p.LagS = (micros.Now() - f.caughtUpAt).Seconds()
	}
	return p
}

// LastPageAt is when the last page came that was not rejected; 0 if none did.
func (f *Follower) LastPageAt() micros.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastPageAt
}
