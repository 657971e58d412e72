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
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standby"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
	"caperlatch/placement"
	"caperlatch/staffing"
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
	meansRaised  bool          // the means have been raised to it
	superseded   bool          // a higher token is known
	termLost     chan struct{} // closed when a write proved that the term is over
	termLostOnce sync.Once

	jobState
	fleetState
	instanceTypeState
	planState
	gangState
	persistState
	taskQueryState
	standbyState
	zoneState

	// What is shown to users and written to the log.
	taskCounts    map[string][2]int // see AllTaskCounts
	taskCountsAt  micros.Micros
	recentStops   []explain.TaskStop
	aggregatedLog aggregatedLog
}

// jobState is what is known of jobs and their tasks.
type jobState struct {
	jobs          map[string]*job
	cancelledJobs map[string]*job                // cancelled before this term, with tasks still on machines
	teamUsage     map[string]placement.Resources // by what is on machines, a team
	unknownUsage  placement.Resources            // what machines with unknown tasks may hold, as of the last plan
	images        map[string]int                 // the numbers that stand for images
	teams         map[string]settings.Team
	attempts      uint64
	estimates     map[string]*staffing.RuntimeEstimator // by class
}

// fleetState is what is known of machines and rentals.
type fleetState struct {
	machines         map[string]*machine
	sorted           []*machine // by name
	intents          map[string]*launchIntent
	intentSequence   uint64
	machineLists     []*machineList
	unexplained      map[string]micros.Micros // listed machines that no booking explains, since when
	terminated       map[string]bool          // machines that the cloud took back from us
	terminationQueue []string                 // machines to be returned
	capacityBackoffs map[offering]*capacityBackoff
	unknownMachines  int // machines whose tasks are not known, as of the last look
	bootOutcomes     bootOutcomes
}

// instanceTypeState is the catalog, with the staffing of its types.
type instanceTypeState struct {
	types        map[string]*scaledType
	typeOrder    []string
	typesVersion int // raised with each new one
	// A catalog that was refused is not sent again. Not guarded by mu.
	rejectedTypes *wire.InstanceTypeList
}

// planState is what waits, and when it was planned.
type planState struct {
	queue        queue // as of the last plan
	replan       bool  // something changed since then
	planDuration micros.Micros
	plannedAt    micros.Micros
	preemptedAt  micros.Micros
	completions  completionRate
	responding   *machine // whose report is being answered
}

// gangState is what is held and done for gangs beside plans.
type gangState struct {
	reservations        map[string]*gangReservation // room being gathered for gangs, by job
	pools               map[poolKind]*gangPool
	preemptedForGangsAt micros.Micros
}

// persistState is what is to be written to the state service.
type persistState struct {
	dirty         map[string]bool // keys to be written; false: see markDirtyLazily
	finalJobs     map[string]replica.Job
	wake          chan struct{}
	maxOps        int            // most changes in a transaction
	rejectedSizes map[string]int // sizes of values that the state service refused, by key
	inFlight      bool           // a transaction is under way
}

// taskQueryState is what is known of this node's own calls to workers.
type taskQueryState struct {
	slots       chan struct{}          // in progress
	zoneQueries map[string]queryCounts // how the machines of a zone took to being asked for their tasks
}

// scaledType is a type of the catalog with its staffing.
type scaledType struct {
	wire.InstanceType
	capacity         placement.Resources
	mean             float64
	meanBestEffort   float64 // of m, by patient jobs
	demand           *staffing.DemandWindow
	bestEffortDemand *staffing.DemandWindow // of these
	service          staffing.ServiceTime
	batches          staffing.BatchSizes
	finishedTasks    int
	wanted           float64 // the formula's, held for an interval
	wantedOnDemand   float64 // the same with the z of ordinary machines
	target           int     // what the fleet is steered toward
	heldUntil        micros.Micros
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
		aggregatedLog:     aggregatedLog{},
		jobState: jobState{
			jobs:          map[string]*job{},
			cancelledJobs: map[string]*job{},
			teamUsage:     map[string]placement.Resources{},
			images:        map[string]int{},
			teams:         map[string]settings.Team{},
			estimates:     map[string]*staffing.RuntimeEstimator{},
		},
		fleetState: fleetState{
			machines:         map[string]*machine{},
			intents:          map[string]*launchIntent{},
			unexplained:      map[string]micros.Micros{},
			terminated:       map[string]bool{},
			capacityBackoffs: map[offering]*capacityBackoff{},
		},
		instanceTypeState: instanceTypeState{
			types: map[string]*scaledType{},
		},
		gangState: gangState{
			reservations: map[string]*gangReservation{},
			pools:        map[poolKind]*gangPool{},
		},
		persistState: persistState{
			dirty:         map[string]bool{},
			finalJobs:     map[string]replica.Job{},
			wake:          make(chan struct{}, 1),
			maxOps:        c.Store.MaxLeaderOps(),
			rejectedSizes: map[string]int{},
		},
		taskQueryState: taskQueryState{
			slots:       make(chan struct{}, max(8, c.Settings.Params.Limits.MaxSockets/workerCallShare)),
			zoneQueries: map[string]queryCounts{},
		},
	}
	l.zoneState = newZoneState(c.ZonePolicy)
	for _, t := range c.Settings.Params.Teams {
		l.teams[t.Name] = t
	}
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
		l.flushLoop,
		l.tickLoop,
		l.launchLoop,
		l.terminateLoop,
		l.listInstancesLoop,
		l.instanceTypesLoop,
		l.queryTasksLoop,
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

