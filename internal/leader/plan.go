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
	minPlanInterval = 100 * micros.Millisecond
	maxPlanInterval = micros.Second
	preemptInterval = micros.Second
	maxPreemptJobs  = 8 // that a plan stops others for
)

// planIfNeeded plans anew when something changed or the queue grows old, though
// it never takes more than a small part of the processor's time.
func (l *Leader) planIfNeeded(now micros.Micros) {
	since := now - l.plannedAt
	if !l.ready || since < 10*l.planDuration || !(l.replan && since >= minPlanInterval || len(l.queue.jobs) > 0 && since >= maxPlanInterval) {
		return
	}
	l.replan = false
	l.plan(now)
	l.plannedAt = micros.Now()
	l.planDuration = l.plannedAt - now
}

// plan decides anew what every machine's next answer starts. Plans that were
// not sent yet are made again: only sent starts bind.
func (l *Leader) plan(now micros.Micros) {
	for _, m := range l.sorted {
		m.planned = m.planned[:0]
	}
	l.queue = l.newQueue(now)
	q := &l.queue
	if len(q.jobs) == 0 || !l.Term.IsExclusive() {
		return
	}
	machines, ms := l.schedulableMachines(now, q.minNeed)
	for _, s := range placement.Plan(machines, q.waiting, q.teams) {
		l.planStarts(ms[s.Machine], q.jobs[s.Job], s.Count, now)
	}
	q.drop()
	for _, w := range q.waiting {
		if w.Gang {
			w.EarliestStart = placement.EarliestGangStart(machines, w, l.heartbeatInterval)
		}
	}
	l.preemptForGangs(now)
	l.reserveRoom(now)
	q.hasSpareRoom = roomExceedsQueue(machines, ms, q.waiting)
	if now-l.preemptedAt >= preemptInterval {
		l.preempt(now)
	}
}

// roomExceedsQueue tells whether the machines that are wanted have room enough for what waits.
func roomExceedsQueue(machines []placement.Machine, ms []*machine, waiting []*placement.Job) bool {
	room, need := int64(0), int64(0)
	for i, m := range ms {
		if !m.surplus && !m.zoneReturn.closed {
			room += machines[i].Free.CPU
		}
	}
	for _, w := range waiting {
		need += int64(w.WaitingTasks) * w.Need.CPU
	}
	return room >= spareRoomFactor*need
}

// preempt stops running tasks for what presses and found no room.
func (l *Leader) preempt(now micros.Micros) {
	q := &l.queue
	pressing := 0
	for _, w := range q.waiting {
		if w.AtRisk || w.PreemptsBestEffort {
			pressing += w.WaitingTasks
		}
	}
	// Where so many tasks end by themselves that their room serves what presses
	// within moments, stopping others would only waste their saving and fetching.
	soon := l.completions.perSecond(now) * preemptInterval.Seconds()
	l.preemptedAt = now
	if pressing == 0 || float64(pressing) <= soon {
		return
	}
	machines, ms := l.machinesWithVictims(now)
	stops, gatherings := placement.Preempt(machines, q.waiting, q.teams, maxPreemptJobs)
	for _, g := range gatherings {
		l.reserveMachineFor(g.ForJobID, ms[g.Machine], now)
	}
	for _, s := range stops {
		if a := ms[s.Machine].attempts[taskID(s.Victim.JobID, s.Victim.Task)]; a != nil {
			l.preemptVictim(a, s.ForJobID, now)
		}
	}
}

// preemptVictim stops a task, or the gang that it is of, to make room for a job.
func (l *Leader) preemptVictim(a *attempt, by string, now micros.Micros) {
	why := "stopped to make room for " + by
	if a.job.isGang() {
		l.stopGangIfReachable(a.job, checkpointGrace(a.job), why, now)
		return
	}
	grace := micros.FromSeconds(a.job.spec.CheckpointDurationS)
	if a.runningSince == 0 || now-a.runningSince < grace {
		grace = 0 // saving takes longer than doing it again
	}
	l.stopTask(a, grace, why)
}

