package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// TestBoots has machines come up late or never. One that is late alone is replaced, and
// returned in the end; when most are late there is no second fleet beside the first.
func TestBoots(t *testing.T) {
	const s = micros.Second
	cases := []struct {
		name          string
		up            int // of ten rented together
		age           micros.Micros
		came, never   int // late ones before
		newer         int // rented 20 s later, and up; less than 0: and late
		overdue, left bool
	}{
		{"in time", 0, 30 * s, 0, 0, 0, false, false},
		{"late alone", 9, 40 * s, 0, 0, 0, true, false},
		{"late with most", 2, 40 * s, 0, 0, 0, false, false},
		{"late with most for long", 2, 85 * s, 0, 0, 0, false, false},
		{"late with most, and so are newer ones", 2, 60 * s, 0, 0, -3, false, false},
		{"late with most for too long", 2, 95 * s, 0, 0, 0, false, true},
		{"late with most, but newer ones are up", 2, 60 * s, 0, 0, 9, true, false},
		{"late alone, where late ones came", 9, 60 * s, 1, 0, 0, true, false},
		{"late alone, where they never did", 9, 60 * s, 0, 2, 0, true, true},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		l.scaler.Type("m4").BootTimeS = 20
		l.fleet.Remove(l.fleet.Machines["i-1"])
		now := l.startedAt + 1000*s
		l.fleet.AddIntent("r-5", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
		for range c.came {
			late := l.fleet.Add("i-099", l.fleet.Intent("r-5"), now)
			late.Instance.LaunchedAt = now - 100*s
			l.fleet.RecordBoot(late, now)
			l.fleet.Remove(late)
		}
		for range c.never {
			l.fleet.RecordStuckBoot()
		}
		add := func(i int, age micros.Micros, up bool) *state.Machine {
			m := l.fleet.Add(fmt.Sprintf("i-1%02d", i), l.fleet.Intent("r-5"), now)
			m.Instance.LaunchedAt, m.Instance.Running, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-age, up, now, now
			if up {
				m.Instance.List = 0
			}
			return m
		}
		for i := range 10 {
			add(i, c.age, i < c.up)
		}
		for i := range max(c.newer, -c.newer) {
			add(10+i, c.age-20*s, c.newer > 0)
		}
		l.superviseMachines(now)
		m := l.fleet.Machines["i-109"]
		probes := 0
		for _, o := range l.fleet.Sorted {
			if o.Instance.Terminating && o.Instance.LateWithCohort && o != m {
				probes++
			}
		}
		if want := c.age > 50*s && m.Instance.LateWithCohort && !c.left; (probes == 1) != want {
			t.Errorf("%s: %d replaced to see whether others boot sooner", c.name, probes)
		}
		if got := l.fleet.IsOverdue(m, now); got != c.overdue {
			t.Errorf("%s: overdue %v, want %v", c.name, got, c.overdue)
		}
		if m.Instance.Terminating != c.left {
			t.Errorf("%s: returned %v, want %v", c.name, m.Instance.Terminating, c.left)
		}
	}
}

// TestRentedLate has a booking answered right after it was made, or after an outage of the
// cloud: its machines' boot and the time that is paid for are counted from the answer.
func TestRentedLate(t *testing.T) {
	for _, waited := range []micros.Micros{0, 45 * micros.Second, 300 * micros.Second} {
		l, _ := newTestLeader(t)
		l.scaler.Type("m4").BootTimeS = 20
		b := l.fleet.AddIntent("r-5", fleet.LaunchIntent{Type: "m4", Zone: "a", Count: 2, At: micros.Wall() - waited})
		l.fleet.RecordLaunch(b, []string{"i-7", "i-8"})
		now := micros.Now() + micros.Second
		for _, id := range []string{"i-7", "i-8"} {
			m := l.fleet.Machines[id]
			if age := now - m.Instance.LaunchedAt; age > 2*micros.Second {
				t.Errorf("answered after %v: %s counts as rented for %v", waited.Duration(), id, age.Duration())
			}
			if l.fleet.IsOverdue(m, now) {
				t.Errorf("answered after %v: %s is taken for late", waited.Duration(), id)
			}
		}
		if b.At < micros.Wall()-2*micros.Second {
			t.Errorf("answered after %v: the next leader counts from the booking", waited.Duration())
		}
	}
}
