package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// DeferLateJobs defers as few jobs as possible so that the other jobs can start on time despite an overload. It uses
// Moore's algorithm: it walks the queue, and whenever the accumulated work would make a job miss its start deadline,
// it defers the job with the most work among the jobs of the same entitlement that are on time so far. Without
// deferral, serving jobs by start deadline alone makes every job of an overload slightly late. Aged jobs and jobs that
// are late already are not deferred, and their work is not counted.
//
// cpus is the total number of CPUs of the machines; if it is 0, nothing is deferred. The CPUs that running tasks hold
// are not subtracted, because they are freed gradually: subtracting them deferred jobs that were on time after all.
//
// A deferred job gets its next start deadline after the missed one, and is considered again at the queue position of
// that deadline. It is marked late only if it has no such deadline. If every deferred job were marked late, a job that
// an overload defers once would wait until the end of the queue.
//
// The following holds for the jobs of each entitlement, if the work of higher entitlements is done first:
//   - All jobs that are on time can meet the deadlines assigned to them if they are served in the order of these
//     deadlines.
//   - No late job could meet any of its deadlines in addition to the jobs that are on time.
//   - No more jobs are late than if each job had only its first deadline, for which Moore's algorithm gives the
//     minimum.
//
// With several deadlines per job the algorithm is a heuristic. Fewer jobs might be late if a job that can meet an
// early deadline were deferred to a later one, and a deferred job might fit at an early deadline again after
// further deferrals. If a job is deferred, the jobs of its entitlement are served in ascending order of their work,
// the late ones last. So the deadlines decide which jobs are late, but not the order in which the others start.
//
// DeferLateJobs returns the deferrals in the order in which it made them.
func DeferLateJobs(jobs []*Job, cpus float64, now micros.Micros) []Deferral {
	queue := slices.Clone(jobs)
	slices.SortFunc(queue, CompareJobs)
	if cpus <= 0 {
		return nil
	}
	d := deferralPass{queue: queue, cpus: cpus, now: now}
	for i := 0; i < len(d.queue); i++ {
		j := d.queue[i]
		if j.Aged {
			continue
		}
		if i > 0 && compareEntitlement(j, d.queue[i-1]) != 0 {
			d.endEntitlement(i)
		}
		if !j.Late {
			d.schedule(i)
		}
	}
	d.endEntitlement(len(d.queue))
	return d.deferrals
}

// Deferral records that a job was deferred so that another job can start on time.
type Deferral struct {
	Job            *Job
	ForJob         *Job          // the job that would have been late
	MissedDeadline micros.Micros // the deadline that ForJob would have missed; Job's deadlines up to this time count as missed too
	StartDeadline  micros.Micros // Job's start deadline after the deferral
	Late           bool          // Job can meet none of its deadlines
}

// deferralPass is the state of one run of Moore's algorithm over the queue.
type deferralPass struct {
	queue []*Job
	cpus  float64
	now   micros.Micros

	workAhead  float64 // CPU seconds of the jobs of all entitlements so far that are on time
	overloaded bool    // a job of the current entitlement was deferred
	onTime     []*Job  // jobs of the current entitlement, in ascending order of work
	deferrals  []Deferral
}

// schedule adds the job at index i to the jobs that are on time, and defers one of them if the job would miss its
// start deadline.
func (d *deferralPass) schedule(i int) {
	j := d.queue[i]
	d.workAhead += j.WaitingCPUSeconds
	position, _ := slices.BinarySearchFunc(d.onTime, j, compareWork)
	d.onTime = slices.Insert(d.onTime, position, j)
	if d.now+micros.FromSeconds(d.workAhead/d.cpus) > j.StartDeadline {
		d.deferLargest(i)
	}
}

// deferLargest is called if the job at index i would miss its start deadline. It defers the job with the most work
// among those that are on time, which may be the job at index i itself. If the deferred job has a start deadline after
// the missed one, it is reinserted into the queue at the position of that deadline.
func (d *deferralPass) deferLargest(i int) {
	j := d.queue[i]
	largest := d.onTime[len(d.onTime)-1]
	d.onTime = d.onTime[:len(d.onTime)-1]
	d.workAhead -= largest.WaitingCPUSeconds
	d.overloaded = true
	missed := j.StartDeadline // read before the loop, which changes it if largest is j itself
	for len(largest.LaterStartDeadlines) > 0 && largest.StartDeadline <= missed {
		largest.StartDeadline, largest.LaterStartDeadlines = largest.LaterStartDeadlines[0], largest.LaterStartDeadlines[1:]
	}
	largest.Late = largest.StartDeadline <= missed
	d.deferrals = append(d.deferrals, Deferral{largest, j, missed, largest.StartDeadline, largest.Late})
	if largest.Late {
		return
	}
	position, _ := slices.BinarySearchFunc(d.queue[i+1:], largest, CompareJobs)
	d.queue = slices.Insert(d.queue, i+1+position, largest)
}

// endEntitlement ends the pass over the jobs of one entitlement: if one of them was deferred, it calls
// setDeadlinesByWork. end is the index of the first job of the next entitlement.
func (d *deferralPass) endEntitlement(end int) {
	if d.overloaded {
		setDeadlinesByWork(d.queue[:end], d.queue[end-1], d.cpus, d.now)
	}
	d.onTime, d.overloaded = d.onTime[:0], false
}

// setDeadlinesByWork replaces the start deadlines of the jobs that have the same entitlement as sample, so that the
// jobs that are on time are served in ascending order of work, followed by the late ones. Aged jobs keep their
// deadlines. With the jobs' own deadlines, each job of an overload would start just in time, and the first
// disturbance, such as a longer run or a lost machine, would make all of them late. In ascending order of work, most
// jobs are done before the disturbance.
func setDeadlinesByWork(jobs []*Job, sample *Job, cpus float64, now micros.Micros) {
	var peers []*Job
	for _, j := range jobs {
		if !j.Aged && compareEntitlement(j, sample) == 0 {
			peers = append(peers, j)
		}
	}
	slices.SortFunc(peers, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(boolRank(!a.Late), boolRank(!b.Late)), compareWork(a, b))
	})
	peers = slices.Compact(peers)
	workAhead := 0.0
	for _, j := range peers {
		workAhead += j.WaitingCPUSeconds
		j.StartDeadline = now + micros.FromSeconds(workAhead/cpus)
	}
}

// compareWork orders jobs by their work, least first.
func compareWork(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
}