// completionRate measures how many tasks end in a second, lately.
type completionRate struct {
	count int // tasks that were done since at
	since micros.Micros
	rate  float64
}

// perSecond is the rate, which halves its weight with each measurement.
func (r *completionRate) perSecond(now micros.Micros) float64 {
	if since := (now - r.since).Seconds(); since >= 1 {
		r.rate = r.rate/2 + float64(r.count)/since/2
		r.count, r.since = 0, now
	}
	return r.rate
}

// queue is what waits, in order, with what is not planned on any machine.
type queue struct {
	waiting      []*placement.Job
	jobs         []*job // of these
	teams        map[string]*placement.Team
	minNeed      placement.Resources // that any of them needs
	hasSpareRoom bool                // the machines that are wanted have room enough for it
}

// drop removes what no longer waits.
func (q *queue) drop() {
	n := 0
	for i, w := range q.waiting {
		if w.WaitingTasks > 0 {
			q.waiting[n], q.jobs[n] = w, q.jobs[i]
			n++
		}
	}
	q.waiting, q.jobs = q.waiting[:n], q.jobs[:n]
	q.minNeed = placement.MinNeed(q.waiting)
}

// spareRoomFactor is how much more room than what waits the wanted machines must have,
// so that it finds some soon: not all of it is where it fits, or reports at once.
const spareRoomFactor = 2

// fillMachine adds to what is planned for a machine that has just reported, from what
// found no room in the last plan.
func (l *Leader) fillMachine(m *machine, now micros.Micros) {
	q := &l.queue
	if len(q.jobs) == 0 || m.surplus && q.hasSpareRoom {
		// A few tasks on each machine would keep all of them busy for ever.
		return
	}
	p := l.placementMachine(m, now)
	for _, j := range m.planned {
		p.Free = p.Free.Add(j.need, -1)
	}
	if !p.Free.Fits(q.minNeed) {
		return
	}
	starts := placement.Fill(&p, q.waiting, q.teams)
	gone := false
	for _, s := range starts {
		gone = gone || q.waiting[s.Job].WaitingTasks == 0
		if j := q.jobs[s.Job]; !j.isGang() || !j.ended && s.Count == j.startableTasks(now) {
			l.planStarts(m, j, s.Count, now)
		}
		// Else the gang was cancelled, or its attempt has ended, since the queue was made.
	}
	if gone {
		q.drop()
	}
}

// agingLimit is how long a job waits at most for a start, while none of its tasks is on a
// machine, before it goes before all others: put off by the set-aside rule or by a
// lasting overload of others, the largest would never begin, and one that is late
// already never end. A part of it, so that it stays an exception.
const (
	agingLimit   = 120 * micros.Second
	agingDivisor = 16
)

// minCountedRun is how long a task must run before its start is worth anything. The part of a
// best-effort job that starts first is left alone for so long: what begins loses least when it
// is stopped, so a job let in after two minutes was stopped again within seconds, and had
// not begun for six.
const minCountedRun = 35 * micros.Second

// queueEntry is a job of the queue, as placement sees it and as it is.
type queueEntry struct {
	waiting *placement.Job
	job     *job
}

// newQueue lists the jobs that may start tasks now. A job that an earlier term
// may have started waits until no machine's tasks are unknown.
func (l *Leader) newQueue(now micros.Micros) queue {
	teams := l.worstCaseTeamUse()
	unresolved := l.unknownMachinesNow()
	covered := l.jobsWithinGuarantee()
	wall := micros.Wall()
	var entries []queueEntry
	for _, j := range l.jobs {
		l.liftQuarantine(j, now)
		n := j.startableTasks(now)
		if n <= 0 || l.mustAwaitReconciliation(j, unresolved) {
			continue
		}
		w := l.placementJob(j, n, covered[j], wall)
		if l.hasAged(j, wall) {
			if rest := l.splitAged(w, j); rest != nil {
				entries = append(entries, queueEntry{rest, j})
			}
		}
		if g := l.reservations[j.spec.ID]; g != nil {
			g.waiting = w
		}
		entries = append(entries, queueEntry{w, j})
	}
	waiting := make([]*placement.Job, len(entries))
	for i, e := range entries {
		waiting[i] = e.waiting
	}
	placement.DeferLateJobs(waiting, l.schedulableCPUs(now), wall)
	slices.SortFunc(entries, func(a, b queueEntry) int { return placement.CompareJobs(a.waiting, b.waiting) })
	q := queue{teams: teams, waiting: waiting, jobs: make([]*job, len(entries))}
	for i, e := range entries {
		q.waiting[i], q.jobs[i] = e.waiting, e.job
	}
	q.minNeed = placement.MinNeed(q.waiting)
	return q
}

