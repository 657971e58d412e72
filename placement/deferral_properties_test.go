package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// These tests guard against the loss of later start deadlines in deferLargest: if the late job itself had the most work,
// its deadline was compared with itself while the loop changed it, so each later deadline counted as missed too, and the
// job was marked late, behind all other jobs of its entitlement. TestDeferralOfLargestJobKeepsLaterDeadlines covers that
// single case. The tests here compare small random queues with a plain enumeration that shares no code with the
// algorithm; before the fix, 1,576 of the 3,000 queues of TestDeferLateJobsProperties violated a property.

// deferralCase is a random queue of a few jobs, as it was before the deferral.
type deferralCase struct {
	cpus      float64
	jobs      []*Job
	deadlines map[*Job][]micros.Micros // all deadlines of each job, ascending
	wasLate   map[*Job]bool            // jobs that could meet no deadline before the deferral
}

// newDeferralCase creates the queue of a seed. Equal seeds give equal queues.
func newDeferralCase(seed uint64) *deferralCase {
	r := rand.New(rand.NewPCG(seed, 37))
	c := &deferralCase{cpus: float64(1 + r.IntN(2)), deadlines: map[*Job][]micros.Micros{}, wasLate: map[*Job]bool{}}
	priorities := 1 + r.IntN(2)
	for i := range 2 + r.IntN(7) {
		j := job(fmt.Sprintf("j-%d", i), 1, nil)
		j.Priority = r.IntN(priorities)
		j.WaitingCPUSeconds = float64(1 + r.IntN(12))
		j.Late = r.IntN(12) == 0
		deadline := micros.Micros(0)
		for range 1 + r.IntN(3) {
			deadline += micros.Micros(1+r.IntN(20)) * micros.Second
			c.deadlines[j] = append(c.deadlines[j], deadline)
		}
		j.StartDeadline, j.LaterStartDeadlines = c.deadlines[j][0], c.deadlines[j][1:]
		c.wasLate[j] = j.Late
		c.jobs = append(c.jobs, j)
	}
	return c
}

// dueWork is work with the deadline by which it must be done.
type dueWork struct {
	cpuSeconds float64
	deadline   micros.Micros
}

// canMeetAll reports whether all work meets its deadlines if it is done in deadline order, after the work ahead of
// it.
func canMeetAll(work []dueWork, ahead, cpus float64) bool {
	work = slices.Clone(work)
	slices.SortStableFunc(work, func(a, b dueWork) int { return int(a.deadline - b.deadline) })
	for _, w := range work {
		if ahead += w.cpuSeconds; micros.FromSeconds(ahead/cpus) > w.deadline {
			return false
		}
	}
	return true
}

// assignedDeadline returns the job's own deadline that is assigned to it after the deferral, which is the one
// before its remaining later deadlines.
func (c *deferralCase) assignedDeadline(j *Job) micros.Micros {
	all := c.deadlines[j]
	return all[len(all)-1-len(j.LaterStartDeadlines)]
}

// fewestLate enumerates all choices to find how few of the jobs must be late if each has only its first deadline.
func (c *deferralCase) fewestLate(jobs []*Job) int {
	fewest := len(jobs)
	for chosen := range 1 << len(jobs) {
		var work []dueWork
		for i, j := range jobs {
			if chosen&(1<<i) != 0 {
				work = append(work, dueWork{j.WaitingCPUSeconds, c.deadlines[j][0]})
			}
		}
		if canMeetAll(work, 0, c.cpus) {
			fewest = min(fewest, len(jobs)-len(work))
		}
	}
	return fewest
}

// violatedProperty returns a description of a property in the doc comment of DeferLateJobs that does not hold, or
// an empty string if all hold.
func (c *deferralCase) violatedProperty() string {
	ahead := 0.0
	for priority := 1; priority >= 0; priority-- {
		var onTime []dueWork
		var candidates, late []*Job
		for _, j := range c.jobs {
			switch {
			case j.Priority != priority:
			case c.wasLate[j]:
				if !j.Late {
					return j.ID + " could meet no deadline before the deferral, but is not marked late"
				}
			case j.Late:
				candidates, late = append(candidates, j), append(late, j)
			default:
				candidates = append(candidates, j)
				onTime = append(onTime, dueWork{j.WaitingCPUSeconds, c.assignedDeadline(j)})
			}
		}
		if !canMeetAll(onTime, ahead, c.cpus) {
			return fmt.Sprintf("not all jobs of priority %d that are not marked late can meet their deadlines", priority)
		}
		for _, j := range late {
			for _, deadline := range c.deadlines[j] {
				if canMeetAll(append(slices.Clone(onTime), dueWork{j.WaitingCPUSeconds, deadline}), ahead, c.cpus) {
					return fmt.Sprintf("%s is marked late, but could meet deadline %v in addition to the jobs that are on time", j.ID, deadline.Duration())
				}
			}
		}
		if fewest := c.fewestLate(candidates); ahead == 0 && len(late) > fewest {
			return fmt.Sprintf("%d jobs are late, want at most %d", len(late), fewest)
		}
		for _, w := range onTime {
			ahead += w.cpuSeconds
		}
	}
	return ""
}

