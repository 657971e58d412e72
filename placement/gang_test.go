package placement

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// at changes a machine.
func at(m Machine, edit func(*Machine)) Machine {
	edit(&m)
	return m
}

// whole is a job whose tasks start all or not at all.
func whole(tasks int, edit func(*Job)) *Job {
	return job("g", tasks, func(j *Job) {
		j.Gang = true
		if edit != nil {
			edit(j)
		}
	})
}

// TestWhole places whole jobs: on one machine if one has room, else on the fewest of
// those that report soonest, where their zones allow, or not at all.
func TestWhole(t *testing.T) {
	s := micros.Second
	cold := func(id string, free int64) Machine { return machine(id, "z", free) }
	warm := func(id string, free int64) Machine {
		return at(cold(id, free), func(m *Machine) { m.Images = m.Images.With(70) })
	}
	late := func(id string, free int64, delay micros.Micros) Machine {
		return at(cold(id, free), func(m *Machine) { m.CommandDelay = delay })
	}
	other := job("k", 2, func(j *Job) { j.Priority = 2 })
	for _, c := range []struct {
		name     string
		machines []Machine
		jobs     []*Job
		team     *Team
		want     []string
	}{
		{"one machine before several", []Machine{cold("a", 2), cold("b", 2), cold("c", 4)}, []*Job{whole(4, nil)}, nil, []string{"g@c*4"}},
		{"the one that reports next", []Machine{late("a", 4, 3*s), late("b", 4, s)}, []*Job{whole(4, nil)}, nil, []string{"g@b*4"}},
		{"several that report soon before one that reports late", []Machine{late("a", 2, 0), late("b", 2, s), late("c", 4, 8*s)},
			[]*Job{whole(4, nil)}, nil, []string{"g@a*2", "g@b*2"}},
		{"the fewest of those that report soon", []Machine{cold("a", 1), cold("b", 1), cold("c", 2), cold("d", 3)},
			[]*Job{whole(5, nil)}, nil, []string{"g@d*3", "g@c*2"}},
		{"warm ones together", []Machine{cold("a", 2), warm("b", 2), cold("c", 2), warm("d", 2)},
			[]*Job{whole(4, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"g@b*2", "g@d*2"}},
		{"one cold machine, as one warm and one cold begin no sooner", []Machine{warm("a", 2), cold("b", 4)},
			[]*Job{whole(4, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"g@b*4"}},
		{"places that start it late, when it can wait for others", []Machine{late("a", 4, 3*s)}, []*Job{whole(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, nil},
		{"and when it has waited", []Machine{late("a", 4, 3*s)}, []*Job{whole(4, func(j *Job) { j.MaxStartDelay = 3 * s })}, nil, []string{"g@a*4"}},
		{"no room for one of its tasks", []Machine{cold("a", 2), cold("b", 1)}, []*Job{whole(4, nil)}, nil, nil},
		{"what it can't use is for others", []Machine{cold("a", 2), cold("b", 1)}, []*Job{whole(4, nil), other}, nil, []string{"k@b*1", "k@a*1"}},
		{"together, in the zone that has room", []Machine{machine("a", "y", 3), machine("b", "z", 2), machine("c", "z", 2)},
			[]*Job{whole(4, func(j *Job) { j.SingleZone = true })}, nil, []string{"g@b*2", "g@c*2"}},
		{"together, and no zone has room", []Machine{machine("a", "y", 3), machine("b", "z", 3)},
			[]*Job{whole(4, func(j *Job) { j.SingleZone = true })}, nil, nil},
		{"a replacement where the others are", []Machine{machine("a", "y", 3), machine("b", "z", 3)},
			[]*Job{whole(1, func(j *Job) { j.SingleZone, j.TotalTasks, j.TasksPerZone = true, 4, map[string]int{"z": 3} })}, nil, []string{"g@b*1"}},
		{"scattered: at most 2 of 4 in a zone", []Machine{machine("a", "y", 4), machine("b", "z", 2)},
			[]*Job{whole(4, func(j *Job) { j.SpreadZones = true })}, nil, []string{"g@a*2", "g@b*2"}},
		{"scattered, with one zone", []Machine{machine("a", "y", 4)}, []*Job{whole(4, func(j *Job) { j.SpreadZones = true })}, nil, nil},
		{"its team has room for a part", []Machine{cold("a", 9)}, []*Job{whole(4, nil)}, &Team{Used: cpus(2), Limit: cpus(5)}, nil},
		{"room that is gathered for it", []Machine{at(cold("a", 4), func(m *Machine) { m.ReservedFor = whole(4, nil) })}, []*Job{whole(4, nil)}, nil, []string{"g@a*4"}},
		{"room that is gathered for another", []Machine{at(cold("a", 4), func(m *Machine) { m.ReservedFor = job("x", 4, nil) })}, []*Job{whole(4, nil)}, nil, nil},
		{"a machine for whole jobs only", []Machine{at(cold("a", 4), func(m *Machine) { m.GangsOnly = true })}, []*Job{whole(3, nil), other}, nil, []string{"g@a*3"}},
		{"several for whole jobs: the first that reports will do", []Machine{at(late("a", 4, s/2), func(m *Machine) { m.GangsOnly = true })},
			[]*Job{whole(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, nil},
		{"one of them has reported", []Machine{at(cold("a", 4), func(m *Machine) { m.GangsOnly = true })},
			[]*Job{whole(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, []string{"g@a*4"}},
		{"room that is gathered, for work that goes before", []Machine{at(cold("a", 2), func(m *Machine) { m.ReservedFor = whole(4, nil) })}, []*Job{job("k", 2, func(j *Job) { j.Priority = 2 })}, nil, []string{"k@a*2"}},
	} {
		var got []string
		for _, x := range Plan(c.machines, c.jobs, map[string]*Team{"t": c.team}) {
			got = append(got, fmt.Sprintf("%s@%s*%d", c.jobs[x.Job].ID, c.machines[x.Machine].ID, x.Count))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFillWhole has a machine report that could take a whole job, or a part of it, at once
// or with a fetch of 5 s.
func TestFillWhole(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name   string
		free   int64
		edit   func(m *Machine, j *Job)
		starts int
	}{
		{"room for a part", 3, nil, 0},
		{"room for all", 4, nil, 4},
		{"room for more", 9, nil, 4},
		{"another starts it sooner", 4, func(_ *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart = 5, 4*s }, 0},
		{"none does", 4, func(_ *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart = 5, 6*s }, 4},
		{"it has the image", 4, func(m *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart, m.Images = 5, s, m.Images.With(70) }, 4},
		{"a task of it failed there", 4, func(m *Machine, j *Job) { j.FailedOn = map[string]micros.Micros{m.ID: s} }, 0},
	} {
		m, j := machine("a", "z", c.free), whole(4, nil)
		if c.edit != nil {
			c.edit(&m, j)
		}
		n := 0
		for _, x := range Fill(&m, []*Job{j}, nil) {
			n += x.Count
		}
		if n != c.starts {
			t.Errorf("%s: %d start, want %d", c.name, n, c.starts)
		}
	}
}

// TestSoonestWhole tells when a whole job should start that the first machine takes that
// reports, of those that report once in 8 s.
func TestSoonestWhole(t *testing.T) {
	const s = micros.Second
	cold := func(id string) Machine { return machine(id, "z", 4) }
	warm := func(id string) Machine {
		return at(cold(id), func(m *Machine) { m.Images = m.Images.With(70) })
	}
	for _, c := range []struct {
		name     string
		machines []Machine
		want     micros.Micros
	}{
		{"none has room", []Machine{machine("a", "z", 3)}, 0},
		{"one", []Machine{warm("a")}, 4 * s},
		{"three", []Machine{warm("a"), warm("b"), warm("c")}, 2 * s},
		{"a warm one before a cold one", []Machine{warm("a"), cold("b")}, 4 * s},
		{"cold ones, of which one reports so much sooner", []Machine{warm("a"), cold("b"), cold("c"), cold("d"), cold("e"), cold("f"), cold("g")}, 3 * s},
	} {
		if got := EarliestGangStart(c.machines, whole(4, func(j *Job) { j.ImageSizeGB = 2 }), 8*s); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPreemptOnOne picks what to stop for a whole job on one machine.
func TestPreemptOnOne(t *testing.T) {
	const s = micros.Second
	full := func(id string, lost ...micros.Micros) Machine {
		return at(machine(id, "z", 1), func(m *Machine) {
			for i, l := range lost {
				m.Victims = append(m.Victims, Victim{JobID: id, Task: i, Need: cpus(1), LostWork: l})
			}
		})
	}
	for _, c := range []struct {
		name     string
		machines []Machine
		edit     func(j *Job)
		stops    []string
		machine  int
	}{
		{"where least is lost", []Machine{full("x", 3*s, 3*s), full("y", s, 2*s, s)}, nil, []string{"y/0", "y/2"}, 1},
		{"not on two", []Machine{full("x", s), full("y", s)}, nil, nil, -1},
		{"a fetch counts as lost work", []Machine{full("x", s, s), at(full("y", 3*s, 3*s), func(m *Machine) { m.Images = m.Images.With(70) })},
			func(j *Job) { j.ImageSizeGB = 9 }, []string{"y/0", "y/1"}, 1},
		{"not beside a gang", []Machine{at(full("x", s, s), func(m *Machine) { m.Victims = append(m.Victims, Victim{JobID: "v", Gang: true}) })}, nil, nil, -1},
		{"not where a task of it failed", []Machine{full("x", s, s)}, func(j *Job) { j.FailedOn = map[string]micros.Micros{"x": s} }, nil, -1},
		{"nothing of its own priority", []Machine{full("x", s, s)}, func(j *Job) { j.Priority = 0 }, nil, -1},
		{"not where its other tasks keep it out", []Machine{full("x", s, s)},
			func(j *Job) { j.SingleZone, j.TasksPerZone = true, map[string]int{"y": 1} }, nil, -1},
	} {
		j := whole(3, func(j *Job) { j.Priority = 2 })
		if c.edit != nil {
			c.edit(j)
		}
		var stops []string
		got, machine := PreemptOnSingleMachine(c.machines, j, nil)
		for _, x := range got {
			stops = append(stops, fmt.Sprintf("%s/%d", x.Victim.JobID, x.Victim.Task))
		}
		slices.Sort(stops)
		if !slices.Equal(stops, c.stops) || machine != c.machine {
			t.Errorf("%s: stops %v on %d, want %v on %d", c.name, stops, machine, c.stops, c.machine)
		}
	}
	if _, machine := PreemptOnSingleMachine([]Machine{full("x", s, s)}, whole(3, func(j *Job) { j.Priority = 2 }), &Team{Limit: cpus(2)}); machine != -1 {
		t.Error("it is over its team's limit")
	}
}

// TestGather picks machines whose room is to be gathered for a whole job until it is enough.
func TestGather(t *testing.T) {
	s := micros.Second
	busy := func(id, zone string, free int64, left ...micros.Micros) Machine {
		return at(machine(id, zone, free), func(m *Machine) {
			for _, l := range left {
				m.Completions = append(m.Completions, Completion{l, cpus(1)})
			}
		})
	}
	for _, c := range []struct {
		name     string
		machines []Machine
		job      *Job
		want     []int
	}{
		{"where it comes free soonest", []Machine{busy("a", "z", 0, 9*s, 9*s, 9*s, 9*s), busy("b", "z", 2, s, s)}, whole(4, nil), []int{1}},
		{"on the fewest", []Machine{busy("a", "z", 1, s), busy("b", "z", 1, s), busy("c", "z", 0, s, s, s, s)}, whole(4, nil), []int{2}},
		{"on several", []Machine{busy("a", "z", 1, s), busy("b", "z", 1, s)}, whole(4, nil), []int{0, 1}},
		{"in one zone", []Machine{busy("a", "y", 1, s), busy("b", "z", 1, s), busy("c", "z", 0, 5*s, 5*s)}, whole(4, func(j *Job) { j.SingleZone = true }), []int{1, 2}},
		{"nowhere in time", []Machine{busy("a", "z", 3, 100*s)}, whole(4, nil), nil},
	} {
		if got := PickReservation(c.machines, c.job, nil, 16*s); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPreemptWhole has pressing whole jobs take room from others, and gangs be stopped:
// all that is needed or nothing, where least is lost, and a gang's loss is that of all.
func TestPreemptWhole(t *testing.T) {
	s := micros.Second
	victim := func(job string, task int, lost micros.Micros) Victim {
		return Victim{JobID: job, Task: task, Need: cpus(1), LostWork: lost}
	}
	gangOf := func(job string, task int, lost micros.Micros) Victim {
		v := victim(job, task, lost)
		v.Gang = true
		return v
	}
	full := func(id, zone string, vs ...Victim) Machine {
		return at(machine(id, zone, 0), func(m *Machine) { m.Victims = vs })
	}
	for _, c := range []struct {
		name       string
		machines   []Machine
		job        *Job
		stops      []string
		gatherings []int
	}{
		{"all of it", []Machine{full("a", "z", victim("x", 0, s), victim("x", 1, s)), full("b", "z", victim("y", 0, s))}, whole(3, nil),
			[]string{"x/0", "x/1", "y/0"}, []int{0, 1}},
		{"not enough to stop: nothing is", []Machine{full("a", "z", victim("x", 0, s), victim("x", 1, s))}, whole(3, nil), nil, nil},
		{"in the zone where less is lost", []Machine{full("a", "y", victim("x", 0, 3*s), victim("x", 1, 3*s)), full("b", "z", victim("y", 0, s), victim("y", 1, s))},
			whole(2, func(j *Job) { j.SingleZone = true }), []string{"y/0", "y/1"}, []int{1}},
		{"with room that is there", []Machine{machine("a", "z", 1), full("b", "z", victim("y", 0, s), victim("y", 1, 2*s))}, whole(2, nil), []string{"y/0"}, []int{0, 1}},
		{"a gang is stopped whole", []Machine{full("a", "z", gangOf("x", 0, 4*s)), full("b", "z", gangOf("x", 1, 4*s))}, job("k", 1, nil), []string{"x/0", "x/1"}, nil},
		{"a single task loses less than a gang", []Machine{full("a", "z", gangOf("x", 0, 4*s), victim("y", 0, 3*s)), full("b", "z", gangOf("x", 1, 4*s))}, job("k", 1, nil), []string{"y/0"}, nil},
		{"a gang on one machine loses what it loses once", []Machine{full("a", "z", gangOf("x", 0, 4*s), gangOf("x", 1, 4*s)), full("b", "z", victim("y", 0, 3*s)), full("c", "z", victim("y", 1, 3*s))},
			job("k", 2, nil), []string{"y/0", "y/1"}, nil},
		{"what a gang frees elsewhere serves as well", []Machine{full("a", "z", gangOf("x", 0, s)), full("b", "z", gangOf("x", 1, s), victim("y", 0, 9*s))}, job("k", 2, nil), []string{"x/0", "x/1"}, nil},
	} {
		c.job.Priority = 2
		var stops []string
		var machines []int
		got, gatherings := Preempt(c.machines, []*Job{c.job}, nil, 8)
		for _, x := range got {
			stops = append(stops, fmt.Sprintf("%s/%d", x.Victim.JobID, x.Victim.Task))
		}
		for _, k := range gatherings {
			machines = append(machines, k.Machine)
		}
		slices.Sort(stops)
		if !slices.Equal(stops, c.stops) || !slices.Equal(machines, c.gatherings) {
			t.Errorf("%s: stops %v and gathers %v, want %v and %v", c.name, stops, machines, c.stops, c.gatherings)
		}
	}
}
