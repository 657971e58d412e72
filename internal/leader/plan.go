package leader

import (
	"cmp"
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
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
	for _, m := range l.fleet.Sorted {
		m.Planned = m.Planned[:0]
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
func roomExceedsQueue(machines []placement.Machine, ms []*state.Machine, waiting []*placement.Job) bool {
	room, need := int64(0), int64(0)
	for i, m := range ms {
		if !m.Surplus && !m.ZoneReturn.Closed {
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
		if a := ms[s.Machine].Attempts[state.TaskID(s.Victim.JobID, s.Victim.Task)]; a != nil {
			l.preemptVictim(a, s.ForJobID, now)
		}
	}
}

// preemptVictim stops a task, or the gang that it is of, to make room for a job.
func (l *Leader) preemptVictim(a *state.Attempt, by string, now micros.Micros) {
	why := "stopped to make room for " + by
	if a.Job.IsGang() {
		l.stopGangIfReachable(a.Job, state.CheckpointGrace(a.Job), why, now)
		return
	}
	grace := micros.FromSeconds(a.Job.Spec.CheckpointDurationS)
	if a.RunningSince == 0 || now-a.RunningSince < grace {
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
	jobs         []*state.Job // of these
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
func (l *Leader) fillMachine(m *state.Machine, now micros.Micros) {
	q := &l.queue
	if len(q.jobs) == 0 || m.Surplus && q.hasSpareRoom {
		// A few tasks on each machine would keep all of them busy for ever.
		return
	}
	p := l.placementMachine(m, now)
	for _, j := range m.Planned {
		p.Free = p.Free.Add(j.Need, -1)
	}
	if !p.Free.Fits(q.minNeed) {
		return
	}
	starts := placement.Fill(&p, q.waiting, q.teams)
	gone := false
	for _, s := range starts {
		gone = gone || q.waiting[s.Job].WaitingTasks == 0
		if j := q.jobs[s.Job]; !j.IsGang() || !j.Ended && s.Count == j.StartableTasks(now) {
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
	job     *state.Job
}

// newQueue lists the jobs that may start tasks now. A job that an earlier term
// may have started waits until no machine's tasks are unknown.
func (l *Leader) newQueue(now micros.Micros) queue {
	teams := l.worstCaseTeamUse()
	unresolved := l.findUnknownMachines()
	covered := l.workload.JobsWithinGuarantee(l.jobs)
	wall := micros.Wall()
	var entries []queueEntry
	for _, j := range l.jobs {
		l.quarantine.ReviewJob(j, now)
		n := j.StartableTasks(now)
		if n <= 0 || l.mustAwaitReconciliation(j, unresolved) {
			continue
		}
		w := l.placementJob(j, n, covered[j], wall)
		if l.hasAged(j, wall) {
			if rest := l.splitAged(w, j); rest != nil {
				entries = append(entries, queueEntry{rest, j})
			}
		}
		if g := l.reservations[j.Spec.ID]; g != nil {
			g.Waiting = w
		}
		entries = append(entries, queueEntry{w, j})
	}
	waiting := make([]*placement.Job, len(entries))
	for i, e := range entries {
		waiting[i] = e.waiting
	}
	placement.DeferLateJobs(waiting, l.schedulableCPUs(now), wall)
	slices.SortFunc(entries, func(a, b queueEntry) int { return placement.CompareJobs(a.waiting, b.waiting) })
	q := queue{teams: teams, waiting: waiting, jobs: make([]*state.Job, len(entries))}
	for i, e := range entries {
		q.waiting[i], q.jobs[i] = e.waiting, e.job
	}
	q.minNeed = placement.MinNeed(q.waiting)
	return q
}

// placementJob is a job with n tasks to start as placement sees it.
func (l *Leader) placementJob(j *state.Job, n int, covered bool, wall micros.Micros) *placement.Job {
	s := j.Spec
	w := &placement.Job{
		ID:       s.ID,
		Team:     s.Team,
		OnlyZone: l.zones.OnlyZone(j),
		Standing: placement.Standing{
			EvacuationRank:  l.zones.EvacuationRank(j),
			WithinGuarantee: covered,
			Priority:        j.Priority,
		},
		Request: placement.Request{
			Need:         j.Need,
			WaitingTasks: n,
			TotalTasks:   s.Tasks,
			ImageIndex:   j.Image,
			ImageSizeGB:  s.ImageSizeGB,
		},
		Constraints:    j.Constraints(),
		GangScheduling: placement.GangScheduling{Gang: j.IsGang()},
	}
	deadlines := l.workload.StartDeadlines(j, covered, wall)
	w.StartDeadline, w.LaterStartDeadlines, w.Late = deadlines.Next, deadlines.Later, deadlines.Late
	w.AtRisk = w.StartDeadline-wall < 4*l.heartbeatInterval && !j.IsProbing()
	w.PreemptsBestEffort = j.Priority > 0 && !j.IsProbing()
	w.DelayTolerant = l.workload.IsDelayTolerant(j)
	if j.IsGang() && len(j.Attempts) > 0 {
		w.StartDeadline, w.Late, w.AtRisk = wall, false, !j.IsProbing() // the others of its tasks wait for these
	}
	if j.IsGang() {
		w.FailedOn = j.Failures.ByMachine
		w.MaxStartDelay = max(immediateStartLimit, wall-j.SubmittedAt)
	}
	w.WaitingCPUSeconds = float64(n) * s.CPUs * l.workload.ExpectedRuntime(s)
	if s.SingleZone || s.SpreadZones {
		w.TasksPerZone = maps.Clone(j.AttemptsPerZone)
	}
	return w
}

// hasAged tells whether a job has waited for a start for so long that it goes before others.
func (l *Leader) hasAged(j *state.Job, wall micros.Micros) bool {
	since := max(j.SubmittedAt, j.LastStart)
	if j.DoneCount > 0 {
		since = max(since, l.startedAtWall) // no earlier term's starts are known
	}
	return len(j.Attempts) == 0 && wall-since > agingLimit && !j.IsProbing()
}

// splitAged has a part of a job go before all others; the rest, if any, waits as before.
func (l *Leader) splitAged(w *placement.Job, j *state.Job) (rest *placement.Job) {
	w.Aged, w.Late, w.DelayTolerant = true, false, false
	part := 1 + w.WaitingTasks/agingDivisor
	if w.SingleZone || w.SpreadZones || w.Gang || part >= w.WaitingTasks {
		return nil
	}
	other := *w
	other.Aged, other.DelayTolerant = false, l.workload.IsDelayTolerant(j)
	w.WaitingTasks, other.WaitingTasks = part, w.WaitingTasks-part
	return &other
}

// schedulableCPUs counts the CPUs of the machines that may get tasks.
func (l *Leader) schedulableCPUs(now micros.Micros) float64 {
	cpus := 0.0
	for _, m := range l.fleet.Sorted {
		if m.IsOpenToAllZones(now) {
			cpus += l.scaler.Type(m.Offering.Type).CPUs
		}
	}
	return cpus
}

// worstCaseTeamUse counts what each team's tasks may be using at worst: what is known
// to be on machines and all that machines with unknown tasks could hold.
func (l *Leader) worstCaseTeamUse() map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for name, t := range l.workload.Teams() {
		teams[name] = &placement.Team{Used: l.teamUsage[name], Limit: t.Limit}
	}
	l.unknownUsage = placement.Resources{}
	for _, m := range l.fleet.Sorted {
		if !m.TasksKnown() {
			if t := l.scaler.Type(m.Offering.Type); t != nil {
				l.unknownUsage = l.unknownUsage.Add(t.Capacity, 1)
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
func (l *Leader) placementMachine(m *state.Machine, now micros.Micros) placement.Machine {
	t := l.scaler.Type(m.Offering.Type)
	p := placement.Machine{
		ID:           m.ID,
		InstanceType: m.Offering.Type,
		Zone:         m.Offering.Zone,
		Spot:         m.Offering.Spot,
		Free:         m.Free,
		StartFactors: placement.StartFactors{
			CommandDelay:    max(0, m.Heartbeat.ReceivedAt+l.heartbeatInterval-now),
			Images:          m.ImageSet,
			ImagePullGBPerS: t.ImagePullGBPerS,
			Idle:            len(m.Attempts) == 0,
			StartPenalty:    micros.FromSeconds(l.scaler.PriceRatio(t, m.Offering.Spot) - 1),
		},
		Restrictions: placement.Restrictions{RejectsDelayTolerant: m.RejectsDelayTolerant},
	}
	if late := now - m.Heartbeat.ReceivedAt - l.heartbeatInterval - l.heartbeatInterval/4; late > 0 {
		p.CommandDelay = l.heartbeatInterval + late // it has missed a report, and may be gone
	}
	if m == l.responding {
		p.CommandDelay = 0
	}
	if m.Surplus {
		p.StartPenalty += 30 * micros.Second
	}
	if k := m.Reservation; k != nil {
		p.ReservedFor = k.Waiting
	}
	p.GangsOnly = m.Pool.IsSet()
	p.ZoneBoundOnly = m.ZoneReturn.Closed
	return p
}

// schedulableMachines lists the machines that may get tasks and have room.
func (l *Leader) schedulableMachines(now micros.Micros, least placement.Resources) ([]placement.Machine, []*state.Machine) {
	var out []placement.Machine
	var ms []*state.Machine
	for _, m := range l.fleet.Sorted {
		if l.scaler.Type(m.Offering.Type) != nil && m.Free.Fits(least) && m.IsSchedulable(now) && now-m.Heartbeat.ReceivedAt <= 3*l.heartbeatInterval {
			out = append(out, l.placementMachine(m, now))
			ms = append(ms, m)
		}
	}
	return out, ms
}

// machinesWithVictims lists the machines that may get tasks, with what runs there.
func (l *Leader) machinesWithVictims(now micros.Micros) ([]placement.Machine, []*state.Machine) {
	covered, spared := l.workload.JobsWithinGuarantee(l.jobs), l.nonPreemptibleGangs(now)
	out, ms := l.schedulableMachines(now, placement.Resources{})
	for i, m := range ms {
		p := &out[i]
		for _, j := range m.Planned {
			p.Free = p.Free.Add(j.Need, -1)
		}
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 {
				p.Releasing = p.Releasing.Add(a.Job.Need, 1)
			} else if !a.Job.Ended && !spared[a.Job] {
				p.Victims = append(p.Victims, l.placementVictim(a, covered[a.Job], now))
			}
		}
		slices.SortFunc(p.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
		})
	}
	return out, ms
}

// placementVictim is a running task as placement sees it.
func (l *Leader) placementVictim(a *state.Attempt, covered bool, now micros.Micros) placement.Victim {
	v := placement.Victim{
		JobID:           a.Job.Spec.ID,
		Task:            a.Index,
		Team:            a.Job.Spec.Team,
		Priority:        a.Job.Priority,
		Need:            a.Job.Need,
		WithinGuarantee: covered,
		BestEffort:      a.Job.Priority == 0 && !covered,
		LostWork:        workload.LostWork(a, now),
	}
	if v.BestEffort {
		v.LostWork += l.workload.PreemptionSetback(a, now)
	}
	if a.Job.IsGang() {
		v.Gang, v.LostWork = true, v.LostWork*micros.Micros(len(a.Job.Attempts))
	}
	if a.Protected && (a.RunningSince == 0 || now-a.RunningSince < minCountedRun) {
		v.BestEffort, v.LostWork = false, v.LostWork+minCountedRun
	}
	return v
}
