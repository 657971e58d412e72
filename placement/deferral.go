package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// DeferLateJobs defers the jobs that too much work keeps from being in time, as few as possible,
// by Moore's algorithm: going through the queue, whenever the work so far would take a job past its
// start deadline, the job with the most work of the same entitlement is deferred. Without it,
// serving by start deadline alone makes every job of an overload a little late.
//
// cpus is what the machines have. What runs already is not counted: its room is freed bit by bit,
// and counting it deferred jobs that were in time after all.
//
// A deferred job gets its next start deadline after the one that is missed, and is judged again in its place by that;
// it is marked as late only if there is none: else all that an overload defers once would wait until the end.
//
// What is promised, of the jobs of one entitlement and of what goes ahead of them:
//   - Those on time could all be, each by the deadline that it has been given, if they were served in the order of these.
//   - No late job could be on time besides, by any of its deadlines.
//   - No more are late than if each had its first deadline alone, which is the least possible then.
//
// With several deadlines it is a heuristic: fewer might be late if a job that can meet an early deadline were deferred to
// a later one, and one that was deferred may have got room at an early deadline again. As soon as a job is deferred, those
// of its entitlement are served by their work, so that the deadlines are what they are judged by, not when they start.
//
// It returns what it deferred, in the order in which it did.
func DeferLateJobs(jobs []*Job, cpus float64, now micros.Micros) []Deferral {
	queue := slices.Clone(jobs)
	slices.SortFunc(queue, CompareJobs)
	if cpus <= 0 {
		return nil
	}
	d := deferral{queue: queue, cpus: cpus, now: now}
	for i := 0; i < len(d.queue); i++ {
		j := d.queue[i]
		if j.Aged {
			continue
		}
		if i > 0 && compareEntitlement(j, d.queue[i-1]) != 0 {
			d.endEntitlement(i)
		}
		if !j.Late {
			d.serve(i)
		}
	}
	d.endEntitlement(len(d.queue))
	return d.deferrals
}

// Deferral says that a job was deferred, so that another one can be in time.
type Deferral struct {
	Job            *Job
	ForJob         *Job          // would have been late
	MissedDeadline micros.Micros // of For; the job is to be in time after it
	StartDeadline  micros.Micros // the job's next one
	Late           bool          // the job can meet none
}

// deferral is the state of Moore's algorithm on its way through the queue.
type deferral struct {
	queue []*Job
	cpus  float64
	now   micros.Micros

	workAhead  float64 // CPU seconds of the jobs so far that are in time
	overloaded bool    // a job of the present entitlement had to be deferred
	onTime     []*Job  // of the present entitlement, in the order of their work
	deferrals  []Deferral
}

// serve takes the job at i as in time, and defers one if that is too late.
func (d *deferral) serve(i int) {
	j := d.queue[i]
	d.workAhead += j.WaitingCPUSeconds
	position, _ := slices.BinarySearchFunc(d.onTime, j, compareWork)
	d.onTime = slices.Insert(d.onTime, position, j)
	if d.now+micros.FromSeconds(d.workAhead/d.cpus) > j.StartDeadline {
		d.deferLargest(i)
	}
}

// deferLargest defers the job with the most work, as that at i would be late otherwise. If it has a
// start deadline after the missed one, it takes its place in the queue by that.
func (d *deferral) deferLargest(i int) {
	j := d.queue[i]
	largest := d.onTime[len(d.onTime)-1]
	d.onTime = d.onTime[:len(d.onTime)-1]
	d.workAhead -= largest.WaitingCPUSeconds
	d.overloaded = true
	missed := j.StartDeadline // read before the loop: the largest may be j itself, whose deadline the loop moves
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

// endEntitlement ends the jobs of one entitlement; those of the next begin at end.
func (d *deferral) endEntitlement(end int) {
	if d.overloaded {
		setDeadlinesByWork(d.queue[:end], d.queue[end-1], d.cpus, d.now)
	}
	d.onTime, d.overloaded = d.onTime[:0], false
}

// setDeadlinesByWork gives the jobs of sample's entitlement start deadlines in the order of their
// work, as there is too much of it. By their own, each would start just in time, and the first
// surprise, a longer run or a lost machine, would make all of them late; in this order most of them
// are done by then.
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

// compareWork orders jobs by their work, the least first.
func compareWork(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.WaitingCPUSeconds, b.WaitingCPUSeconds), cmp.Compare(a.ID, b.ID))
}
