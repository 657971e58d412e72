// Package placement decides which waiting tasks start on which machines, and
// which running ones are stopped for them. It is pure and deterministic.
package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Resources are in thousandths, so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// Add adds n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory}
}

// CountFitting tells how often need fits into r, at most limit times.
func (r Resources) CountFitting(need Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Memory, need.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(max(0, n))
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool { return r.CountFitting(o, 1) == 1 }

// ImageSet is a set of images, which stand here as small numbers: asking whether
// a machine has an image is what planning does most.
type ImageSet []uint64

// Has tells whether an image is in the set.
func (s ImageSet) Has(image int) bool {
	return image/64 < len(s) && s[image/64]&(1<<(image%64)) != 0
}

// With is the set with an image added; s stays as it is.
func (s ImageSet) With(image int) ImageSet {
	if s.Has(image) {
		return s
	}
	out := make(ImageSet, max(len(s), image/64+1))
	copy(out, s)
	out[image/64] |= 1 << (image % 64)
	return out
}

// Machine is a machine that may take tasks.
type Machine struct {
	ID, InstanceType, Zone string
	Spot                   bool
	Free                   Resources     // nothing holds it
	Releasing              Resources     // held by tasks that are being stopped
	CommandDelay           micros.Micros // until orders reach it
	Idle                   bool          // no task is on it
	Images                 ImageSet      // cached or being fetched
	ImagePullGBPerS        float64       // image fetch
	StartPenalty           micros.Micros // wait that is put up with to leave it idle
	RejectsDelayTolerant   bool          // to patient work: costly, and wanted by no other
	Victims                []Victim      // running tasks that could be stopped
	Completions            []Completion  // when what is on it should end by itself
	ReservedFor            *Job          // its room is gathered for this one; nil: for nobody
	GangsOnly              bool          // only whole jobs may start on it
	ZoneBoundOnly          bool          // to work that is not bound to its zone
}

// Victim is a running task.
type Victim struct {
	JobID           string
	Task            int
	Team            string
	Priority        int
	Need            Resources
	WithinGuarantee bool          // within its team's guarantee
	BestEffort      bool          // of the lowest priority, and guaranteed to nobody
	LostWork        micros.Micros // work that a stop would lose
	Gang            bool          // all tasks of its job stop with it, and Lost is of all
}

// Job is a job with waiting tasks.
type Job struct {
	ID, Team                string
	ImageIndex              int
	Priority                int
	EvacuationRank          int             // in the order in which work leaves a lost zone; 0 for all without one
	OnlyZone                string          // the only zone that it can run in now, empty if there are others
	Aged                    bool            // has waited for its first start so long that it goes before all others
	WithinGuarantee         bool            // within its team's guarantee
	StartDeadline           micros.Micros   // latest good start of its last task
	LaterStartDeadlines     []micros.Micros // the same by what else is expected of it, rising
	WaitingCPUSeconds       float64         // CPU seconds that wait, as estimated
	Late                    bool            // cannot be in time any more, or set aside
	AtRisk                  bool            // would be late if it waited for others to end
	PreemptsBestEffort      bool            // need not wait for best-effort tasks to end
	DelayTolerant           bool            // not worth costly machines
	Need                    Resources
	WaitingTasks            int
	TotalTasks              int
	InstanceTypes           []string
	Zone                    string
	SingleZone, SpreadZones bool
	Gang                    bool          // all waiting tasks start or none does
	MaxStartDelay           micros.Micros // a whole job waits for better places than ones that start it later; 0: any will do
	EarliestStart           micros.Micros // when a whole job should start that takes the best machine that reports next; 0: unknown
	AllowSpot               bool
	ImageSizeGB             float64
	TasksPerZone            map[string]int           // tasks on machines, by zone
	FailedOn                map[string]micros.Micros // machines on which tasks of a whole job failed, and when
}

// Team is what a team uses and may use; 0 in Limit means no limit.
type Team struct{ Used, Limit Resources }

// Start tells to start Count tasks of a job on a machine; both are indexes
// into the input.
type Start struct{ Job, Machine, Count int }

// Preemption tells to stop a victim.
type Preemption struct {
	Machine  int
	Victim   Victim
	ForJobID string // job that needs the room
}

// CompareJobs is the queue's order: what has waited too long to begin, the bands while a zone is
// lost, guarantees, then priorities, then what can still be in time, and of that what is due first.
func CompareJobs(a, b *Job) int {
	if c := compareStanding(a, b); c != 0 {
		return c
	}
	if a.StartDeadline != b.StartDeadline {
		return cmp.Compare(a.StartDeadline, b.StartDeadline)
	}
	return cmp.Compare(a.ID, b.ID)
}

// compareStanding compares what comes before due times. Plans sort thousands of jobs by it.
func compareStanding(a, b *Job) int {
	if a.Aged != b.Aged {
		return boolRank(a.Aged) - boolRank(b.Aged)
	}
	if c := compareEntitlement(a, b); c != 0 {
		return c
	}
	return boolRank(!a.Late) - boolRank(!b.Late)
}

// compareEntitlement compares what a job is entitled to, however long it waits and whatever is due.
func compareEntitlement(a, b *Job) int {
	if a.EvacuationRank != b.EvacuationRank {
		return cmp.Compare(a.EvacuationRank, b.EvacuationRank)
	}
	if a.WithinGuarantee != b.WithinGuarantee {
		return boolRank(a.WithinGuarantee) - boolRank(b.WithinGuarantee)
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// DeferLateJobs marks as late the jobs that too much work keeps from being in time,
// as few as possible: going through the queue, whenever the work so far would
// take a job past its due time, the job with the most work of the same claim is
// put off (Moore's algorithm). Without it, serving by due time makes every job
// of an overload a little late. cpus is what the machines have. What runs
// already is not counted: its room comes free bit by bit, and counting it put
// off jobs that were in time after all. A job that is put off may still meet the
// next thing expected of it, and is late only when there is none: else all that an
// overload puts off once waits until the end.
func DeferLateJobs(jobs []*Job, cpus float64, now micros.Micros) {
	queue := slices.Clone(jobs)
	slices.SortFunc(queue, func(a, b *Job) int { return CompareJobs(a, b) })
	if cpus <= 0 {
		return
	}
	workAhead, overloaded := 0.0, false
	var onTimeByWork []*Job // of the present claim, by work
	for i := 0; i < len(queue); i++ {
		j := queue[i]
		if j.Aged {
			continue
		}
		if i > 0 && compareEntitlement(j, queue[i-1]) != 0 {
			if overloaded {
				setDeadlinesByWork(queue[:i], queue[i-1], cpus, now)
			}
			onTimeByWork, overloaded = onTimeByWork[:0], false
		}
		if j.Late {
			continue
		}
		workAhead += j.WaitingCPUSeconds
		position, _ := slices.BinarySearchFunc(onTimeByWork, j, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
		})
		onTimeByWork = slices.Insert(onTimeByWork, position, j)
		if now+micros.FromSeconds(workAhead/cpus) > j.StartDeadline {
			overloaded = true
			largest := onTimeByWork[len(onTimeByWork)-1]
			workAhead -= largest.WaitingCPUSeconds
			onTimeByWork = onTimeByWork[:len(onTimeByWork)-1]
			for len(largest.LaterStartDeadlines) > 0 && largest.StartDeadline <= j.StartDeadline {
				largest.StartDeadline, largest.LaterStartDeadlines = largest.LaterStartDeadlines[0], largest.LaterStartDeadlines[1:]
			}
			if largest.StartDeadline <= j.StartDeadline {
				largest.Late = true
				continue
			}
			position, _ := slices.BinarySearchFunc(queue[i+1:], largest, CompareJobs)
			queue = slices.Insert(queue, i+1+position, largest)
		}
	}
	if overloaded {
		setDeadlinesByWork(queue, queue[len(queue)-1], cpus, now)
	}
}

// setDeadlinesByWork gives the jobs of like's standing due times in the order
// of their work, as there is too much of it. By their own due times each would start
// just before it is due, and the first surprise, a longer run or a lost machine, would
// make all of them late; done in this order the most are out of the way by then.
func setDeadlinesByWork(jobs []*Job, sample *Job, cpus float64, now micros.Micros) {
	var peers []*Job
	for _, j := range jobs {
		if !j.Aged && compareEntitlement(j, sample) == 0 {
			peers = append(peers, j)
		}
	}
	slices.SortFunc(peers, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(boolRank(!a.Late), boolRank(!b.Late)), cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
	})
	peers = slices.Compact(peers)
	workAhead := 0.0
	for _, j := range peers {
		workAhead += j.WaitingCPUSeconds
		j.StartDeadline = now + micros.FromSeconds(workAhead/cpus)
	}
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// ConstraintsAdmit tells whether a job's constraints that do not depend on its other
// tasks admit a machine.
func ConstraintsAdmit(j *Job, typ, zone string, spot bool) bool {
	return (len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, typ)) &&
		(j.Zone == "" || j.Zone == zone) && (j.AllowSpot || !spot)
}

// acceptsJob tells the same of a machine, and whether the job is worth it.
func acceptsJob(m *Machine, j *Job) bool {
	if m.ReservedFor != nil && m.ReservedFor.ID != j.ID && compareStanding(j, m.ReservedFor) >= 0 {
		return false
	}
	if m.GangsOnly && !j.Gang || m.ZoneBoundOnly && j.OnlyZone != m.Zone {
		return false
	}
	return ConstraintsAdmit(j, m.InstanceType, m.Zone, m.Spot) && !(j.DelayTolerant && m.RejectsDelayTolerant)
}

// ConstraintsAdmitNow tells the same as things are now: where a job's other tasks are may bind the next
// one to their zone, or keep it out.
func ConstraintsAdmitNow(j *Job, typ, zone string, spot bool) bool {
	return ConstraintsAdmit(j, typ, zone, spot) && remainingInZone(j, zone) > 0
}

// remainingInZone tells how many more tasks of j may be in zone.
func remainingInZone(j *Job, zone string) int {
	if j.SingleZone {
		for z, n := range j.TasksPerZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if j.SpreadZones {
		return max(0, (j.TotalTasks+1)/2-j.TasksPerZone[zone])
	}
	return j.TotalTasks
}

// MinNeed is what any of the jobs needs at least, of each resource. A machine with
// less room cannot take a task.
func MinNeed(jobs []*Job) Resources {
	least := Resources{1 << 60, 1 << 60, 1 << 60}
	for _, j := range jobs {
		least = Resources{min(least.CPU, j.Need.CPU), min(least.GPU, j.Need.GPU), min(least.Memory, j.Need.Memory)}
	}
	return least
}

// Plan places what it can of jobs that are in the queue's order, and leaves in
// Waiting what finds no room. It changes the input's machines, jobs and teams as
// it goes. Waiting tasks cost nothing here: the work grows with the jobs, and
// with the machines that have room.
func Plan(machines []Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	minNeed := MinNeed(jobs)
	available := make([]int, 0, len(machines))
	for k := range machines {
		if machines[k].Free.Fits(minNeed) {
			available = append(available, k)
		}
	}
	var largestFree Resources // the largest of each, to pass over jobs quickly
	measureLargestFree := func() {
		largestFree = Resources{}
		for _, k := range available {
			free := machines[k].Free
			largestFree = Resources{max(largestFree.CPU, free.CPU), max(largestFree.GPU, free.GPU), max(largestFree.Memory, free.Memory)}
		}
	}
	measureLargestFree()
	for i, j := range jobs {
		if j.WaitingTasks == 0 || !largestFree.Fits(j.Need) || teams[j.Team].CountAllowed(j.Need, 1) == 0 {
			continue
		}
		choose := placeTasks
		if j.Gang {
			choose = placeGang
		}
		placed := choose(machines, available, i, j, teams[j.Team])
		starts = append(starts, placed...)
		if len(placed) > 0 {
			available = slices.DeleteFunc(available, func(k int) bool { return !machines[k].Free.Fits(minNeed) })
			measureLargestFree()
		}
	}
	return starts
}

// Preempt looks for running work of less claim to stop for pressing jobs that
// found no room, and for best-effort tasks to stop for any other job; at most limit jobs. What it
// frees for a whole job, and the room that was there, is to be gathered for it.
func Preempt(machines []Machine, jobs []*Job, teams map[string]*Team, limit int) (stops []Preemption, reservations []Reservation) {
	for _, j := range jobs {
		if limit == 0 {
			break
		}
		if j.WaitingTasks > 0 && (j.AtRisk || j.PreemptsBestEffort) {
			limit--
			if j.Gang {
				s, k := preemptForGang(machines, j, teams[j.Team])
				stops, reservations = append(stops, s...), append(reservations, k...)
				continue
			}
			s, _, _ := findPreemptions(machines, j, teams[j.Team])
			stops = append(stops, s...)
		}
	}
	return stops, reservations
}

// fillLookahead is how many jobs of one claim Fill compares.
const fillLookahead = 24

// Fill picks tasks for a machine that can start them at once, from jobs in the
// queue's order that found no room before. Of the first jobs of one claim it
// takes what is due first, but a fetch counts as if the job were due later by
// twice its time: it holds the task up and keeps its room from others.
func Fill(m *Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	for {
		best, bestCount := -1, 0
		var bestDeadline micros.Micros
		compared := 0
		for i, j := range jobs {
			if j.WaitingTasks == 0 {
				continue
			}
			if best >= 0 && (compared == fillLookahead || compareStanding(jobs[best], j) != 0) {
				break
			}
			if !m.Free.Fits(j.Need) || !acceptsJob(m, j) {
				continue
			}
			count := m.Free.CountFitting(j.Need, teams[j.Team].CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone))))
			if count == 0 || j.Gang && !shouldTakeGang(m, j, count) {
				continue
			}
			compared++
			if deadline := j.StartDeadline + 2*imagePullTime(m, j); best < 0 || deadline < bestDeadline {
				best, bestCount, bestDeadline = i, count, deadline
			}
		}
		if best < 0 {
			return starts
		}
		assign(m, jobs[best], teams[jobs[best].Team], bestCount)
		starts = append(starts, Start{Job: best, Count: bestCount})
	}
}

