package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"caperlatch/internal/micros"
)

func cpus(n int64) Resources { return Resources{CPU: n * 1000} }

func machine(id, zone string, free int64) Machine {
	return Machine{ID: id, InstanceType: "m", Zone: zone, Free: cpus(free), ImagePullGBPerS: 1}
}

func job(id string, waiting int, edit func(*Job)) *Job {
	j := &Job{ID: id, Team: "t", ImageIndex: 70, Priority: 1, Need: cpus(1), WaitingTasks: waiting, TotalTasks: waiting, AllowSpot: true, AtRisk: true}
	if edit != nil {
		edit(j)
	}
	return j
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name     string
		machines []Machine
		jobs     []*Job
		team     *Team
		starts   []string // job@machine*count
		stops    []string // job/task
	}{
		{"packs onto the fuller machine", []Machine{machine("a", "z", 8), machine("b", "z", 3)},
			[]*Job{job("j", 2, nil)}, nil, []string{"j@b*2"}, nil},
		{"where the image is", []Machine{machine("a", "z", 4), func() Machine {
			m := machine("b", "z", 8)
			m.Images = m.Images.With(70)
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 5 })}, nil, []string{"j@b*1"}, nil},
		{"pressing work is kept for no machine that reports late", []Machine{func() Machine { m := machine("a", "z", 1); m.CommandDelay = 8 * micros.Second; return m }()},
			[]*Job{job("j", 1, nil)}, nil, nil, nil},
		{"unless that saves a longer fetch", []Machine{func() Machine {
			m := machine("a", "z", 1)
			m.CommandDelay, m.Images = 8*micros.Second, m.Images.With(70)
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 9 })}, nil, []string{"j@a*1"}, nil},
		{"and other work may be", []Machine{func() Machine { m := machine("a", "z", 1); m.CommandDelay = 8 * micros.Second; return m }()},
			[]*Job{job("j", 1, func(j *Job) { j.AtRisk = false })}, nil, []string{"j@a*1"}, nil},
		{"the higher priority first", []Machine{machine("a", "z", 1)},
			[]*Job{job("low", 1, nil), job("high", 1, func(j *Job) { j.Priority = 2 })}, nil, []string{"high@a*1"}, nil},
		{"a guarantee before a priority", []Machine{machine("a", "z", 1)},
			[]*Job{job("cov", 1, func(j *Job) { j.WithinGuarantee = true }), job("high", 1, func(j *Job) { j.Priority = 2 })}, nil, []string{"cov@a*1"}, nil},
		{"due first", []Machine{machine("a", "z", 1)},
			[]*Job{job("b", 1, func(j *Job) { j.StartDeadline = 5 }), job("c", 1, func(j *Job) { j.StartDeadline = 3 })}, nil, []string{"c@a*1"}, nil},
		{"the team's limit", []Machine{machine("a", "z", 10)},
			[]*Job{job("j", 9, nil)}, &Team{Used: cpus(2), Limit: cpus(5)}, []string{"j@a*3"}, nil},
		{"not on spot machines", []Machine{func() Machine { m := machine("a", "z", 4); m.Spot = true; return m }(), machine("b", "z", 4)},
			[]*Job{job("j", 1, func(j *Job) { j.AllowSpot = false })}, nil, []string{"j@b*1"}, nil},
		{"only its types and zone", []Machine{machine("a", "z", 4), machine("b", "y", 4)},
			[]*Job{job("j", 1, func(j *Job) { j.Zone, j.InstanceTypes = "y", []string{"m"} }), job("k", 1, func(j *Job) { j.InstanceTypes = []string{"x"} })},
			nil, []string{"j@b*1"}, nil},
		{"together", []Machine{machine("a", "z", 2), machine("b", "y", 2)},
			[]*Job{job("j", 4, func(j *Job) { j.SingleZone = true })}, nil, []string{"j@a*2"}, nil},
		{"together with what runs", []Machine{machine("a", "z", 2), machine("b", "y", 2)},
			[]*Job{job("j", 4, func(j *Job) { j.SingleZone, j.TasksPerZone = true, map[string]int{"y": 1} })}, nil, []string{"j@b*2"}, nil},
		{"scatter: at most 3 of 5 in a zone", []Machine{machine("a", "z", 9), machine("b", "y", 1)},
			[]*Job{job("j", 5, func(j *Job) { j.SpreadZones = true })}, nil, []string{"j@b*1", "j@a*3"}, nil},
		{"whole or not at all", []Machine{machine("a", "z", 2), machine("b", "z", 1)},
			[]*Job{job("j", 4, func(j *Job) { j.Gang = true }), job("k", 2, func(j *Job) { j.StartDeadline = 1 })}, nil, []string{"k@b*1", "k@a*1"}, nil},
		{"stops lower work for higher, what loses least", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Task: 0, Priority: 1, Need: cpus(1), LostWork: 9}, {JobID: "x", Task: 1, Priority: 1, Need: cpus(1), LostWork: 4}}
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.Priority = 2 })}, nil, nil, []string{"x/1"}},
		{"stops nothing while it can wait", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Priority: 1, Need: cpus(1)}}
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.Priority, j.AtRisk = 2, false })}, nil, nil, nil},
		{"stops best-effort tasks for any other work at once, and only these", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1), LostWork: 9, BestEffort: true}, {JobID: "y", Priority: 0, Need: cpus(1), LostWork: 4}}
			return m
		}()}, []*Job{job("j", 2, func(j *Job) { j.AtRisk, j.PreemptsBestEffort = false, true })}, nil, nil, []string{"x/0"}},
		{"stops where the image is", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1), LostWork: micros.Second}}
			return m
		}(), func() Machine {
			m := machine("b", "z", 0)
			m.Images = m.Images.With(70)
			m.Victims = []Victim{{JobID: "y", Priority: 0, Need: cpus(1), LostWork: 2 * micros.Second}}
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.ImageSizeGB = 5 })}, nil, nil, []string{"y/0"}},
		{"does not stop equals", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Priority: 1, Need: cpus(1)}}
			return m
		}()}, []*Job{job("j", 1, nil)}, nil, nil, nil},
		{"takes back what another team borrowed", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Victims = []Victim{{JobID: "x", Team: "u", Priority: 2, Need: cpus(1)}}
			return m
		}()}, []*Job{job("j", 1, func(j *Job) { j.WithinGuarantee = true })}, nil, nil, []string{"x/0"}},
		{"waits for what is being stopped already", []Machine{func() Machine {
			m := machine("a", "z", 0)
			m.Releasing = cpus(1)
			m.Victims = []Victim{{JobID: "x", Priority: 0, Need: cpus(1)}}
			return m
		}()}, []*Job{job("j", 1, nil)}, nil, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slices.SortFunc(c.jobs, CompareJobs)
			teams := map[string]*Team{"t": c.team}
			starts := Plan(c.machines, c.jobs, teams)
			stops, _ := Preempt(c.machines, c.jobs, teams, 8)
			var got, stopped []string
			for _, s := range starts {
				got = append(got, fmt.Sprintf("%s@%s*%d", c.jobs[s.Job].ID, c.machines[s.Machine].ID, s.Count))
			}
			for _, s := range stops {
				stopped = append(stopped, fmt.Sprintf("%s/%d", s.Victim.JobID, s.Victim.Task))
			}
			if !slices.Equal(got, c.starts) {
				t.Errorf("starts %v, want %v", got, c.starts)
			}
			if !slices.Equal(stopped, c.stops) {
				t.Errorf("stops %v, want %v", stopped, c.stops)
			}
		})
	}
}

