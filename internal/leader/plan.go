package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// Times between plans. A machine that reports is filled from the queue at once,
// whenever the last plan was; plans are for new jobs, for choosing among machines
// with room, and for the queue's order.
const (
	planPause    = 100 * micros.Millisecond
	planEvery    = micros.Second
	preemptEvery = micros.Second
	preemptJobs  = 8 // that a plan stops others for
)

// planIfNeeded plans anew when something changed or the queue grows old, though
// it never takes more than a small part of the processor's time.
func (l *Leader) planIfNeeded(now micros.Micros) {
	since := now - l.plannedAt
	if !l.ready || since < 10*l.planTook || !(l.replan && since >= planPause || len(l.queue.jobs) > 0 && since >= planEvery) {
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
	for _, m := range l.order {
		m.planned = m.planned[:0]
	}
	l.queue = l.newQueue(now)
	q := &l.queue
	if len(q.jobs) == 0 || !l.Term.IsExclusive() {
		return
	}
	machines, ms := l.placeable(now, q.least)
	for _, s := range placement.Plan(machines, q.waiting, q.teams) {
		l.planStarts(ms[s.Machine], q.jobs[s.Job], s.Count, now)
	}
	q.drop()
	for _, w := range q.waiting {
		if w.Gang {
			w.EarliestStart = placement.EarliestGangStart(machines, w, l.report)
		}
	}
	l.preemptForGangs(now)
	l.gatherRoom(now)
	q.spare = hasSpareRoom(machines, ms, q.waiting)
	if now-l.preempted >= preemptEvery {
		l.preempt(now)
	}
}

// hasSpareRoom tells whether the machines that are wanted have room enough for what waits.
func hasSpareRoom(machines []placement.Machine, ms []*machine, waiting []*placement.Job) bool {
	room, need := int64(0), int64(0)
	for i, m := range ms {
		if !m.surplus && !m.inZone.closed {
			room += machines[i].Free.CPU
		}
	}
	for _, w := range waiting {
		need += int64(w.Waiting) * w.Need.CPU
	}
	return room >= spareTimes*need
}

// preempt stops running tasks for what presses and found no room.
func (l *Leader) preempt(now micros.Micros) {
	q := &l.queue
	pressing := 0
	for _, w := range q.waiting {
		if w.AtRisk || w.PreemptsBestEffort {
			pressing += w.Waiting
		}
	}
	// Where so many tasks end by themselves that their room serves what presses
	// within moments, stopping others would only waste their saving and fetching.
	soon := l.taskEnds.perSecond(now) * preemptEvery.Seconds()
	l.preempted = now
	if pressing == 0 || float64(pressing) <= soon {
		return
	}
	machines, ms := l.withVictims(now)
	stops, gatherings := placement.Preempt(machines, q.waiting, q.teams, preemptJobs)
	for _, g := range gatherings {
		l.gatherFor(g.For, ms[g.Machine], now)
	}
	for _, s := range stops {
		if a := ms[s.Machine].tasks[taskName(s.Victim.JobID, s.Victim.Task)]; a != nil {
			l.stopVictim(a, s.For, now)
		}
	}
}

// stopVictim stops a task, or the gang that it is of, to make room for a job.
func (l *Leader) stopVictim(a *attempt, by string, now micros.Micros) {
	why := "stopped to make room for " + by
	if a.job.isGang() {
		l.stopGang(a.job, saveGrace(a.job), why, now)
		return
	}
	grace := micros.FromSeconds(a.job.spec.CheckpointDurationS)
	if a.running == 0 || now-a.running < grace {
		grace = 0 // saving takes longer than doing it again
	}
	l.stop(a, grace, why)
}

// endRate measures how many tasks end in a second, lately.
type endRate struct {
	count int // tasks that were done since at
	at    micros.Micros
	rate  float64
}

// perSecond is the rate, which halves its weight with each measurement.
func (r *endRate) perSecond(now micros.Micros) float64 {
	if since := (now - r.at).Seconds(); since >= 1 {
		r.rate = r.rate/2 + float64(r.count)/since/2
		r.count, r.at = 0, now
	}
	return r.rate
}

// queue is what waits, in order, with what is not planned on any machine.
type queue struct {
	waiting []*placement.Job
	jobs    []*job // of these
	teams   map[string]*placement.Team
	least   placement.Resources // that any of them needs
	spare   bool                // the machines that are wanted have room enough for it
}

// drop removes what no longer waits.
func (q *queue) drop() {
	n := 0
	for i, w := range q.waiting {
		if w.Waiting > 0 {
			q.waiting[n], q.jobs[n] = w, q.jobs[i]
			n++
		}
	}
	q.waiting, q.jobs = q.waiting[:n], q.jobs[:n]
	q.least = placement.MinNeed(q.waiting)
}

// spareTimes is how much more room than what waits the wanted machines must have,
// so that it finds some soon: not all of it is where it fits, or reports at once.
const spareTimes = 2

// fill adds to what is planned for a machine that has just reported, from what
// found no room in the last plan.
func (l *Leader) fill(m *machine, now micros.Micros) {
	q := &l.queue
	if len(q.jobs) == 0 || m.surplus && q.spare {
		// A few tasks on each machine would keep all of them busy for ever.
		return
	}
	p := l.placementMachine(m, now)
	for _, j := range m.planned {
		p.Free = p.Free.Add(j.need, -1)
	}
	if !p.Free.Fits(q.least) {
		return
	}
	starts := placement.Fill(&p, q.waiting, q.teams)
	gone := false
	for _, s := range starts {
		gone = gone || q.waiting[s.Job].Waiting == 0
		if j := q.jobs[s.Job]; !j.isGang() || !j.over && s.Count == j.ready(now) {
			l.planStarts(m, j, s.Count, now)
		}
		// Else the gang was cancelled, or its attempt has ended, since the queue was made.
	}
	if gone {
		q.drop()
	}
}

// aged is how long a job waits at most for a start, while none of its tasks is on a
// machine, before it goes before all others: put off by the set-aside rule or by a
// lasting overload of others, the largest would never begin, and one that is late
// already never end. A part of it, so that it stays an exception.
const (
	aged     = 120 * micros.Second
	agedPart = 16
)

// counted is how long a task must run before its start is worth anything. The part of a
// best-effort job that starts first is left alone for so long: what begins loses least when it
// is stopped, so a job let in after two minutes was stopped again within seconds, and had
// not begun for six.
const counted = 35 * micros.Second

// queueEntry is a job of the queue, as placement sees it and as it is.
type queueEntry struct {
	waiting *placement.Job
	job     *job
}

// newQueue lists the jobs that may start tasks now. A job that an earlier term
// may have started waits until no machine's tasks are unknown.
func (l *Leader) newQueue(now micros.Micros) queue {
	teams := l.teamUse()
	unresolved := l.unknownTasks()
	covered := l.covered()
	wall := micros.Wall()
	var entries []queueEntry
	for _, j := range l.jobs {
		l.pardon(j, now)
		n := j.ready(now)
		if n <= 0 || l.mustWait(j, unresolved) {
			continue
		}
		w := l.waitingJob(j, n, covered[j], wall)
		if l.hasAged(j, wall) {
			if rest := l.age(w, j); rest != nil {
				entries = append(entries, queueEntry{rest, j})
			}
		}
		if g := l.gatherings[j.spec.ID]; g != nil {
			g.view = w
		}
		entries = append(entries, queueEntry{w, j})
	}
	waiting := make([]*placement.Job, len(entries))
	for i, e := range entries {
		waiting[i] = e.waiting
	}
	placement.DeferLateJobs(waiting, l.openCPUs(now), wall)
	slices.SortFunc(entries, func(a, b queueEntry) int { return placement.Compare(a.waiting, b.waiting) })
	q := queue{teams: teams, waiting: waiting, jobs: make([]*job, len(entries))}
	for i, e := range entries {
		q.waiting[i], q.jobs[i] = e.waiting, e.job
	}
	q.least = placement.MinNeed(q.waiting)
	return q
}

// waitingJob is a job with n tasks to start as placement sees it.
func (l *Leader) waitingJob(j *job, n int, covered bool, wall micros.Micros) *placement.Job {
	s := j.spec
	w := &placement.Job{
		ID:              s.ID,
		Team:            s.Team,
		Image:           j.image,
		Priority:        j.priority,
		EvacuationRank:  l.band(j),
		OnlyZone:        l.boundTo(j),
		WithinGuarantee: covered,
		Need:            j.need,
		Waiting:         n,
		Total:           s.Tasks,
		InstanceTypes:   s.InstanceTypes,
		Zone:            s.Zone,
		SingleZone:      s.SingleZone,
		SpreadZones:     s.SpreadZones,
		Gang:            j.isGang(),
		AllowSpot:       s.AllowSpot,
		ImageSizeGB:     s.ImageSizeGB,
	}
	w.StartBy, w.LaterStartBys, w.Late = l.dues(j, covered, wall)
	w.AtRisk = w.StartBy-wall < 4*l.report && !j.probing()
	w.PreemptsBestEffort = j.priority > 0 && !j.probing()
	w.DelayTolerant = l.patient(j)
	if j.isGang() && len(j.on) > 0 {
		w.StartBy, w.Late, w.AtRisk = wall, false, !j.probing() // the others of its tasks wait for these
	}
	if j.isGang() {
		w.FailedOn = j.errors
		w.MaxStartDelay = max(acceptAtOnce, wall-j.submitted)
	}
	w.Work = float64(n) * s.CPUs * l.expected(s)
	if s.SingleZone || s.SpreadZones {
		w.TasksPerZone = maps.Clone(j.zones)
	}
	return w
}

// hasAged tells whether a job has waited for a start for so long that it goes before others.
func (l *Leader) hasAged(j *job, wall micros.Micros) bool {
	since := max(j.submitted, j.lastStart)
	if j.ndone > 0 {
		since = max(since, l.beganWall) // no earlier term's starts are known
	}
	return len(j.on) == 0 && wall-since > aged && !j.probing()
}

// age has a part of a job go before all others; the rest, if any, waits as before.
func (l *Leader) age(w *placement.Job, j *job) (rest *placement.Job) {
	w.Aged, w.Late, w.DelayTolerant = true, false, false
	part := 1 + w.Waiting/agedPart
	if w.SingleZone || w.SpreadZones || w.Gang || part >= w.Waiting {
		return nil
	}
	other := *w
	other.Aged, other.DelayTolerant = false, l.patient(j)
	w.Waiting, other.Waiting = part, w.Waiting-part
	return &other
}

// openCPUs counts the GuaranteedCPUs of the machines that may get tasks.
func (l *Leader) openCPUs(now micros.Micros) float64 {
	cpus := 0.0
	for _, m := range l.order {
		if m.openToAll(now) {
			cpus += l.types[m.kind.Type].CPUs
		}
	}
	return cpus
}

// due is when the last of a job's tasks should have started, by the next thing
// expected of it that can still be met; late if there is none.
func (l *Leader) due(j *job, covered bool, wall micros.Micros) (due micros.Micros, late bool) {
	due, _, late = l.dues(j, covered, wall)
	return due, late
}

// dues is due with what else is expected later.
func (l *Leader) dues(j *job, covered bool, wall micros.Micros) (due micros.Micros, later []micros.Micros, late bool) {
	s := j.spec
	run := micros.FromSeconds(l.expected(s))
	expected := false
	var all []micros.Micros
	consider := func(limit micros.Micros) {
		expected = true
		if at := j.submitted + limit; at >= wall {
			all = append(all, at)
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
		case "deadline":
			if s.DeadlineS != nil && o.Times > 1 {
				consider(micros.FromSeconds(*s.DeadlineS*o.Times) - run)
			}
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
	switch {
	case len(all) > 0:
		slices.Sort(all)
		return all[0], all[1:], false
	case expected:
		const never = 365 * 24 * 3600 * micros.Second
		return j.submitted + never, nil, true
	}
	// Nobody said when; a minute of waiting is taken for bearable.
	return j.submitted + 60*micros.Second, nil, false
}

// covered tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (l *Leader) covered() map[*job]bool {
	byTeam := map[string][]*job{}
	for _, j := range l.jobs {
		if !j.atFault { // else it would keep the guarantee from the others
			byTeam[j.spec.Team] = append(byTeam[j.spec.Team], j)
		}
	}
	out := make(map[*job]bool, len(l.jobs))
	for name, jobs := range byTeam {
		t := l.teams[name]
		if t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 {
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
			left = left.Add(j.need, -int64(j.spec.Tasks-j.ndone))
			if left.CPU < 0 || left.GPU < 0 {
				break
			}
			out[j] = true
		}
	}
	return out
}

func guarantee(t settings.Team) placement.Resources {
	return placement.Resources{CPU: floor(t.GuaranteedCPUs), GPU: floor(t.GuaranteedGPUs), Mem: 1 << 60}
}

// teamUse counts what each team's tasks may be using at worst: what is known
// to be on machines and all that machines with unknown tasks could hold.
func (l *Leader) teamUse() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.teams))
	for name, t := range l.teams {
		teams[name] = &placement.Team{Used: l.used[name], Limit: placement.Resources{CPU: floor(t.MaxCPUs), GPU: floor(t.MaxGPUs)}}
	}
	l.hidden = placement.Resources{}
	for _, m := range l.order {
		if !m.resolved {
			if t := l.types[m.kind.Type]; t != nil {
				l.hidden = l.hidden.Add(t.capacity, 1)
			}
		}
	}
	for _, t := range teams {
		// Not even a job that is over can be ruled out there, so all that
		// these machines could hold counts for every team.
		t.Used = t.Used.Add(l.hidden, 1)
	}
	return teams
}