// assign counts n tasks of j as being on m.
func assign(m *Machine, j *Job, team *Team, n int) {
	m.Free = m.Free.Add(j.Need, -int64(n))
	m.Idle = false
	m.Images = m.Images.With(j.ImageIndex)
	if team != nil {
		team.Used = team.Used.Add(j.Need, int64(n))
	}
	if j.TasksPerZone == nil {
		j.TasksPerZone = map[string]int{}
	}
	j.TasksPerZone[m.Zone] += n
	j.WaitingTasks -= n
}

// imagePullTime is how long m would fetch the image of j.
func imagePullTime(m *Machine, j *Job) micros.Micros {
	if m.ImagePullGBPerS <= 0 || m.Images.Has(j.ImageIndex) {
		return 0
	}
	return micros.FromSeconds(j.ImageSizeGB / m.ImagePullGBPerS)
}

// failedMachinePenalty is what wait is put up with rather than start a whole job again where a task
// of it failed: one that fails keeps all waiting.
const failedMachinePenalty = 10 * micros.Second

// startCost is how long a task would wait for its start on m, with a little for
// leaving costly and empty machines as they are, and large holes.
func startCost(m *Machine, j *Job) micros.Micros {
	cost := m.CommandDelay + imagePullTime(m, j)
	if m.Idle {
		cost += micros.Second / 2
	}
	if _, ok := j.FailedOn[m.ID]; ok {
		cost += failedMachinePenalty
	}
	leftCPU := m.Free.CPU - j.Need.CPU
	return cost + m.StartPenalty + micros.Micros(leftCPU)*micros.Millisecond/1000*10
}

