package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/staffing"
)

// machineNeed is how many machines of one type waiting tasks need beyond the fleet.
type machineNeed struct {
	any      float64
	onDemand float64 // the part that may be ordinary machines
}

// backlog gathers what decides how many machines the waiting tasks need.
type backlog struct {
	waiting          []staffing.WaitingWork
	notDelayTolerant []staffing.WaitingWork // of waiting, what is worth ordinary machines
	running          []staffing.RunningWork
	nonPreemptible   []staffing.RunningWork // of running, what gives its room to nobody
	workByType       map[string]float64     // CPU seconds that wait, by the type that is best for them
	totalWork        float64                // CPU seconds
	supplyCPUs       float64                // GuaranteedCPUs
	unknownCPUs      float64                // GuaranteedCPUs of machines whose tasks are not known
	minBootS         float64                // seconds, of the type that boots soonest
	planned          map[*job]int           // tasks that have a place
	displaced        map[*job]int           // tasks on machines that are to be replaced in other zones
}

// backlogNeed is how many machines beyond the fleet the waiting tasks need to be in time,
// by type. What may be ordinary machines leaves out the patient jobs, and what best-effort
// tasks hold, since they give it back.
//
// Work on machines that are to be replaced in other zones is offered to these: it counts as
// waiting, and what held it not as supply.
func (l *Leader) backlogNeed(replaced map[*machine]bool, now micros.Micros) map[string]machineNeed {
	d := &backlog{workByType: map[string]float64{}, minBootS: math.Inf(1), planned: map[*job]int{}, displaced: map[*job]int{}}
	l.addMachinesTo(d, replaced, now)
	l.addWaitingTo(d, now)
	need := map[string]machineNeed{}
	if d.totalWork == 0 {
		return need
	}
	mean, ordinaryMean := 0.0, 0.0
	for _, t := range l.types {
		mean += t.mean * t.CPUs
		ordinaryMean += (t.mean - t.meanBestEffort) * t.CPUs
	}
	short := staffing.BacklogShortage(d.waiting, d.running, mean, d.supplyCPUs, d.minBootS)
	ordinaryShort := staffing.BacklogShortage(d.notDelayTolerant, d.nonPreemptible, ordinaryMean, d.supplyCPUs, d.minBootS)
	for name, work := range d.workByType {
		part := work / d.totalWork / math.Max(l.types[name].CPUs, 0.001)
		need[name] = machineNeed{any: short * part, onDemand: math.Min(short, ordinaryShort) * part}
	}
	return need
}

// addMachinesTo counts what there is, and what runs on it.
func (l *Leader) addMachinesTo(d *backlog, replaced map[*machine]bool, now micros.Micros) {
	for _, m := range l.machines {
		t := l.types[m.offering.Type]
		if t == nil || m.instance.terminating || m.drainReason != "" || l.isOverdue(m, now) {
			continue
		}
		if replaced[m] {
			for _, a := range m.attempts {
				d.displaced[a.job]++
			}
			continue
		}
		d.supplyCPUs += t.CPUs
		if !m.tasksKnown() {
			d.unknownCPUs += t.CPUs
		}
		for _, j := range m.planned {
			d.planned[j]++
		}
		for _, a := range m.attempts {
			r := staffing.RunningWork{CPUs: a.job.spec.CPUs, RemainingS: l.remainingRuntime(a, now)}
			d.running = append(d.running, r)
			if a.job.priority > 0 {
				d.nonPreemptible = append(d.nonPreemptible, r)
			}
		}
	}
	for _, b := range l.intents {
		if t := l.types[b.Type]; t != nil && !b.Answered {
			d.supplyCPUs += t.CPUs * float64(b.Count)
		}
	}
}

// addWaitingTo counts the tasks that wait for machines, in the order of their submission.
func (l *Leader) addWaitingTo(d *backlog, now micros.Micros) {
	wall := micros.Wall()
	teams := l.worstCaseTeamUse()
	jobs := slices.SortedFunc(maps.Values(l.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range jobs {
		t := l.preferredType(j, now)
		if n := d.displaced[j]; n > 0 && t != nil {
			l.addJobTo(d, j, t, n, wall) // its team's limit has them already
		}
		n := j.startableTasks(now) - d.planned[j]
		if n <= 0 || t == nil {
			continue
		}
		// Machines are no help to what its team's limit keeps waiting.
		if team := teams[j.spec.Team]; team != nil {
			n = team.CountAllowed(j.need, n)
			team.Used = team.Used.Add(j.need, int64(n))
		}
		if j.mayHaveEarlierTasks && d.unknownCPUs > 0 {
			if n -= l.countPossiblyRunning(d, j, n); n == 0 {
				continue
			}
		}
		l.addJobTo(d, j, t, n, wall)
	}
}

// countPossiblyRunning counts how many of n tasks may run on machines whose tasks are not known:
// most likely they do. Counted as waiting, a fleet that was full had hundreds of machines
// rented at each take-over.
func (l *Leader) countPossiblyRunning(d *backlog, j *job, n int) int {
	held := min(n, int(math.Ceil(d.unknownCPUs/math.Max(j.spec.CPUs, 0.001))))
	d.unknownCPUs -= float64(held) * j.spec.CPUs
	r := staffing.RunningWork{CPUs: float64(held) * j.spec.CPUs, RemainingS: l.expectedRuntime(j.spec) / 2}
	d.running = append(d.running, r)
	d.nonPreemptible = append(d.nonPreemptible, r)
	return held
}

// addJobTo counts n waiting tasks of a job, for a type.
func (l *Leader) addJobTo(d *backlog, j *job, t *scaledType, n int, wall micros.Micros) {
	d.minBootS = math.Min(d.minBootS, t.BootTimeS)
	work := float64(n) * j.spec.CPUs * l.expectedRuntime(j.spec)
	if per := t.capacity.CountFitting(j.need, n+1); j.isGang() && per > 0 && per <= n {
		// It fills whole machines at once, with what its tasks leave unused there.
		work += float64(n/per) * (t.CPUs - float64(per)*j.spec.CPUs) * l.expectedRuntime(j.spec)
	}
	due, late := l.startDeadline(j, false, wall)
	in := (due - wall).Seconds()
	if late { // it is to be done soon all the same
		in = 2 * t.BootTimeS
	}
	demand := staffing.WaitingWork{CPUSeconds: work, DueInS: in}
	d.waiting = append(d.waiting, demand)
	if !l.isDelayTolerant(j) {
		d.notDelayTolerant = append(d.notDelayTolerant, demand)
	}
	d.workByType[t.Name] += work
	d.totalWork += work
}
