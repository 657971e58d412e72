package standby

import (
	"slices"
	"testing"
)

// TestFailoverPhaseTransitions guards against decisions that a node makes without complete evidence: each event must
// lead to the expected phase, and only Adopting and Active may allow decisions.
func TestFailoverPhaseTransitions(t *testing.T) {
	type step struct {
		name string
		do   func(*Failover)
		want Phase
	}
	suspect := step{"suspect", (*Failover).LeaderSuspected, Suspecting}
	campaign := step{"campaign", (*Failover).CampaignStarted, Campaigning}
	won := step{"win", func(f *Failover) { f.TermWon(8, 100, true) }, Confirming}
	stateRead := step{"read the state", func(f *Failover) { f.StateRead(100, false) }, Adopting}
	tasksKnown := step{"know the tasks", (*Failover).TasksKnown, Active}
	ended := step{"end", (*Failover).TermEnded, Following}
	cases := []struct {
		name  string
		steps []step
	}{
		{"all phases", []step{suspect, campaign, won, stateRead, tasksKnown, ended}},
		{"handover without a suspicion", []step{campaign, won, stateRead, tasksKnown}},
		{"leader answers again", []step{suspect, {"trust", (*Failover).LeaderTrusted, Following}, suspect}},
		{"another node wins", []step{suspect, campaign, {"trust", (*Failover).LeaderTrusted, Following}}},
		{"term ends while confirming", []step{campaign, won, ended, campaign, won, stateRead}},
		{"state read at a revision before the key was taken", []step{campaign, won, {"read the state", func(f *Failover) { f.StateRead(99, true) }, Confirming}, stateRead}},
		{"state read without the leader key", []step{campaign, {"read the state", func(f *Failover) { f.StateRead(500, false) }, Campaigning}}},
		{"active leader is suspected", []step{campaign, won, stateRead, tasksKnown, {"suspect", (*Failover).LeaderSuspected, Active}, {"trust", (*Failover).LeaderTrusted, Active}}},
		{"tasks known before the term is won", []step{campaign, {"know the tasks", (*Failover).TasksKnown, Campaigning}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			failover := NewFailover()
			for _, s := range tc.steps {
				s.do(failover)
				if got := failover.Phase(); got != s.want {
					t.Fatalf("%s: phase %v, want %v", s.name, got, s.want)
				}
				if can := failover.Phase().CanDecide(); can != (s.want == Adopting || s.want == Active) {
					t.Errorf("%s: CanDecide() = %v in phase %v, want %v", s.name, can, s.want, !can)
				}
			}
		})
	}
}

// TestLastFailoverRecord checks the evidence and the phases in the record of the last failover, which must stay
// available after the term has ended and the next leader is suspected.
func TestLastFailoverRecord(t *testing.T) {
	failover := NewFailover()
	if failover.LastRecord() != nil {
		t.Error("LastRecord() returned a record before the first failover, want nil")
	}
	failover.LeaderSuspected()
	failover.CampaignStarted()
	failover.TermWon(8, 100, true)
	failover.StateRead(104, true)
	failover.TasksKnown()
	failover.TermEnded()
	failover.LeaderSuspected()
	last := failover.LastRecord()
	if last == nil || last.Evidence != (Evidence{FencingToken: 8, Revision: 100, ReadThrough: 104, HandedOver: true}) || !last.Warm {
		t.Fatalf("LastRecord() = %+v, want token 8, revision 100, read through 104, handed over and warm", last)
	}
	var names []string
	for _, p := range last.Phases {
		names = append(names, p.Phase)
	}
	if want := []string{"suspecting", "campaigning", "confirming", "adopting", "active"}; !slices.Equal(names, want) {
		t.Errorf("LastRecord() has the phases %v, want %v", names, want)
	}
}
