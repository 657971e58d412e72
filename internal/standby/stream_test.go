package standby

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// testToken is the fencing token of the leader in the tests.
const testToken = 7

func taskAssigned(machine, task string, attempt uint64) Entry {
	return Entry{TaskAssigned: &TaskAssigned{Machine: machine, Task: task, TaskState: TaskState{Attempt: attempt}}}
}

func taskRemoved(machine, task string) Entry {
	return Entry{TaskRemoved: &TaskRemoved{Machine: machine, Task: task}}
}

func machineObserved(machine string, incarnation uint64) Entry {
	return Entry{MachineObserved: &MachineObserved{Machine: machine, MachineState: MachineState{Incarnation: incarnation, TasksKnown: true}}}
}

// randomEntry returns a random entry about one of a few machines, so that many entries concern the same machine.
func randomEntry(r *rand.Rand) Entry {
	machine, task := fmt.Sprintf("i-%03d", r.IntN(40)), fmt.Sprintf("j-1/%d", r.IntN(30))
	switch r.IntN(12) {
	case 0:
		return machineObserved(machine, 1+r.Uint64N(3))
	case 1:
		return Entry{MachineTerminating: &MachineTerminating{Machine: machine, Reason: "test"}}
	case 2:
		return Entry{MachineTerminated: &MachineTerminated{Machine: machine}}
	case 3:
		return Entry{EstimateUpdated: &EstimateUpdated{Class: fmt.Sprintf("c%d", r.IntN(3)), Moments: []float64{r.Float64()}}}
	case 4, 5, 6, 7:
		return taskRemoved(machine, task)
	}
	return taskAssigned(machine, task, r.Uint64N(100))
}

// transmit encodes and decodes a message as the stream between nodes does.
func transmit[T any](t *testing.T, message *T) *T {
	t.Helper()
	b, err := wire.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	out := new(T)
	if err := wire.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// query sends one query of a follower to the publisher, and applies the page that answers it.
func query(t *testing.T, f *Follower, p *Publisher) error {
	t.Helper()
	return f.ApplyPage(transmit(t, p.HandleQuery(transmit(t, f.NextQuery(testToken)))), micros.Now())
}

// catchUp sends queries of a follower until its view is complete and at the publisher's position.
func catchUp(t *testing.T, f *Follower, p *Publisher) {
	t.Helper()
	for range 1000 {
		if err := query(t, f, p); err != nil {
			t.Fatal(err)
		}
		if progress := f.Progress(); progress.Complete && progress.Position == p.Position() {
			return
		}
	}
	t.Fatalf("follower has not caught up after 1000 queries: progress %+v, want position %d", f.Progress(), p.Position())
}

// checkView compares a follower's view with the publisher's view.
func checkView(t *testing.T, f *Follower, p *Publisher) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Position != p.view.Position || !reflect.DeepEqual(f.view.Machines, p.view.Machines) || !reflect.DeepEqual(f.view.Estimates, p.view.Estimates) {
		t.Errorf("follower's view at position %d has machines %+v, estimates %v; want position %d, machines %+v, estimates %v",
			f.view.Position, f.view.Machines, f.view.Estimates, p.view.Position, p.view.Machines, p.view.Estimates)
	}
}

// TestFollowerViewMatchesPublisher guards against a follower that reports a complete view which differs from the
// leader's. Pages are lost, repeated, late and out of order, and the log is short, so that followers fetch snapshots
// while the leader publishes entries.
func TestFollowerViewMatchesPublisher(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 1))
		p, f := NewPublisher(testToken, 20+r.IntN(200)), NewFollower("host-1")
		var earlierPages []*Page
		caughtUpCount := 0
		for range 400 {
			for range r.IntN(12) {
				p.Publish(randomEntry(r))
			}
			page := transmit(t, p.HandleQuery(f.NextQuery(testToken)))
			earlierPages = append(earlierPages, page)
			switch r.IntN(6) {
			case 0: // the page is lost
			case 1: // a late copy of an earlier page arrives before the current page
				_ = f.ApplyPage(earlierPages[r.IntN(len(earlierPages))], micros.Now()) // may be rejected
				_ = f.ApplyPage(page, micros.Now())
			case 2: // the page arrives twice
				_ = f.ApplyPage(page, micros.Now())
				_ = f.ApplyPage(page, micros.Now())
			default:
				_ = f.ApplyPage(page, micros.Now())
			}
			if progress := f.Progress(); progress.Complete && progress.Position == p.Position() {
				caughtUpCount++
				checkView(t, f, p)
			}
		}
		catchUp(t, f, p)
		checkView(t, f, p)
		if caughtUpCount < 20 {
			t.Errorf("seed %d: follower was up to date %d times, want at least 20", seed, caughtUpCount)
		}
	}
}

