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
	// Zones decides on zones; nil: the default policy.
	Zones zone.Policy
	// IsIsolated tells whether this node hears neither the state service nor most of its peers;
	// nil: it is not known.
	IsIsolated func() bool
}

// Leader acts for one term. Its mu guards all that changes after New, except
// catalogRefused, which only those who refresh the catalog use, one after the other.
type Leader struct {
	Config

	// The term and its times, as of New.
	began     micros.Micros
	beganWall micros.Micros // time of day
	report    micros.Micros // workers' usual time between reports
	lease     micros.Micros // of workers

	mu sync.Mutex

	// How far the take-over is, and whether the term is over.
	ready      bool          // the snapshot has been rebuilt
	raised     bool          // the means have been raised to it
	superseded bool          // a higher token is known
	lost       chan struct{} // closed when a write proved that the term is over
	lostOnce   sync.Once

	jobState
	fleetState
	catalogState
	planState
	gangState
	flushState
	workerCalls
	standbyState
	zoneState

	// What is shown to users and written to the log.
	counts    map[string][2]int // see AllTaskCounts
	countsAt  micros.Micros
	lastStops []StopNote
	tallies   tallies
}

// jobState is what is known of jobs and their tasks.
type jobState struct {
	jobs      map[string]*job
	orphans   map[string]*job                // cancelled before this term, with tasks still on machines
	used      map[string]placement.Resources // by what is on machines, a team
	hidden    placement.Resources            // what machines with unknown tasks may hold, as of the last plan
	images    map[string]int                 // the numbers that stand for images
	teams     map[string]settings.Team
	attempts  uint64
	estimates map[string]*staffing.RuntimeEstimator // by class
}

// fleetState is what is known of machines and rentals.
type fleetState struct {
	machines           map[string]*machine
	order              []*machine // by name
	bookings           map[string]*booking
	bookingSeq         uint64
	runningLists       []*runningList
	unbooked           map[string]micros.Micros // listed machines that no booking explains, since when
	gone               map[string]bool          // machines that the cloud took back from us
	toReturn           []string                 // machines to be returned
	offers             map[offer]*offerState
	unresolvedMachines int // machines whose tasks are not known, as of the last look
	lateBoots          boots
}

// catalogState is the catalog, with the staffing of its types.
type catalogState struct {
	types     map[string]*machineType
	typeOrder []string
	catalog   int // raised with each new one
	// A catalog that was refused is not sent again. Not guarded by mu.
	catalogRefused *wire.InstanceTypeList
}

// planState is what waits, and when it was planned.
type planState struct {
	queue     queue // as of the last plan
	replan    bool  // something changed since then
	planTook  micros.Micros
	plannedAt micros.Micros
	preempted micros.Micros
	taskEnds  endRate
	answering *machine // whose report is being answered
}

// gangState is what is held and done for gangs beside plans.
type gangState struct {
	gatherings        map[string]*gathering // room being gathered for gangs, by job
	reserves          map[reserveKind]*gangReserve
	preemptedForGangs micros.Micros
}

// flushState is what is to be written to the state service.
type flushState struct {
	dirty    map[string]bool // keys to be written; false: see markLazily
	finals   map[string]replica.Job
	flushNow chan struct{}
	flushOps int            // most changes in a transaction
	tooLarge map[string]int // sizes of values that the state service refused, by key
	writing  bool           // a transaction is under way
}

// workerCalls is what is known of this node's own calls to workers.
type workerCalls struct {
	calls       chan struct{}      // in progress
	zoneAnswers map[string]answers // how the machines of a zone took to being asked for their tasks
}

// machineType is a type of the catalog with its staffing.
type machineType struct {
	wire.InstanceType
	capacity     placement.Resources
	m            float64
	mBestEffort  float64 // of m, by patient jobs
	window       *staffing.DemandWindow
	bestEffort   *staffing.DemandWindow // of these
	service      staffing.ServiceTime
	batches      staffing.BatchSizes
	finished     int
	want         float64 // the formula's, held for an interval
	wantOrdinary float64 // the same with the z of ordinary machines
	target       int     // what the fleet is steered toward
	heldTill     micros.Micros
}