// isWorthWaitingFor tells whether a start on m may be planned ahead. What presses is
// not kept for a machine whose next report is far off, unless that saves a longer
// fetch: any machine that reports sooner takes it, see Fill.
func isWorthWaitingFor(m *Machine, j *Job) bool {
	return !j.AtRisk || m.CommandDelay <= micros.Second/2 ||
		m.Images.Has(j.ImageIndex) && m.ImagePullGBPerS > 0 && m.CommandDelay < micros.FromSeconds(j.ImageSizeGB/m.ImagePullGBPerS)
}

// CountAllowed is how many tasks of a need, at most limit, the team may still start.
func (t *Team) CountAllowed(need Resources, limit int) int {
	if t == nil {
		return limit
	}
	remaining := Resources{CPU: 1 << 60, GPU: 1 << 60, Memory: 1 << 60}
	if t.Limit.CPU > 0 {
		remaining.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		remaining.GPU = t.Limit.GPU - t.Used.GPU
	}
	return remaining.CountFitting(need, limit)
}

func placeTasks(machines []Machine, open []int, index int, j *Job, team *Team) (starts []Start) {
	type candidate struct {
		machine int
		cost    micros.Micros
	}
	var candidates []candidate
	for _, k := range open {
		m := &machines[k]
		if m.Free.Fits(j.Need) && acceptsJob(m, j) && remainingInZone(j, m.Zone) > 0 && isWorthWaitingFor(m, j) {
			candidates = append(candidates, candidate{k, startCost(m, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(machines[a.machine].ID, machines[b.machine].ID))
	})
	for _, c := range candidates {
		m := &machines[c.machine]
		count := team.CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone)))
		count = m.Free.CountFitting(j.Need, count)
		if count == 0 {
			continue
		}
		assign(m, j, team, count)
		starts = append(starts, Start{Job: index, Machine: c.machine, Count: count})
		if j.WaitingTasks == 0 {
			break
		}
	}
	return starts
}

