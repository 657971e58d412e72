package cluster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Bounds that users are promised for the largest jobs of a class, and that these tests require of all jobs: each starts
// within four minutes of its submission, and at least half of those of each class are done a minute after the overload.
const (
	maxStartDelay  = 4 * time.Minute
	minServedShare = 0.5
)

// overloadClass is a class of jobs that are submitted at a fixed interval.
type overloadClass struct {
	name     string
	interval time.Duration // between two submissions
	tasks    int           // of each job
	largest  bool          // whether the class has the largest jobs
}

// overload is a period in which users submit more work than the machines can do. The backlog drains afterwards.
type overload struct {
	name     string
	classes  []overloadClass
	lasts    time.Duration // how long jobs are submitted
	machines int           // of four CPUs; a task takes one CPU for 5 s
}

var overloads = []overload{
	{"a few large jobs among many small ones, 1.4 times what can be done", []overloadClass{
		{"small", time.Second, 4, false},
		{"large", 30 * time.Second, 80, true},
	}, 6 * time.Minute, 6},
	{"large jobs in two classes, 1.5 times what can be done", []overloadClass{
		{"small", 2 * time.Second, 6, false},
		{"middle", 10 * time.Second, 16, false},
		{"large", 40 * time.Second, 60, true},
		{"huge", 60 * time.Second, 80, true},
	}, 8 * time.Minute, 6},
}

// overloadObjectives returns two objectives for each class. The second is one that late jobs can still meet.
func overloadObjectives(classes []overloadClass) (objectives []settings.Objective) {
	for _, c := range classes {
		objectives = append(objectives,
			settings.Objective{Kind: settings.ObjectiveFinished, Class: c.name, Share: 0.9, WithinS: 60},
			settings.Objective{Kind: settings.ObjectiveFinished, Class: c.name, Share: 0.99, WithinS: 150})
	}
	return objectives
}

// overloadJob is a job that was submitted during an overload.
type overloadJob struct {
	id          string
	class       string
	submittedAt time.Time
	begunAfter  time.Duration // from the submission to the first start of a task; 0: no task has started
}

// overloadRun is a run of an overload on a cluster.
type overloadRun struct {
	*cluster
	overload
	jobs []*overloadJob
}

// submitDue submits the jobs that are due at the given second of the overload.
func (r *overloadRun) submitDue(second int) {
	for i, class := range r.classes {
		if second%int(class.interval/time.Second) != 0 {
			continue
		}
		j := &overloadJob{id: fmt.Sprintf("j-%d%05d", i+1, second), class: class.name, submittedAt: time.Now()}
		job := testJob(j.id, class.tasks)
		job["lane"] = class.name
		r.jobs = append(r.jobs, j)
		r.submitJob(job)
	}
}

// observeBegins records the delay of each job that has started since the last call.
func (r *overloadRun) observeBegins() {
	for _, j := range r.jobs {
		if j.begunAfter == 0 && r.cloud.StartsOf(j.id) > 0 {
			j.begunAfter = time.Since(j.submittedAt)
		}
	}
}

// check checks, a minute after the overload, that the jobs of each class are within maxStartDelay and minServedShare.
func (r *overloadRun) check() {
	for _, class := range r.classes {
		submitted, served := 0, 0
		var begins []time.Duration
		for _, j := range r.jobs {
			if j.class != class.name {
				continue
			}
			submitted++
			if _, status := r.queryJob(0, j.id); status.State == wire.JobDone {
				served++
			}
			if j.begunAfter != 0 {
				begins = append(begins, j.begunAfter)
			}
			waited := time.Since(j.submittedAt)
			if j.begunAfter > maxStartDelay || j.begunAfter == 0 && waited > maxStartDelay {
				r.t.Errorf("%s of class %s began after %v (0s: not yet), %v after its submission", j.id, class.name, j.begunAfter, waited)
			}
		}
		slices.Sort(begins)
		r.t.Logf("%s: %d jobs, %d done, began after %v (median), %v (max)", class.name, submitted, served, begins[len(begins)/2], begins[len(begins)-1])
		if float64(served) < minServedShare*float64(submitted) {
			r.t.Errorf("%d of %d jobs of class %s are done, want at least half", served, submitted, class.name)
		}
	}
}

// TestLargestJobsInOverload has much more work come in than can be done, for minutes. The largest jobs must begin
// within four minutes, half of each class must be done when the overload has been over for a minute (the day's end: the
// machines could do half of each class's work by then), and the small jobs must not pay for that without bound: they are
// held to the same. In the end all jobs are done.
//
// What happens: the largest begin in time, after some 2 minutes, and 3 of 12, 2 of 12 and 1 of 8 are done at the day's end.
// Why: in an overload jobs are served by their work, the least first, and a job that can meet no objective any more
// waits behind all others; once it has begun, aging gives it another sixteenth of its tasks only after 2 minutes
// without a start. That is the policy of docs/design.md; the deferral's fault has no part in it (the counts were 3, 2 and 1
// before that was mended, and 3, 1 and 1 after). It is listed in KNOWN-RED.txt.
func TestLargestJobsInOverload(t *testing.T) {
	for _, o := range overloads {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTunedCluster(t, 3, func(s *settings.Settings) { s.Params.Objectives = overloadObjectives(o.classes) })
				defer c.close()
				c.cloud.MaxMachines = o.machines
				c.cloud.RuntimeOf = func(string) float64 { return 5 }
				r := &overloadRun{cluster: c, overload: o}
				for second := range int(o.lasts / time.Second) {
					startedAt := time.Now()
					r.submitDue(second)
					r.observeBegins()
					time.Sleep(time.Second - time.Since(startedAt))
				}
				for range 60 {
					time.Sleep(time.Second)
					r.observeBegins()
				}
				r.check()
				for _, j := range r.jobs {
					c.awaitStatus(j.id, wire.JobDone, 10*time.Minute)
				}
				c.checkRules()
			})
		})
	}
}
