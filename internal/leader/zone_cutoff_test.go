package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// TestZoneCutOff counts silent machines of a zone, which are terminated in the end. While a zone is cut off
// nothing is launched in it; once its machines are terminated, none of them can show that it is not cut off
// any more.
func TestZoneCutOff(t *testing.T) {
	steps := []struct {
		name     string
		machines int
		silent   bool
		cutOff   bool
	}{
		{"none silent", 4, false, false},
		{"all silent", 4, true, true},
		{"too few to tell", 2, true, false},
		{"all silent again", 4, true, true},
		{"all terminated", 0, true, false},
	}
	l, _ := newTestLeader(t)
	intent := l.fleet.Intent("r-1")
	now := micros.Now() + micros.Second
	for _, s := range steps {
		l.fleet.Sorted, l.fleet.Machines = nil, map[string]*state.Machine{}
		now += 100 * micros.Second
		for i := range s.machines {
			m := l.fleet.Add(fmt.Sprintf("i-%d", i), intent, now)
			m.Instance.Running = true
			if m.Heartbeat.ReceivedAt = now; s.silent {
				m.Heartbeat.ReceivedAt = now - 50*micros.Second
			}
		}
		l.zones.Observe(now)
		// All of the only zone is most of the network, too.
		want := zone.Decision{MaxMachines: zone.Unlimited, Reachable: true, OpenShare: 1}
		if s.cutOff {
			want = zone.Decision{RetainSilentMachines: true, OpenShare: 1}
		}
		if got := l.zones.Policy.Decide("a"); got != want {
			t.Errorf("%s: %+v, want %+v", s.name, got, want)
		}
	}
}
