package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/staffing"
)

// typeNeed is how many machines of one type waiting tasks need beyond the fleet.
type typeNeed struct {
	any      float64
	ordinary float64 // the part that may be ordinary machines
}

// demandCount gathers what decides how many machines the waiting tasks need.
type demandCount struct {
	waiting   []staffing.WaitingWork
	impatient []staffing.WaitingWork // of waiting, what is worth ordinary machines
	running   []staffing.RunningWork
	staying   []staffing.RunningWork // of running, what gives its room to nobody
	work      map[string]float64     // CPU seconds that wait, by the type that is best for them
	total     float64                // CPU seconds
	supply    float64                // GuaranteedCPUs
	unknown   float64                // GuaranteedCPUs of machines whose tasks are not known
	boot      float64                // seconds, of the type that boots soonest
	planned   map[*job]int           // tasks that have a place
	displaced map[*job]int           // tasks on machines that are to be replaced in other zones
}

// waitingNeed is how many machines beyond the fleet the waiting tasks need to be in time,
// by type. What may be ordinary machines leaves out the patient jobs, and what best-effort
// tasks hold, since they give it back.
//
// Work on machines that are to be replaced in other zones is offered to these: it counts as
// waiting, and what held it not as supply.
func (l *Leader) waitingNeed(replaced map[*machine]bool, now micros.Micros) map[string]typeNeed {
	d := &demandCount{work: map[string]float64{}, boot: math.Inf(1), planned: map[*job]int{}, displaced: map[*job]int{}}
	l.countMachines(d, replaced, now)
	l.countWaiting(d, now)
	need := map[string]typeNeed{}
	if d.total == 0 {
		return need
	}
	mean, ordinaryMean := 0.0, 0.0
	for _, t := range l.types {
		mean += t.m * t.CPUs
		ordinaryMean += (t.m - t.mBestEffort) * t.CPUs
	}
	short := staffing.BacklogShortage(d.waiting, d.running, mean, d.supply, d.boot)
	ordinaryShort := staffing.BacklogShortage(d.impatient, d.staying, ordinaryMean, d.supply, d.boot)
	for name, work := range d.work {
		part := work / d.total / math.Max(l.types[name].CPUs, 0.001)
		need[name] = typeNeed{any: short * part, ordinary: math.Min(short, ordinaryShort) * part}
	}
	return need
}

// countMachines counts what there is, and what runs on it.
func (l *Leader) countMachines(d *demandCount, replaced map[*machine]bool, now micros.Micros) {
	for _, m := range l.machines {
		t := l.types[m.kind.Type]
		if t == nil || m.leaving || m.draining != "" || l.overdue(m, now) {
			continue
		}
		if replaced[m] {
			for _, a := range m.tasks {
				d.displaced[a.job]++
			}
			continue
		}
		d.supply += t.CPUs
		if !m.resolved {
			d.unknown += t.CPUs
		}
		for _, j := range m.planned {
			d.planned[j]++
		}
		for _, a := range m.tasks {
			r := staffing.RunningWork{CPUs: a.job.spec.CPUs, RemainingS: l.left(a, now)}
			d.running = append(d.running, r)
			if a.job.priority > 0 {
				d.staying = append(d.staying, r)
			}
		}
	}
	for _, b := range l.bookings {
		if t := l.types[b.Type]; t != nil && !b.Answered {
			d.supply += t.CPUs * float64(b.Count)
		}
	}
}

// countWaiting counts the tasks that wait for machines, in the order of their submission.
func (l *Leader) countWaiting(d *demandCount, now micros.Micros) {
	wall := micros.Wall()
	teams := l.teamUse()
	jobs := slices.SortedFunc(maps.Values(l.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range jobs {
		t := l.typeFor(j, now)
		if n := d.displaced[j]; n > 0 && t != nil {
			l.countJob(d, j, t, n, wall) // its team's limit has them already
		}
		n := j.ready(now) - d.planned[j]
		if n <= 0 || t == nil {
			continue
		}
		// Machines are no help to what its team's limit keeps waiting.
		if team := teams[j.spec.Team]; team != nil {
			n = team.Room(j.need, n)
			team.Used = team.Used.Add(j.need, int64(n))
		}
		if j.old && d.unknown > 0 {
			if n -= l.mayRunUnknown(d, j, n); n == 0 {
				continue
			}
		}
		l.countJob(d, j, t, n, wall)
	}
}

// mayRunUnknown counts how many of n tasks may run on machines whose tasks are not known:
// most likely they do. Counted as waiting, a fleet that was full had hundreds of machines
// rented at each take-over.
func (l *Leader) mayRunUnknown(d *demandCount, j *job, n int) int {
	held := min(n, int(math.Ceil(d.unknown/math.Max(j.spec.CPUs, 0.001))))
	d.unknown -= float64(held) * j.spec.CPUs
	r := staffing.RunningWork{CPUs: float64(held) * j.spec.CPUs, RemainingS: l.expected(j.spec) / 2}
	d.running = append(d.running, r)
	d.staying = append(d.staying, r)
	return held
}

// countJob counts n waiting tasks of a job, for a type.
func (l *Leader) countJob(d *demandCount, j *job, t *machineType, n int, wall micros.Micros) {
	d.boot = math.Min(d.boot, t.BootTimeS)
	work := float64(n) * j.spec.CPUs * l.expected(j.spec)
	if per := t.capacity.CountFitting(j.need, n+1); j.isGang() && per > 0 && per <= n {
		// It fills whole machines at once, with what its tasks leave unused there.
		work += float64(n/per) * (t.CPUs - float64(per)*j.spec.CPUs) * l.expected(j.spec)
	}
	due, late := l.due(j, false, wall)
	in := (due - wall).Seconds()
	if late { // it is to be done soon all the same
		in = 2 * t.BootTimeS
	}
	demand := staffing.WaitingWork{Work: work, DueInS: in}
	d.waiting = append(d.waiting, demand)
	if !l.patient(j) {
		d.impatient = append(d.impatient, demand)
	}
	d.work[t.Name] += work
	d.total += work
}
