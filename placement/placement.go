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
	if c := compareClaim(a, b); c != 0 {
		return c
	}
	if a.StartDeadline != b.StartDeadline {
		return cmp.Compare(a.StartDeadline, b.StartDeadline)
	}
	return cmp.Compare(a.ID, b.ID)
}

// compareClaim compares what comes before due times. Plans sort thousands of jobs by it.
func compareClaim(a, b *Job) int {
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
	order := slices.Clone(jobs)
	slices.SortFunc(order, func(a, b *Job) int { return CompareJobs(a, b) })
	if cpus <= 0 {
		return
	}
	ahead, strained := 0.0, false
	var onTime []*Job // of the present claim, by work
	for i := 0; i < len(order); i++ {
		j := order[i]
		if j.Aged {
			continue
		}
		if i > 0 && compareEntitlement(j, order[i-1]) != 0 {
			if strained {
				orderByWork(order[:i], order[i-1], cpus, now)
			}
			onTime, strained = onTime[:0], false
		}
		if j.Late {
			continue
		}
		ahead += j.WaitingCPUSeconds
		at, _ := slices.BinarySearchFunc(onTime, j, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
		})
		onTime = slices.Insert(onTime, at, j)
		if now+micros.FromSeconds(ahead/cpus) > j.StartDeadline {
			strained = true
			most := onTime[len(onTime)-1]
			ahead -= most.WaitingCPUSeconds
			onTime = onTime[:len(onTime)-1]
			for len(most.LaterStartDeadlines) > 0 && most.StartDeadline <= j.StartDeadline {
				most.StartDeadline, most.LaterStartDeadlines = most.LaterStartDeadlines[0], most.LaterStartDeadlines[1:]
			}
			if most.StartDeadline <= j.StartDeadline {
				most.Late = true
				continue
			}
			at, _ := slices.BinarySearchFunc(order[i+1:], most, CompareJobs)
			order = slices.Insert(order, i+1+at, most)
		}
	}
	if strained {
		orderByWork(order, order[len(order)-1], cpus, now)
	}
}

