// Package leader is what the leading node does: it keeps a snapshot of
// machines and tasks, gives workers their orders, and rents and returns
// machines.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
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
	HoldsSession() bool                     // the hold has not ended
	IsExclusive() bool                      // nobody else can lead
	LastConfirmed() micros.Micros           // when that was last proved
	EarlierTermsFencedSince() micros.Micros // since when nobody answers with a lower token, 0 if unknown
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
	LeaderKeyRevision uint64 // of the leader key
	WorkerClient      *http.Client
	// Of a node with a warm standby; nil without.
	Followers        Followers
	FailoverProgress FailoverProgress
	PreviousTerm     *standby.View // of the term before, if one was followed
	// ZonePolicy decides on zones; nil: the default policy.
	ZonePolicy zone.Policy
	// IsIsolated tells whether this node hears neither the state service nor most of its peers;
	// nil: it is not known.
	IsIsolated func() bool
}

// Leader acts for one term. Its mu guards all that changes after New, except
// rejectedTypes, which only those who refresh the catalog use, one after the other.
type Leader struct {
	Config

	// The term and its times, as of New.
	startedAt         micros.Micros
	startedAtWall     micros.Micros // time of day
	heartbeatInterval micros.Micros // workers' usual time between reports
	leaseDuration     micros.Micros // of workers

	mu sync.Mutex

	// How far the take-over is, and whether the term is over.
	ready        bool          // the snapshot has been rebuilt
	superseded   bool          // a higher token is known
	termLost     chan struct{} // closed when a write proved that the term is over
	termLostOnce sync.Once

	jobState
	fleet      *fleet.Fleet           // machines, and launches and terminations
	scaler     *autoscaler.Scaler     // how many machines there are to be
	quarantine *quarantine.Quarantine // whether failures speak against machines or jobs
	zones      *zoning.Zones          // what the policy on zones comes to
	// rejectedTypes is a list of instance types that the state service rejected: it is not sent again.
	rejectedTypes *wire.InstanceTypeList
	scheduler     *scheduler.Scheduler // which task starts where
	gangs         *gangs.Coordinator   // attempts of gangs
	workload      *workload.Workload   // what is expected of jobs, and what teams may use
	dispatcher    *dispatch.Dispatcher // direct calls to workers
	writes        *persist.Queue       // what is to be stored
	taskQueries   *taskquery.Queries   // queries of machines for their tasks after a failover
	liveness      *liveness.Monitor    // which machines are silent, and since when
	failoverState

	// What is shown to users and written to the log.
	taskCounts   map[string][2]int // see AllTaskCounts
	taskCountsAt micros.Micros
	recentStops  []explain.TaskStop
	events       *eventlog.Log
}

// jobState is what is known of jobs and their tasks.
type jobState struct {
	jobs          map[string]*state.Job
	cancelledJobs map[string]*state.Job          // cancelled before this term, with tasks still on machines
	teamUsage     map[string]placement.Resources // by what is on machines, a team
	unknownUsage  placement.Resources            // what machines with unknown tasks may hold, as of the last plan
	images        map[string]int                 // the numbers that stand for images
	attempts      uint64
	finalJobs     map[string]replica.Job // ends that are not stored yet
}

// New makes a leader for a term.
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

