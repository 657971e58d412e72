package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// TestZoneCutOff checks when a zone counts as cut off because its machines are silent. Nothing is launched in a zone
// that is cut off. Once its silent machines have been terminated, the zone no longer counts as cut off, because no
// machine is left that could show that the zone is reachable again.
func TestZoneCutOff(t *testing.T) {
	steps := []struct {
		name     string
		machines int
		silent   bool
		cutOff   bool
	}{
		{"no machine is silent", 4, false, false},
		{"all machines are silent", 4, true, true},
		{"too few machines to tell", 2, true, false},
		{"all machines are silent again", 4, true, true},
		{"all machines are terminated", 0, true, false},
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
		// If this zone is cut off, most of the fleet is silent, because all machines are in this zone. So silent
		// machines are retained as well.
		want := zone.Decision{MaxMachines: zone.Unlimited, Reachable: true, OpenShare: 1}
		if s.cutOff {
			want = zone.Decision{RetainSilentMachines: true, OpenShare: 1}
		}
		if got := l.zones.Policy.Decide("a"); got != want {
			t.Errorf("%s: decision %+v, want %+v", s.name, got, want)
		}
	}
}
