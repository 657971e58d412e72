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

// Bounds of what users are promised for the largest jobs of a class, and here for all others too: they begin within
// four minutes, and at least half of them are served.
const (
	beginWithin = 4 * time.Minute
	servedShare = 0.5
)

// overloadClass is a class of jobs that come at an interval, each with the same tasks.
type overloadClass struct {
	name     string
	interval time.Duration
	tasks    int
	largest  bool
}

// overload has more work come in than the machines can do, for so long, and drain afterwards.
type overload struct {
	name     string
	classes  []overloadClass
	lasts    time.Duration
	machines int // of four CPUs; a task takes one of them for 5 s
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

// overloadObjectives are two objectives for each class, of which the second leaves time for late jobs.
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
	begunAfter  time.Duration // 0: not yet
}

// overloadRun is an overload of a cluster.
type overloadRun struct {
	*cluster
	overload
	jobs []*overloadJob
}

// submitDue submits the jobs that are due at a second of the overload.
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

// observeBegins notes which jobs have begun.
func (r *overloadRun) observeBegins() {
	for _, j := range r.jobs {
		if j.begunAfter == 0 && r.cloud.StartsOf(j.id) > 0 {
			j.begunAfter = time.Since(j.submittedAt)
		}
	}
}

// check checks what is promised for the jobs of each class at the end of the overload.
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
			if j.begunAfter > beginWithin || j.begunAfter == 0 && waited > beginWithin {
				r.t.Errorf("%s of class %s began after %v, 0 for not within %v", j.id, class.name, j.begunAfter, waited)
			}
		}
		slices.Sort(begins)
		r.t.Logf("%s: %d jobs, %d served, began after %v (median), %v (most)", class.name, submitted, served, begins[len(begins)/2], begins[len(begins)-1])
		if float64(served) < servedShare*float64(submitted) {
			r.t.Errorf("%d of %d jobs of class %s are served", served, submitted, class.name)
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
