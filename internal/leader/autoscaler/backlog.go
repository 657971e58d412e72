package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/staffing"
)

// machineNeed is how many machines of one type waiting tasks need beyond the fleet.
type machineNeed struct {
	any      float64
	onDemand float64 // the part that may be on-demand machines
}

// backlog collects what decides how many machines the waiting tasks need.
type backlog struct {
	waiting          []staffing.WaitingWork
	notDelayTolerant []staffing.WaitingWork // of waiting, what is worth on-demand machines
	running          []staffing.RunningWork
	nonPreemptible   []staffing.RunningWork // of running, what gives its room to nobody
	workByType       map[string]float64     // CPU seconds that wait, by the type that is best for them
	totalWork        float64                // CPU seconds
	supplyCPUs       float64
	unknownCPUs      float64            // of machines whose tasks are not known
	minBootS         float64            // of the type that boots soonest
	planned          map[*state.Job]int // tasks that have a place
	displaced        map[*state.Job]int // tasks on machines that are to be replaced in other zones
}

// backlogNeed is how many machines beyond the fleet the waiting tasks need to be in time, by type.
// What may be on-demand machines leaves out the delay-tolerant jobs, and what best-effort tasks hold, since
// they give it back.
//
// Work on machines that are to be replaced in other zones is offered to these: it counts as waiting, and what
// held it not as supply.
func (s *Scaler) backlogNeed(replaced map[*state.Machine]bool, now micros.Micros) map[string]machineNeed {
	b := &backlog{
		workByType: map[string]float64{},
		minBootS:   math.Inf(1),
		planned:    map[*state.Job]int{},
		displaced:  map[*state.Job]int{},
	}
	s.addMachines(b, replaced, now)
	s.addWaitingJobs(b, now)
	need := map[string]machineNeed{}
	if b.totalWork == 0 {
		return need
	}
	mean, meanOnDemand := 0.0, 0.0 // CPUs
	for _, t := range s.types {
		mean += t.Mean * t.CPUs
		meanOnDemand += (t.Mean - t.MeanDelayTolerant) * t.CPUs
	}
	short := staffing.BacklogShortage(b.waiting, b.running, mean, b.supplyCPUs, b.minBootS)
	shortOnDemand := staffing.BacklogShortage(b.notDelayTolerant, b.nonPreemptible, meanOnDemand, b.supplyCPUs, b.minBootS)
	for name, work := range b.workByType {
		part := work / b.totalWork / math.Max(s.types[name].CPUs, minCPUs)
		need[name] = machineNeed{any: short * part, onDemand: math.Min(short, shortOnDemand) * part}
	}
	return need
}

// addMachines counts what there is, and what runs on it.
func (s *Scaler) addMachines(b *backlog, replaced map[*state.Machine]bool, now micros.Micros) {
	for _, m := range s.Fleet.Machines {
		t := s.types[m.Offering.Type]
		if t == nil || m.Instance.Terminating || m.DrainReason != "" || s.Fleet.IsOverdue(m, now) {
			continue
		}
		if replaced[m] {
			for _, a := range m.Attempts {
				b.displaced[a.Job]++
			}
			continue
		}
		b.supplyCPUs += t.CPUs
		if !m.TasksKnown() {
			b.unknownCPUs += t.CPUs
		}
		for _, j := range m.PlannedStarts {
			b.planned[j]++
		}
		for _, a := range m.Attempts {
			r := staffing.RunningWork{CPUs: a.Job.Spec.CPUs, RemainingS: s.Workload.RemainingRuntime(a, now)}
			b.running = append(b.running, r)
			if a.Job.Priority > 0 {
				b.nonPreemptible = append(b.nonPreemptible, r)
			}
		}
	}
	for intent := range s.Fleet.OpenIntents() {
		if t := s.types[intent.Type]; t != nil {
			b.supplyCPUs += t.CPUs * float64(intent.Count)
		}
	}
}

// addWaitingJobs counts the tasks that wait for machines, in the order of their submission.
func (s *Scaler) addWaitingJobs(b *backlog, now micros.Micros) {
	wall := micros.Wall()
	teams := s.TeamUse()
	jobs := slices.SortedFunc(maps.Values(s.Jobs), func(x, y *state.Job) int {
		return cmp.Or(cmp.Compare(x.SubmittedAt, y.SubmittedAt), cmp.Compare(x.Spec.ID, y.Spec.ID))
	})
	for _, j := range jobs {
		t := s.preferredType(j, now)
		if n := b.displaced[j]; n > 0 && t != nil {
			s.addJob(b, j, t, n, wall) // its team's limit has them already
		}
		n := j.StartableTasks(now) - b.planned[j]
		if n <= 0 || t == nil {
			continue
		}
		// Machines are no help to what its team's limit keeps waiting.
		if team := teams[j.Spec.Team]; team != nil {
			n = team.CountAllowed(j.Need, n)
			team.Used = team.Used.Add(j.Need, int64(n))
		}
		if j.MayHaveEarlierTasks && b.unknownCPUs > 0 {
			if n -= s.countPossiblyRunning(b, j, n); n == 0 {
				continue
			}
		}
		s.addJob(b, j, t, n, wall)
	}
}

// countPossiblyRunning counts how many of n tasks may run on machines whose tasks are not known: most
// likely they do. Counted as waiting, a fleet that was full had hundreds of machines launched at each failover.
func (s *Scaler) countPossiblyRunning(b *backlog, j *state.Job, n int) int {
	held := min(n, int(math.Ceil(b.unknownCPUs/math.Max(j.Spec.CPUs, minCPUs))))
	b.unknownCPUs -= float64(held) * j.Spec.CPUs
	r := staffing.RunningWork{CPUs: float64(held) * j.Spec.CPUs, RemainingS: s.Workload.ExpectedRuntime(j.Spec) / 2}
	b.running = append(b.running, r)
	b.nonPreemptible = append(b.nonPreemptible, r)
	return held
}

// lateDueBoots is within how many boot times a job is to be done that can't be in time any more.
const lateDueBoots = 2

// addJob counts n waiting tasks of a job, for a type.
func (s *Scaler) addJob(b *backlog, j *state.Job, t *TypeModel, n int, wall micros.Micros) {
	b.minBootS = math.Min(b.minBootS, t.BootTimeS)
	runtime := s.Workload.ExpectedRuntime(j.Spec)
	work := float64(n) * j.Spec.CPUs * runtime
	if perMachine := t.Capacity.CountFitting(j.Need, n+1); j.IsGang() && perMachine > 0 && perMachine <= n {
		// It fills entire machines at once, with what its tasks leave unused there.
		work += float64(n/perMachine) * (t.CPUs - float64(perMachine)*j.Spec.CPUs) * runtime
	}
	deadlines := s.Workload.StartDeadlines(j, false, wall)
	dueInS := (deadlines.Next - wall).Seconds()
	if deadlines.Late {
		dueInS = lateDueBoots * t.BootTimeS
	}
	waiting := staffing.WaitingWork{CPUSeconds: work, DueInS: dueInS}
	b.waiting = append(b.waiting, waiting)
	if !s.Workload.IsDelayTolerant(j) {
		b.notDelayTolerant = append(b.notDelayTolerant, waiting)
	}
	b.workByType[t.Name] += work
	b.totalWork += work
}
