package gangs

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

const testHeartbeatInterval = 2 * micros.Second

// fakeTerm is a term whose state the tests set.
type fakeTerm struct{ isExclusive bool }

func (t *fakeTerm) IsExclusive() bool { return t.isExclusive }

// fixture holds a coordinator with one gang of three tasks and three machines. It also acts as the leader and
// records the calls that it receives.
type fixture struct {
	*Coordinator
	job      *state.Job
	machines []*state.Machine
	term     *fakeTerm

	// Results of the leader's functions.
	mayStay, awaitsReconciliation, heartbeatsLate, zoneReachable bool

	lastAttemptNumber uint64           // attempt numbers are issued from 1
	published         []*state.Attempt // by PublishStarted
	sentStops         map[*state.Machine][]*state.Attempt
	storedChunks      []int
	expirationChecks  int // calls of ExpireReservation
}

// newFixture returns a fixture in which no task is assigned yet and all machines are reachable.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{term: &fakeTerm{isExclusive: true}, mayStay: true, zoneReachable: true, sentStops: map[*state.Machine][]*state.Attempt{}}
	spec := &wire.Job{ID: "j-000001", Team: "blue", Kind: wire.KindGang, Tasks: 3, CPUs: 1, CheckpointIntervalS: 20, CheckpointDurationS: 3}
	f.job = state.NewJob(replica.Job{Spec: spec, SubmittedAt: micros.WallTime()}, false)
	for i := range 3 {
		m := &state.Machine{ID: fmt.Sprintf("i-%d", i+1), Attempts: map[string]*state.Attempt{}, Free: placement.Resources{CPU: 4000}}
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored = true, true, true
		m.Instance.Address, m.Heartbeat.FromCurrentTerm, m.Heartbeat.Sequence = m.ID+":9000", true, 5
		m.Reconciliation.Knowledge = state.TasksConfirmed
		f.machines = append(f.machines, m)
	}
	f.Coordinator = New(Config{
		Term:                 f.term,
		Jobs:                 map[string]*state.Job{spec.ID: f.job},
		HeartbeatInterval:    testHeartbeatInterval,
		AssemblyTimeout:      30 * micros.Second,
		NextAttemptNumber:    func() uint64 { f.lastAttemptNumber++; return f.lastAttemptNumber },
		MayStayAssigned:      func(*state.Job, *state.Machine) bool { return f.mayStay },
		AwaitsReconciliation: func() func(*state.Job) bool { return func(*state.Job) bool { return f.awaitsReconciliation } },
		IsHeartbeatLate:      func(*state.Machine, micros.Micros) bool { return f.heartbeatsLate },
		IsZoneReachable:      func(string) bool { return f.zoneReachable },
		Assign:               func(a *state.Attempt) { a.Attach() },
		Release:              f.release,
		PublishStarted:       func(a *state.Attempt) { f.published = append(f.published, a) },
		Stop:                 func(a *state.Attempt, grace micros.Micros, reason string) { f.markStopping(a, grace, reason) },
		MarkStopping:         f.markStopping,
		SendStops:            func(m *state.Machine, stops []*state.Attempt) { f.sentStops[m] = append(f.sentStops[m], stops...) },
		StoreProgress:        func(_ *state.Job, chunk int) { f.storedChunks = append(f.storedChunks, chunk) },
		ExpireReservation:    func(*state.Job, micros.Micros) { f.expirationChecks++ },
	})
	return f
}

func (f *fixture) release(a *state.Attempt, _ string) {
	if a.Detach(micros.Now()) {
		f.ObserveRelease(a)
	}
}

func (f *fixture) markStopping(a *state.Attempt, grace micros.Micros, reason string) bool {
	if a.Reserved {
		f.ReleaseUnsent(a, reason)
		return false
	}
	return a.MarkStopping(grace, reason, micros.Now())
}

// assign assigns one task of the gang to each machine.
func (f *fixture) assign() {
	for _, m := range f.machines {
		f.AssignTasks(m, f.job, 1, micros.Now())
	}
}

// launch assigns a task of the gang to each machine, sends its start, and reports it in the given state.
func (f *fixture) launch(state string) {
	f.assign()
	for _, m := range f.machines {
		f.AppendStarts(m, nil, 100)
	}
	for _, m := range f.machines {
		f.reportTask(f.taskOn(m), state)
	}
}

// reportTask makes a heartbeat report a task in the given state.
func (f *fixture) reportTask(a *state.Attempt, state string) {
	a.ReportedState = state
	f.ObserveTask(a, micros.Now())
}

// taskOn returns the task of the gang that is on a machine, nil if there is none.
func (f *fixture) taskOn(m *state.Machine) *state.Attempt {
	for _, a := range m.Attempts {
		return a
	}
	return nil
}

// countStopping returns the number of tasks that are stopping with a grace period of at least grace.
func (f *fixture) countStopping(grace micros.Micros) (count int) {
	for _, a := range f.job.Attempts {
		if a.StopRequestedAt != 0 && a.GracePeriod >= grace {
			count++
		}
	}
	return count
}