// placementMachine is a machine as placement sees it.
func (l *Leader) placementMachine(m *machine, now micros.Micros) placement.Machine {
	t := l.types[m.kind.Type]
	p := placement.Machine{
		ID:                   m.id,
		InstanceType:         m.kind.Type,
		Zone:                 m.kind.Zone,
		Spot:                 m.kind.Spot,
		Free:                 m.free,
		CommandDelay:         max(0, m.reported+l.report-now),
		Idle:                 len(m.tasks) == 0,
		RejectsDelayTolerant: m.closedToPatient,
		Images:               m.have,
		ImagePullGBPerS:      t.ImagePullGBPerS,
		Penalty:              micros.FromSeconds(l.priceRatio(t, m.kind.Spot) - 1),
	}
	if late := now - m.reported - l.report - l.report/4; late > 0 {
		p.CommandDelay = l.report + late // it has missed a report, and may be gone
	}
	if m == l.answering {
		p.CommandDelay = 0
	}
	if m.surplus {
		p.Penalty += 30 * micros.Second
	}
	if k := m.gathering; k != nil {
		p.ReservedFor = k.view
	}
	p.GangsOnly = m.reserve != nil
	p.ZoneBoundOnly = m.inZone.closed
	return p
}

// placeable lists the machines that may get tasks and have room.
func (l *Leader) placeable(now micros.Micros, least placement.Resources) ([]placement.Machine, []*machine) {
	var out []placement.Machine
	var ms []*machine
	for _, m := range l.order {
		if l.types[m.kind.Type] != nil && m.free.Fits(least) && m.open(now) && now-m.reported <= 3*l.report {
			out = append(out, l.placementMachine(m, now))
			ms = append(ms, m)
		}
	}
	return out, ms
}

