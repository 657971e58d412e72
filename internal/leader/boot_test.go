package leader

import (
	"fmt"
	"testing"

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
		came, never   float64 // late ones before
		newer         int     // rented 20 s later, and up; less than 0: and late
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
		l.types["m4"].BootTimeS = 20
		l.removeMachine(l.machines["i-1"])
		now := l.startedAt + 1000*s
		l.bootOutcomes = bootOutcomes{c.came, c.never}
		add := func(i int, age micros.Micros, up bool) *machine {
			m := l.addMachine(fmt.Sprintf("i-1%02d", i), &launchIntent{id: "r-5", Type: "m4", Zone: "a", Answered: true}, now)
			m.instance.launchedAt, m.instance.running, m.heartbeat.receivedAt, m.lease.renewedAt = now-age, up, now, now
			if up {
				m.instance.list = 0
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
		m := l.machines["i-109"]
		probes := 0
		for _, o := range l.sorted {
			if o.instance.terminating && o.instance.lateWithCohort && o != m {
				probes++
			}
		}
		if want := c.age > 50*s && m.instance.lateWithCohort && !c.left; (probes == 1) != want {
			t.Errorf("%s: %d replaced to see whether others boot sooner", c.name, probes)
		}
		if got := l.isOverdue(m, now); got != c.overdue {
			t.Errorf("%s: overdue %v, want %v", c.name, got, c.overdue)
		}
		if m.instance.terminating != c.left {
			t.Errorf("%s: returned %v, want %v", c.name, m.instance.terminating, c.left)
		}
	}
}

// TestRentedLate has a booking answered right after it was made, or after an outage of the
// cloud: its machines' boot and the time that is paid for are counted from the answer.
func TestRentedLate(t *testing.T) {
	for _, waited := range []micros.Micros{0, 45 * micros.Second, 300 * micros.Second} {
		l, _ := newTestLeader(t)
		l.types["m4"].BootTimeS = 20
		b := &launchIntent{id: "r-5", Type: "m4", Zone: "a", Count: 2, At: micros.Wall() - waited}
		l.intents[b.id] = b
		l.recordLaunch(b, []string{"i-7", "i-8"})
		now := micros.Now() + micros.Second
		for _, id := range []string{"i-7", "i-8"} {
			m := l.machines[id]
			if age := now - m.instance.launchedAt; age > 2*micros.Second {
				t.Errorf("answered after %v: %s counts as rented for %v", waited.Duration(), id, age.Duration())
			}
			if l.isOverdue(m, now) {
				t.Errorf("answered after %v: %s is taken for late", waited.Duration(), id)
			}
		}
		if b.At < micros.Wall()-2*micros.Second {
			t.Errorf("answered after %v: the next leader counts from the booking", waited.Duration())
		}
	}
}