// placementJob is a job with n tasks to start as placement sees it.
func (l *Leader) placementJob(j *job, n int, covered bool, wall micros.Micros) *placement.Job {
	s := j.spec
	w := &placement.Job{
		ID:              s.ID,
		Team:            s.Team,
		ImageIndex:      j.image,
		Priority:        j.priority,
		EvacuationRank:  l.evacuationRank(j),
		OnlyZone:        l.onlyZone(j),
		WithinGuarantee: covered,
		Need:            j.need,
		WaitingTasks:    n,
		TotalTasks:      s.Tasks,
		InstanceTypes:   s.InstanceTypes,
		Zone:            s.Zone,
		SingleZone:      s.SingleZone,
		SpreadZones:     s.SpreadZones,
		Gang:            j.isGang(),
		AllowSpot:       s.AllowSpot,
		ImageSizeGB:     s.ImageSizeGB,
	}
	w.StartDeadline, w.LaterStartDeadlines, w.Late = l.startDeadlines(j, covered, wall)
	w.AtRisk = w.StartDeadline-wall < 4*l.heartbeatInterval && !j.isProbing()
	w.PreemptsBestEffort = j.priority > 0 && !j.isProbing()
	w.DelayTolerant = l.isDelayTolerant(j)
	if j.isGang() && len(j.attempts) > 0 {
		w.StartDeadline, w.Late, w.AtRisk = wall, false, !j.isProbing() // the others of its tasks wait for these
	}
	if j.isGang() {
		w.FailedOn = j.failures.byMachine
		w.MaxStartDelay = max(immediateStartLimit, wall-j.submittedAt)
	}
	w.WaitingCPUSeconds = float64(n) * s.CPUs * l.expectedRuntime(s)
	if s.SingleZone || s.SpreadZones {
		w.TasksPerZone = maps.Clone(j.attemptsPerZone)
	}
	return w
}

// hasAged tells whether a job has waited for a start for so long that it goes before others.
func (l *Leader) hasAged(j *job, wall micros.Micros) bool {
	since := max(j.submittedAt, j.lastStart)
	if j.doneCount > 0 {
		since = max(since, l.startedAtWall) // no earlier term's starts are known
	}
	return len(j.attempts) == 0 && wall-since > agingLimit && !j.isProbing()
}

// splitAged has a part of a job go before all others; the rest, if any, waits as before.
func (l *Leader) splitAged(w *placement.Job, j *job) (rest *placement.Job) {
	w.Aged, w.Late, w.DelayTolerant = true, false, false
	part := 1 + w.WaitingTasks/agingDivisor
	if w.SingleZone || w.SpreadZones || w.Gang || part >= w.WaitingTasks {
		return nil
	}
	other := *w
	other.Aged, other.DelayTolerant = false, l.isDelayTolerant(j)
	w.WaitingTasks, other.WaitingTasks = part, w.WaitingTasks-part
	return &other
}

// schedulableCPUs counts the GuaranteedCPUs of the machines that may get tasks.
func (l *Leader) schedulableCPUs(now micros.Micros) float64 {
	cpus := 0.0
	for _, m := range l.sorted {
		if m.isOpenToAllZones(now) {
			cpus += l.types[m.offering.Type].CPUs
		}
	}
	return cpus
}

