package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

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
