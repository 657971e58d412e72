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

// testToken is the fencing token of the tests' leader.
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

// randomEntry is a random decision about few machines, so that many are about the same one.
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

// transmit encodes and decodes a message as a stream between nodes does.
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

// query has a follower ask once.
func query(t *testing.T, f *Follower, p *Publisher) error {
	t.Helper()
	return f.ApplyPage(transmit(t, p.HandleQuery(transmit(t, f.NextQuery(testToken)))), micros.Now())
}

// catchUp has a follower ask until nothing is missing.
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
	t.Fatalf("the follower does not catch up: %+v", f.Progress())
}

// checkView compares a follower's view with what the leader published.
func checkView(t *testing.T, f *Follower, p *Publisher) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Position != p.view.Position || !reflect.DeepEqual(f.view.Machines, p.view.Machines) || !reflect.DeepEqual(f.view.Estimates, p.view.Estimates) {
		t.Errorf("the view at %d is %+v, want at %d %+v", f.view.Position, f.view.Machines, p.view.Position, p.view.Machines)
	}
}

// TestFollowerView has followers ask while a leader decides: pages get lost, are repeated, come late
// and out of order, and the log is short, so that snapshots are taken while decisions go on.
// Whenever a follower says that nothing is missing, its view is the leader's.
func TestFollowerView(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 1))
		p, f := NewPublisher(testToken, 20+r.IntN(200)), NewFollower("host-1")
		var earlier []*Page
		caughtUp := 0
		for range 400 {
			for range r.IntN(12) {
				p.Publish(randomEntry(r))
			}
			page := transmit(t, p.HandleQuery(f.NextQuery(testToken)))
			earlier = append(earlier, page)
			switch r.IntN(6) {
			case 0: // lost
			case 1: // a late copy, before the present one
				_ = f.ApplyPage(earlier[r.IntN(len(earlier))], micros.Now()) // rejected or of no effect
				_ = f.ApplyPage(page, micros.Now())
			case 2: // twice
				_ = f.ApplyPage(page, micros.Now())
				_ = f.ApplyPage(page, micros.Now())
			default:
				_ = f.ApplyPage(page, micros.Now())
			}
			if progress := f.Progress(); progress.Complete && progress.Position == p.Position() {
				caughtUp++
				checkView(t, f, p)
			}
		}
		catchUp(t, f, p)
		checkView(t, f, p)
		if caughtUp < 20 {
			t.Errorf("seed %d: the follower was up to date only %d times", seed, caughtUp)
		}
	}
}

// TestSnapshotInPages has a follower that is away for longer than the log reaches take a
// snapshot of 4,100 machines with 100,000 tasks, in pages that each fit a message.
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
			t.Fatal("the snapshot does not end")
		}
		page := p.HandleQuery(f.NextQuery(testToken))
		if b, err := wire.Marshal(page); err != nil || len(b) > messageBytes {
			t.Fatalf("a page of %d bytes: %v", len(b), err)
		}
		if err := f.ApplyPage(transmit(t, page), micros.Now()); err != nil {
			t.Fatal(err)
		}
		if pages < 10 { // decisions go on
			p.Publish(taskAssigned("i-000001", "j-900000/0", uint64(pages)))
			p.Publish(taskRemoved("i-004000", fmt.Sprintf("j-%06d/%d", 40, pages)))
		}
	}
	checkView(t, f, p)
	if progress := f.Progress(); progress.Tasks != p.view.CountTasks() || progress.Machines != machines {
		t.Errorf("%+v", progress)
	}
}

// TestRejectedPages has a follower that is up to date get pages that it must not apply: nothing of
// them shows, each is counted by its kind, and after a snapshot the follower's view is complete again.
func TestRejectedPages(t *testing.T) {
	twoFields := taskAssigned("i-1", "j-1/1", 1)
	twoFields.MachineTerminated = &MachineTerminated{Machine: "i-1"}
	cases := []struct {
		name          string
		corrupt       func(page *Page)
		want          error
		needsSnapshot bool
	}{
		{"a gap of one entry", func(p *Page) { p.AfterPosition++; p.LatestPosition++ }, ErrGap, true},
		{"a large gap", func(p *Page) { p.AfterPosition += 1000; p.LatestPosition += 1000 }, ErrGap, true},
		{"a lower token", func(p *Page) { p.FencingToken-- }, ErrTerm, false},
		{"a higher token that is not known here", func(p *Page) { p.FencingToken++ }, ErrTerm, false},
		{"another version", func(p *Page) { p.Version++ }, ErrVersion, false},
		{"an entry without a field", func(p *Page) { p.Entries[0] = Entry{} }, ErrMalformed, true},
		{"an entry with two fields", func(p *Page) { p.Entries[0] = twoFields }, ErrMalformed, true},
		{"an entry without a machine", func(p *Page) { p.Entries[0] = taskAssigned("", "j-1/1", 1) }, ErrMalformed, true},
		{"entries beyond the newest", func(p *Page) { p.LatestPosition = p.AfterPosition }, ErrMalformed, true},
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
				t.Fatalf("error %v, want %v", err, tc.want)
			}
			progress := f.Progress()
			if progress.Rejected[tc.want.Error()] != 1 {
				t.Errorf("counted as rejected: %v", progress.Rejected)
			}
			if progress.Complete == tc.needsSnapshot || f.view.Machines["i-1"] != nil {
				t.Errorf("after the page: %+v, %v", progress, f.view.Machines)
			}
			catchUp(t, f, p)
			checkView(t, f, p)
		})
	}
}

