package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"caperlatch/internal/micros"
)

// TestPlanAndPreempt checks which tasks Plan starts, and which tasks Preempt stops for those that found no room.
func TestPlanAndPreempt(t *testing.T) {
	cases := []struct {
		name     string
		machines []Machine
		jobs     []*Job
		team     *Team
		starts   []string // job@machine*count
		stops    []string // job/task
	}{
		{"bin packing: the fuller machine", []Machine{machine("a", "z", 8), machine("b", "z", 3)},
			[]*Job{job("j", 2, nil)}, nil, []string{"j@b*2"}, nil},
		{"image pull: the machine that has the image", []Machine{machine("a", "z", 4), with(machine("b", "z", 8), func(m *Machine) {
			m.Images = m.Images.With(70)
		})}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"j@b*1"}, nil},
		{"a job at risk does not wait for a late heartbeat", []Machine{with(machine("a", "z", 1), func(m *Machine) { m.CommandDelay = 8 * micros.Second })},
			[]*Job{job("j", 1, nil)}, nil, nil, nil},
		{"a job at risk waits if that saves a longer image pull", []Machine{with(machine("a", "z", 1), func(m *Machine) {
			m.CommandDelay, m.Images = 8*micros.Second, m.Images.With(70)
		})}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 9 })}, nil, []string{"j@a*1"}, nil},
		{"a job not at risk waits for a late heartbeat", []Machine{with(machine("a", "z", 1), func(m *Machine) { m.CommandDelay = 8 * micros.Second })},
			[]*Job{job("j", 1, func(j *Job) { j.AtRisk = false })}, nil, []string{"j@a*1"}, nil},
		{"higher priority first", []Machine{machine("a", "z", 1)},
			[]*Job{job("low", 1, nil), job("high", 1, func(j *Job) { j.Priority = 2 })}, nil, []string{"high@a*1"}, nil},
		{"guarantee before priority", []Machine{machine("a", "z", 1)},
			[]*Job{job("guaranteed", 1, func(j *Job) { j.WithinGuarantee = true }), job("high", 1, func(j *Job) { j.Priority = 2 })}, nil, []string{"guaranteed@a*1"}, nil},
		{"earliest start deadline first", []Machine{machine("a", "z", 1)},
			[]*Job{job("b", 1, func(j *Job) { j.StartDeadline = 5 }), job("c", 1, func(j *Job) { j.StartDeadline = 3 })}, nil, []string{"c@a*1"}, nil},
		{"team quota", []Machine{machine("a", "z", 10)},
			[]*Job{job("j", 9, nil)}, &Team{Used: cpus(2), Limit: cpus(5)}, []string{"j@a*3"}, nil},
		{"spot machines not allowed", []Machine{with(machine("a", "z", 4), func(m *Machine) { m.Spot = true }), machine("b", "z", 4)},
			[]*Job{job("j", 1, func(j *Job) { j.AllowSpot = false })}, nil, []string{"j@b*1"}, nil},
		{"instance types and zone", []Machine{machine("a", "z", 4), machine("b", "y", 4)},
			[]*Job{job("j", 1, func(j *Job) { j.Zone, j.InstanceTypes = "y", []string{"m"} }), job("k", 1, func(j *Job) { j.InstanceTypes = []string{"x"} })},
			nil, []string{"j@b*1"}, nil},
		{"single zone", []Machine{machine("a", "z", 2), machine("b", "y", 2)},
			[]*Job{job("j", 4, func(j *Job) { j.SingleZone = true })}, nil, []string{"j@a*2"}, nil},
		{"single zone: that of the running tasks", []Machine{machine("a", "z", 2), machine("b", "y", 2)},
			[]*Job{job("j", 4, func(j *Job) { j.SingleZone, j.TasksPerZone = true, map[string]int{"y": 1} })}, nil, []string{"j@b*2"}, nil},
		{"spread over zones: at most 3 of 5 in a zone", []Machine{machine("a", "z", 9), machine("b", "y", 1)},
			[]*Job{job("j", 5, func(j *Job) { j.SpreadZones = true })}, nil, []string{"j@b*1", "j@a*3"}, nil},
		{"gang without room for all tasks is not started", []Machine{machine("a", "z", 2), machine("b", "z", 1)},
			[]*Job{job("j", 4, func(j *Job) { j.Gang = true }), job("k", 2, func(j *Job) { j.StartDeadline = 1 })}, nil, []string{"k@b*1", "k@a*1"}, nil},
		{"preempts the lower-priority task with the least lost work", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Task: 0, Priority: 1, Need: cpus(1), LostWork: 9}, {JobID: "x", Task: 1, Priority: 1, Need: cpus(1), LostWork: 4}}
		})}, []*Job{job("j", 1, func(j *Job) { j.Priority = 2 })}, nil, nil, []string{"x/1"}},
		{"no preemption while the job is not at risk", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Priority: 1, Need: cpus(1)}}
		})}, []*Job{job("j", 1, func(j *Job) { j.Priority, j.AtRisk = 2, false })}, nil, nil, nil},
		{"preempts only best-effort tasks for a job not at risk", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1), LostWork: 9, BestEffort: true}, {JobID: "y", Priority: 0, Need: cpus(1), LostWork: 4}}
		})}, []*Job{job("j", 2, func(j *Job) { j.AtRisk, j.PreemptsBestEffort = false, true })}, nil, nil, []string{"x/0"}},
		{"preempts on the machine that has the image", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1), LostWork: micros.Second}}
		}), with(machine("b", "z", 0), func(m *Machine) {
			m.Images = m.Images.With(70)
			m.Victims = []Victim{{JobID: "y", Priority: 0, Need: cpus(1), LostWork: 2 * micros.Second}}
		})}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 5 })}, nil, nil, []string{"y/0"}},
		{"no preemption of equal priority", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Priority: 1, Need: cpus(1)}}
		})}, []*Job{job("j", 1, nil)}, nil, nil, nil},
		{"preempts what another team uses beyond its guarantee", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Victims = []Victim{{JobID: "x", Team: "u", Priority: 2, Need: cpus(1)}}
		})}, []*Job{job("j", 1, func(j *Job) { j.WithinGuarantee = true })}, nil, nil, []string{"x/0"}},
		{"no preemption while enough resources are being released", []Machine{with(machine("a", "z", 0), func(m *Machine) {
			m.Releasing = cpus(1)
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1)}}
		})}, []*Job{job("j", 1, nil)}, nil, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slices.SortFunc(c.jobs, CompareJobs)
			teams := map[string]*Team{"t": c.team}
			starts := Plan(c.machines, c.jobs, teams)
			preemptions, _ := Preempt(c.machines, c.jobs, teams, 8)
			var got, stopped []string
			for _, s := range starts {
				got = append(got, fmt.Sprintf("%s@%s*%d", c.jobs[s.Job].ID, c.machines[s.Machine].ID, s.Count))
			}
			for _, s := range preemptions {
				stopped = append(stopped, fmt.Sprintf("%s/%d", s.Victim.JobID, s.Victim.Task))
			}
			if !slices.Equal(got, c.starts) {
				t.Errorf("started %v, want %v", got, c.starts)
			}
			if !slices.Equal(stopped, c.stops) {
				t.Errorf("stopped %v, want %v", stopped, c.stops)
			}
		})
	}
}

