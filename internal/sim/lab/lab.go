// Package lab runs a whole cluster on one machine, for newcomers and for rehearsals of failures:
// controllers as processes of this program on loopback, with stand-ins of the state service, the
// cloud and its workers in the lab's own process, and users who give a sample of jobs.
//
// It owns the sample of jobs, the faults that a user may ask for, and the summary. The driver is
// internal/sim/harness; what is judged is what the checker of the protocol's rules judges.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// Options are what a user chooses.
type Options struct {
	Program   string   // that the nodes run
	Args      []string // of the nodes, as the files of optional parts
	Dir       string   // for settings and logs
	Nodes     int
	Machines  int
	Seed      uint64
	SubmitFor time.Duration // for how long jobs come
	Faults    []Fault
	Port      int // of the first node, if it is free; 0: any
}

// DefaultFaults end the leader once on the way.
func DefaultFaults() []Fault { return []Fault{{AtS: 10, ForS: 2, Kind: Kill, Node: leaderNode}} }

// Errors of a run.
var (
	ErrNotAccepted  = errors.New("the job was accepted by no node")
	ErrRuleViolated = errors.New("a rule was broken")
	ErrInterrupted  = errors.New("interrupted")
	ErrStuck        = errors.New("the run does not come to its end")
)

// Times of a run.
const (
	readyWithin  = 20 * time.Second
	endWithin    = 90 * time.Second // of all jobs, after the last was given
	submitPause  = 200 * time.Millisecond
	sampleEvery  = 250 * time.Millisecond
	tellEvery    = 2 * time.Second
	pollPause    = 20 * time.Millisecond
	starts       = 3 // of nodes whose ports were taken meanwhile
	settleBefore = time.Second
)

// Lab is one cluster.
type Lab struct {
	options   Options
	out       io.Writer
	processes *harness.ProcessCluster
	history   *checker.History
	begun     time.Time

	// The checker of rules tells the history what tasks do, which asks what is silent, each under
	// its lock: nothing of theirs may be called under this one.
	mu       sync.Mutex
	ended    chan error     // a node that ended by itself, or what went wrong in the background
	silent   map[string]int // zones whose machines' reports are lost, by how many faults
	open     []string       // jobs that are not known to be done
	jobs     map[string]int // accepted, by class
	done     int
	brokenAt time.Duration
	token    uint64 // of the first leader
}

// New prepares a lab, which writes its progress to out.
func New(options Options, out io.Writer) (*Lab, error) {
	l := &Lab{
		options: options,
		out:     out,
		begun:   time.Now(),
		ended:   make(chan error, 1),
		silent:  map[string]int{},
		jobs:    map[string]int{},
	}
	if _, err := sampleSettings(0, options.Nodes); err != nil {
		return nil, err
	}
	return l, nil
}

// Settings are the params that the lab's nodes have.
func Settings() (*settings.Settings, error) { return sampleSettings(0, 1) }

// start starts the nodes and waits until all take requests. Where a port was taken meanwhile it
// starts anew with others.
func (l *Lab) start() (err error) {
	for range starts {
		if err = l.startOnce(); err == nil {
			return nil
		}
		l.processes.Close()
	}
	return err
}

// startOnce starts the nodes with ports that were free just now.
func (l *Lab) startOnce() error {
	l.ended = make(chan error, 1)
	processes, err := harness.NewProcessCluster(harness.ProcessConfig{
		Settings: func(node int) *settings.Settings {
			s, _ := sampleSettings(node, l.options.Nodes) // New has tried it
			return s
		},
		Nodes:     l.options.Nodes,
		Dir:       l.options.Dir,
		RuntimeOf: l.runFor,
		OnUnexpectedExit: func(node int, log string, err error) {
			l.fail(fmt.Errorf("host-%d ended by itself (%w), see %s", node, err, log))
		},
	})
	if err != nil {
		return err
	}
	l.processes = processes
	s, _ := sampleSettings(0, l.options.Nodes)
	processes.Cloud.Zones, processes.Cloud.MaxMachines = s.Params.Zones, l.options.Machines
	processes.Args = l.options.Args
	for i := range l.options.Nodes {
		if l.options.Port > 0 {
			processes.SetClientAddress(i, fmt.Sprintf("127.0.0.1:%d", l.options.Port+i))
		}
		if err := processes.StartNode(i, l.options.Program); err != nil {
			return err
		}
	}
	if err := processes.AwaitReady(readyWithin); err != nil {
		return err
	}
	select {
	case err := <-l.ended:
		return err
	default:
	}
	_, err = processes.AwaitLeader()
	return err
}

// observe begins the history of what workers do; there are no tasks yet.
func (l *Lab) observe() {
	s, _ := sampleSettings(0, l.options.Nodes)
	l.history = checker.NewHistory()
	l.history.ClassOf, l.history.Affected = classOf, l.hit
	l.history.UnreportedFor = s.Params.Workers.LeaseDuration().Duration()
	l.processes.Rules.OnTaskEvent = l.history.ObserveTask
	l.processes.Net.SetFault(l.faultOf)
}

// fail notes what went wrong in the background; the first counts.
func (l *Lab) fail(err error) {
	select {
	case l.ended <- err:
	default:
	}
}

