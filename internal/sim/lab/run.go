package lab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// Run plays the sample of jobs with the faults, and returns a summary. It ends early with ctx.
func (l *Lab) Run(ctx context.Context) (*Summary, error) {
	if err := l.start(); err != nil {
		return nil, err
	}
	defer l.cluster.Close()
	l.firstToken = l.cluster.FencingToken()
	l.logf("%d nodes run, at most %d machines, seed %d", l.options.Nodes, l.options.Machines, l.options.Seed)
	l.observe()
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { l.sampleUntil(ctx) })
	background.Go(func() { l.pollUntil(ctx) })
	if err := l.play(ctx); err != nil {
		return nil, err
	}
	return l.summarize(), nil
}

// observe begins the history of what workers do; there are no tasks yet.
func (l *Lab) observe() {
	s, _ := nodeSettings(0, l.options.Nodes)
	l.history = checker.NewHistory()
	l.history.ClassOf, l.history.IsZoneAffected = classOf, l.isSilenced
	l.history.MaxReportDelay = s.Params.Workers.LeaseDuration().Duration()
	l.cluster.Rules.OnTaskEvent = l.history.ObserveTaskEvent
	l.cluster.Net.SetFault(l.faultOf)
}

// play submits the jobs, injects the faults, and waits until all jobs are done. When it ends early,
// what it started goes on until the next thing that it does fails, or until the program ends.
func (l *Lab) play(ctx context.Context) error {
	var work sync.WaitGroup
	for i := range classes {
		work.Go(func() { l.submitClass(i) })
	}
	for i := range l.options.Faults {
		f := &l.options.Faults[i]
		work.Go(func() {
			time.Sleep(time.Duration(f.AtS*float64(time.Second)) - l.history.Elapsed())
			if ctx.Err() != nil {
				return
			}
			if err := l.inject(f); err != nil {
				l.fail(err)
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		work.Wait()
		l.awaitJobsDone(ctx)
		close(finished)
	}()
	select {
	case <-ctx.Done():
		return ErrInterrupted
	case err := <-l.failures:
		return err
	case <-finished:
		return nil
	case <-time.After(l.timeLimit()):
		return ErrTimedOut
	}
}

// timeLimit is how long a run may take: all its parts have limits of their own.
func (l *Lab) timeLimit() time.Duration {
	last := l.options.SubmitFor
	for _, f := range l.options.Faults {
		last = max(last, time.Duration((f.AtS+f.ForS)*float64(time.Second)))
	}
	return last + 2*doneTimeout
}

// awaitJobsDone waits until all jobs are known to be done, at most for doneTimeout.
func (l *Lab) awaitJobsDone(ctx context.Context) {
	for start := time.Now(); time.Since(start) < doneTimeout && ctx.Err() == nil; time.Sleep(sampleInterval) {
		l.mu.Lock()
		open := len(l.openJobs)
		l.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// recordAccepted records a job that was accepted.
func (l *Lab) recordAccepted(job *wire.Job) {
	l.history.ObserveAcceptedJob(job.ID, job.Class, job.Tasks)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openJobs = append(l.openJobs, job.ID)
	l.acceptedJobs[job.Class]++
}

// pollUntil queries the open jobs, one after the other, until ctx ends.
func (l *Lab) pollUntil(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(pollPause)
		l.mu.Lock()
		id := ""
		if len(l.openJobs) > 0 {
			id = l.openJobs[n%len(l.openJobs)]
		}
		l.mu.Unlock()
		if id == "" {
			continue
		}
		_, status := l.cluster.Request(http.MethodGet, n%l.options.Nodes, "/v1/jobs/"+id, nil)
		if status.State == wire.JobDone {
			l.mu.Lock()
			l.openJobs = slices.DeleteFunc(l.openJobs, func(open string) bool { return open == id })
			l.doneJobs++
			l.mu.Unlock()
		}
	}
}

// sampleUntil records samples, and writes the progress now and then, until ctx ends.
func (l *Lab) sampleUntil(ctx context.Context) {
	for lastProgress := time.Now(); ctx.Err() == nil; time.Sleep(sampleInterval) {
		jobs := l.sample()
		if time.Since(lastProgress) < progressInterval {
			continue
		}
		lastProgress = time.Now()
		leads := "nobody leads"
		if node := l.cluster.CurrentLeader(); node >= 0 {
			leads = fmt.Sprintf(harness.MemberFormat+" leads", node)
		}
		l.logf("%d jobs done, %d open, %d tasks on %d machines, %s", jobs.done, jobs.open,
			len(l.cluster.Cloud.TasksOnMachines()), len(l.cluster.Cloud.Workers()), leads)
	}
}

// jobCounts are numbers of jobs.
type jobCounts struct{ open, done int }

// sample records a sample and the time of the first violation, and counts the accepted jobs.
func (l *Lab) sample() jobCounts {
	l.history.RecordSample(l.cluster.Cloud.Machines())
	violated := len(l.cluster.Rules.Violations()) > 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstViolationAt == 0 && violated {
		l.firstViolationAt = l.history.Elapsed()
	}
	return jobCounts{open: len(l.openJobs), done: l.doneJobs}
}