// isPreemptibleFor tells whether v may be stopped for j: for a higher priority, or to
// give j's team its guarantee from another team's borrowed room.
func isPreemptibleFor(v *Victim, j *Job) bool {
	if v.JobID == j.ID || !j.AtRisk && !v.BestEffort {
		return false
	}
	if j.WithinGuarantee && !v.WithinGuarantee && v.Team != j.Team {
		return true
	}
	return v.Priority < j.Priority && (j.WithinGuarantee || !v.WithinGuarantee)
}

// findPreemptions also tells on which machines there is room, or will be, and how many tasks
// found none.
func findPreemptions(machines []Machine, j *Job, team *Team) (stops []Preemption, machinesWithRoom []int, unplaced int) {
	p := preemptionSearch{machines: machines, job: j, unplaced: team.CountAllowed(j.Need, j.WaitingTasks)}
	// What is being freed already will serve the first in the queue.
	p.useFreeRoom()
	if p.unplaced > 0 {
		p.findCandidates()
	}
	for p.unplaced > 0 && len(p.candidates) > 0 {
		p.preemptFirstCandidate()
	}
	return p.stops, p.machinesWithRoom, p.unplaced
}

// preemptionSearch is the state of a search for what to stop for one job.
type preemptionSearch struct {
	machines         []Machine
	job              *Job
	unplaced         int // tasks that have no room yet
	stops            []Preemption
	machinesWithRoom []int              // machines with room for tasks of a whole job
	candidates       []preemptCandidate // the least loss first
}