// startDeadline is when the last of a job's tasks should have started, by the next thing
// expected of it that can still be met; late if there is none.
func (l *Leader) startDeadline(j *job, covered bool, wall micros.Micros) (due micros.Micros, late bool) {
	due, _, late = l.startDeadlines(j, covered, wall)
	return due, late
}

// startDeadlines is due with what else is expected later.
func (l *Leader) startDeadlines(j *job, covered bool, wall micros.Micros) (due micros.Micros, later []micros.Micros, late bool) {
	s := j.spec
	run := micros.FromSeconds(l.expectedRuntime(s))
	expected := false
	var all []micros.Micros
	consider := func(limit micros.Micros) {
		expected = true
		if at := j.submittedAt + limit; at >= wall {
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
			if covered && len(j.attempts)+j.doneCount == 0 {
				consider(micros.FromSeconds(o.WithinS))
			}
		case "wait":
			if len(j.attempts)+j.doneCount == 0 {
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
		return j.submittedAt + never, nil, true
	}
	// Nobody said when; a minute of waiting is taken for bearable.
	return j.submittedAt + 60*micros.Second, nil, false
}

// jobsWithinGuarantee tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (l *Leader) jobsWithinGuarantee() map[*job]bool {
	byTeam := map[string][]*job{}
	for _, j := range l.jobs {
		if !j.failures.quarantined { // else it would keep the guarantee from the others
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
			return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.spec.ID, b.spec.ID))
		})
		left := guarantee(t)
		for _, j := range jobs {
			if !left.Fits(j.need) {
				break
			}
			left = left.Add(j.need, -int64(j.spec.Tasks-j.doneCount))
			if left.CPU < 0 || left.GPU < 0 {
				break
			}
			out[j] = true
		}
	}
	return out
}

func guarantee(t settings.Team) placement.Resources {
	return placement.Resources{CPU: floor(t.GuaranteedCPUs), GPU: floor(t.GuaranteedGPUs), Memory: 1 << 60}
}

// worstCaseTeamUse counts what each team's tasks may be using at worst: what is known
// to be on machines and all that machines with unknown tasks could hold.
func (l *Leader) worstCaseTeamUse() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.teams))
	for name, t := range l.teams {
		teams[name] = &placement.Team{Used: l.teamUsage[name], Limit: placement.Resources{CPU: floor(t.MaxCPUs), GPU: floor(t.MaxGPUs)}}
	}
	l.unknownUsage = placement.Resources{}
	for _, m := range l.sorted {
		if !m.tasksKnown() {
			if t := l.types[m.offering.Type]; t != nil {
				l.unknownUsage = l.unknownUsage.Add(t.capacity, 1)
			}
		}
	}
	for _, t := range teams {
		// Not even a job that is over can be ruled out there, so all that
		// these machines could hold counts for every team.
		t.Used = t.Used.Add(l.unknownUsage, 1)
	}
	return teams
}

// placementMachine is a machine as placement sees it.
func (l *Leader) placementMachine(m *machine, now micros.Micros) placement.Machine {
	t := l.types[m.offering.Type]
	p := placement.Machine{
		ID:                   m.id,
		InstanceType:         m.offering.Type,
		Zone:                 m.offering.Zone,
		Spot:                 m.offering.Spot,
		Free:                 m.free,
		CommandDelay:         max(0, m.heartbeat.receivedAt+l.heartbeatInterval-now),
		Idle:                 len(m.attempts) == 0,
		RejectsDelayTolerant: m.rejectsDelayTolerant,
		Images:               m.imageSet,
		ImagePullGBPerS:      t.ImagePullGBPerS,
		StartPenalty:         micros.FromSeconds(l.priceRatio(t, m.offering.Spot) - 1),
	}
	if late := now - m.heartbeat.receivedAt - l.heartbeatInterval - l.heartbeatInterval/4; late > 0 {
		p.CommandDelay = l.heartbeatInterval + late // it has missed a report, and may be gone
	}
	if m == l.responding {
		p.CommandDelay = 0
	}
	if m.surplus {
		p.StartPenalty += 30 * micros.Second
	}
	if k := m.reservation; k != nil {
		p.ReservedFor = k.waiting
	}
	p.GangsOnly = m.pool != nil
	p.ZoneBoundOnly = m.zoneReturn.closed
	return p
}

