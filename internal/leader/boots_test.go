package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
)

// TestLateBoots has machines come up late or never. One that is late alone is replaced, and terminated in the
// end; when most are late there is no second fleet beside the first. It goes through the leader's check of all
// machines, which also terminates those that did not boot.
func TestLateBoots(t *testing.T) {
	const s = micros.Second
	cases := []struct {
		name                string
		running             int // of ten launched together
		age                 micros.Micros
		cameUp, failed      int // late ones before
		newer               int // launched 20 s later, and running; less than 0: and late
		overdue, terminated bool
	}{
		{"in time", 0, 30 * s, 0, 0, 0, false, false},
		{"late alone", 9, 40 * s, 0, 0, 0, true, false},
		{"late with most", 2, 40 * s, 0, 0, 0, false, false},
		{"late with most for long", 2, 85 * s, 0, 0, 0, false, false},
		{"late with most, and so are newer ones", 2, 60 * s, 0, 0, -3, false, false},
		{"late with most for too long", 2, 95 * s, 0, 0, 0, false, true},
		{"late with most, but newer ones are running", 2, 60 * s, 0, 0, 9, true, false},
		{"late alone, where late ones came up", 9, 60 * s, 1, 0, 0, true, false},
		{"late alone, where they never did", 9, 60 * s, 0, 2, 0, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.scaler.Type("m4").BootTimeS = 20
			l.fleet.Remove(l.fleet.Machines["i-1"])
			now := l.startedAt + 1000*s
			l.fleet.AddIntent("r-5", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
			for range c.cameUp {
				late := l.fleet.Add("i-099", l.fleet.Intent("r-5"), now)
				late.Instance.LaunchedAt = now - 100*s
				l.fleet.RecordBoot(late, now)
				l.fleet.Remove(late)
			}
			for range c.failed {
				l.fleet.RecordStuckBoot()
			}
			add := func(i int, age micros.Micros, running bool) {
				m := l.fleet.Add(fmt.Sprintf("i-1%02d", i), l.fleet.Intent("r-5"), now)
				m.Instance.LaunchedAt, m.Instance.Running, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-age, running, now, now
			}
			for i := range 10 {
				add(i, c.age, i < c.running)
			}
			for i := range max(c.newer, -c.newer) {
				add(10+i, c.age-20*s, c.newer > 0)
			}
			l.superviseMachines(now)
			m := l.fleet.Machines["i-109"]
			sample := 0
			for _, o := range l.fleet.Sorted {
				if o.Instance.Terminating && o.Instance.LateWithCohort && o != m {
					sample++
				}
			}
			if want := c.age > 50*s && m.Instance.LateWithCohort && !c.terminated; (sample == 1) != want {
				t.Errorf("%d replaced to see whether others boot sooner", sample)
			}
			if got := l.fleet.IsOverdue(m, now); got != c.overdue {
				t.Errorf("overdue %v, want %v", got, c.overdue)
			}
			if m.Instance.Terminating != c.terminated {
				t.Errorf("terminated %v, want %v", m.Instance.Terminating, c.terminated)
			}
		})
	}
}
