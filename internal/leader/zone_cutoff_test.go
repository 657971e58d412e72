package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// TestZoneCutOff counts silent machines of a zone that stop being there. While a zone is
// cut off nothing is rented in it; once its machines are returned, none of them can show
// that it is not cut off any more.
func TestZoneCutOff(t *testing.T) {
	steps := []struct {
		name     string
		machines int
		silent   bool
		cut      bool
	}{
		{"all heard", 4, false, false},
		{"all silent", 4, true, true},
		{"too few to tell", 2, true, false},
		{"all silent again", 4, true, true},
		{"all returned", 0, true, false},
	}
	l, _ := newTestLeader(t)
	b := l.fleet.Intent("r-1")
	now := micros.Now() + micros.Second
	for _, s := range steps {
		l.fleet.Sorted, l.fleet.Machines = nil, map[string]*state.Machine{}
		now += 100 * micros.Second
		for i := range s.machines {
			m := l.fleet.Add(fmt.Sprintf("i-%d", i), b, now)
			m.Instance.Running = true
			if m.Heartbeat.ReceivedAt = now; s.silent {
				m.Heartbeat.ReceivedAt = now - 50*micros.Second
			}
		}
		l.observeZones(now)
		// All of the only zone is most of the network, too.
		want := zone.Decision{MaxMachines: zone.Unlimited, Reachable: true, OpenShare: 1}
		if s.cut {
			want = zone.Decision{KeepSilent: true, OpenShare: 1}
		}
		if got := l.policy.Decide("a"); got != want {
			t.Errorf("%s: %+v, want %+v", s.name, got, want)
		}
	}
}
