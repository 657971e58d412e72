package fleet

import (
	"testing"

	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/placement"
)

// newTestFleet returns a fleet without machines, whose instance types boot in 20 s.
func newTestFleet() *Fleet {
	store := statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 8, TxnOps: 6}, nil)
	return New(Config{
		Writes: persist.NewQueue(persist.Config{Store: store}),
		Events: eventlog.New(),
		InstanceType: func(string) (InstanceType, bool) {
			return InstanceType{Capacity: placement.Resources{CPU: 4000, Memory: 16000}, BootTime: 20 * micros.Second}, true
		},
	})
}

// TestBootTimeCountsFromLaunchResponse checks that a machine's launch time, from which its boot time and its billed
// time count, is the time of the response to its launch request, even if the cloud was unavailable for minutes after
// the intent was created.
func TestBootTimeCountsFromLaunchResponse(t *testing.T) {
	for _, c := range []struct {
		name        string
		sinceIntent micros.Micros
	}{
		{"at once", 0},
		{"after a while", 45 * micros.Second},
		{"after an outage", 300 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet()
			intent := f.AddIntent("r-5", LaunchIntent{Type: "m4", Zone: "a", Count: 2, At: micros.WallTime() - c.sinceIntent})
			f.RecordLaunch(intent, []string{"i-7", "i-8"})
			now := micros.Now() + micros.Second
			for _, id := range []string{"i-7", "i-8"} {
				m := f.Machines[id]
				if age := now - m.Instance.LaunchedAt; age > 2*micros.Second {
					t.Errorf("%s has a launch time %v ago, want at most 2s", id, age.Duration())
				}
				if f.IsOverdue(m, now) {
					t.Errorf("%s is overdue 1s after the response to its launch, want it not to be", id)
				}
			}
			if intent.At < micros.WallTime()-2*micros.Second {
				t.Error("the stored intent has the time of its creation, want the time of the response")
			}
		})
	}
}
