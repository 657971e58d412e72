package standby

import (
	"slices"
	"testing"
)

// TestPhases goes through take-overs: decisions may leave only with all of the evidence.
func TestPhases(t *testing.T) {
	type step struct {
		name string
		do   func(t *Failover)
		want Phase
	}
	suspect := step{"suspect", (*Failover).LeaderSuspected, Suspecting}
	campaign := step{"campaign", (*Failover).CampaignStarted, Campaigning}
	won := step{"win", func(t *Failover) { t.TermWon(8, 100, true) }, Confirming}
	confirmed := step{"confirm", func(t *Failover) { t.StateRead(100, false) }, Adopting}
	adopted := step{"adopt", (*Failover).TasksKnown, Active}
	ended := step{"end", (*Failover).TermEnded, Following}
	cases := []struct {
		name  string
		steps []step
	}{
		{"all phases", []step{suspect, campaign, won, confirmed, adopted, ended}},
		{"handed over, unsuspected", []step{campaign, won, confirmed, adopted}},
		{"the leader answers again", []step{suspect, {"trust", (*Failover).LeaderTrusted, Following}, suspect}},
		{"another one wins", []step{suspect, campaign, {"trust", (*Failover).LeaderTrusted, Following}}},
		{"ended while confirming", []step{campaign, won, ended, campaign, won, confirmed}},
		{"read before the key was taken", []step{campaign, won, {"confirm", func(t *Failover) { t.StateRead(99, true) }, Confirming}, confirmed}},
		{"confirmed without a key", []step{campaign, {"confirm", func(t *Failover) { t.StateRead(500, false) }, Campaigning}}},
		{"a doubt in an active leader", []step{campaign, won, confirmed, adopted, {"suspect", (*Failover).LeaderSuspected, Active}, {"trust", (*Failover).LeaderTrusted, Active}}},
		{"adopted out of turn", []step{campaign, {"adopt", (*Failover).TasksKnown, Campaigning}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			takeover := NewFailover()
			for _, s := range tc.steps {
				s.do(takeover)
				if got := takeover.Phase(); got != s.want {
					t.Fatalf("%s: %v, want %v", s.name, got, s.want)
				}
				if may := takeover.Phase().CanDecide(); may != (s.want == Adopting || s.want == Active) {
					t.Errorf("%s: may decide: %v", s.name, may)
				}
			}
		})
	}
}

// TestRecord asks for the last take-over, with its evidence and phases.
func TestRecord(t *testing.T) {
	takeover := NewFailover()
	if takeover.LastRecord() != nil {
		t.Error("a take-over before the first")
	}
	takeover.LeaderSuspected()
	takeover.CampaignStarted()
	takeover.TermWon(8, 100, true)
	takeover.StateRead(104, true)
	takeover.TasksKnown()
	takeover.TermEnded()
	takeover.LeaderSuspected()
	last := takeover.LastRecord()
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
