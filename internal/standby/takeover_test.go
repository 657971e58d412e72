package standby

import (
	"slices"
	"testing"
)

// TestPhases goes through take-overs: decisions may leave only with all of the evidence.
func TestPhases(t *testing.T) {
	type step struct {
		name string
		do   func(t *Takeover)
		want Phase
	}
	suspect := step{"suspect", (*Takeover).Suspect, Suspecting}
	campaign := step{"campaign", (*Takeover).Campaign, Campaigning}
	won := step{"win", func(t *Takeover) { t.Won(8, 100, true) }, Confirming}
	confirmed := step{"confirm", func(t *Takeover) { t.Confirmed(100, false) }, Adopting}
	adopted := step{"adopt", (*Takeover).Adopted, Active}
	ended := step{"end", (*Takeover).Ended, Following}
	cases := []struct {
		name  string
		steps []step
	}{
		{"all phases", []step{suspect, campaign, won, confirmed, adopted, ended}},
		{"handed over, unsuspected", []step{campaign, won, confirmed, adopted}},
		{"the leader answers again", []step{suspect, {"trust", (*Takeover).Trust, Following}, suspect}},
		{"another one wins", []step{suspect, campaign, {"trust", (*Takeover).Trust, Following}}},
		{"ended while confirming", []step{campaign, won, ended, campaign, won, confirmed}},
		{"read before the key was taken", []step{campaign, won, {"confirm", func(t *Takeover) { t.Confirmed(99, true) }, Confirming}, confirmed}},
		{"confirmed without a key", []step{campaign, {"confirm", func(t *Takeover) { t.Confirmed(500, false) }, Campaigning}}},
		{"a doubt in an active leader", []step{campaign, won, confirmed, adopted, {"suspect", (*Takeover).Suspect, Active}, {"trust", (*Takeover).Trust, Active}}},
		{"adopted out of turn", []step{campaign, {"adopt", (*Takeover).Adopted, Campaigning}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			takeover := NewTakeover()
			for _, s := range tc.steps {
				s.do(takeover)
				if got := takeover.Phase(); got != s.want {
					t.Fatalf("%s: %v, want %v", s.name, got, s.want)
				}
				if may := takeover.Phase().MayDecide(); may != (s.want == Adopting || s.want == Active) {
					t.Errorf("%s: may decide: %v", s.name, may)
				}
			}
		})
	}
}

// TestRecord asks for the last take-over, with its evidence and phases.
func TestRecord(t *testing.T) {
	takeover := NewTakeover()
	if takeover.Last() != nil {
		t.Error("a take-over before the first")
	}
	takeover.Suspect()
	takeover.Campaign()
	takeover.Won(8, 100, true)
	takeover.Confirmed(104, true)
	takeover.Adopted()
	takeover.Ended()
	takeover.Suspect()
	last := takeover.Last()
	if last == nil || last.Evidence != (Evidence{Token: 8, Revision: 100, ReadThrough: 104, HandedOver: true}) || !last.Warm {
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