// Run leads until ctx ends or a write shows that the term is over.
func (l *Leader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		// All that earlier terms stored must be seen before the snapshot is
		// built: their writes fail from this term's leader key on.
		err := l.Replica.Barrier(ctx)
		if err == nil {
			err = l.loadInstanceTypes(ctx)
		}
		if err == nil {
			break
		}
		slog.Debug("take-over waits", "error", err)
		micros.Pause(ctx, 200*micros.Millisecond)
		if ctx.Err() != nil {
			return
		}
	}
	if l.FailoverProgress != nil && !l.FailoverProgress.StateRead(l.Replica.Revision(), l.PreviousTerm != nil && l.PreviousTerm.ProvesAssignments(l.FencingToken)) {
		slog.Error("take-over", "error", "there is no proof that the term before has ended")
		return
	}
	if err := l.rebuildState(); err != nil {
		slog.Error("take-over", "error", err)
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
	for _, f := range loops {
		wg.Go(func() { f(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-l.termLost:
		cancel()
	}
	wg.Wait()
}

// loadInstanceTypes uses the stored catalog or else asks the cloud.
func (l *Leader) loadInstanceTypes(ctx context.Context) error {
	var c wire.InstanceTypeList
	stamp, err := l.Replica.Get(replica.InstanceTypesKey, &c)
	if err != nil {
		return err
	}
	if stamp != 0 {
		l.setInstanceTypes(c)
		return nil
	}
	return l.refreshInstanceTypes(ctx)
}

// refreshInstanceTypes asks the cloud for the present prices and stores a catalog
// that is new.
func (l *Leader) refreshInstanceTypes(ctx context.Context) error {
	c, err := l.Cloud.InstanceTypes(ctx)
	if err != nil {
		return err
	}
	var stored wire.InstanceTypeList
	stamp, err := l.Replica.Get(replica.InstanceTypesKey, &stored)
	if err != nil {
		return err
	}
	l.setInstanceTypes(c)
	if stamp != 0 && sameTypes(stored, c) {
		return nil
	}
	if l.rejectedTypes != nil && sameTypes(*l.rejectedTypes, c) {
		return nil
	}
	rev, err := l.Store.Commit(ctx, wire.Txn{
		If:   []wire.Compare{{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision}, {Key: replica.InstanceTypesKey, ModRevision: stamp}},
		Then: []wire.Op{{Put: replica.InstanceTypesKey, Value: c}},
	})
	if errors.Is(err, statestore.ErrRejected) {
		// The leader goes on with what it was told. Submissions are judged by the
		// catalog stored before; a take-over must not wait for what cannot be.
		l.rejectedTypes = &c
		slog.Error("the state service refuses the catalog, which is not stored", "types", len(c.Types), "bytes", wire.JSONSize(c), "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	l.Replica.ApplyPut(replica.InstanceTypesKey, c, rev)
	return nil
}

// sameTypes compares what decides whether a job can ever run.
func sameTypes(a, b wire.InstanceTypeList) bool {
	if len(a.Types) != len(b.Types) {
		return false
	}
	for i, x := range a.Types {
		y := b.Types[i]
		if x.Name != y.Name || x.CPUs != y.CPUs || x.GPUs != y.GPUs || x.MemoryGB != y.MemoryGB ||
			strings.Join(x.Zones, " ") != strings.Join(y.Zones, " ") {
			return false
		}
	}
	return true
}

func (l *Leader) instanceTypesLoop(ctx context.Context) {
	micros.Every(ctx, 60*micros.Second, func() {
		if err := l.refreshInstanceTypes(ctx); err != nil {
			slog.Debug("catalog", "error", err)
		}
	})
}

// rebuildState makes the snapshot from what is stored. What machines hold is not
// known until each has answered with this term's token.
func (l *Leader) rebuildState() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	if err := l.fleet.RestoreIntents(now); err != nil {
		return err
	}
	if err := l.fleet.RestoreLists(); err != nil {
		return err
	}
	for _, id := range l.Replica.TakeChangedJobs(true) {
		l.applyJobChange(id, true)
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		id, chunk, err := state.ParseProgressKey(key)
		if err != nil {
			return err
		}
		j := l.jobs[id]
		if j == nil {
			l.writes.Mark(key) // of a job that is over
			continue
		}
		var p state.TaskProgress
		if _, err := l.Replica.Get(key, &p); err != nil {
			return err
		}
		if err := j.Restore(chunk, p); err != nil {
			return fmt.Errorf("stored %s: %w", key, err)
		}
		if j.DoneCount > 0 {
			l.gangs.Complete(j)
		}
		l.finishIfDone(j)
	}
	if err := l.restoreAutoscaler(now); err != nil {
		return err
	}
	l.zones.Restore(now)
	l.restoreFromPreviousTerm()
	l.scaler.StepPools(now)
	l.ready = true
	l.scheduler.RequestPlan()
	slog.Info("take-over", "token", l.FencingToken, "jobs", len(l.jobs), "machines", len(l.fleet.Machines), "unresolved", l.fleet.CountUnknown())
	return nil
}

// tickLoop does what time alone brings.
func (l *Leader) tickLoop(ctx context.Context) {
	changed := l.Replica.Changed()
	t := time.NewTicker((200 * micros.Millisecond).Duration())
	defer t.Stop()
	var staffed, shown, watched micros.Micros
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = l.Replica.Changed()
		case <-t.C:
		}
		now := micros.Now()
		l.mu.Lock()
		l.applyJobChanges()
		if l.handingOver {
			l.mu.Unlock()
			continue
		}
		l.recordTasksKnown()
		if now-watched >= 200*micros.Millisecond {
			watched = now
			l.superviseMachines(now)
		}
		if l.ready {
			l.gangs.Check(now)
			l.scheduler.PlanIfNeeded(nil, now)
		}
		if now-staffed >= micros.Second {
			staffed = now
			l.autoscale(now)
			l.events.Flush()
		}
		if now-shown >= 5*micros.Second {
			shown = now
			l.logSnapshot(now)
		}
		l.mu.Unlock()
	}
}

// applyJobChanges takes over what the replica has seen since the last time.
func (l *Leader) applyJobChanges() {
	for _, id := range l.Replica.TakeChangedJobs(false) {
		l.applyJobChange(id, false)
	}
}

// applyJobChange takes over a change that the replica saw. Old jobs are those
// that an earlier term may have started tasks of.
func (l *Leader) applyJobChange(id string, old bool) {
	r, _, ok := l.Replica.Job(id)
	if !ok {
		return
	}
	j := l.jobs[id]
	switch {
	case r.IsFinal() && j != nil:
		l.dropJob(j, r.State)
	case !r.IsFinal() && j == nil:
		if _, finishing := l.finalJobs[id]; finishing {
			return
		}
		j = state.NewJob(r, old)
		j.Image = l.imageIndex(j.Spec.Image)
		l.jobs[id] = j
		l.scaler.AddDemand(j)
		l.scheduler.RequestPlan()
	}
}

// Supersede ends all answers to workers, as another node has a higher token.
func (l *Leader) Supersede(token uint64) {
	if token <= l.FencingToken {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.superseded = true
	l.loseTerm()
}

// taskCountsInterval is how often the counts are taken anew; they are for display only.
const taskCountsInterval = 2 * micros.Second

// AllTaskCounts is how far the jobs are that are not over: done and running tasks, as
// of at most taskCountsInterval ago, and since when. The map must not be changed.
func (l *Leader) AllTaskCounts() (map[string][2]int, micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := micros.Now(); l.taskCounts == nil || now-l.taskCountsAt >= taskCountsInterval {
		l.taskCounts, l.taskCountsAt = l.countTasks(), now
	}
	return l.taskCounts, l.taskCountsAt
}

// Bounds of the counts, which go into one message between nodes: all that are within
// maxTaskCountBytes, where each takes its job's name and taskCountBytes at most. A fleet of 4,000
// machines that run single tasks has 16,000 jobs to count, which take 400 KB.
const (
	maxTaskCountBytes = 1 << 19
	taskCountBytes    = 16
)

// countTasks counts the tasks of the jobs that have begun.
func (l *Leader) countTasks() map[string][2]int {
	counts, size := make(map[string][2]int, len(l.jobs)), 0
	for id, j := range l.jobs {
		if j.DoneCount+j.RunningCount == 0 {
			continue
		}
		if size += len(id) + taskCountBytes; size > maxTaskCountBytes {
			break
		}
		counts[id] = [2]int{j.DoneCount, j.RunningCount}
	}
	return counts
}

// dropJob drops a job that is over; its tasks are stopped.
func (l *Leader) dropJob(j *state.Job, endState string) {
	j.Ended = true
	delete(l.jobs, j.Spec.ID)
	delete(l.finalJobs, j.Spec.ID)
	l.writes.Unmark(replica.JobPrefix + j.Spec.ID)
	for chunk := range j.Chunks() {
		key := state.ProgressKey(j.Spec.ID, chunk)
		l.writes.Unmark(key)
		if l.Replica.ModRevision(key) != 0 {
			l.writes.Mark(key)
		}
	}
	if j.IsGang() {
		l.scheduler.DropReservation(j)
		l.gangs.EndAttempt(j, 0, "job is "+endState)
	}
	for _, a := range j.Attempts {
		l.stopTask(a, 0, "job is "+endState)
	}
	l.scheduler.RequestPlan()
}

// imageIndex is the number that stands for an image.
func (l *Leader) imageIndex(name string) int {
	n, ok := l.images[name]
	if !ok {
		n = len(l.images)
		l.images[name] = n
	}
	return n
}