// preemptCandidate is a machine with what must stop there for one task, and what that loses.
type preemptCandidate struct {
	machine int
	victims []int
	cost    micros.Micros
}

func compareCandidates(a, b preemptCandidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine, b.machine))
}

// useFreeRoom takes the room that is there or is being freed.
func (p *preemptionSearch) useFreeRoom() {
	for k := range p.machines {
		m := &p.machines[k]
		if p.unplaced == 0 || !acceptsJob(m, p.job) {
			continue
		}
		n := m.Free.Add(m.Releasing, 1).CountFitting(p.job.Need, min(p.unplaced, remainingInZone(p.job, m.Zone)))
		if n > 0 {
			p.reserveRoom(k, n)
		}
	}
}

// reserveRoom counts n tasks as having room on machine k.
func (p *preemptionSearch) reserveRoom(k, n int) {
	m := &p.machines[k]
	m.Releasing = m.Releasing.Add(p.job.Need, -int64(n))
	p.unplaced -= n
	if p.job.Gang {
		p.job.TasksPerZone[m.Zone] += n
		p.machinesWithRoom = append(p.machinesWithRoom, k)
	}
}

// findCandidates looks at each machine once. It is looked at again only after something
// on it is to be stopped.
func (p *preemptionSearch) findCandidates() {
	p.candidates = p.candidates[:0]
	for k := range p.machines {
		if c, ok := p.candidateOn(k); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	slices.SortFunc(p.candidates, compareCandidates)
}

// candidateOn tells what must stop on machine k for one task, if that is possible.
func (p *preemptionSearch) candidateOn(k int) (preemptCandidate, bool) {
	m := &p.machines[k]
	if !acceptsJob(m, p.job) || remainingInZone(p.job, m.Zone) == 0 {
		return preemptCandidate{}, false
	}
	take, lost := pickVictims(m, p.job)
	// The image must be fetched there as well before the task starts.
	return preemptCandidate{k, take, lost + imagePullTime(m, p.job)}, take != nil
}

// preemptFirstCandidate stops what the first candidate names.
func (p *preemptionSearch) preemptFirstCandidate() {
	c := p.candidates[0]
	p.candidates = p.candidates[1:]
	gangs := p.preemptVictims(c)
	p.reserveRoom(c.machine, 1)
	if freed := preemptGangMates(p.machines, gangs, p.job.ID); len(freed) > 0 {
		// Their room serves as well, before anything more is stopped.
		p.stops = append(p.stops, freed...)
		p.useFreeRoom()
		p.findCandidates()
		return
	}
	if c, ok := p.candidateOn(c.machine); ok {
		at, _ := slices.BinarySearchFunc(p.candidates, c, compareCandidates)
		p.candidates = slices.Insert(p.candidates, at, c)
	}
}

// preemptVictims stops a candidate's victims, and tells of their jobs which are gangs.
func (p *preemptionSearch) preemptVictims(c preemptCandidate) map[string]bool {
	m := &p.machines[c.machine]
	gangs := map[string]bool{}
	for _, v := range slices.Backward(c.victims) {
		victim := m.Victims[v]
		gangs[victim.JobID] = victim.Gang
		p.stops = append(p.stops, Preemption{Machine: c.machine, Victim: victim, ForJobID: p.job.ID})
		m.Releasing = m.Releasing.Add(victim.Need, 1)
		m.Victims = slices.Delete(m.Victims, v, v+1)
	}
	return gangs
}

// pickVictims picks, in order of their indexes, the tasks to stop on m for one
// task of j, the least claim and the least lost work first.
func pickVictims(m *Machine, j *Job) (victims []int, cost micros.Micros) {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if isPreemptibleFor(&m.Victims[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		first, second := &m.Victims[a], &m.Victims[b]
		return cmp.Or(cmp.Compare(boolRank(second.WithinGuarantee), boolRank(first.WithinGuarantee)), cmp.Compare(first.Priority, second.Priority),
			cmp.Compare(first.LostWork, second.LostWork), cmp.Compare(first.JobID, second.JobID), cmp.Compare(first.Task, second.Task))
	})
	free := m.Free.Add(m.Releasing, 1)
	counted := map[string]bool{} // gangs whose loss is in lost
	for _, i := range order {
		if free.Fits(j.Need) {
			break
		}
		free = free.Add(m.Victims[i].Need, 1)
		if v := &m.Victims[i]; !v.Gang || !counted[v.JobID] {
			cost += v.LostWork
			counted[v.JobID] = true
		}
		victims = append(victims, i)
	}
	if !free.Fits(j.Need) || victims == nil {
		return nil, 0
	}
	slices.Sort(victims)
	return victims, cost
}
