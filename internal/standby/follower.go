package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"

	"caperlatch/internal/micros"
)

// Follower replicates the view of the current term's leader. It applies entries in order, and rejects pages that are
// malformed, leave a gap, or are of another term or version. If entries may be missing after a rejected page, it fetches
// a snapshot. It is safe for concurrent use.
type Follower struct {
	member string

	mu             sync.Mutex
	view           *View             // nil before the first query, and from its return by TakeView to the next query
	snapshot       *snapshotProgress // nil if no snapshot is being fetched
	latestPosition uint64            // highest LatestPosition of the pages applied to the view
	caughtUpAt     micros.Micros     // send time of the last query after whose page the view was up to date; 0 if none
	lastPageAt     micros.Micros     // when the last accepted page arrived; 0 if never
	rejected       map[string]int    // number of rejected pages by kind, see countRejected
}

// NewFollower returns a follower that has not followed a leader yet.
func NewFollower(member string) *Follower {
	return &Follower{member: member, rejected: map[string]int{}}
}

// NextQuery returns the next query to send to the leader with the given fencing token. If the follower has no view, or
// one with a lower token, it starts with an empty view of that leader's term. If its view has a higher token, the
// query is for the term of the view.
func (f *Follower) NextQuery(token uint64) *Query {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.FencingToken < token {
		f.resetView(token)
	}
	q := &Query{Version: Version, Member: f.member, FencingToken: f.view.FencingToken, Position: f.view.Position}
	if f.snapshot.needsPage() {
		q.Snapshot, q.AfterMachine = true, f.snapshot.afterMachine
	}
	return q
}

// resetView replaces the view by an empty one of the term with the given token, and starts to fetch a snapshot.
// The caller must hold mu.
func (f *Follower) resetView(token uint64) {
	f.view = NewView(token)
	f.snapshot = &snapshotProgress{}
	f.latestPosition, f.caughtUpAt = 0, 0
}

// ApplyPage applies a page that answers a query sent at sentAt. For a page that it rejects, it returns an error that
// wraps ErrMalformed, ErrVersion, ErrTerm or ErrGap. A rejected page is not applied, but may make the follower discard
// its view and fetch a new snapshot.
func (f *Follower) ApplyPage(page *Page, sentAt micros.Micros) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.applyPage(page, sentAt)
	if err != nil {
		f.countRejected(err)
		return err
	}
	f.lastPageAt = micros.Now()
	return nil
}

// applyPage implements ApplyPage. The caller must hold mu.
func (f *Follower) applyPage(page *Page, sentAt micros.Micros) error {
	if err := f.check(page); err != nil {
		return err
	}
	switch {
	case page.Compacted:
		f.resetView(page.FencingToken)
		return nil
	case page.Snapshot != nil:
		f.applySnapshotPage(page)
		return nil
	case page.AfterPosition > f.view.Position:
		f.resetView(page.FencingToken)
		return fmt.Errorf("%w: view is at position %d, page starts after %d", ErrGap, f.view.Position, page.AfterPosition)
	}
	alreadyApplied := f.view.Position - page.AfterPosition // number of entries after AfterPosition already in the view
	for i := range page.Entries {
		if uint64(i) >= alreadyApplied {
			f.view.apply(&page.Entries[i])
		}
	}
	if f.snapshot != nil && f.snapshot.isComplete(f.view.Position) {
		f.snapshot = nil
	}
	f.latestPosition = max(f.latestPosition, page.LatestPosition)
	if f.view.Position >= page.LatestPosition && f.snapshot == nil {
		f.caughtUpAt = max(f.caughtUpAt, sentAt)
	}
	return nil
}

// check returns the error for which a page is rejected, or nil if the page is valid. If the page is malformed, check
// also resets the view, so that the follower fetches a snapshot: entries may be missing. The caller must hold mu.
func (f *Follower) check(page *Page) error {
	switch {
	case page.Version != Version:
		return fmt.Errorf("%w: page has version %d, this node uses %d", ErrVersion, page.Version, Version)
	case f.view == nil || page.FencingToken != f.view.FencingToken:
		return fmt.Errorf("%w: page has token %d", ErrTerm, page.FencingToken)
	case page.AfterPosition+uint64(len(page.Entries)) > page.LatestPosition && page.Snapshot == nil && !page.Compacted:
		f.resetView(page.FencingToken)
		return fmt.Errorf("%w: page has entries after the latest position", ErrMalformed)
	}
	for i := range page.Entries {
		if err := page.Entries[i].check(); err != nil {
			f.resetView(page.FencingToken)
			return err
		}
	}
	return nil
}

// applySnapshotPage applies the next page of a snapshot. Once all pages are applied, the follower queries the entries
// after the first page's position. Later pages already contain the effects of some of these entries. The caller must
// hold mu.
func (f *Follower) applySnapshotPage(page *Page) {
	s := f.snapshot
	if !s.needsPage() {
		return // no snapshot page is awaited, so this is a late copy of one
	}
	if s.phase == awaitingFirstPage {
		s.phase, f.view.Position = awaitingLaterPages, page.LatestPosition
	}
	f.view.addSnapshotPage(page.Snapshot)
	f.latestPosition = max(f.latestPosition, page.LatestPosition)
	if n := len(page.Snapshot.Machines); n > 0 {
		s.afterMachine = page.Snapshot.Machines[n-1].Name
	}
	if page.Snapshot.HasMore {
		return
	}
	s.phase, s.completeAt = awaitingEntries, page.LatestPosition
	if s.isComplete(f.view.Position) {
		f.snapshot = nil
	}
}

// rejectionKinds lists the errors by which rejected pages are counted.
var rejectionKinds = []error{ErrMalformed, ErrVersion, ErrTerm, ErrGap}

// countRejected counts a page that was rejected with err under its kind: the text of the error in rejectionKinds that
// err wraps, or "other" if err wraps none. Only the first page of each kind is logged. The caller must hold mu.
func (f *Follower) countRejected(err error) {
	kind := "other"
	for _, k := range rejectionKinds {
		if errors.Is(err, k) {
			kind = k.Error()
		}
	}
	f.rejected[kind]++
	if f.rejected[kind] == 1 {
		slog.Warn("standby follower rejected a page of its leader", "error", err)
	}
}

// TakeView returns the follower's view if it is complete, and nil otherwise. The caller owns the returned view: the
// follower applies no more pages to it.
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

// HandedOverTo returns the member that the leader of the followed term named to lead next, or "" if it named none.
// handedOver reports whether that leader has handed over.
func (f *Follower) HandedOverTo() (member string, handedOver bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || f.view.Handover == nil {
		return "", false
	}
	return f.view.Handover.To, true
}

// HasHandedOver reports whether the leader with the given fencing token is known to have handed over.
func (f *Follower) HasHandedOver(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view != nil && f.view.FencingToken == token && f.view.Handover != nil
}

// IsSuccessorOf reports whether the leader with the given fencing token has handed over to this follower, and this
// follower's view is complete.
func (f *Follower) IsSuccessorOf(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view != nil && f.snapshot == nil && f.view.FencingToken == token && f.view.Handover != nil && f.view.Handover.To == f.member
}

// Progress returns the follower's replication progress. Without a view, only the numbers of
// rejected pages are known, and LagS is -1.
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

// LastPageAt returns when the last accepted page arrived, or 0 if none has.
func (f *Follower) LastPageAt() micros.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastPageAt
}
