package standby

import (
	"slices"
	"testing"
)

// TestFailoverPhases goes through failovers: decisions may leave only with all of the evidence.
func TestFailoverPhases(t *testing.T) {
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
		{"handed over, unsuspected", []step{campaign, won, stateRead, tasksKnown}},
		{"the leader answers again", []step{suspect, {"trust", (*Failover).LeaderTrusted, Following}, suspect}},
		{"another one wins", []step{suspect, campaign, {"trust", (*Failover).LeaderTrusted, Following}}},
		{"ended while confirming", []step{campaign, won, ended, campaign, won, stateRead}},
		{"read before the key was taken", []step{campaign, won, {"read the state", func(f *Failover) { f.StateRead(99, true) }, Confirming}, stateRead}},
		{"state read without a key", []step{campaign, {"read the state", func(f *Failover) { f.StateRead(500, false) }, Campaigning}}},
		{"an active leader is suspected", []step{campaign, won, stateRead, tasksKnown, {"suspect", (*Failover).LeaderSuspected, Active}, {"trust", (*Failover).LeaderTrusted, Active}}},
		{"tasks known out of turn", []step{campaign, {"know the tasks", (*Failover).TasksKnown, Campaigning}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			failover := NewFailover()
			for _, s := range tc.steps {
				s.do(failover)
				if got := failover.Phase(); got != s.want {
					t.Fatalf("%s: %v, want %v", s.name, got, s.want)
				}
				if can := failover.Phase().CanDecide(); can != (s.want == Adopting || s.want == Active) {
					t.Errorf("%s: can decide: %v", s.name, can)
				}
			}
		})
	}
}

// TestFailoverRecord asks for the last failover, with its evidence and phases.
func TestFailoverRecord(t *testing.T) {
	failover := NewFailover()
	if failover.LastRecord() != nil {
		t.Error("a record before the first failover")
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
		t.Fatalf("%+v", last)
	}
	var names []string
	for _, p := range last.Phases {
		names = append(names, p.Phase)
	}
	if want := []string{"suspecting", "campaigning", "confirming", "adopting", "active"}; !slices.Equal(names, want) {
		t.Errorf("phases %v, want %v", names, want)
	}
}
