// Package leader is what the leading node does for one term: it reconciles workers' heartbeats with what should
// run, gives workers their commands, decides what starts where, and has instances launched and terminated.
//
// A Leader holds the term and one lock over all of its state, and runs the loops. The concerns are packages below
// this one, which are called with that lock held; this package joins them. It must never give a worker a command
// while another node may lead, nor count a task as gone from a machine without one of the proofs that
// docs/design.md lists.
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

// Term is the part of an election's term that the leader needs.
type Term interface {
	// HoldsSession reports whether the session of the leader key has not ended, as far as this node knows.
	HoldsSession() bool
	// IsExclusive reports whether no other node can lead now.
	IsExclusive() bool
	// LastConfirmed is when that was last proved.
	LastConfirmed() micros.Micros
	// Relinquish has the term prove nothing any more: another node may lead.
	Relinquish()
	// EarlierTermsFencedSince is since when no node responds with a lower fencing token; 0 if that is not known.
	EarlierTermsFencedSince() micros.Micros
}

var _ Term = (*election.Term)(nil)

// Config is what a leader works with.
type Config struct {
	Settings          *settings.Settings
	Tuning            settings.Tuning
	Store             *statestore.Client
	Cloud             *cloud.Client
	Replica           *replica.Replica
	Term              Term
	FencingToken      uint64
	LeaderKeyRevision uint64 // the mod revision of the leader key
	WorkerClient      *http.Client
	// Of a node with a warm standby; nil without.
	Followers        Followers
	FailoverProgress FailoverProgress
	PreviousTerm     *standby.View // of the term before, if this node followed it
	// ZonePolicy decides on zones; nil: the default policy.
	ZonePolicy zone.Policy
	// IsIsolated reports whether this node reaches neither the state service nor most of its peers; nil: it is
	// not known.
	IsIsolated func() bool
}

// Leader acts for one term. It is safe for concurrent use.
//
// mu guards all that changes after New, also in the packages below, except rejectedTypes: the goroutine that
// refreshes the instance types owns it.
type Leader struct {
	Config

	// The term and its times, as of New.
	startedAt         micros.Micros
	startedAtWall     micros.Micros // time of day
	heartbeatInterval micros.Micros // usual time between a worker's heartbeats
	leaseDuration     micros.Micros // of workers

	mu sync.Mutex

	// How far the failover is, and whether the term is over.
	ready        bool          // the state was restored from what is stored
	superseded   bool          // a node with a higher fencing token is known
	termLost     chan struct{} // closed when a write proved that the term is over
	termLostOnce sync.Once
	failoverState

	jobState
	fleet       *fleet.Fleet           // machines, and launches and terminations
	liveness    *liveness.Monitor      // which machines are silent, and since when
	taskQueries *taskquery.Queries     // queries of machines for their tasks after a failover
	zones       *zoning.Zones          // carries out the policy on zones
	workload    *workload.Workload     // what is expected of jobs, and what teams may use
	scaler      *autoscaler.Scaler     // how many machines there are to be
	scheduler   *scheduler.Scheduler   // which task starts where
	gangs       *gangs.Coordinator     // attempts of gangs
	quarantine  *quarantine.Quarantine // whether failures speak against machines or jobs
	dispatcher  *dispatch.Dispatcher   // direct calls to workers
	writes      *persist.Queue         // what is to be stored

	// rejectedTypes is a list of instance types that the state service rejected: it is not sent again.
	rejectedTypes *wire.InstanceTypeList

	// What is shown to users and written to the log.
	taskCounts   TaskCounts // see AllTaskCounts
	taskCountsAt micros.Micros
	recentStops  []explain.TaskStop
	events       *eventlog.Log
}

// jobState is what is known of jobs and their tasks.
type jobState struct {
	jobs          map[string]*state.Job          // that have not ended, by ID
	cancelledJobs map[string]*state.Job          // cancelled before this term, with tasks still on machines
	teamUsage     map[string]placement.Resources // of tasks that are known to be on machines, by team
	unknownUsage  placement.Resources            // what machines with unknown tasks may hold, as of the latest plan
	images        map[string]int                 // indexes that stand for images in placement, by name
	attempts      uint64                         // how many attempts this term has numbered
	finalJobs     map[string]replica.Job         // final states that are not stored yet, by job ID
}

// New makes a leader for a term. It does nothing until Run.
func New(c Config) *Leader {
	workers := c.Settings.Params.Workers
	l := &Leader{
		Config:            c,
		startedAt:         micros.Now(),
		startedAtWall:     micros.Wall(),
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
	l.liveness = l.newMonitor()
	l.scaler = l.newScaler()
	l.gangs = l.newGangs()
	l.quarantine = l.newQuarantine()
	l.scheduler = l.newScheduler()
	return l
}

// failoverRetryInterval is how long a new leader waits before it reads the stored state again.
const failoverRetryInterval = 200 * micros.Millisecond

// errPreviousTermUnproven is returned if no proof was found that the term before has ended.
var errPreviousTermUnproven = errors.New("there is no proof that the term before has ended")

// Run leads until ctx ends or a write shows that the term is over. It returns once all its loops have ended.
func (l *Leader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.loseTerm() // a handover that waits need not wait any more
	if !l.awaitStoredState(ctx) {
		return
	}
	if err := l.takeOver(); err != nil {
		slog.Error("failover failed", "fencing_token", l.FencingToken, "error", err)
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

// awaitStoredState waits until all that earlier terms stored is in the replica: their writes fail from this term's
// leader key on. It reports false if ctx ended before.
func (l *Leader) awaitStoredState(ctx context.Context) bool {
	for {
		err := l.Replica.Barrier(ctx)
		if err == nil {
			err = l.loadInstanceTypes(ctx)
		}
		if err == nil {
			return true
		}
		slog.Debug("failover waits for the stored state", "fencing_token", l.FencingToken, "error", err)
		micros.Pause(ctx, failoverRetryInterval)
		if ctx.Err() != nil {
			return false
		}
	}
}

// takeOver begins to decide, from what is stored and from what the term before handed over.
func (l *Leader) takeOver() error {
	handedOver := l.PreviousTerm != nil && l.PreviousTerm.ProvesAssignments(l.FencingToken)
	if l.FailoverProgress != nil && !l.FailoverProgress.StateRead(l.Replica.Revision(), handedOver) {
		return errPreviousTermUnproven
	}
	return l.restoreState()
}

// Intervals of what the passing of time brings.
const (
	tickInterval      = 200 * micros.Millisecond
	superviseInterval = 200 * micros.Millisecond
	autoscaleInterval = micros.Second
	summaryInterval   = 5 * micros.Second
)

// tickTimes is when the parts of a tick were last done.
type tickTimes struct {
	supervised, autoscaled, summarized micros.Micros
}

// tickLoop does what the passing of time and changes of the replica bring.
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

// tick does those parts that are due.
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

// Supersede ends all responses to workers if another node has a higher fencing token.
func (l *Leader) Supersede(fencingToken uint64) {
	if fencingToken <= l.FencingToken {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.superseded = true
	l.loseTerm()
}

// loseTerm ends the term, as it is proved that a newer one has begun, or may begin.
func (l *Leader) loseTerm() { l.termLostOnce.Do(func() { close(l.termLost) }) }