// describe lists the jobs for a failure message. Deadlines are in microseconds.
func (c *deferralCase) describe() (text string) {
	for _, j := range c.jobs {
		text += fmt.Sprintf("\n%s: priority %d, work %v CPU s, deadlines %d µs; after deferral: late %v, later deadlines %d µs", j.ID, j.Priority, j.WaitingCPUSeconds, c.deadlines[j], j.Late, j.LaterStartDeadlines)
	}
	return text
}

// TestDeferLateJobsProperties checks the properties in the doc comment of DeferLateJobs on random queues with
// fixed seeds.
func TestDeferLateJobsProperties(t *testing.T) {
	const queues = 3000
	violations := 0
	for seed := range uint64(queues) {
		c := newDeferralCase(seed)
		DeferLateJobs(c.jobs, c.cpus, 0)
		if violation := c.violatedProperty(); violation != "" {
			if violations++; violations <= 3 {
				t.Errorf("seed %d, %v CPUs: %s%s", seed, c.cpus, violation, c.describe())
			}
		}
	}
	if violations > 0 {
		t.Errorf("%d of %d queues violated a property, want none", violations, queues)
	}
}

// TestDeferralIndependentOfInputOrder checks that each job gets the same queue position, lateness and start
// deadline if the same jobs are passed in another order.
func TestDeferralIndependentOfInputOrder(t *testing.T) {
	for seed := range uint64(300) {
		first, second := newDeferralCase(seed), newDeferralCase(seed)
		r := rand.New(rand.NewPCG(seed, 41))
		r.Shuffle(len(second.jobs), func(i, j int) { second.jobs[i], second.jobs[j] = second.jobs[j], second.jobs[i] })
		for _, c := range []*deferralCase{first, second} {
			DeferLateJobs(c.jobs, c.cpus, 0)
			slices.SortFunc(c.jobs, CompareJobs)
		}
		for i, j := range first.jobs {
			if other := second.jobs[i]; j.ID != other.ID || j.Late != other.Late || j.StartDeadline != other.StartDeadline {
				t.Fatalf("seed %d: job %s at position %d, late %v, start deadline %v; with shuffled input %s, late %v, start deadline %v", seed, j.ID, i, j.Late, j.StartDeadline.Duration(), other.ID, other.Late, other.StartDeadline.Duration())
			}
		}
	}
}

// TestDeferralCountsJobsOnce checks the start deadlines of an overloaded entitlement: a deferred job that is
// reinserted into the queue must not also be counted at its old position, so the last start deadline is when all
// work is done.
func TestDeferralCountsJobsOnce(t *testing.T) {
	overloaded := 0
	for seed := range uint64(1000) {
		c := newDeferralCase(seed)
		for _, j := range c.jobs {
			j.Priority = 0
		}
		before := map[*Job]micros.Micros{}
		for _, j := range c.jobs {
			before[j] = j.StartDeadline
		}
		DeferLateJobs(c.jobs, c.cpus, 0)
		work, last, changed := 0.0, micros.Micros(0), 0
		for _, j := range c.jobs {
			work += j.WaitingCPUSeconds
			last = max(last, j.StartDeadline)
			if j.StartDeadline != before[j] {
				changed++
			}
		}
		if changed == 0 {
			continue // no overload
		}
		overloaded++
		if want := micros.FromSeconds(work / c.cpus); last != want {
			t.Errorf("seed %d: the last start deadline is %v, want %v%s", seed, last.Duration(), want.Duration(), c.describe())
		}
	}
	if overloaded < 300 {
		t.Errorf("%d queues were overloaded, want at least 300", overloaded)
	}
}