// New makes a leader for a term.
func New(c Config) *Leader {
	workers := c.Settings.Params.Workers
	l := &Leader{
		Config:    c,
		began:     micros.Now(),
		beganWall: micros.Wall(),
		report:    workers.HeartbeatInterval(),
		lease:     workers.LeaseDuration(),
		lost:      make(chan struct{}),
		tallies:   tallies{},
		jobState: jobState{
			jobs:      map[string]*job{},
			orphans:   map[string]*job{},
			used:      map[string]placement.Resources{},
			images:    map[string]int{},
			teams:     map[string]settings.Team{},
			estimates: map[string]*staffing.RuntimeEstimator{},
		},
		fleetState: fleetState{
			machines: map[string]*machine{},
			bookings: map[string]*booking{},
			unbooked: map[string]micros.Micros{},
			gone:     map[string]bool{},
			offers:   map[offer]*offerState{},
		},
		catalogState: catalogState{
			types: map[string]*machineType{},
		},
		gangState: gangState{
			gatherings: map[string]*gathering{},
			reserves:   map[reserveKind]*gangReserve{},
		},
		flushState: flushState{
			dirty:    map[string]bool{},
			finals:   map[string]replica.Job{},
			flushNow: make(chan struct{}, 1),
			flushOps: c.Store.MaxLeaderOps(),
			tooLarge: map[string]int{},
		},
		workerCalls: workerCalls{
			calls:       make(chan struct{}, max(8, c.Settings.Params.Limits.MaxSockets/callShare)),
			zoneAnswers: map[string]answers{},
		},
	}
	l.zoneState = newZoneState(c.Zones)
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
			err = l.loadCatalog(ctx)
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
	if err := l.rebuild(); err != nil {
		slog.Error("take-over", "error", err)
		return
	}
	var wg sync.WaitGroup
	loops := []func(context.Context){
		l.flushLoop,
		l.tickLoop,
		l.rentLoop,
		l.returnLoop,
		l.listLoop,
		l.catalogLoop,
		l.askLoop,
	}
	for _, f := range loops {
		wg.Go(func() { f(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-l.lost:
		cancel()
	}
	wg.Wait()
}

// loadCatalog uses the stored catalog or else asks the cloud.
func (l *Leader) loadCatalog(ctx context.Context) error {
	var c wire.InstanceTypeList
	stamp, err := l.Replica.Get(replica.InstanceTypesKey, &c)
	if err != nil {
		return err
	}
	if stamp != 0 {
		l.setCatalog(c)
		return nil
	}
	return l.refreshCatalog(ctx)
}

// refreshCatalog asks the cloud for the present prices and stores a catalog
// that is new.
func (l *Leader) refreshCatalog(ctx context.Context) error {
	c, err := l.Cloud.InstanceTypes(ctx)
	if err != nil {
		return err
	}
	var stored wire.InstanceTypeList
	stamp, err := l.Replica.Get(replica.InstanceTypesKey, &stored)
	if err != nil {
		return err
	}
	l.setCatalog(c)
	if stamp != 0 && sameTypes(stored, c) {
		return nil
	}
	if l.catalogRefused != nil && sameTypes(*l.catalogRefused, c) {
		return nil
	}
	rev, err := l.Store.Commit(ctx, wire.Txn{
		If:   []wire.Compare{{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision}, {Key: replica.InstanceTypesKey, ModRevision: stamp}},
		Then: []wire.Op{{Put: replica.InstanceTypesKey, Value: c}},
	})
	if errors.Is(err, statestore.ErrRejected) {
		// The leader goes on with what it was told. Submissions are judged by the
		// catalog stored before; a take-over must not wait for what cannot be.
		l.catalogRefused = &c
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

func (l *Leader) setCatalog(c wire.InstanceTypeList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.typeOrder = l.typeOrder[:0]
	l.catalog++
	for _, t := range c.Types {
		l.typeOrder = append(l.typeOrder, t.Name)
		mt := l.types[t.Name]
		if mt == nil {
			mt = &machineType{window: staffing.NewDemandWindow(l.Tuning.Window), bestEffort: staffing.NewDemandWindow(l.Tuning.Window)}
			l.types[t.Name] = mt
		}
		mt.InstanceType = t
		mt.capacity = placement.Resources{CPU: floor(t.CPUs), GPU: floor(t.GPUs), Mem: floor(t.MemoryGB)}
	}
}

func (l *Leader) catalogLoop(ctx context.Context) {
	micros.Every(ctx, 60*micros.Second, func() {
		if err := l.refreshCatalog(ctx); err != nil {
			slog.Debug("catalog", "error", err)
		}
	})
}

// rebuild makes the snapshot from what is stored. What machines hold is not
// known until each has answered with this term's token.
func (l *Leader) rebuild() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	for _, key := range l.Replica.Keys(replica.LaunchIntentPrefix) {
		var b booking
		if _, err := l.Replica.Get(key, &b); err != nil {
			return err
		}
		b.id = strings.TrimPrefix(key, replica.LaunchIntentPrefix)
		l.bookings[b.id] = &b
		b.stored = true
		for _, id := range b.Machines {
			// What is read here is stored: it may get tasks at once.
			l.addMachine(id, &b, now).stored = true
		}
	}
	if err := l.restoreRunningLists(); err != nil {
		return err
	}
	for _, id := range l.Replica.TakeChangedJobs(true) {
		l.jobChanged(id, true)
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
		var p progress
		if _, err := l.Replica.Get(key, &p); err != nil {
			return err
		}
		if err := j.restore(chunk, p); err != nil {
			return fmt.Errorf("stored %s: %w", key, err)
		}
		if j.ndone > 0 {
			l.gangDone(j)
		}
		l.finishIfDone(j)
	}
	if err := l.restoreStaffing(now); err != nil {
		return err
	}
	l.restoreZones(now)
	l.useExpected()
	l.stepReserves(now)
	l.ready = true
	l.replan = true
	slog.Info("take-over", "token", l.FencingToken, "jobs", len(l.jobs), "machines", len(l.machines), "unresolved", l.unresolved())
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
		l.takeChanges()
		if l.handing {
			l.mu.Unlock()
			continue
		}
		l.noteAdopted()
		if now-watched >= 200*micros.Millisecond {
			watched = now
			l.watchMachines(now)
		}
		l.watchGangs(now)
		l.planIfNeeded(now)
		if now-staffed >= micros.Second {
			staffed = now
			l.staff(now)
			l.tallies.tell()
		}
		if now-shown >= 5*micros.Second {
			shown = now
			l.logSnapshot(now)
		}
		l.mu.Unlock()
	}
}

// takeChanges takes over what the replica has seen since the last time.
func (l *Leader) takeChanges() {
	for _, id := range l.Replica.TakeChangedJobs(false) {
		l.jobChanged(id, false)
	}
}

// jobChanged takes over a change that the replica saw. Old jobs are those
// that an earlier term may have started tasks of.
func (l *Leader) jobChanged(id string, old bool) {
	r, _, ok := l.Replica.Job(id)
	if !ok {
		return
	}
	j := l.jobs[id]
	switch {
	case r.IsFinal() && j != nil:
		l.forget(j, r.State)
	case !r.IsFinal() && j == nil:
		if _, finishing := l.finals[id]; finishing {
			return
		}
		j = newJob(r, old)
		j.image = l.image(j.spec.Image)
		l.jobs[id] = j
		l.demand(j)
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
	l.lostOnce.Do(func() { close(l.lost) })
}

// countsEvery is how often the counts are taken anew; they are for display only.
const countsEvery = 2 * micros.Second

// AllTaskCounts is how far the jobs are that are not over: done and running tasks, as
// of at most countsEvery ago, and since when. The map must not be changed.
func (l *Leader) AllTaskCounts() (map[string][2]int, micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := micros.Now(); l.counts == nil || now-l.countsAt >= countsEvery {
		l.counts, l.countsAt = l.takeCounts(), now
	}
	return l.counts, l.countsAt
}

// Bounds of the counts, which go into one message between nodes: all that are within
// maxCountBytes, where each takes its job's name and countBytes at most. A fleet of 4,000
// machines that run single tasks has 16,000 jobs to count, which take 400 KB.
const (
	maxCountBytes = 1 << 19
	countBytes    = 16
)

// takeCounts counts the tasks of the jobs that have begun.
func (l *Leader) takeCounts() map[string][2]int {
	counts, size := make(map[string][2]int, len(l.jobs)), 0
	for id, j := range l.jobs {
		if j.ndone+j.running == 0 {
			continue
		}
		if size += len(id) + countBytes; size > maxCountBytes {
			break
		}
		counts[id] = [2]int{j.ndone, j.running}
	}
	return counts
}

// forget drops a job that is over; its tasks are stopped.
func (l *Leader) forget(j *job, state string) {
	j.over = true
	delete(l.jobs, j.spec.ID)
	delete(l.finals, j.spec.ID)
	delete(l.dirty, replica.JobPrefix+j.spec.ID)
	for chunk := range j.chunks() {
		key := progressKey(j.spec.ID, chunk)
		delete(l.dirty, key)
		if l.Replica.ModRevision(key) != 0 {
			l.dirty[key] = true
		}
	}
	if j.isGang() {
		l.dropGathering(j)
		l.stopAll(j, 0, "job is "+state)
	}
	for _, a := range j.on {
		l.stop(a, 0, "job is "+state)
	}
	l.replan = true
}

// image is the number that stands for an image.
func (l *Leader) image(name string) int {
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
