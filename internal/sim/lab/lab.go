// Package lab runs a whole cluster on one machine, for trying out the scheduler and for rehearsing failures. The
// controllers run as processes of this program on loopback. Fakes of the state service, of the cloud and of its workers
// run in the lab's own process, as do simulated users, who submit a sample workload.
//
// It owns the sample workload, the faults that a user can request, and the summary. Package internal/sim/harness owns
// the cluster, and package internal/sim/checker decides whether a rule was violated: the lab must consider a run as
// failed only because of these violations, or because jobs were not completed.
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

// Options are the options of a lab.
type Options struct {
	Program   string   // executable of the nodes
	Args      []string // additional arguments of the nodes, such as the files that configure optional features
	Dir       string   // directory for settings files and logs
	Nodes     int
	Machines  int // maximum number of machines that the cloud provides
	Seed      uint64
	SubmitFor time.Duration // how long jobs are submitted
	Faults    []Fault
	// Port is the client port of the first node; the other nodes get the ports after it. A port that is in use is replaced
	// by a free one. If Port is 0, all ports are free ones.
	Port int
}

// Errors returned by Run and Summary.Err.
var (
	ErrNotAccepted  = errors.New("no node accepted the job")
	ErrRuleViolated = errors.New("a rule was broken")
	ErrInterrupted  = errors.New("interrupted")
	ErrTimedOut     = errors.New("run exceeded its time limit")
)

// Timeouts and intervals of a run.
const (
	readyTimeout        = 20 * time.Second
	completionTimeout   = 90 * time.Second // for completing all jobs, after the last submission and the last fault
	submitRetryInterval = 200 * time.Millisecond
	sampleInterval      = 250 * time.Millisecond
	progressInterval    = 2 * time.Second
	pollInterval        = 20 * time.Millisecond
)

// maxStartAttempts is the maximum number of attempts to start the nodes. An attempt fails if another process takes a
// port after it was found to be free.
const maxStartAttempts = 3

// Lab is a cluster that is used for one run.
type Lab struct {
	options           Options
	out               io.Writer
	startedAt         time.Time
	cluster           *harness.ProcessCluster
	history           *checker.History
	firstFencingToken uint64     // fencing token of the first leader
	failures          chan error // capacity 1; unexpected exits of nodes, and errors of background goroutines

	// The checker holds its lock while it passes task events to the history, and the history holds its own lock while
	// it calls isSilenced, which locks mu. To avoid a deadlock, do not call methods that take either lock while mu is
	// locked.
	mu               sync.Mutex     // guards the fields below
	silenced         map[string]int // number of active silence faults by zone; the key "" stands for all zones
	openJobs         []string       // IDs of accepted jobs that are not known to be done
	acceptedJobs     map[string]int // number of accepted jobs by class
	doneJobs         int
	firstViolationAt time.Duration // 0 if no rule was violated
}

// New returns a lab that writes its progress to out. It starts no nodes.
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

// Settings returns settings with the same parameters as those of the lab's nodes, except for the number of nodes.
func Settings() (*settings.Settings, error) { return nodeSettings(0, 1) }

// startCluster starts the nodes and waits until all of them accept requests and one is the leader. It retries with
// other ports, because another process may have taken one of the ports.
func (l *Lab) startCluster() (err error) {
	for range maxStartAttempts {
		if err = l.tryStartCluster(); err == nil {
			return nil
		}
		if l.cluster != nil {
			l.cluster.Close()
		}
	}
	return err
}

// tryStartCluster makes one attempt to start the nodes, with ports that are free at the moment.
func (l *Lab) tryStartCluster() error {
	l.failures = make(chan error, 1)
	cluster, err := harness.NewProcessCluster(harness.ProcessConfig{
		Settings: func(node int) *settings.Settings {
			s, _ := nodeSettings(node, l.options.Nodes) // New has checked that there is no error
			return s
		},
		Nodes:         l.options.Nodes,
		Dir:           l.options.Dir,
		RuntimeOf:     l.runtimeOf,
		UnknownFields: harness.NewUnknownFields(),
		OnUnexpectedExit: func(node int, log string, err error) {
			l.reportFailure(fmt.Errorf(harness.MemberFormat+" exited unexpectedly (%w), see its log %s", node, err, log))
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

// reportFailure reports an error of a background goroutine. The first one ends the run.
func (l *Lab) reportFailure(err error) {
	select {
	case l.failures <- err:
	default:
	}
}

// logf writes a line of progress, preceded by the time since the lab was created.
func (l *Lab) logf(format string, args ...any) {
	fmt.Fprintf(l.out, "%4.0f s: %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Up runs the nodes without the sample workload and prints how to use them. It returns when ctx is cancelled or a node
// exits unexpectedly.
func (l *Lab) Up(ctx context.Context) error {
	if err := l.startCluster(); err != nil {
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
