package leader

import (
	"errors"
	"sync"
	"testing"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
)

// fakeFollowers keeps what is published.
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

// TestHandOver has a leader hand over: from then on it does not respond, and its last entry says whether the tasks of
// all machines were known. It ends within its limit, whether or not a follower has applied that.
func TestHandOver(t *testing.T) {
	cases := []struct {
		name     string
		allKnown bool
		follower string
		applies  bool
	}{
		{"applied", true, "host-1", true},
		{"not applied in time", true, "host-1", false},
		{"nobody follows", true, "", false},
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
				t.Errorf("handed over to %q (%v)", to, err)
			}
			if took := time.Since(startedAt); took > 2*limit.Duration() {
				t.Errorf("it took %v", took)
			}
			select {
			case <-l.termLost:
			default:
				t.Error("the term goes on")
			}
			last := f.entries[len(f.entries)-1].Handover
			if last == nil || last.To != tc.follower || last.Complete != tc.allKnown {
				t.Errorf("the last entry is %+v", last)
			}
			if _, err := l.HandleHeartbeat(heartbeat(12, testToken)); !errors.Is(err, ErrCannotRespond) {
				t.Errorf("a heartbeat gets a response after the handover: %v", err)
			}
			if len(f.entries) > 0 && f.entries[len(f.entries)-1].Handover == nil {
				t.Error("something was decided after the handover")
			}
			if _, err := l.HandOver(limit); !errors.Is(err, ErrNotReady) {
				t.Errorf("handed over twice: %v", err)
			}
		})
	}
}

// TestHandOverRelinquishesFirst checks that the term proves nothing any more when its last entry is published: the named
// follower may replace the leader key as soon as it has read that entry, while the session still lasts.
func TestHandOverRelinquishesFirst(t *testing.T) {
	l, term := newTestLeader(t)
	f := &publishedProofs{fakeFollowers: fakeFollowers{follower: "host-1", applies: true}, term: term}
	l.Followers = f
	if _, err := l.HandOver(300 * micros.Millisecond); err != nil {
		t.Fatal(err)
	}
	if !f.handedOver || f.provesAny {
		t.Errorf("handed over: %v; the term still proved something: %v", f.handedOver, f.provesAny)
	}
	if l.Successor() != "host-1" || !l.IsHandingOver() {
		t.Errorf("the successor is %q", l.Successor())
	}
}

// publishedProofs notes whether the term proves anything as the handover is published.
type publishedProofs struct {
	fakeFollowers
	term                  *fakeTerm
	handedOver, provesAny bool
}

func (p *publishedProofs) Publish(e standby.Entry) {
	if e.Handover != nil {
		p.handedOver, p.provesAny = true, p.term.HoldsSession() || p.term.IsExclusive()
	}
	p.fakeFollowers.Publish(e)
}

// TestHandOverEndsWithItsTerm has the named follower lead before it has said that it applied everything: from then on it
// asks no more, and the handover must not wait for that until its limit.
func TestHandOverEndsWithItsTerm(t *testing.T) {
	l, _ := newTestLeader(t)
	l.Followers = &fakeFollowers{follower: "host-1"}
	const limit = 20 * micros.Second
	time.AfterFunc(100*time.Millisecond, l.loseTerm)
	startedAt := time.Now()
	to, err := l.HandOver(limit)
	if took := time.Since(startedAt); err != nil || to != "host-1" || took > limit.Duration()/4 {
		t.Errorf("handed over to %q in %v: %v", to, took, err)
	}
}