// TestPlanLargeBacklogWithinOneSecond checks the run time of Plan with 100,000 waiting tasks and 40 machines, some
// of which have room.
func TestPlanLargeBacklogWithinOneSecond(t *testing.T) {
	var machines []Machine
	for i := range 40 {
		machines = append(machines, machine(fmt.Sprint("i-", i), "z", int64(i%3)*2))
	}
	var jobs []*Job
	for i := range 1000 {
		jobs = append(jobs, job(fmt.Sprintf("j-%06d", i), 100, nil))
	}
	started := time.Now()
	Plan(machines, jobs, nil)
	if took := time.Since(started); took > time.Second {
		t.Errorf("Plan took %v, want at most 1 s", took)
	}
}

// TestZoneBoundOnlyMachine checks that a machine in a disrupted zone starts only jobs that can run nowhere else,
// both in Plan and in Fill.
func TestZoneBoundOnlyMachine(t *testing.T) {
	cases := []struct {
		onlyZone      string
		zoneBoundOnly bool
		starts        int
	}{{"", false, 2}, {"", true, 0}, {"b", true, 0}, {"a", true, 2}, {"a", false, 2}}
	for _, c := range cases {
		for _, isGang := range []bool{false, true} {
			machine := []Machine{{ID: "i-1", Zone: "a", Free: Resources{CPU: 4000, Memory: 4000}, Restrictions: Restrictions{ZoneBoundOnly: c.zoneBoundOnly}}}
			job := Job{
				ID:             "j",
				OnlyZone:       c.onlyZone,
				Request:        Request{Need: Resources{CPU: 1000, Memory: 1000}, WaitingTasks: 2, TotalTasks: 2},
				GangScheduling: GangScheduling{Gang: isGang},
			}
			planned, filled := job, job
			Plan(slices.Clone(machine), []*Job{&planned}, nil)
			Fill(&slices.Clone(machine)[0], []*Job{&filled}, nil)
			if planned.WaitingTasks != 2-c.starts || filled.WaitingTasks != 2-c.starts {
				t.Errorf("%+v, gang %v: %d tasks wait after Plan and %d after Fill, want %d", c, isGang, planned.WaitingTasks, filled.WaitingTasks, 2-c.starts)
			}
		}
	}
}