// schedulableMachines lists the machines that may get tasks and have room.
func (l *Leader) schedulableMachines(now micros.Micros, least placement.Resources) ([]placement.Machine, []*machine) {
	var out []placement.Machine
	var ms []*machine
	for _, m := range l.sorted {
		if l.types[m.offering.Type] != nil && m.free.Fits(least) && m.isSchedulable(now) && now-m.heartbeat.receivedAt <= 3*l.heartbeatInterval {
			out = append(out, l.placementMachine(m, now))
			ms = append(ms, m)
		}
	}
	return out, ms
}

// machinesWithVictims lists the machines that may get tasks, with what runs there.
func (l *Leader) machinesWithVictims(now micros.Micros) ([]placement.Machine, []*machine) {
	covered, spared := l.jobsWithinGuarantee(), l.nonPreemptibleGangs(now)
	out, ms := l.schedulableMachines(now, placement.Resources{})
	for i, m := range ms {
		p := &out[i]
		for _, j := range m.planned {
			p.Free = p.Free.Add(j.need, -1)
		}
		for _, a := range m.attempts {
			if a.stopRequestedAt != 0 {
				p.Releasing = p.Releasing.Add(a.job.need, 1)
			} else if !a.job.ended && !spared[a.job] {
				p.Victims = append(p.Victims, l.placementVictim(a, covered[a.job], now))
			}
		}
		slices.SortFunc(p.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
		})
	}
	return out, ms
}

// placementVictim is a running task as placement sees it.
func (l *Leader) placementVictim(a *attempt, covered bool, now micros.Micros) placement.Victim {
	v := placement.Victim{
		JobID:           a.job.spec.ID,
		Task:            a.index,
		Team:            a.job.spec.Team,
		Priority:        a.job.priority,
		Need:            a.job.need,
		WithinGuarantee: covered,
		BestEffort:      a.job.priority == 0 && !covered,
		LostWork:        lostWork(a, now),
	}
	if v.BestEffort {
		v.LostWork += l.preemptionSetback(a, now)
	}
	if a.job.isGang() {
		v.Gang, v.LostWork = true, v.LostWork*micros.Micros(len(a.job.attempts))
	}
	if a.protected && (a.runningSince == 0 || now-a.runningSince < minCountedRun) {
		v.BestEffort, v.LostWork = false, v.LostWork+minCountedRun
	}
	return v
}

// remainingRuntime is how many seconds a task should still take. The longer one has
// outlasted its estimate, the longer it may go on; a service never ends.
func (l *Leader) remainingRuntime(a *attempt, now micros.Micros) float64 {
	if a.job.spec.Kind == wire.KindService {
		return 3600
	}
	run, ran := l.expectedRuntime(a.job.spec), (now - a.startedAt).Seconds()
	return math.Max(run-ran, math.Max(run/4, (ran-run)/2))
}

// nearlyDoneS is how long before its end a task is spared.
const nearlyDoneS = 30

// preemptionSetback is what stopping a best-effort task costs its job besides the work lost: it is
// least for the job that has most yet to start, so that the others end and are out of the
// way; taken from all alike, none of six was over when the day was. And what is nearly
// over frees its room by itself.
func (l *Leader) preemptionSetback(a *attempt, now micros.Micros) micros.Micros {
	begun := 1 - float64(a.job.waiting())/float64(a.job.spec.Tasks)
	left := l.expectedRuntime(a.job.spec) - (now - a.startedAt).Seconds()
	return micros.FromSeconds(10*begun + max(0, nearlyDoneS-max(0, left)))
}

// lostWork is what stopping a task would waste.
func lostWork(a *attempt, now micros.Micros) micros.Micros {
	if a.runningSince == 0 {
		return 0
	}
	if a.job.spec.CheckpointIntervalS > 0 {
		return min(now-a.runningSince, micros.FromSeconds(a.job.spec.CheckpointDurationS))
	}
	return now - a.runningSince
}