// TestTakeView has the leader end while a follower lacks the last entry, while it takes a
// snapshot, and before it asked: only a complete view is of use, and a view that lacks
// the handover proves nothing.
func TestTakeView(t *testing.T) {
	handover := Entry{Handover: &Handover{To: "host-1", Complete: true}}
	cases := []struct {
		name  string
		run   func(p *Publisher, f *Follower)
		view  bool
		proof bool
	}{
		{"all is known", func(p *Publisher, f *Follower) {
			catchUp(t, f, p)
			p.Publish(handover)
			catchUp(t, f, p)
		}, true, true},
		// A snapshot that began after the handover did not show it.
		{"all is known by a snapshot", func(p *Publisher, f *Follower) {
			for i := range 300 {
				p.Publish(taskAssigned("i-1", fmt.Sprintf("j-1/%d", i), 1))
			}
			p.Publish(handover)
			catchUp(t, f, p)
		}, true, true},
		{"the handover is missing", func(p *Publisher, f *Follower) {
			catchUp(t, f, p)
			p.Publish(handover)
		}, true, false},
		{"handed over with tasks unknown", func(p *Publisher, f *Follower) {
			p.Publish(Entry{Handover: &Handover{To: "host-1"}})
			catchUp(t, f, p)
		}, true, false},
		{"within a snapshot", func(p *Publisher, f *Follower) {
			for i := range maxPageTasks + 10 {
				p.Publish(taskAssigned(fmt.Sprintf("i-%d", i), "j-1/1", 1))
			}
			p.Publish(handover)
			_ = query(t, f, p) // the first page
		}, false, false},
		// The pages are of two positions, and the last one has the handover.
		{"the entries since a snapshot began are missing", func(p *Publisher, f *Follower) {
			for i := range maxPageTasks + 10 {
				p.Publish(taskAssigned(fmt.Sprintf("i-%d", i), "j-1/1", 1))
			}
			_ = query(t, f, p) // the first page
			p.Publish(taskAssigned("i-1", "j-1/2", 1))
			p.Publish(handover)
			_ = query(t, f, p) // the last page
		}, false, false},
		{"it never asked", func(p *Publisher, _ *Follower) { p.Publish(handover) }, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, f := NewPublisher(testToken, 100), NewFollower("host-1")
			p.Publish(taskAssigned("i-0", "j-1/0", 1))
			tc.run(p, f)
			v := f.TakeView()
			if (v != nil) != tc.view {
				t.Fatalf("a view: %v, want %v", v != nil, tc.view)
			}
			if v == nil {
				return
			}
			if v.ProvesAssignments(testToken+1) != tc.proof {
				t.Errorf("it proves assignments: %v", v.ProvesAssignments(testToken+1))
			}
			// Somebody led in between, or the token is the old one.
			if v.ProvesAssignments(testToken+2) || v.ProvesAssignments(testToken) {
				t.Error("it proves to another term")
			}
			if f.TakeView() != nil {
				t.Error("a view was taken twice")
			}
		})
	}
}

// TestMostUpToDateFollower asks which follower is to lead next.
func TestMostUpToDateFollower(t *testing.T) {
	p := NewPublisher(testToken, 100)
	for i := range 10 {
		p.Publish(taskAssigned("i-0", fmt.Sprintf("j-1/%d", i), 1))
	}
	ask := func(q Query) { q.Version, q.FencingToken = Version, testToken; p.HandleQuery(&q) }
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "" {
		t.Errorf("%q, and nobody follows", f.Member)
	}
	ask(Query{Member: "host-3", Snapshot: true})
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "" {
		t.Errorf("%q, which takes a snapshot", f.Member)
	}
	ask(Query{Member: "host-1", Position: 4})
	ask(Query{Member: "host-2", Position: 8})
	if f := p.MostUpToDateFollower(micros.Second); f.Member != "host-2" {
		t.Errorf("%q, want host-2", f.Member)
	}
	if p.HasApplied("host-2", 9) || !p.HasApplied("host-2", 8) || p.HasApplied("host-3", 0) || p.HasApplied("host-4", 0) {
		t.Error("wrong about what was applied")
	}
	if f := p.MostUpToDateFollower(0); f.Member != "" {
		t.Errorf("%q, which has not asked lately", f.Member)
	}
}
