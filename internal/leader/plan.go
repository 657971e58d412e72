package leader

import (
	"cmp"
	"context"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// planIfNeeded plans anew when something changed, though it never takes more
// than a small part of the processor's time.
func (l *Leader) planIfNeeded(_ context.Context, now micros.Micros) {
	if !l.ready || !l.replan || now < l.plannedAt+20*l.planTook {
		return
	}
	l.replan = false
	l.plan(now)
	l.plannedAt = micros.Now()
	l.planTook = l.plannedAt - now
}

// plan decides anew what every machine's next answer starts. Plans that were
// not sent yet are made again: only sent starts bind.
func (l *Leader) plan(now micros.Micros) {
	teams, unresolved := l.teamUse()
	queue := l.queue(now, unresolved > 0)
	machines, ms := l.placeable(now)
	jobs := make([]*placement.Job, len(queue))
	for i, q := range queue {
		jobs[i] = &q.Job
	}
	cpus := 0.0
	for _, m := range ms {
		cpus += l.types[m.kind.Type].CPUs
	}
	placement.SetAside(jobs, cpus, micros.Wall())
	starts, stops := placement.Plan(machines, jobs, teams)
	for _, m := range l.machines {
		m.planned = m.planned[:0]
	}
	for _, s := range starts {
		for range s.Count {
			ms[s.Machine].planned = append(ms[s.Machine].planned, queue[s.Job].job)
		}
	}
	for _, s := range stops {
		if a := ms[s.Machine].tasks[taskName(s.Victim.Job, s.Victim.Task)]; a != nil {
			grace := micros.FromSeconds(a.job.spec.SaveS)
			l.stop(a, grace, "stopped to make room for "+s.For)
		}
	}
}

type queued struct {
	placement.Job
	job *job
}

// queue lists the jobs that may start tasks now. A job that an earlier term
// may have started waits until no machine's tasks are unknown.
func (l *Leader) queue(now micros.Micros, unresolved bool) []*queued {
	covered := l.covered()
	wall := micros.Wall()
	out := make([]*queued, 0, len(l.jobs))
	for _, j := range l.jobs {
		if j.waiting() <= 0 || now < j.notBefore || j.broken || j.old && unresolved {
			continue
		}
		s := j.spec
		q := &queued{job: j, Job: placement.Job{
			ID: s.ID, Team: s.Team, Image: s.Image, Priority: j.priority, Covered: covered[j],
			Need: j.need, Waiting: j.waiting(), Total: s.Tasks, Types: s.Types, Zone: s.Zone,
			OneZone: s.OneZone, Spread: s.Spread, Whole: s.Shape == wire.ShapeGang, Spot: s.Spot, ImageGB: s.ImageGB,
		}}
		q.Due, q.Late = l.due(j, covered[j], wall)
		q.Pressing = q.Due-wall < 4*l.Settings.Params.Workers.Report()
		q.Work = float64(q.Waiting) * s.CPUs * l.expected(s)
		if s.OneZone || s.Spread {
			q.PerZone = map[string]int{}
			for _, a := range j.on {
				q.PerZone[a.machine.kind.Zone]++
			}
		}
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *queued) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// due is when the last of a job's tasks should have started, by the next thing
// expected of it that can still be met; late if there is none.
func (l *Leader) due(j *job, covered bool, wall micros.Micros) (due micros.Micros, late bool) {
	s := j.spec
	run := micros.FromSeconds(l.expected(s))
	const never = 365 * 24 * 3600 * micros.Second
	due = never
	expected := false
	consider := func(limit micros.Micros) {
		expected = true
		if j.submitted+limit >= wall {
			due = min(due, limit)
		}
	}
	if s.DeadlineS != nil {
		consider(micros.FromSeconds(*s.DeadlineS) - run)
	}
	for _, o := range l.Settings.Params.Objectives {
		if o.Class != s.Class && o.Kind != "guarantee" {
			continue
		}
		switch o.Kind {
		case "guarantee":
			if covered && len(j.on)+j.ndone == 0 {
				consider(micros.FromSeconds(o.WithinS))
			}
		case "wait":
			if len(j.on)+j.ndone == 0 {
				consider(micros.FromSeconds(o.WithinS))
			}
		case "finished":
			consider(micros.FromSeconds(o.WithinS) - run)
		}
	}
	if !expected {
		// Nobody said when; a minute of waiting is taken for bearable.
		due = 60 * micros.Second
	}
	return j.submitted + due, expected && due == never
}

// covered tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (l *Leader) covered() map[*job]bool {
	byTeam := map[string][]*job{}
	for _, j := range l.jobs {
		byTeam[j.spec.Team] = append(byTeam[j.spec.Team], j)
	}
	out := make(map[*job]bool, len(l.jobs))
	for name, jobs := range byTeam {
		t := l.teams[name]
		if t.CPUs == 0 && t.GPUs == 0 {
			continue
		}
		slices.SortFunc(jobs, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.spec.ID, b.spec.ID))
		})
		left := guarantee(t)
		for _, j := range jobs {
			if !left.Fits(j.need) {
				break
			}
			left = left.Plus(j.need, -int64(j.spec.Tasks-j.ndone))
			if left.CPU < 0 || left.GPU < 0 {
				break
			}
			out[j] = true
		}
	}
	return out
}