// orderByWork gives the jobs of like's standing due times in the order
// of their work, as there is too much of it. By their own due times each would start
// just before it is due, and the first surprise, a longer run or a lost machine, would
// make all of them late; done in this order the most are out of the way by then.
func orderByWork(jobs []*Job, like *Job, cpus float64, now micros.Micros) {
	var same []*Job
	for _, j := range jobs {
		if !j.Aged && compareEntitlement(j, like) == 0 {
			same = append(same, j)
		}
	}
	slices.SortFunc(same, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(boolRank(!a.Late), boolRank(!b.Late)), cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
	})
	same = slices.Compact(same)
	ahead := 0.0
	for _, j := range same {
		ahead += j.WaitingCPUSeconds
		j.StartDeadline = now + micros.FromSeconds(ahead/cpus)
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

// admits tells the same of a machine, and whether the job is worth it.
func admits(m *Machine, j *Job) bool {
	if m.ReservedFor != nil && m.ReservedFor.ID != j.ID && compareClaim(j, m.ReservedFor) >= 0 {
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
	least := MinNeed(jobs)
	open := make([]int, 0, len(machines))
	for k := range machines {
		if machines[k].Free.Fits(least) {
			open = append(open, k)
		}
	}
	var free Resources // the largest of each, to pass over jobs quickly
	measure := func() {
		free = Resources{}
		for _, k := range open {
			f := machines[k].Free
			free = Resources{max(free.CPU, f.CPU), max(free.GPU, f.GPU), max(free.Memory, f.Memory)}
		}
	}
	measure()
	for i, j := range jobs {
		if j.WaitingTasks == 0 || !free.Fits(j.Need) || teams[j.Team].CountAllowed(j.Need, 1) == 0 {
			continue
		}
		choose := place
		if j.Gang {
			choose = placeGang
		}
		placed := choose(machines, open, i, j, teams[j.Team])
		starts = append(starts, placed...)
		if len(placed) > 0 {
			open = slices.DeleteFunc(open, func(k int) bool { return !machines[k].Free.Fits(least) })
			measure()
		}
	}
	return starts
}

// Preempt looks for running work of less claim to stop for pressing jobs that
// found no room, and for best-effort tasks to stop for any other job; at most limit jobs. What it
// frees for a whole job, and the room that was there, is to be gathered for it.
func Preempt(machines []Machine, jobs []*Job, teams map[string]*Team, limit int) (stops []Preemption, gatherings []Reservation) {
	for _, j := range jobs {
		if limit == 0 {
			break
		}
		if j.WaitingTasks > 0 && (j.AtRisk || j.PreemptsBestEffort) {
			limit--
			if j.Gang {
				s, k := preemptForGang(machines, j, teams[j.Team])
				stops, gatherings = append(stops, s...), append(gatherings, k...)
				continue
			}
			s, _, _ := preempt(machines, j, teams[j.Team])
			stops = append(stops, s...)
		}
	}
	return stops, gatherings
}

// lookahead is how many jobs of one claim Fill compares.
const lookahead = 24

// Fill picks tasks for a machine that can start them at once, from jobs in the
// queue's order that found no room before. Of the first jobs of one claim it
// takes what is due first, but a fetch counts as if the job were due later by
// twice its time: it holds the task up and keeps its room from others.
func Fill(m *Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	for {
		best, bestCount := -1, 0
		var bestDue micros.Micros
		seen := 0
		for i, j := range jobs {
			if j.WaitingTasks == 0 {
				continue
			}
			if best >= 0 && (seen == lookahead || compareClaim(jobs[best], j) != 0) {
				break
			}
			if !m.Free.Fits(j.Need) || !admits(m, j) {
				continue
			}
			n := m.Free.CountFitting(j.Need, teams[j.Team].CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone))))
			if n == 0 || j.Gang && !takesGang(m, j, n) {
				continue
			}
			seen++
			if due := j.StartDeadline + 2*imagePullTime(m, j); best < 0 || due < bestDue {
				best, bestCount, bestDue = i, n, due
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
	c := m.CommandDelay + imagePullTime(m, j)
	if m.Idle {
		c += micros.Second / 2
	}
	if _, ok := j.FailedOn[m.ID]; ok {
		c += failedMachinePenalty
	}
	left := m.Free.CPU - j.Need.CPU
	return c + m.StartPenalty + micros.Micros(left)*micros.Millisecond/1000*10
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
	left := Resources{CPU: 1 << 60, GPU: 1 << 60, Memory: 1 << 60}
	if t.Limit.CPU > 0 {
		left.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		left.GPU = t.Limit.GPU - t.Used.GPU
	}
	return left.CountFitting(need, limit)
}

func place(machines []Machine, open []int, index int, j *Job, team *Team) (starts []Start) {
	type candidate struct {
		machine int
		cost    micros.Micros
	}
	var candidates []candidate
	for _, k := range open {
		m := &machines[k]
		if m.Free.Fits(j.Need) && admits(m, j) && remainingInZone(j, m.Zone) > 0 && isWorthWaitingFor(m, j) {
			candidates = append(candidates, candidate{k, startCost(m, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(machines[a.machine].ID, machines[b.machine].ID))
	})
	for _, c := range candidates {
		m := &machines[c.machine]
		n := team.CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone)))
		n = m.Free.CountFitting(j.Need, n)
		if n == 0 {
			continue
		}
		assign(m, j, team, n)
		starts = append(starts, Start{Job: index, Machine: c.machine, Count: n})
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

// preempt also tells on which machines there is room, or will be, and how many tasks
// found none.
func preempt(machines []Machine, j *Job, team *Team) (stops []Preemption, room []int, want int) {
	p := preemption{machines: machines, job: j, want: team.CountAllowed(j.Need, j.WaitingTasks)}
	// What is being freed already will serve the first in the queue.
	p.useFreeRoom()
	if p.want > 0 {
		p.findCandidates()
	}
	for p.want > 0 && len(p.candidates) > 0 {
		p.preemptFirstCandidate()
	}
	return p.stops, p.room, p.want
}

// preemption is the state of a search for what to stop for one job.
type preemption struct {
	machines   []Machine
	job        *Job
	want       int // tasks that have no room yet
	stops      []Preemption
	room       []int              // machines with room for tasks of a whole job
	candidates []preemptCandidate // the least loss first
}

// preemptCandidate is a machine with what must stop there for one task, and what that loses.
type preemptCandidate struct {
	machine int
	take    []int
	lost    micros.Micros
}

func compareCandidates(a, b preemptCandidate) int {
	return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.machine, b.machine))
}

// useFreeRoom takes the room that is there or is being freed.
func (p *preemption) useFreeRoom() {
	for k := range p.machines {
		m := &p.machines[k]
		if p.want == 0 || !admits(m, p.job) {
			continue
		}
		n := m.Free.Add(m.Releasing, 1).CountFitting(p.job.Need, min(p.want, remainingInZone(p.job, m.Zone)))
		if n > 0 {
			p.place(k, n)
		}
	}
}

// place counts n tasks as having room on machine k.
func (p *preemption) place(k, n int) {
	m := &p.machines[k]
	m.Releasing = m.Releasing.Add(p.job.Need, -int64(n))
	p.want -= n
	if p.job.Gang {
		p.job.TasksPerZone[m.Zone] += n
		p.room = append(p.room, k)
	}
}

// findCandidates looks at each machine once. It is looked at again only after something
// on it is to be stopped.
func (p *preemption) findCandidates() {
	p.candidates = p.candidates[:0]
	for k := range p.machines {
		if c, ok := p.candidate(k); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	slices.SortFunc(p.candidates, compareCandidates)
}

// candidate tells what must stop on machine k for one task, if that is possible.
func (p *preemption) candidate(k int) (preemptCandidate, bool) {
	m := &p.machines[k]
	if !admits(m, p.job) || remainingInZone(p.job, m.Zone) == 0 {
		return preemptCandidate{}, false
	}
	take, lost := pickVictims(m, p.job)
	// The image must be fetched there as well before the task starts.
	return preemptCandidate{k, take, lost + imagePullTime(m, p.job)}, take != nil
}

// preemptFirstCandidate stops what the first candidate names.
func (p *preemption) preemptFirstCandidate() {
	c := p.candidates[0]
	p.candidates = p.candidates[1:]
	gangs := p.preemptVictims(c)
	p.place(c.machine, 1)
	if freed := preemptGangMates(p.machines, gangs, p.job.ID); len(freed) > 0 {
		// Their room serves as well, before anything more is stopped.
		p.stops = append(p.stops, freed...)
		p.useFreeRoom()
		p.findCandidates()
		return
	}
	if c, ok := p.candidate(c.machine); ok {
		at, _ := slices.BinarySearchFunc(p.candidates, c, compareCandidates)
		p.candidates = slices.Insert(p.candidates, at, c)
	}
}

// preemptVictims stops a candidate's victims, and tells of their jobs which are gangs.
func (p *preemption) preemptVictims(c preemptCandidate) map[string]bool {
	m := &p.machines[c.machine]
	gangs := map[string]bool{}
	for _, v := range slices.Backward(c.take) {
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
func pickVictims(m *Machine, j *Job) (take []int, lost micros.Micros) {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if isPreemptibleFor(&m.Victims[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &m.Victims[a], &m.Victims[b]
		return cmp.Or(cmp.Compare(boolRank(y.WithinGuarantee), boolRank(x.WithinGuarantee)), cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(x.LostWork, y.LostWork), cmp.Compare(x.JobID, y.JobID), cmp.Compare(x.Task, y.Task))
	})
	free := m.Free.Add(m.Releasing, 1)
	counted := map[string]bool{} // gangs whose loss is in lost
	for _, i := range order {
		if free.Fits(j.Need) {
			break
		}
		free = free.Add(m.Victims[i].Need, 1)
		if v := &m.Victims[i]; !v.Gang || !counted[v.JobID] {
			lost += v.LostWork
			counted[v.JobID] = true
		}
		take = append(take, i)
	}
	if !free.Fits(j.Need) || take == nil {
		return nil, 0
	}
	slices.Sort(take)
	return take, lost
}