// TestSetAside has three jobs of which only two can be in time: the largest
// is put off, not the one that is due last.
func TestSetAside(t *testing.T) {
	s := micros.Second
	jobs := []*Job{
		job("big", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 9 }),
		job("mid", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 11*s, 5 }),
		job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 12*s, 4 }),
		job("urgent", 1, func(j *Job) { j.Priority, j.StartDeadline, j.WaitingCPUSeconds = 2, 1*s, 1 }),
	}
	DeferLateJobs(jobs, 1, 0)
	for _, j := range jobs {
		if j.Late != (j.ID == "big") {
			t.Errorf("%s: late is %v", j.ID, j.Late)
		}
	}
}

// TestSetAsideLater has two jobs that cannot both meet what is expected first: the
// larger one is put off until the next thing expected of it, and not for ever.
func TestSetAsideLater(t *testing.T) {
	s := micros.Second
	for _, c := range []struct {
		name  string
		later []micros.Micros
		late  bool
	}{
		{"a later thing can be met", []micros.Micros{10 * s, 20 * s}, false},
		{"none can", []micros.Micros{11 * s, 12 * s}, true},
		{"there is none", nil, true},
	} {
		big := job("big", 1, func(j *Job) { j.StartDeadline, j.LaterStartDeadlines, j.WaitingCPUSeconds = 10*s, c.later, 9 })
		small := job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 4 })
		DeferLateJobs([]*Job{big, small}, 1, 0)
		if small.Late || big.Late != c.late || !(CompareJobs(small, big) < 0) {
			t.Errorf("%s: small late %v, big late %v", c.name, small.Late, big.Late)
		}
	}
}

// TestShortestFirst has work come in that is more or less than can be done in time. Too
// much of it is served shortest first: by due times each job started just before it was
// due, and with 91 machines gone and an hour's work waiting nearly all of them were late.
func TestShortestFirst(t *testing.T) {
	s := micros.Second
	for _, c := range []struct {
		name string
		cpus float64
		want []string
	}{
		{"enough machines", 10, []string{"urgent", "early", "middle", "small", "huge"}},
		{"too few", 1, []string{"urgent", "small", "middle", "early", "huge"}},
	} {
		jobs := []*Job{
			job("early", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 6 }),
			job("middle", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 20*s, 4 }),
			job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 30*s, 2 }),
			job("huge", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 40*s, 50 }),
			job("urgent", 1, func(j *Job) { j.Priority, j.StartDeadline, j.WaitingCPUSeconds = 2, 60*s, 7 }),
		}
		DeferLateJobs(jobs, c.cpus, 0)
		slices.SortFunc(jobs, CompareJobs)
		var got []string
		for _, j := range jobs {
			got = append(got, j.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPlanCost has 100,000 tasks wait on full machines and on some with room.
func TestPlanCost(t *testing.T) {
	var machines []Machine
	for i := range 40 {
		machines = append(machines, machine(fmt.Sprint("i-", i), "z", int64(i%3)*2))
	}
	var jobs []*Job
	for i := range 1000 {
		jobs = append(jobs, job(fmt.Sprintf("j-%06d", i), 100, nil))
	}
	begun := time.Now()
	Plan(machines, jobs, nil)
	if took := time.Since(begun); took > time.Second {
		t.Errorf("planning took %v", took)
	}
}