// withVictims lists the machines that may get tasks, with what runs there.
func (l *Leader) withVictims(now micros.Micros) ([]placement.Machine, []*machine) {
	covered, spared := l.covered(), l.spared(now)
	out, ms := l.placeable(now, placement.Resources{})
	for i, m := range ms {
		p := &out[i]
		for _, j := range m.planned {
			p.Free = p.Free.Add(j.need, -1)
		}
		for _, a := range m.tasks {
			if a.stopped != 0 {
				p.Releasing = p.Releasing.Add(a.job.need, 1)
			} else if !a.job.over && !spared[a.job] {
				p.Victims = append(p.Victims, l.victim(a, covered[a.job], now))
			}
		}
		slices.SortFunc(p.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
		})
	}
	return out, ms
}

// victim is a running task as placement sees it.
func (l *Leader) victim(a *attempt, covered bool, now micros.Micros) placement.Victim {
	v := placement.Victim{
		JobID:           a.job.spec.ID,
		Task:            a.task,
		Team:            a.job.spec.Team,
		Priority:        a.job.priority,
		Need:            a.job.need,
		WithinGuarantee: covered,
		BestEffort:      a.job.priority == 0 && !covered,
		LostWork:        lostWork(a, now),
	}
	if v.BestEffort {
		v.LostWork += l.setBack(a, now)
	}
	if a.job.isGang() {
		v.Gang, v.LostWork = true, v.LostWork*micros.Micros(len(a.job.on))
	}
	if a.protected && (a.running == 0 || now-a.running < counted) {
		v.BestEffort, v.LostWork = false, v.LostWork+counted
	}
	return v
}

