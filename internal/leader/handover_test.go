package leader

import (
	"errors"
	"sync"
	"testing"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
)

// fakeFollowers records the published entries. The fields follower and applies set which member follows, "" for none,
// and whether it has applied all entries.
type fakeFollowers struct {
	mu       sync.Mutex
	entries  []standby.Entry
	follower string
	applies  bool
}

func (f *fakeFollowers) Publish(e standby.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
}

func (f *fakeFollowers) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(len(f.entries))
}

func (f *fakeFollowers) MostUpToDateFollower(micros.Micros) standby.FollowerState {
	return standby.FollowerState{Member: f.follower}
}

func (f *fakeFollowers) HasApplied(string, uint64) bool { return f.applies }

// TestHandOver checks that a leader that has handed over responds to no heartbeat. Its last entry must say whether all
// machines had confirmed their tasks. The handover must end within twice its time limit, whether or not a follower has
// applied that entry.
func TestHandOver(t *testing.T) {
	cases := []struct {
		name     string
		allKnown bool
		follower string
		applies  bool
	}{
		{"applied in time", true, "host-1", true},
		{"not applied in time", true, "host-1", false},
		{"no follower", true, "", false},
		{"a machine's tasks are not known", false, "host-1", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			f := &fakeFollowers{follower: tc.follower, applies: tc.applies}
			l.Followers = f
			l.fleet.Machines["i-1"].Reconciliation.Knowledge = taskKnowledge(tc.allKnown)
			const limit = 300 * micros.Millisecond
			startedAt := time.Now()
			to, err := l.HandOver(limit)
			if err != nil || to != tc.follower {
				t.Errorf("handed over to %q (error %v), want %q", to, err, tc.follower)
			}
			if took := time.Since(startedAt); took > 2*limit.Duration() {
				t.Errorf("the handover took %v, want at most %v", took, 2*limit.Duration())
			}
			select {
			case <-l.termLost:
			default:
				t.Error("the term is not over after the handover")
			}
			last := f.entries[len(f.entries)-1].Handover
			if last == nil || last.To != tc.follower || last.Complete != tc.allKnown {
				t.Errorf("handover in the last entry: %+v, want one to %q with Complete %v", last, tc.follower, tc.allKnown)
			}
			if _, err := l.HandleHeartbeat(heartbeat(12, testToken)); !errors.Is(err, ErrCannotRespond) {
				t.Errorf("heartbeat after the handover: error %v, want %v", err, ErrCannotRespond)
			}
			if len(f.entries) > 0 && f.entries[len(f.entries)-1].Handover == nil {
				t.Errorf("an entry was published after the handover: %+v", f.entries[len(f.entries)-1])
			}
			if _, err := l.HandOver(limit); !errors.Is(err, ErrNotReady) {
				t.Errorf("second handover: error %v, want %v", err, ErrNotReady)
			}
		})
	}
}

// TestHandOverRelinquishesFirst checks that the term no longer proves leadership when its last entry is published: the
// follower named in that entry may replace the leader key as soon as it has read the entry, although the session has
// not ended.
func TestHandOverRelinquishesFirst(t *testing.T) {
	l, term := newTestLeader(t)
	f := &handoverObserver{fakeFollowers: fakeFollowers{follower: "host-1", applies: true}, term: term}
	l.Followers = f
	if _, err := l.HandOver(300 * micros.Millisecond); err != nil {
		t.Fatal(err)
	}
	if !f.handedOver || f.provesLeadership {
		t.Errorf("handover published: %v, want true; the term still proved leadership: %v, want false", f.handedOver, f.provesLeadership)
	}
	if l.Successor() != "host-1" || !l.IsHandingOver() {
		t.Errorf("successor %q, want host-1; handing over: %v, want true", l.Successor(), l.IsHandingOver())
	}
}

// handoverObserver records whether the term still proves leadership when the handover is published.
type handoverObserver struct {
	fakeFollowers
	term                         *fakeTerm
	handedOver, provesLeadership bool
}

func (o *handoverObserver) Publish(e standby.Entry) {
	if e.Handover != nil {
		o.handedOver, o.provesLeadership = true, o.term.HoldsSession() || o.term.IsExclusive()
	}
	o.fakeFollowers.Publish(e)
}

// TestHandOverEndsWithTerm checks that a handover does not wait until its time limit if the term ends first. This
// happens if the follower becomes the leader before it has reported that it applied all entries, because a leader sends
// no queries.
func TestHandOverEndsWithTerm(t *testing.T) {
	l, _ := newTestLeader(t)
	l.Followers = &fakeFollowers{follower: "host-1"}
	const limit = 20 * micros.Second
	time.AfterFunc(100*time.Millisecond, l.loseTerm)
	startedAt := time.Now()
	to, err := l.HandOver(limit)
	if took := time.Since(startedAt); err != nil || to != "host-1" || took > limit.Duration()/4 {
		t.Errorf("handed over to %q in %v (error %v), want host-1 in at most %v", to, took, err, limit.Duration()/4)
	}
}
