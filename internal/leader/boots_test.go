package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
)

// TestLateBoots checks what happens to machines that boot late or never. If only a few machines are late, they count as
// overdue: they are replaced, and are terminated in the end. If most machines are late and no newer machines run, only
// one late machine is replaced before the boot timeout, to test whether others boot sooner. Replacements for all of
// them would be a second fleet beside the first. The test uses superviseMachines, which also terminates machines that
// did not boot in time.
func TestLateBoots(t *testing.T) {
	const s = micros.Second
	cases := []struct {
		name                string
		running             int           // running machines among ten that were launched together
		age                 micros.Micros // time since the launch of the ten
		booted, failed      int           // earlier machines that were late, by the outcome of their boot
		newer               int           // machines launched 20 s later, all running, or all late if negative
		overdue, terminated bool
	}{
		{"in time", 0, 30 * s, 0, 0, 0, false, false},
		{"the only late machine", 9, 40 * s, 0, 0, 0, true, false},
		{"most are late", 2, 40 * s, 0, 0, 0, false, false},
		{"most are late, just before the boot timeout", 2, 85 * s, 0, 0, 0, false, false},
		{"most are late, and so are newer machines", 2, 60 * s, 0, 0, -3, false, false},
		{"most are late, after the boot timeout", 2, 95 * s, 0, 0, 0, false, true},
		{"most are late, but newer machines are running", 2, 60 * s, 0, 0, 9, true, false},
		{"the only late machine, and earlier late boots succeeded", 9, 60 * s, 1, 0, 0, true, false},
		{"the only late machine, and earlier late boots failed", 9, 60 * s, 0, 2, 0, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.scaler.Type("m4").BootTimeS = 20
			l.fleet.Remove(l.fleet.Machines["i-1"])
			now := l.startedAt + 1000*s
			l.fleet.AddIntent("r-5", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
			for range c.booted {
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
			replaced := 0
			for _, other := range l.fleet.Sorted {
				if other.Instance.Terminating && other.Instance.LateWithCohort && other != m {
					replaced++
				}
			}
			if want := c.age > 50*s && m.Instance.LateWithCohort && !c.terminated; (replaced == 1) != want {
				t.Errorf("%d machines replaced to test whether others boot sooner, want exactly one: %v", replaced, want)
			}
			if got := l.fleet.IsOverdue(m, now); got != c.overdue {
				t.Errorf("%s overdue: %v, want %v", m.ID, got, c.overdue)
			}
			if m.Instance.Terminating != c.terminated {
				t.Errorf("%s terminated: %v, want %v", m.ID, m.Instance.Terminating, c.terminated)
			}
		})
	}
}
