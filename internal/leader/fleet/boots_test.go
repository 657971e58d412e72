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

// newTest makes a fleet without machines, of an instance type that boots in 20 s.
func newTest() *Fleet {
	store := statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 8, TxnOps: 6}, nil)
	return New(Config{
		Writes: persist.NewQueue(persist.Config{Store: store}),
		Events: eventlog.New(),
		InstanceType: func(string) (InstanceType, bool) {
			return InstanceType{Capacity: placement.Resources{CPU: 4000, Memory: 16000}, BootTime: 20 * micros.Second}, true
		},
	})
}

// TestBootCountsFromResponse has a launch answered right after its intent was made, or after an outage of the
// cloud: its machines' boot and the time that is paid for count from the response.
func TestBootCountsFromResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited micros.Micros
	}{
		{"at once", 0},
		{"after a while", 45 * micros.Second},
		{"after an outage", 300 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTest()
			intent := f.AddIntent("r-5", LaunchIntent{Type: "m4", Zone: "a", Count: 2, At: micros.Wall() - c.waited})
			f.RecordLaunch(intent, []string{"i-7", "i-8"})
			now := micros.Now() + micros.Second
			for _, id := range []string{"i-7", "i-8"} {
				m := f.Machines[id]
				if age := now - m.Instance.LaunchedAt; age > 2*micros.Second {
					t.Errorf("%s counts as launched %v ago", id, age.Duration())
				}
				if f.IsOverdue(m, now) {
					t.Errorf("%s counts as overdue", id)
				}
			}
			if intent.At < micros.Wall()-2*micros.Second {
				t.Error("the next leader counts from the intent")
			}
		})
	}
}
