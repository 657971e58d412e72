package placement

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// TestPreemptOnSingleMachine checks which tasks are preempted for a gang, and on which machine.
func TestPreemptOnSingleMachine(t *testing.T) {
	const s = micros.Second
	full := func(id string, lost ...micros.Micros) Machine {
		return with(machine(id, "z", 1), func(m *Machine) {
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
		{"machine with the least lost work", []Machine{full("x", 3*s, 3*s), full("y", s, 2*s, s)}, nil, []string{"y/0", "y/2"}, 1},
		{"room on two machines only", []Machine{full("x", s), full("y", s)}, nil, nil, -1},
		{"image pull counts as lost work", []Machine{full("x", s, s), with(full("y", 3*s, 3*s), func(m *Machine) { m.Images = m.Images.With(70) })},
			func(j *Job) { j.ImageSizeGB = 9 }, []string{"y/0", "y/1"}, 1},
		{"another gang runs on the machine", []Machine{with(full("x", s, s), func(m *Machine) { m.Victims = append(m.Victims, Victim{JobID: "v", Gang: true}) })}, nil, nil, -1},
		{"a task of the gang failed on the machine", []Machine{full("x", s, s)}, func(j *Job) { j.FailedOn = map[string]micros.Micros{"x": s} }, nil, -1},
		{"equal priority", []Machine{full("x", s, s)}, func(j *Job) { j.Priority = 0 }, nil, -1},
		{"single zone: bound to another zone", []Machine{full("x", s, s)},
			func(j *Job) { j.SingleZone, j.TasksPerZone = true, map[string]int{"y": 1} }, nil, -1},
	} {
		j := gang(3, func(j *Job) { j.Priority = 2 })
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
			t.Errorf("%s: preempted %v on machine %d, want %v on machine %d", c.name, stops, machine, c.stops, c.machine)
		}
	}
	if _, machine := PreemptOnSingleMachine([]Machine{full("x", s, s)}, gang(3, func(j *Job) { j.Priority = 2 }), &Team{Limit: cpus(2)}); machine != -1 {
		t.Errorf("preempted on machine %d beyond the team's quota, want no preemption", machine)
	}
}

// TestPreemptForGang checks preemption for gangs at risk and preemption of gangs: everything that is needed is
// preempted or nothing, the least work is lost, and the lost work of a gang is that of all its tasks.
func TestPreemptForGang(t *testing.T) {
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
		return with(machine(id, zone, 0), func(m *Machine) { m.Victims = vs })
	}
	for _, c := range []struct {
		name         string
		machines     []Machine
		job          *Job
		stops        []string
		reservations []int
	}{
		{"room for all tasks is freed", []Machine{full("a", "z", victim("x", 0, s), victim("x", 1, s)), full("b", "z", victim("y", 0, s))}, gang(3, nil),
			[]string{"x/0", "x/1", "y/0"}, []int{0, 1}},
		{"too little to preempt: nothing is preempted", []Machine{full("a", "z", victim("x", 0, s), victim("x", 1, s))}, gang(3, nil), nil, nil},
		{"single zone with the least lost work", []Machine{full("a", "y", victim("x", 0, 3*s), victim("x", 1, 3*s)), full("b", "z", victim("y", 0, s), victim("y", 1, s))},
			gang(2, func(j *Job) { j.SingleZone = true }), []string{"y/0", "y/1"}, []int{1}},
		{"free room is used as well", []Machine{machine("a", "z", 1), full("b", "z", victim("y", 0, s), victim("y", 1, 2*s))}, gang(2, nil), []string{"y/0"}, []int{0, 1}},
		{"all tasks of a gang stop", []Machine{full("a", "z", gangOf("x", 0, 4*s)), full("b", "z", gangOf("x", 1, 4*s))}, job("k", 1, nil), []string{"x/0", "x/1"}, nil},
		{"a single task is preempted rather than a gang", []Machine{full("a", "z", gangOf("x", 0, 4*s), victim("y", 0, 3*s)), full("b", "z", gangOf("x", 1, 4*s))}, job("k", 1, nil), []string{"y/0"}, nil},
		{"a gang's lost work counts once", []Machine{full("a", "z", gangOf("x", 0, 4*s), gangOf("x", 1, 4*s)), full("b", "z", victim("y", 0, 3*s)), full("c", "z", victim("y", 1, 3*s))},
			job("k", 2, nil), []string{"y/0", "y/1"}, nil},
		{"room that a gang frees elsewhere is used", []Machine{full("a", "z", gangOf("x", 0, s)), full("b", "z", gangOf("x", 1, s), victim("y", 0, 9*s))}, job("k", 2, nil), []string{"x/0", "x/1"}, nil},
	} {
		c.job.Priority = 2
		var stops []string
		var machines []int
		got, reservations := Preempt(c.machines, []*Job{c.job}, nil, 8)
		for _, x := range got {
			stops = append(stops, fmt.Sprintf("%s/%d", x.Victim.JobID, x.Victim.Task))
		}
		for _, k := range reservations {
			machines = append(machines, k.Machine)
		}
		slices.Sort(stops)
		if !slices.Equal(stops, c.stops) || !slices.Equal(machines, c.reservations) {
			t.Errorf("%s: preempted %v and reserved %v, want %v and %v", c.name, stops, machines, c.stops, c.reservations)
		}
	}
}
