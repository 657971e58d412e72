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

// machineNeed is how many machines of one type the waiting tasks need in addition to the fleet.
type machineNeed struct {
	total    float64
	onDemand float64 // the part that may be launched as on-demand machines
}

// backlog holds the input for computing how many machines the waiting tasks need.
type backlog struct {
	waiting          []staffing.WaitingWork
	notDelayTolerant []staffing.WaitingWork // the part of waiting that is worth on-demand machines
	running          []staffing.RunningWork
	nonPreemptible   []staffing.RunningWork // the part of running that is not preempted for other tasks
	workByType       map[string]float64     // waiting CPU seconds, by the preferred type of the job
	totalWork        float64                // in CPU seconds
	supplyCPUs       float64
	unknownCPUs      float64            // CPUs of machines whose tasks are not known
	minBootS         float64            // the shortest boot time of the preferred types, in seconds
	planned          map[*state.Job]int // number of planned starts that have not been sent
	displaced        map[*state.Job]int // tasks on machines that are to be replaced in other zones
}

// backlogNeed returns how many machines of each type are needed in addition to the fleet, so that the waiting tasks
// start in time. The number of on-demand machines leaves out the delay-tolerant jobs. For that number, the CPUs that
// best-effort tasks occupy count as free, since these tasks can be preempted.
//
// Tasks on machines that are to be replaced in other zones count as waiting, and their machines do not count
// as supply, so that replacements for them are launched in the other zones.
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
	mean, meanOnDemand := 0.0, 0.0 // in CPUs
	for _, t := range s.types {
		mean += t.Mean * t.CPUs
		meanOnDemand += (t.Mean - t.MeanDelayTolerant) * t.CPUs
	}
	missingCPUs := staffing.BacklogShortage(b.waiting, b.running, mean, b.supplyCPUs, b.minBootS)
	missingOnDemandCPUs := staffing.BacklogShortage(b.notDelayTolerant, b.nonPreemptible, meanOnDemand, b.supplyCPUs, b.minBootS)
	for name, work := range b.workByType {
		share := work / b.totalWork / math.Max(s.types[name].CPUs, minCPUs)
		need[name] = machineNeed{total: missingCPUs * share, onDemand: math.Min(missingCPUs, missingOnDemandCPUs) * share}
	}
	return need
}

// addMachines adds the machines of the fleet to the supply, and the tasks on them to the running work.
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
			r := staffing.RunningWork{CPUs: t.occupiedCPUs(a.Job.Need), RemainingS: s.Workload.RemainingRuntime(a, now)}
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

// addWaitingJobs adds the tasks that wait for machines, in the order in which their jobs were submitted.
func (s *Scaler) addWaitingJobs(b *backlog, now micros.Micros) {
	wall := micros.WallTime()
	teams := s.TeamUsage()
	jobs := slices.SortedFunc(maps.Values(s.Jobs), func(x, y *state.Job) int {
		return cmp.Or(cmp.Compare(x.SubmittedAt, y.SubmittedAt), cmp.Compare(x.Spec.ID, y.Spec.ID))
	})
	for _, j := range jobs {
		t := s.preferredType(j, now)
		if n := b.displaced[j]; n > 0 && t != nil {
			s.addJob(b, j, t, n, wall) // these tasks already count toward the team's limit
		}
		n := j.StartableTasks(now) - b.planned[j]
		if n <= 0 || t == nil {
			continue
		}
		// More machines do not help tasks that wait because of their team's limit.
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

// countPossiblyRunning returns how many of n waiting tasks may be running on machines whose tasks are not
// known, and adds those to the running work, as they are most likely running. When they were counted as waiting,
// each failover with a full fleet launched hundreds of machines.
func (s *Scaler) countPossiblyRunning(b *backlog, j *state.Job, n int) int {
	possiblyRunning := min(n, int(math.Ceil(b.unknownCPUs/math.Max(j.Spec.CPUs, minCPUs))))
	b.unknownCPUs -= float64(possiblyRunning) * j.Spec.CPUs
	r := staffing.RunningWork{CPUs: float64(possiblyRunning) * j.Spec.CPUs, RemainingS: s.Workload.ExpectedRuntime(j.Spec) / 2}
	b.running = append(b.running, r)
	b.nonPreemptible = append(b.nonPreemptible, r)
	return possiblyRunning
}

// overdueHorizonBoots is the time, in boot times, within which a job that can no longer be on time is to be served.
const overdueHorizonBoots = 2

// addJob adds n waiting tasks of a job to the backlog, as work for the given type.
func (s *Scaler) addJob(b *backlog, j *state.Job, t *TypeModel, n int, wall micros.Micros) {
	b.minBootS = math.Min(b.minBootS, t.BootTimeS)
	runtime, cpus := s.Workload.ExpectedRuntime(j.Spec), t.occupiedCPUs(j.Need)
	work := float64(n) * cpus * runtime
	if perMachine := t.Capacity.CountFitting(j.Need, n+1); j.IsGang() && perMachine > 0 && perMachine <= n {
		// The gang occupies entire machines at once, including the CPUs on them that its tasks leave unused.
		work += float64(n/perMachine) * (t.CPUs - float64(perMachine)*cpus) * runtime
	}
	deadlines := s.Workload.StartDeadlines(j, false, wall)
	dueInS := (deadlines.Next - wall).Seconds()
	if deadlines.Late {
		dueInS = overdueHorizonBoots * t.BootTimeS
	}
	waiting := staffing.WaitingWork{CPUSeconds: work, DueInS: dueInS}
	b.waiting = append(b.waiting, waiting)
	if !s.Workload.IsDelayTolerant(j) {
		b.notDelayTolerant = append(b.notDelayTolerant, waiting)
	}
	b.workByType[t.Name] += work
	b.totalWork += work
}
