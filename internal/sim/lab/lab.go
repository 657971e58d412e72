// Package lab runs a whole cluster on one machine, for newcomers and for rehearsals of failures:
// controllers as processes of this program on loopback, with fakes of the state service, the cloud
// and its workers in the lab's own process, and users who submit a sample of jobs.
//
// It owns the sample of jobs, the faults that a user may ask for, and the summary. The cluster is
// internal/sim/harness's, and whether a rule was violated is for internal/sim/checker to say: the
// lab must not judge a run by anything else than that and jobs that are not done.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/harness"
)

// Options are what a user chooses.
type Options struct {
	Program   string   // that the nodes run
	Args      []string // of the nodes, as the files of optional parts
	Dir       string   // for settings and logs
	Nodes     int
	Machines  int // that the cloud has at most
	Seed      uint64
	SubmitFor time.Duration // for how long jobs are submitted
	Faults    []Fault
	Port      int // of the first node, if it is free; 0: any
}

// Errors of a run.
var (
	ErrNotAccepted  = errors.New("the job was accepted by no node")
	ErrRuleViolated = errors.New("a rule was broken")
	ErrInterrupted  = errors.New("interrupted")
	ErrTimedOut     = errors.New("the run does not come to its end")
)

// Times of a run.
const (
	readyTimeout     = 20 * time.Second
	doneTimeout      = 90 * time.Second // of all jobs, after the last was submitted
	submitPause      = 200 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond
	progressInterval = 2 * time.Second
	pollPause        = 20 * time.Millisecond
)

// maxStarts is how often the nodes are started, as their ports may be taken meanwhile.
const maxStarts = 3

// Lab is one cluster, for one run.
type Lab struct {
	options    Options
	out        io.Writer
	startedAt  time.Time
	cluster    *harness.ProcessCluster
	history    *checker.History
	firstToken uint64     // the fencing token of the first leader
	failures   chan error // capacity 1: a node that exited by itself, or what failed in the background

	// The checker passes what tasks do on to the history, which asks what is silenced, each under its
	// lock: nothing of theirs may be called under this one.
	mu               sync.Mutex     // guards what follows
	silenced         map[string]int // zones whose machines' heartbeats are lost, by how many faults
	openJobs         []string       // that are not known to be done
	acceptedJobs     map[string]int // by class
	doneJobs         int
	firstViolationAt time.Duration // 0: there is none
}

// New prepares a lab, which writes its progress to out.
func New(options Options, out io.Writer) (*Lab, error) {
	if _, err := nodeSettings(0, options.Nodes); err != nil {
		return nil, err
	}
	return &Lab{
		options:      options,
		out:          out,
		startedAt:    time.Now(),
		failures:     make(chan error, 1),
		silenced:     map[string]int{},
		acceptedJobs: map[string]int{},
	}, nil
}

// Settings returns settings with the parameters that the lab's nodes have.
func Settings() (*settings.Settings, error) { return nodeSettings(0, 1) }

// start starts the nodes and waits until all of them take requests. Where a port was taken meanwhile
// it starts anew with others.
func (l *Lab) start() (err error) {
	for range maxStarts {
		if err = l.startOnce(); err == nil {
			return nil
		}
		if l.cluster != nil {
			l.cluster.Close()
		}
	}
	return err
}

// startOnce starts the nodes with ports that were free just now.
func (l *Lab) startOnce() error {
	l.failures = make(chan error, 1)
	cluster, err := harness.NewProcessCluster(harness.ProcessConfig{
		Settings: func(node int) *settings.Settings {
			s, _ := nodeSettings(node, l.options.Nodes) // New has tried it
			return s
		},
		Nodes:     l.options.Nodes,
		Dir:       l.options.Dir,
		RuntimeOf: l.runtimeOf,
		OnUnexpectedExit: func(node int, log string, err error) {
			l.fail(fmt.Errorf(harness.MemberFormat+" ended by itself (%w), see %s", node, err, log))
		},
	})
	l.cluster = cluster
	if err != nil {
		return err
	}
	s, _ := nodeSettings(0, l.options.Nodes)
	cluster.Cloud.Zones, cluster.Cloud.MaxMachines = s.Params.Zones, l.options.Machines
	cluster.Args = l.options.Args
	for i := range l.options.Nodes {
		if l.options.Port > 0 {
			cluster.SetClientAddress(i, fmt.Sprintf("127.0.0.1:%d", l.options.Port+i))
		}
		if err := cluster.StartNode(i, l.options.Program); err != nil {
			return err
		}
	}
	if err := cluster.AwaitReady(readyTimeout); err != nil {
		return err
	}
	select {
	case err := <-l.failures:
		return err
	default:
	}
	_, err = cluster.AwaitLeader()
	return err
}

// fail records a failure in the background; the first one ends the run.
func (l *Lab) fail(err error) {
	select {
	case l.failures <- err:
	default:
	}
}

// logf writes a line of progress.
func (l *Lab) logf(format string, args ...any) {
	fmt.Fprintf(l.out, "%4.0f s: %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Up runs the nodes without jobs, and says how to use them, until ctx ends.
func (l *Lab) Up(ctx context.Context) error {
	if err := l.start(); err != nil {
		return err
	}
	defer l.cluster.Close()
	for i, a := range l.cluster.Addresses {
		fmt.Fprintf(l.out, harness.MemberFormat+" answers at %s, process %d, log in %s\n", i, a.Client, l.cluster.Process(i).Pid, l.options.Dir)
	}
	firstAddress := l.cluster.Addresses[0].Client
	fmt.Fprintf(l.out, "try, in another terminal:\n")
	for _, command := range []string{
		"submit --node %s deploy/job.example.json",
		"jobs --node %s j-100001",
		"explain --node %s j-100001",
		"versions --node %s",
	} {
		fmt.Fprintf(l.out, "  %s "+command+"\n", l.options.Program, firstAddress)
	}
	fmt.Fprintln(l.out, "Ctrl-C ends all of it")
	select {
	case <-ctx.Done():
		return nil
	case err := <-l.failures:
		return err
	}
}