// TestSnapshotInPages guards against snapshot pages that exceed the maximum size of a message. A follower that is
// further behind than the log reaches fetches a snapshot of 4,100 machines with 100,000 tasks while the leader
// publishes entries.
func TestSnapshotInPages(t *testing.T) {
	const machines, tasks, messageBytes = 4100, 100_000, 1 << 20
	p, f := NewPublisher(testToken, 1000), NewFollower("host-1")
	for i := range machines {
		p.Publish(machineObserved(fmt.Sprintf("i-%06d", i), 1))
	}
	for i := range tasks {
		p.Publish(taskAssigned(fmt.Sprintf("i-%06d", i%machines), fmt.Sprintf("j-%06d/%d", i/100, i%100), uint64(testToken<<32+i)))
	}
	pages := 0
	for !f.Progress().Complete || f.Progress().Position < p.Position() {
		if pages++; pages > 200 {
			t.Fatalf("follower has not caught up after 200 pages: progress %+v, want position %d", f.Progress(), p.Position())
		}
		page := p.HandleQuery(f.NextQuery(testToken))
		if b, err := wire.Marshal(page); err != nil || len(b) > messageBytes {
			t.Fatalf("page has %d bytes, want at most %d; error %v", len(b), messageBytes, err)
		}
		if err := f.ApplyPage(transmit(t, page), micros.Now()); err != nil {
			t.Fatal(err)
		}
		if pages < 10 { // entries are published during the snapshot
			p.Publish(taskAssigned("i-000001", "j-900000/0", uint64(pages)))
			p.Publish(taskRemoved("i-004000", fmt.Sprintf("j-%06d/%d", 40, pages)))
		}
	}
	checkView(t, f, p)
	if progress := f.Progress(); progress.Tasks != p.view.CountTasks() || progress.Machines != machines {
		t.Errorf("progress %+v, want %d tasks on %d machines", progress, p.view.CountTasks(), machines)
	}
}

// TestFollowerRejectsInvalidPages guards against a follower that applies a page with a gap, of another term or version,
// or with malformed entries. The rejected page must leave no trace in the view and be counted by its kind, and the
// follower must be able to catch up afterwards.
func TestFollowerRejectsInvalidPages(t *testing.T) {
	twoFields := taskAssigned("i-1", "j-1/1", 1)
	twoFields.MachineTerminated = &MachineTerminated{Machine: "i-1"}
	cases := []struct {
		name          string
		corrupt       func(page *Page)
		want          error
		needsSnapshot bool
	}{
		{"gap of one entry", func(p *Page) { p.AfterPosition++; p.LatestPosition++ }, ErrGap, true},
		{"gap of 1000 entries", func(p *Page) { p.AfterPosition += 1000; p.LatestPosition += 1000 }, ErrGap, true},
		{"lower token", func(p *Page) { p.FencingToken-- }, ErrTerm, false},
		{"higher token that the follower has not queried", func(p *Page) { p.FencingToken++ }, ErrTerm, false},
		{"other version", func(p *Page) { p.Version++ }, ErrVersion, false},
		{"entry with no field set", func(p *Page) { p.Entries[0] = Entry{} }, ErrMalformed, true},
		{"entry with two fields set", func(p *Page) { p.Entries[0] = twoFields }, ErrMalformed, true},
		{"entry without a machine", func(p *Page) { p.Entries[0] = taskAssigned("", "j-1/1", 1) }, ErrMalformed, true},
		{"entries after the latest position", func(p *Page) { p.LatestPosition = p.AfterPosition }, ErrMalformed, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, f := NewPublisher(testToken, 100), NewFollower("host-1")
			p.Publish(taskAssigned("i-0", "j-1/0", 1))
			catchUp(t, f, p)
			p.Publish(taskAssigned("i-1", "j-1/1", 2))
			page := transmit(t, p.HandleQuery(f.NextQuery(testToken)))
			tc.corrupt(page)
			if err := f.ApplyPage(page, micros.Now()); !errors.Is(err, tc.want) {
				t.Fatalf("ApplyPage() returned error %v, want %v", err, tc.want)
			}
			progress := f.Progress()
			if progress.Rejected[tc.want.Error()] != 1 {
				t.Errorf("rejected pages by kind %v, want 1 of %q", progress.Rejected, tc.want)
			}
			if progress.Complete == tc.needsSnapshot || f.view.Machines["i-1"] != nil {
				t.Errorf("after the rejected page: progress %+v, machines %v; want complete %v and no machine i-1", progress, f.view.Machines, !tc.needsSnapshot)
			}
			catchUp(t, f, p)
			checkView(t, f, p)
		})
	}
}