// say writes a line of progress.
func (l *Lab) say(format string, args ...any) {
	fmt.Fprintf(l.out, "%4.0f s: %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Run plays the sample of jobs with the faults, and tells how it went. It ends early with ctx.
func (l *Lab) Run(ctx context.Context) (*Summary, error) {
	if err := l.start(); err != nil {
		return nil, err
	}
	defer l.processes.Close()
	l.token = l.processes.FencingToken()
	l.say("%d nodes run, at most %d machines, seed %d", l.options.Nodes, l.options.Machines, l.options.Seed)
	l.observe()
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { l.sampleAll(ctx) })
	background.Go(func() { l.pollAll(ctx) })
	if err := l.play(ctx); err != nil {
		return nil, err
	}
	return l.summary(), nil
}

// play gives the jobs, carries the faults out, and waits until all jobs are done.
func (l *Lab) play(ctx context.Context) error {
	var work sync.WaitGroup
	for i := range classes {
		work.Go(func() { l.submitAll(i) })
	}
	for i := range l.options.Faults {
		f := &l.options.Faults[i]
		work.Go(func() {
			l.sleep(time.Duration(f.AtS*float64(time.Second)) - l.history.Elapsed())
			if ctx.Err() != nil {
				return
			}
			if err := l.carryOut(f); err != nil {
				l.fail(err)
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		work.Wait()
		l.awaitDone(ctx)
		close(finished)
	}()
	select {
	case <-ctx.Done():
		return ErrInterrupted
	case err := <-l.ended:
		return err
	case <-finished:
		return nil
	case <-time.After(l.longest()):
		return ErrStuck
	}
}

// longest is how long a run may take at most: all its parts have bounds of their own.
func (l *Lab) longest() time.Duration {
	last := l.options.SubmitFor
	for _, f := range l.options.Faults {
		last = max(last, time.Duration((f.AtS+f.ForS)*float64(time.Second)))
	}
	return last + 2*endWithin
}

// awaitDone waits until all jobs are known to be done, or for long enough.
func (l *Lab) awaitDone(ctx context.Context) {
	for begun := time.Now(); time.Since(begun) < endWithin && ctx.Err() == nil; time.Sleep(sampleEvery) {
		l.mu.Lock()
		left := len(l.open)
		l.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// sleep waits.
func (l *Lab) sleep(d time.Duration) { time.Sleep(max(0, d)) }

// accepted notes a job that was accepted.
func (l *Lab) accepted(job *wire.Job) {
	l.history.ObserveAccepted(job.ID, job.Class, job.Tasks)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, job.ID)
	l.jobs[job.Class]++
}

// pollAll asks about the open jobs, one after the other, until ctx ends.
func (l *Lab) pollAll(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(pollPause)
		l.mu.Lock()
		id := ""
		if len(l.open) > 0 {
			id = l.open[n%len(l.open)]
		}
		l.mu.Unlock()
		if id == "" {
			continue
		}
		_, status := l.processes.Request(http.MethodGet, n%l.options.Nodes, "/v1/jobs/"+id, nil)
		if status.Status == wire.JobDone {
			l.mu.Lock()
			l.open = slices.DeleteFunc(l.open, func(open string) bool { return open == id })
			l.done++
			l.mu.Unlock()
		}
	}
}

// sampleAll notes what is so and tells it now and then, until ctx ends.
func (l *Lab) sampleAll(ctx context.Context) {
	for told := time.Now(); ctx.Err() == nil; time.Sleep(sampleEvery) {
		open, done := l.sample()
		if time.Since(told) < tellEvery {
			continue
		}
		told = time.Now()
		leads := "nobody leads"
		if node := l.processes.Current(); node >= 0 {
			leads = fmt.Sprintf(harness.MemberFormat+" leads", node)
		}
		l.say("%d jobs done, %d open, %d tasks on %d machines, %s", done, open,
			len(l.processes.Cloud.TasksOnMachines()), len(l.processes.Cloud.Workers()), leads)
	}
}

// sample notes what is so, and counts the jobs that are open and done.
func (l *Lab) sample() (open, done int) {
	l.history.RecordSample(l.processes.Cloud.Machines())
	broken := len(l.processes.Rules.Violations()) > 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.brokenAt == 0 && broken {
		l.brokenAt = l.history.Elapsed()
	}
	return len(l.open), l.done
}

// Up runs the nodes without jobs, and tells how to use them, until ctx ends.
func (l *Lab) Up(ctx context.Context) error {
	if err := l.start(); err != nil {
		return err
	}
	defer l.processes.Close()
	for i, a := range l.processes.Addresses {
		fmt.Fprintf(l.out, "host-%d answers at %s, process %d, log in %s\n", i, a.Client, l.processes.Process(i).Pid, l.options.Dir)
	}
	first := l.processes.Addresses[0].Client
	fmt.Fprintf(l.out, "try, in another terminal:\n")
	for _, try := range []string{
		"submit --node %s deploy/job.example.json",
		"jobs --node %s j-100001",
		"explain --node %s j-100001",
		"versions --node %s",
	} {
		fmt.Fprintf(l.out, "  %s "+try+"\n", l.options.Program, first)
	}
	fmt.Fprintln(l.out, "Ctrl-C ends all of it")
	select {
	case <-ctx.Done():
		return nil
	case err := <-l.ended:
		return err
	}
}