// left is how many seconds a task should still take. The longer one has
// outlasted its estimate, the longer it may go on; a service never ends.
func (l *Leader) left(a *attempt, now micros.Micros) float64 {
	if a.job.spec.Kind == wire.KindService {
		return 3600
	}
	run, ran := l.expected(a.job.spec), (now - a.began).Seconds()
	return math.Max(run-ran, math.Max(run/4, (ran-run)/2))
}

// nearlyOver is how long before its end a task is spared.
const nearlyOver = 30

// setBack is what stopping a best-effort task costs its job besides the work lost: it is
// least for the job that has most yet to start, so that the others end and are out of the
// way; taken from all alike, none of six was over when the day was. And what is nearly
// over frees its room by itself.
func (l *Leader) setBack(a *attempt, now micros.Micros) micros.Micros {
	begun := 1 - float64(a.job.waiting())/float64(a.job.spec.Tasks)
	left := l.expected(a.job.spec) - (now - a.began).Seconds()
	return micros.FromSeconds(10*begun + max(0, nearlyOver-max(0, left)))
}

// lostWork is what stopping a task would waste.
func lostWork(a *attempt, now micros.Micros) micros.Micros {
	if a.running == 0 {
		return 0
	}
	if a.job.spec.CheckpointIntervalS > 0 {
		return min(now-a.running, micros.FromSeconds(a.job.spec.CheckpointDurationS))
	}
	return now - a.running
}