func guarantee(t settings.Team) placement.Resources {
	return placement.Resources{CPU: floor(t.CPUs), GPU: floor(t.GPUs), Mem: 1 << 60}
}

// teamUse counts what each team's tasks may be using at worst: what is known
// to be on machines and all that machines with unknown tasks could hold.
func (l *Leader) teamUse() (map[string]*placement.Team, int) {
	teams := make(map[string]*placement.Team, len(l.teams))
	for name, t := range l.teams {
		teams[name] = &placement.Team{Limit: placement.Resources{CPU: floor(t.CPUsMax), GPU: floor(t.GPUsMax)}}
	}
	unresolved := 0
	var hidden placement.Resources
	for _, m := range l.machines {
		for _, a := range m.tasks {
			if t := teams[a.job.spec.Team]; t != nil {
				t.Used = t.Used.Plus(a.job.need, 1)
			}
		}
		if !m.resolved {
			unresolved++
			if t := l.types[m.kind.Type]; t != nil {
				hidden = hidden.Plus(t.capacity, 1)
			}
		}
	}
	for _, t := range teams {
		// Not even a job that is over can be ruled out there, so all that
		// these machines could hold counts for every team.
		t.Used = t.Used.Plus(hidden, 1)
	}
	return teams, unresolved
}

// placeable lists the machines that may get tasks, and their running tasks.
func (l *Leader) placeable(now micros.Micros) ([]placement.Machine, []*machine) {
	covered := l.covered()
	report := l.Settings.Params.Workers.Report()
	var out []placement.Machine
	var ms []*machine
	for _, m := range l.sortedMachines() {
		t := l.types[m.kind.Type]
		if t == nil || !l.mayStart(m, now) || now-m.reported > 3*report {
			continue
		}
		p := placement.Machine{
			ID: m.id, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot,
			Free:  t.capacity,
			Delay: max(0, m.reported+report-now), Idle: len(m.tasks) == 0,
			Images: map[string]int{}, GBPerS: t.FetchGBPerS,
			Dear: micros.FromSeconds(l.priceRatio(t, m.kind.Spot) - 1),
		}
		if m.surplus {
			p.Dear += 30 * micros.Second
		}
		for _, image := range m.images.names {
			p.Images[image]++
		}
		for _, a := range m.tasks {
			p.Free = p.Free.Plus(a.job.need, -1)
			p.Images[a.job.spec.Image]++
			if a.stopped != 0 {
				p.Soon = p.Soon.Plus(a.job.need, 1)
			} else if !a.job.over {
				p.Victims = append(p.Victims, placement.Victim{
					Job: a.job.spec.ID, Task: a.task, Team: a.job.spec.Team, Priority: a.job.priority,
					Need: a.job.need, Covered: covered[a.job], Lost: lostWork(a, now),
				})
			}
		}
		slices.SortFunc(p.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
		})
		out = append(out, p)
		ms = append(ms, m)
	}
	return out, ms
}

// left is how many seconds a task should still take. The longer one has
// outlasted its estimate, the longer it may go on; a service never ends.
func (l *Leader) left(a *attempt, now micros.Micros) float64 {
	if a.job.spec.Shape == wire.ShapeService {
		return 3600
	}
	run, ran := l.expected(a.job.spec), (now - a.began).Seconds()
	return math.Max(run-ran, math.Max(run/4, (ran-run)/2))
}

// lostWork is what stopping a task would waste.
func lostWork(a *attempt, now micros.Micros) micros.Micros {
	if a.running == 0 {
		return 0
	}
	if a.job.spec.CheckpointS > 0 {
		return micros.FromSeconds(a.job.spec.SaveS)
	}
	return now - a.running
}
