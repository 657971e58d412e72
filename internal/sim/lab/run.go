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

// Run runs the sample workload, injects the faults and returns a summary. It returns ErrInterrupted if ctx is cancelled
// before the end of the run.
func (l *Lab) Run(ctx context.Context) (*Summary, error) {
	if err := l.startCluster(); err != nil {
		return nil, err
	}
	defer l.cluster.Close()
	l.firstFencingToken = l.cluster.FencingToken()
	l.logf("%d nodes run, at most %d machines, seed %d", l.options.Nodes, l.options.Machines, l.options.Seed)
	l.startHistory()
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { l.recordSamples(ctx) })
	background.Go(func() { l.pollOpenJobs(ctx) })
	if err := l.runWorkload(ctx); err != nil {
		return nil, err
	}
	return l.summarize(), nil
}

// startHistory starts recording the history of task events. It must be called before the first task starts.
func (l *Lab) startHistory() {
	s, _ := nodeSettings(0, l.options.Nodes)
	l.history = checker.NewHistory()
	l.history.ClassOf, l.history.IsZoneAffected = classOf, l.isSilenced
	l.history.MaxReportDelay = s.Params.Workers.LeaseDuration().Duration()
	l.cluster.Rules.OnTaskEvent = l.history.ObserveTaskEvent
	l.cluster.Net.SetFault(l.requestFault)
}

// runWorkload submits the jobs, injects the faults, and waits until all jobs are done. If it returns early, the
// goroutines that it started continue until one of their operations fails or the process exits.
func (l *Lab) runWorkload(ctx context.Context) error {
	var work sync.WaitGroup
	for i := range classes {
		work.Go(func() { l.submitJobs(i) })
	}
	for i := range l.options.Faults {
		f := &l.options.Faults[i]
		work.Go(func() {
			time.Sleep(time.Duration(f.AtS*float64(time.Second)) - l.history.Elapsed())
			if ctx.Err() != nil {
				return
			}
			if err := l.injectFault(f); err != nil {
				l.reportFailure(err)
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

// timeLimit returns the maximum duration of a run: the time until the end of the submissions and of the faults, plus
// twice completionTimeout. The individual phases of a run have timeouts of their own.
func (l *Lab) timeLimit() time.Duration {
	last := l.options.SubmitFor
	for _, f := range l.options.Faults {
		last = max(last, time.Duration((f.AtS+f.ForS)*float64(time.Second)))
	}
	return last + 2*completionTimeout
}

// awaitJobsDone waits until all accepted jobs are known to be done, for at most completionTimeout.
func (l *Lab) awaitJobsDone(ctx context.Context) {
	for start := time.Now(); time.Since(start) < completionTimeout && ctx.Err() == nil; time.Sleep(sampleInterval) {
		l.mu.Lock()
		open := len(l.openJobs)
		l.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// recordAccepted records an accepted job in the history and adds it to the open jobs.
func (l *Lab) recordAccepted(job *wire.Job) {
	l.history.ObserveAcceptedJob(job.ID, job.Class, job.Tasks)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openJobs = append(l.openJobs, job.ID)
	l.acceptedJobs[job.Class]++
}

// pollOpenJobs queries the status of the open jobs in turn, each time at the next node, until ctx is cancelled.
func (l *Lab) pollOpenJobs(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(pollInterval)
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

// recordSamples records a sample every sampleInterval and writes a line of progress every progressInterval, until ctx is
// cancelled.
func (l *Lab) recordSamples(ctx context.Context) {
	for lastProgress := time.Now(); ctx.Err() == nil; time.Sleep(sampleInterval) {
		jobs := l.recordSample()
		if time.Since(lastProgress) < progressInterval {
			continue
		}
		lastProgress = time.Now()
		leaderStatus := "nobody leads"
		if node := l.cluster.CurrentLeader(); node >= 0 {
			leaderStatus = fmt.Sprintf(harness.MemberFormat+" leads", node)
		}
		l.logf("%d jobs done, %d open, %d tasks on %d machines, %s", jobs.done, jobs.open,
			len(l.cluster.Cloud.TasksOnMachines()), len(l.cluster.Cloud.Workers()), leaderStatus)
	}
}

// jobCounts are the numbers of accepted jobs that are open and done.
type jobCounts struct{ open, done int }

// recordSample records a sample of the cluster's state, and the time of the first violation if there is one. It returns
// the numbers of open and done jobs.
func (l *Lab) recordSample() jobCounts {
	l.history.RecordSample(l.cluster.Cloud.Machines())
	violated := len(l.cluster.Rules.Violations()) > 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstViolationAt == 0 && violated {
		l.firstViolationAt = l.history.Elapsed()
	}
	return jobCounts{open: len(l.openJobs), done: l.doneJobs}
}
