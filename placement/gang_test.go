package placement

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// TestPlaceGang checks the placement of gangs: on one machine if one has room, otherwise on the fewest of the
// machines whose heartbeats come next, within the job's zone constraints; or not at all.
func TestPlaceGang(t *testing.T) {
	s := micros.Second
	withoutImage := func(id string, free int64) Machine { return machine(id, "z", free) }
	withImage := func(id string, free int64) Machine {
		return with(withoutImage(id, free), func(m *Machine) { m.Images = m.Images.With(70) })
	}
	late := func(id string, free int64, delay micros.Micros) Machine {
		return with(withoutImage(id, free), func(m *Machine) { m.CommandDelay = delay })
	}
	other := job("k", 2, func(j *Job) { j.Priority = 2 })
	for _, c := range []struct {
		name     string
		machines []Machine
		jobs     []*Job
		team     *Team
		want     []string
	}{
		{"one machine rather than several", []Machine{withoutImage("a", 2), withoutImage("b", 2), withoutImage("c", 4)}, []*Job{gang(4, nil)}, nil, []string{"g@c*4"}},
		{"the machine with the next heartbeat", []Machine{late("a", 4, 3*s), late("b", 4, s)}, []*Job{gang(4, nil)}, nil, []string{"g@b*4"}},
		{"several with heartbeats soon rather than one with a late heartbeat", []Machine{late("a", 2, 0), late("b", 2, s), late("c", 4, 8*s)},
			[]*Job{gang(4, nil)}, nil, []string{"g@a*2", "g@b*2"}},
		{"the fewest of those with heartbeats soon", []Machine{withoutImage("a", 1), withoutImage("b", 1), withoutImage("c", 2), withoutImage("d", 3)},
			[]*Job{gang(5, nil)}, nil, []string{"g@d*3", "g@c*2"}},
		{"machines that have the image", []Machine{withoutImage("a", 2), withImage("b", 2), withoutImage("c", 2), withImage("d", 2)},
			[]*Job{gang(4, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"g@b*2", "g@d*2"}},
		{"one machine without the image, as two machines of which one has it start no sooner", []Machine{withImage("a", 2), withoutImage("b", 4)},
			[]*Job{gang(4, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"g@b*4"}},
		{"start later than MaxStartDelay: not placed", []Machine{late("a", 4, 3*s)}, []*Job{gang(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, nil},
		{"start within MaxStartDelay: placed", []Machine{late("a", 4, 3*s)}, []*Job{gang(4, func(j *Job) { j.MaxStartDelay = 3 * s })}, nil, []string{"g@a*4"}},
		{"no room for one task", []Machine{withoutImage("a", 2), withoutImage("b", 1)}, []*Job{gang(4, nil)}, nil, nil},
		{"room that the gang cannot use goes to other jobs", []Machine{withoutImage("a", 2), withoutImage("b", 1)}, []*Job{gang(4, nil), other}, nil, []string{"k@b*1", "k@a*1"}},
		{"single zone: the only one with room", []Machine{machine("a", "y", 3), machine("b", "z", 2), machine("c", "z", 2)},
			[]*Job{gang(4, func(j *Job) { j.SingleZone = true })}, nil, []string{"g@b*2", "g@c*2"}},
		{"single zone: none has room", []Machine{machine("a", "y", 3), machine("b", "z", 3)},
			[]*Job{gang(4, func(j *Job) { j.SingleZone = true })}, nil, nil},
		{"single zone: that of the running tasks", []Machine{machine("a", "y", 3), machine("b", "z", 3)},
			[]*Job{gang(1, func(j *Job) { j.SingleZone, j.TotalTasks, j.TasksPerZone = true, 4, map[string]int{"z": 3} })}, nil, []string{"g@b*1"}},
		{"spread over zones: at most 2 of 4 in a zone", []Machine{machine("a", "y", 4), machine("b", "z", 2)},
			[]*Job{gang(4, func(j *Job) { j.SpreadZones = true })}, nil, []string{"g@a*2", "g@b*2"}},
		{"spread over zones: only one zone has room", []Machine{machine("a", "y", 4)}, []*Job{gang(4, func(j *Job) { j.SpreadZones = true })}, nil, nil},
		{"team quota allows only 3 of 4 tasks", []Machine{withoutImage("a", 9)}, []*Job{gang(4, nil)}, &Team{Used: cpus(2), Limit: cpus(5)}, nil},
		{"machine reserved for the gang", []Machine{with(withoutImage("a", 4), func(m *Machine) { m.ReservedFor = gang(4, nil) })}, []*Job{gang(4, nil)}, nil, []string{"g@a*4"}},
		{"machine reserved for another job", []Machine{with(withoutImage("a", 4), func(m *Machine) { m.ReservedFor = job("x", 4, nil) })}, []*Job{gang(4, nil)}, nil, nil},
		{"gang pool: closed to other jobs", []Machine{with(withoutImage("a", 4), func(m *Machine) { m.GangsOnly = true })}, []*Job{gang(3, nil), other}, nil, []string{"g@a*3"}},
		{"gang pool: the next heartbeat decides", []Machine{with(late("a", 4, s/2), func(m *Machine) { m.GangsOnly = true })},
			[]*Job{gang(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, nil},
		{"gang pool: placed on the heartbeat", []Machine{with(withoutImage("a", 4), func(m *Machine) { m.GangsOnly = true })},
			[]*Job{gang(4, func(j *Job) { j.MaxStartDelay = 2 * s })}, nil, []string{"g@a*4"}},
		{"machine reserved for a job of lower precedence", []Machine{with(withoutImage("a", 2), func(m *Machine) { m.ReservedFor = gang(4, nil) })}, []*Job{job("k", 2, func(j *Job) { j.Priority = 2 })}, nil, []string{"k@a*2"}},
	} {
		var got []string
		for _, x := range Plan(c.machines, c.jobs, map[string]*Team{"t": c.team}) {
			got = append(got, fmt.Sprintf("%s@%s*%d", c.jobs[x.Job].ID, c.machines[x.Machine].ID, x.Count))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: starts %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFillGang checks when a machine that sends a heartbeat starts a gang of four tasks. Its room and its image pull
// time, 0 or 5 s, vary.
func TestFillGang(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name   string
		free   int64
		edit   func(m *Machine, j *Job)
		starts int
	}{
		{"room for 3 of 4 tasks", 3, nil, 0},
		{"room for all", 4, nil, 4},
		{"room for more than all", 9, nil, 4},
		{"another machine starts it sooner", 4, func(_ *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart = 5, 4*s }, 0},
		{"no other machine starts it sooner", 4, func(_ *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart = 5, 6*s }, 4},
		{"machine has the image", 4, func(m *Machine, j *Job) { j.ImageSizeGB, j.EarliestStart, m.Images = 5, s, m.Images.With(70) }, 4},
		{"a task failed on the machine", 4, func(m *Machine, j *Job) { j.FailedOn = map[string]micros.Micros{m.ID: s} }, 0},
	} {
		m, j := machine("a", "z", c.free), gang(4, nil)
		if c.edit != nil {
			c.edit(&m, j)
		}
		n := 0
		for _, x := range Fill(&m, []*Job{j}, nil) {
			n += x.Count
		}
		if n != c.starts {
			t.Errorf("%s: %d tasks started, want %d", c.name, n, c.starts)
		}
	}
}

// TestEarliestGangStart checks the expected delay until the first heartbeat of the machines that could start a
// gang, with a heartbeat interval of 8 s.
func TestEarliestGangStart(t *testing.T) {
	const s = micros.Second
	withoutImage := func(id string) Machine { return machine(id, "z", 4) }
	withImage := func(id string) Machine {
		return with(withoutImage(id), func(m *Machine) { m.Images = m.Images.With(70) })
	}
	for _, c := range []struct {
		name     string
		machines []Machine
		want     micros.Micros
	}{
		{"no machine has room", []Machine{machine("a", "z", 3)}, 0},
		{"one machine", []Machine{withImage("a")}, 4 * s},
		{"three machines", []Machine{withImage("a"), withImage("b"), withImage("c")}, 2 * s},
		{"waiting for the machine that has the image is faster", []Machine{withImage("a"), withoutImage("b")}, 4 * s},
		{"many without the image, of which the first heartbeat comes much sooner", []Machine{withImage("a"), withoutImage("b"), withoutImage("c"), withoutImage("d"), withoutImage("e"), withoutImage("f"), withoutImage("g")}, 3 * s},
	} {
		if got := EarliestGangStart(c.machines, gang(4, func(j *Job) { j.ImageSizeGB = 2 }), 8*s); got != c.want {
			t.Errorf("%s: earliest start %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
}

// TestPickReservation checks which machines are reserved for a gang until they have enough room for it.
func TestPickReservation(t *testing.T) {
	s := micros.Second
	busy := func(id, zone string, free int64, left ...micros.Micros) Machine {
		return with(machine(id, zone, free), func(m *Machine) {
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
		{"machines that free room soonest", []Machine{busy("a", "z", 0, 9*s, 9*s, 9*s, 9*s), busy("b", "z", 2, s, s)}, gang(4, nil), []int{1}},
		{"the fewest machines", []Machine{busy("a", "z", 1, s), busy("b", "z", 1, s), busy("c", "z", 0, s, s, s, s)}, gang(4, nil), []int{2}},
		{"several machines", []Machine{busy("a", "z", 1, s), busy("b", "z", 1, s)}, gang(4, nil), []int{0, 1}},
		{"single zone", []Machine{busy("a", "y", 1, s), busy("b", "z", 1, s), busy("c", "z", 0, 5*s, 5*s)}, gang(4, func(j *Job) { j.SingleZone = true }), []int{1, 2}},
		{"no machine frees enough room in time", []Machine{busy("a", "z", 3, 100*s)}, gang(4, nil), nil},
	} {
		if got := PickReservation(c.machines, c.job, nil, 16*s); !slices.Equal(got, c.want) {
			t.Errorf("%s: reserved machines %v, want %v", c.name, got, c.want)
		}
	}
}
