// Package leader implements the leading node's work for one term: it reconciles workers' heartbeats with the assigned
// tasks, sends workers their commands, decides which task starts where, and launches and terminates instances.
//
// A Leader holds the term and one lock over all of its state, and runs the loops. The subpackages implement one concern
// each and are called with that lock held; this package connects them. It must never send a worker a command while
// another node may lead, nor count a task as gone from a machine without one of the proofs that docs/design.md lists.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"caperlatch/internal/cloud"
	"caperlatch/internal/election"
	"caperlatch/internal/explain"
	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/gangs"
	"caperlatch/internal/leader/liveness"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/leader/zoning"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standby"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
	"caperlatch/placement"
)

// Term is the part of election.Term that the leader needs.
type Term interface {
	// HoldsSession reports whether this node can prove that the session of the leader key has not ended.
	HoldsSession() bool
	// IsExclusive reports whether no other node can lead now.
	IsExclusive() bool
	// LastConfirmed returns when this node last confirmed its leadership. Workers' leases may be renewed only for a
	// bounded time after it.
	LastConfirmed() micros.Micros
	// Relinquish ends the term's proof of leadership: from now on another node may lead.
	Relinquish()
	// EarlierTermsFencedSince returns the time since which no node has responded to workers with a lower fencing
	// token, or 0 if that is not known.
	EarlierTermsFencedSince() micros.Micros
}

var _ Term = (*election.Term)(nil)

// Config holds a leader's dependencies and settings.
type Config struct {
	Settings          *settings.Settings
	Tuning            settings.Tuning
	Store             *statestore.Client
	Cloud             *cloud.Client
	Replica           *replica.Replica
	Term              Term
	FencingToken      uint64
	LeaderKeyRevision uint64 // mod revision of the leader key that this term wrote
	WorkerClient      *http.Client
	// The next three are nil if the node has no warm standby.
	Followers        Followers
	FailoverProgress FailoverProgress
	PreviousTerm     *standby.View // this node's view of the previous term, nil if it did not follow that term
	// ZonePolicy decides what is done about disrupted zones. If it is nil, the default policy is used.
	ZonePolicy zone.Policy
	// IsIsolated reports whether this node reaches neither the state service nor most of its peers. It is nil if
	// that is not known.
	IsIsolated func() bool
}

// Leader does the leading node's work for one term. It is safe for concurrent use.
//
// mu guards all state that changes after New, including that of the subpackages. The exception is rejectedTypes, which
// belongs to the goroutine that refreshes the instance types.
type Leader struct {
	Config

	// Times that New sets.
	startedAt         micros.Micros
	startedAtWall     micros.Micros // wall clock time
	heartbeatInterval micros.Micros // expected time between a worker's heartbeats
	leaseDuration     micros.Micros // of workers' leases

	mu sync.Mutex

	// Progress of the failover, and whether the term is over.
	ready        bool          // the stored state was restored
	superseded   bool          // a node with a higher fencing token is known
	termLost     chan struct{} // closed when the term is over, or may be
	termLostOnce sync.Once
	failoverState

	jobState
	fleet       *fleet.Fleet           // machines, launches and terminations
	liveness    *liveness.Monitor      // which machines are silent, and since when
	taskQueries *taskquery.Queries     // queries to machines for their tasks after a failover
	zones       *zoning.Zones          // applies the zone policy
	workload    *workload.Workload     // run time estimates of jobs, and quotas of teams
	scaler      *autoscaler.Scaler     // target number of machines
	scheduler   *scheduler.Scheduler   // assignment of tasks to machines
	gangs       *gangs.Coordinator     // attempts of gangs
	quarantine  *quarantine.Quarantine // attribution of task failures to machines or jobs
	dispatcher  *dispatch.Dispatcher   // direct calls to workers
	writes      *persist.Queue         // pending writes to the state service

	// rejectedTypes is the list of instance types that the state service rejected last. It is not sent again.
	rejectedTypes *wire.InstanceTypeList

	// Data that is shown to users or written to the log.
	taskCounts   TaskCounts // see AllTaskCounts
	taskCountsAt micros.Micros
	recentStops  []explain.TaskStop
	events       *eventlog.Log
}

// jobState is the state of jobs and their tasks.
type jobState struct {
	jobs          map[string]*state.Job          // jobs that have not ended, by ID
	cancelledJobs map[string]*state.Job          // jobs cancelled before this term with tasks still on machines, by ID
	teamUsage     map[string]placement.Resources // used by tasks that are known to be on machines, by team
	unknownUsage  placement.Resources            // capacity of machines with unknown tasks, at the last worstCaseTeamUsage
	images        map[string]int                 // indexes that identify images in package placement, by name
	attempts      uint64                         // number of attempts of this term so far
	finalJobs     map[string]replica.Job         // final states that are not stored yet, by job ID
}