func (l *Leader) setInstanceTypes(c wire.InstanceTypeList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.typeOrder = l.typeOrder[:0]
	l.typesVersion++
	for _, t := range c.Types {
		l.typeOrder = append(l.typeOrder, t.Name)
		mt := l.types[t.Name]
		if mt == nil {
			mt = &scaledType{demand: staffing.NewDemandWindow(l.Tuning.Window), bestEffortDemand: staffing.NewDemandWindow(l.Tuning.Window)}
			l.types[t.Name] = mt
		}
		mt.InstanceType = t
		mt.capacity = placement.Resources{CPU: floor(t.CPUs), GPU: floor(t.GPUs), Memory: floor(t.MemoryGB)}
	}
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
	for _, key := range l.Replica.Keys(replica.LaunchIntentPrefix) {
		var b launchIntent
		if _, err := l.Replica.Get(key, &b); err != nil {
			return err
		}
		b.id = strings.TrimPrefix(key, replica.LaunchIntentPrefix)
		l.intents[b.id] = &b
		b.stored = true
		for _, id := range b.Machines {
			// What is read here is stored: it may get tasks at once.
			l.addMachine(id, &b, now).instance.intentStored = true
		}
	}
	if err := l.restoreMachineLists(); err != nil {
		return err
	}
	for _, id := range l.Replica.TakeChangedJobs(true) {
		l.applyJobChange(id, true)
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		id, chunk, err := parseProgressKey(key)
		if err != nil {
			return err
		}
		j := l.jobs[id]
		if j == nil {
			l.dirty[key] = true // of a job that is over
			continue
		}
		var p taskProgress
		if _, err := l.Replica.Get(key, &p); err != nil {
			return err
		}
		if err := j.restore(chunk, p); err != nil {
			return fmt.Errorf("stored %s: %w", key, err)
		}
		if j.doneCount > 0 {
			l.completeGang(j)
		}
		l.finishIfDone(j)
	}
	if err := l.restoreAutoscaler(now); err != nil {
		return err
	}
	l.restoreZones(now)
	l.usePreviousTerm()
	l.stepPools(now)
	l.ready = true
	l.replan = true
	slog.Info("take-over", "token", l.FencingToken, "jobs", len(l.jobs), "machines", len(l.machines), "unresolved", l.countUnknownMachines())
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
		l.reportTasksKnown()
		if now-watched >= 200*micros.Millisecond {
			watched = now
			l.superviseMachines(now)
		}
		l.checkGangs(now)
		l.planIfNeeded(now)
		if now-staffed >= micros.Second {
			staffed = now
			l.autoscale(now)
			l.aggregatedLog.flush()
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
		j = newJob(r, old)
		j.image = l.imageIndex(j.spec.Image)
		l.jobs[id] = j
		l.addDemand(j)
		l.replan = true
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
	l.termLostOnce.Do(func() { close(l.termLost) })
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
		if j.doneCount+j.runningCount == 0 {
			continue
		}
		if size += len(id) + taskCountBytes; size > maxTaskCountBytes {
			break
		}
		counts[id] = [2]int{j.doneCount, j.runningCount}
	}
	return counts
}

// dropJob drops a job that is over; its tasks are stopped.
func (l *Leader) dropJob(j *job, state string) {
	j.ended = true
	delete(l.jobs, j.spec.ID)
	delete(l.finalJobs, j.spec.ID)
	delete(l.dirty, replica.JobPrefix+j.spec.ID)
	for chunk := range j.chunks() {
		key := progressKey(j.spec.ID, chunk)
		delete(l.dirty, key)
		if l.Replica.ModRevision(key) != 0 {
			l.dirty[key] = true
		}
	}
	if j.isGang() {
		l.dropReservation(j)
		l.endGangAttempt(j, 0, "job is "+state)
	}
	for _, a := range j.attempts {
		l.stopTask(a, 0, "job is "+state)
	}
	l.replan = true
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

func floor(v float64) int64 { return int64(v*1000 + 1e-6) }

func ceil(v float64) int64 {
	n := int64(v * 1000)
	if float64(n) < v*1000-1e-6 {
		n++
	}
	return n
}