// TestTakeViewOnlyWhenComplete guards against a new leader that trusts an incomplete view. The term ends while the
// follower lacks the last entry, while it fetches a snapshot, and before its first query: TakeView must return only a
// complete view, and a view without the handover must prove nothing.
func TestTakeViewOnlyWhenComplete(t *testing.T) {
	handover := Entry{Handover: &Handover{To: "host-1", Complete: true}}
	cases := []struct {
		name      string
		run       func(p *Publisher, f *Follower)
		wantView  bool
		wantProof bool
	}{
		{"all entries applied", func(p *Publisher, f *Follower) {
			catchUp(t, f, p)
			p.Publish(handover)
			catchUp(t, f, p)
		}, true, true},
		// Snapshots that began after the handover once did not contain it.
		{"all known from a snapshot after the handover", func(p *Publisher, f *Follower) {
			for i := range 300 {
				p.Publish(taskAssigned("i-1", fmt.Sprintf("j-1/%d", i), 1))
			}
			p.Publish(handover)
			catchUp(t, f, p)
		}, true, true},
		{"handover missing", func(p *Publisher, f *Follower) {
			catchUp(t, f, p)
			p.Publish(handover)
		}, true, false},
		{"handed over with unknown tasks", func(p *Publisher, f *Follower) {
			p.Publish(Entry{Handover: &Handover{To: "host-1"}})
			catchUp(t, f, p)
		}, true, false},
		{"snapshot incomplete", func(p *Publisher, f *Follower) {
			for i := range maxPageTasks + 10 {
				p.Publish(taskAssigned(fmt.Sprintf("i-%d", i), "j-1/1", 1))
			}
			p.Publish(handover)
			_ = query(t, f, p) // the first page
		}, false, false},
		// The two pages are of different positions, and the last one contains the handover.
		{"entries since the start of the snapshot missing", func(p *Publisher, f *Follower) {
			for i := range maxPageTasks + 10 {
				p.Publish(taskAssigned(fmt.Sprintf("i-%d", i), "j-1/1", 1))
			}
			_ = query(t, f, p) // the first page
			p.Publish(taskAssigned("i-1", "j-1/2", 1))
			p.Publish(handover)
			_ = query(t, f, p) // the last page
		}, false, false},
		{"no query sent", func(p *Publisher, _ *Follower) { p.Publish(handover) }, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, f := NewPublisher(testToken, 100), NewFollower("host-1")
			p.Publish(taskAssigned("i-0", "j-1/0", 1))
			tc.run(p, f)
			v := f.TakeView()
			if (v != nil) != tc.wantView {
				t.Fatalf("TakeView() returned a view: %v, want %v", v != nil, tc.wantView)
			}
			if v == nil {
				return
			}
			if v.ProvesAssignments(testToken+1) != tc.wantProof {
				t.Errorf("view proves assignments to the next term: %v, want %v", v.ProvesAssignments(testToken+1), tc.wantProof)
			}
			// The term with token testToken+2 does not immediately follow the view's term, which has testToken.
			if v.ProvesAssignments(testToken+2) || v.ProvesAssignments(testToken) {
				t.Errorf("view proves assignments to the term with token %d: %v, with token %d: %v; want neither",
					testToken+2, v.ProvesAssignments(testToken+2), testToken, v.ProvesAssignments(testToken))
			}
			if f.TakeView() != nil {
				t.Error("second TakeView() returned a view, want nil")
			}
		})
	}
}

// TestMostUpToDateFollower guards against a handover to a follower that fetches a snapshot, that lags behind another
// one, or that has not sent a query lately.
func TestMostUpToDateFollower(t *testing.T) {
	p := NewPublisher(testToken, 100)
	for i := range 10 {
		p.Publish(taskAssigned("i-0", fmt.Sprintf("j-1/%d", i), 1))
	}
	sendQuery := func(q Query) { q.Version, q.FencingToken = Version, testToken; p.HandleQuery(&q) }
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "" {
		t.Errorf("most up-to-date follower %q, want none without followers", f.Member)
	}
	sendQuery(Query{Member: "host-3", Snapshot: true})
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "" {
		t.Errorf("most up-to-date follower %q, want none: the only one fetches a snapshot", f.Member)
	}
	sendQuery(Query{Member: "host-1", Position: 4})
	sendQuery(Query{Member: "host-2", Position: 8})
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "host-2" {
		t.Errorf("most up-to-date follower %q, want host-2", f.Member)
	}
	if p.HasApplied("host-2", 9) || !p.HasApplied("host-2", 8) || p.HasApplied("host-3", 0) || p.HasApplied("host-4", 0) {
		t.Errorf("HasApplied() = %v for host-2 at position 9, %v at 8, %v for host-3, which fetches a snapshot, %v for host-4, which is unknown; want true only at 8",
			p.HasApplied("host-2", 9), p.HasApplied("host-2", 8), p.HasApplied("host-3", 0), p.HasApplied("host-4", 0))
	}
	if f := p.MostUpToDateFollower(0); f.Member != "" {
		t.Errorf("most up-to-date follower %q, want none: no query was sent within the duration", f.Member)
	}
}