// New returns a leader for a term. It does nothing until Run is called.
func New(c Config) *Leader {
	workers := c.Settings.Params.Workers
	l := &Leader{
		Config:            c,
		startedAt:         micros.Now(),
		startedAtWall:     micros.WallTime(),
		heartbeatInterval: workers.HeartbeatInterval(),
		leaseDuration:     workers.LeaseDuration(),
		termLost:          make(chan struct{}),
		events:            eventlog.New(),
		jobState: jobState{
			jobs:          map[string]*state.Job{},
			cancelledJobs: map[string]*state.Job{},
			teamUsage:     map[string]placement.Resources{},
			images:        map[string]int{},
			finalJobs:     map[string]replica.Job{},
		},
	}
	l.workload = workload.New(c.Settings.Params)
	l.dispatcher = dispatch.New(c.WorkerClient, c.FencingToken, c.Term.IsExclusive, c.Settings.Params.Limits.MaxSockets)
	l.writes = l.newWriteQueue()
	l.fleet = l.newFleet()
	l.taskQueries = l.newTaskQueries()
	l.zones = l.newZones()
	l.liveness = l.newLivenessMonitor()
	l.scaler = l.newAutoscaler()
	l.gangs = l.newGangCoordinator()
	l.quarantine = l.newQuarantine()
	l.scheduler = l.newScheduler()
	return l
}

// failoverRetryInterval is how long a new leader waits before it tries again to read the stored state.
const failoverRetryInterval = 200 * micros.Millisecond

// errPreviousTermMayBeActive is returned if there is no proof that the previous term has ended.
var errPreviousTermMayBeActive = errors.New("no proof that the previous term has ended")

// Run leads until ctx ends or the term is over. It returns once all its loops have ended.
func (l *Leader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.loseTerm() // ends the wait of a handover in progress
	if !l.awaitStoredState(ctx) {
		return
	}
	if err := l.takeOver(); err != nil {
		slog.Error("failover failed, ending the term", "fencing_token", l.FencingToken, "error", err)
		return
	}
	var wg sync.WaitGroup
	loops := []func(context.Context){
		l.writes.Run,
		l.tickLoop,
		l.fleet.Run,
		l.instanceTypesLoop,
		l.taskQueries.Run,
	}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-l.termLost:
		cancel()
	}
	wg.Wait()
}

// awaitStoredState waits until the replica has everything that earlier terms stored, and loads the instance types.
// Writes of earlier terms fail once this term's leader key is written, so nothing is added later. It reports false if
// ctx ends first.
func (l *Leader) awaitStoredState(ctx context.Context) bool {
	for {
		err := l.Replica.Barrier(ctx)
		if err == nil {
			err = l.loadInstanceTypes(ctx)
		}
		if err == nil {
			return true
		}
		slog.Debug("reading the stored state failed, failover will retry", "fencing_token", l.FencingToken, "error", err)
		micros.Pause(ctx, failoverRetryInterval)
		if ctx.Err() != nil {
			return false
		}
	}
}

// takeOver restores the state from the state service and from the previous term's handover. From then on the leader
// makes decisions.
func (l *Leader) takeOver() error {
	handedOver := l.PreviousTerm != nil && l.PreviousTerm.ProvesAssignments(l.FencingToken)
	if l.FailoverProgress != nil && !l.FailoverProgress.StateRead(l.Replica.Revision(), handedOver) {
		return errPreviousTermMayBeActive
	}
	return l.restoreState()
}

// Intervals of the periodic work.
const (
	tickInterval      = 200 * micros.Millisecond
	superviseInterval = 200 * micros.Millisecond
	autoscaleInterval = micros.Second
	summaryInterval   = 5 * micros.Second
)

// tickTimes holds the times at which the parts of a tick were last run.
type tickTimes struct {
	supervised, autoscaled, summarized micros.Micros
}

// tickLoop calls tick periodically and whenever the replica changes.
func (l *Leader) tickLoop(ctx context.Context) {
	changed := l.Replica.Changed()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	var last tickTimes
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = l.Replica.Changed()
		case <-ticker.C:
		}
		l.tick(&last)
	}
}

// tick applies job changes and runs the parts of the periodic work that are due.
func (l *Leader) tick(last *tickTimes) {
	now := micros.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyJobChanges()
	if l.handingOver {
		return
	}
	l.recordTasksKnown()
	if now-last.supervised >= superviseInterval {
		last.supervised = now
		l.superviseMachines(now)
	}
	if l.ready {
		l.gangs.Check(now)
		l.scheduler.PlanIfNeeded(nil, now)
	}
	if now-last.autoscaled >= autoscaleInterval {
		last.autoscaled = now
		l.autoscale(now)
		l.events.Flush()
	}
	if now-last.summarized >= summaryInterval {
		last.summarized = now
		l.logSummary(now)
	}
}

// Supersede ends the term and stops all responses to workers if another node's fencing token is higher than the term's.
func (l *Leader) Supersede(fencingToken uint64) {
	if fencingToken <= l.FencingToken {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.superseded = true
	l.loseTerm()
}

// loseTerm ends the term because a newer one has begun or may begin.
func (l *Leader) loseTerm() { l.termLostOnce.Do(func() { close(l.termLost) }) }
