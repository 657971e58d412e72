package leader

import "caperlatch/internal/micros"

// Machines that come up late. Most are up within one and a half times the catalog's
// time. One that is not costs as long as it is waited for; one that is given up costs
// what a new one takes to boot, and may have come the next second. So it depends on
// what late machines lately did, and on whether this one is late alone.
const (
	lateAfter  = 1.6 // times the catalog's time: no longer counted on
	stuckAfter = 2   // returned, where late machines don't come
	stuckAtAll = 4   // returned, where they do
	withinOf   = 15 * micros.Second
)

// boots counts late machines by how they ended. Old ones count for less and less.
type boots struct{ came, never float64 }

func (b *boots) add(came bool) {
	b.came, b.never = 0.9*b.came, 0.9*b.never
	if came {
		b.came++
	} else {
		b.never++
	}
}

// come tells whether a late machine is as likely to come as not.
func (b *boots) come() bool { return b.came >= b.never }

func (l *Leader) bootTime(m *machine) micros.Micros {
	if t := l.types[m.kind.Type]; t != nil {
		return micros.FromSeconds(t.BootTimeS)
	}
	return 30 * micros.Second
}

func times(m micros.Micros, n float64) micros.Micros {
	return micros.FromSeconds(n * m.Seconds())
}

// late tells whether a machine takes longer to come up than most do.
func (l *Leader) late(m *machine, now micros.Micros) bool {
	return !m.up && now-m.rentedAt > times(l.bootTime(m), lateAfter)+2*micros.Second
}

// overdue tells whether a machine is late, or is silent beyond its lease. It is no
// longer counted on, though it may still come: another is rented for it. Not so when
// most that were rented with it or after are late as well: the cloud is slow then, and
// a second fleet would be as late, and paid for beside the first.
func (l *Leader) overdue(m *machine, now micros.Micros) bool {
	return m.expired != 0 || l.late(m, now) && !m.withMost
}

// bootLimit is when a machine that has not come up counts as stuck.
func (l *Leader) bootLimit(m *machine) micros.Micros {
	n := float64(stuckAfter)
	if m.withMost || l.lateBoots.come() {
		n = stuckAtAll
	}
	return times(l.bootTime(m), n) + 10*micros.Second
}

// watchBoots finds the machines that are late together: a machine is, if of those that
// were rented with it, and should be up, most are not, and those rented later, which tell
// how the cloud is now, did no better.
func (l *Leader) watchBoots(now micros.Micros) {
	var with, after count
	next, later := len(l.order)-1, len(l.order)-1 // names are in the order of creation
	for i := len(l.order) - 1; i >= 0; i-- {
		m := l.order[i]
		m.withMost = false
		if m.up || m.leaving {
			continue
		}
		for ; next >= 0 && l.order[next].rentedAt >= m.rentedAt-withinOf; next-- {
			with.add(l.order[next], l.late(l.order[next], now))
		}
		for ; later >= 0 && l.order[later].rentedAt > m.rentedAt+withinOf; later-- {
			after.add(l.order[later], l.late(l.order[later], now))
		}
		if after.up+after.late >= 3 {
			m.withMost = after.late > after.up
		} else {
			m.withMost = with.late >= 3 && with.late > with.up
		}
	}
}

// count is how many machines are up and how many late.
type count struct{ up, late int }

func (c *count) add(m *machine, late bool) {
	switch {
	case m.leaving:
	case m.up:
		c.up++
	case late:
		c.late++
	}
}

// probeBoots returns a few of the machines that are late together, so that new ones in
// their place show whether the cloud is still slow. Nothing else would, where the fleet is
// at its limit: all would be waited for long after a new one came up at once.
func (l *Leader) probeBoots(now micros.Micros) {
	var late []*machine
	for _, m := range l.order {
		boot := l.bootTime(m)
		if !m.up && !m.leaving && now-m.rentedAt < boot/2 {
			return // the last ones are still on their way
		}
		if m.withMost && now-m.rentedAt > times(boot, stuckAfter)+10*micros.Second {
			late = append(late, m)
		}
	}
	for _, m := range late[:(len(late)+probePart-1)/probePart] {
		l.giveUp(m, "to see whether another boots sooner")
	}
}

// probePart is which part of the late machines is replaced to see.
const probePart = 10

// booted notes that a machine came up.
func (l *Leader) booted(m *machine, now micros.Micros) {
	if l.late(m, now) {
		l.lateBoots.add(true)
	}
}
