package leader

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// fakeTerm is a Term whose proofs of leadership are set by the tests.
type fakeTerm struct {
	holdsSession, exclusive                bool
	lastConfirmed, earlierTermsFencedSince micros.Micros
}

func (t *fakeTerm) HoldsSession() bool { return t.holdsSession }

func (t *fakeTerm) IsExclusive() bool { return t.exclusive }

func (t *fakeTerm) LastConfirmed() micros.Micros { return t.lastConfirmed }

func (t *fakeTerm) EarlierTermsFencedSince() micros.Micros { return t.earlierTermsFencedSince }

func (t *fakeTerm) Relinquish() { t.holdsSession, t.exclusive = false, false }

// testToken is the fencing token of the test leader's term.
const testToken = 7

// newTestLeader returns a leader and its term. The leader has job j-000001, with three tasks, and machine i-1. An
// earlier leader launched the machine, and the machine's tasks are unknown.
func newTestLeader(t *testing.T) (*Leader, *fakeTerm) {
	t.Helper()
	now := micros.Now()
	term := &fakeTerm{holdsSession: true, exclusive: true, lastConfirmed: now}
	s := &settings.Settings{Params: settings.Params{
		Teams:   []settings.Team{{Name: "blue"}},
		Workers: settings.Workers{HeartbeatIntervalS: 2, LeaseDurationS: 16, CancellationTimeoutS: 41},
	}}
	l := New(Config{Settings: s, Tuning: settings.DefaultTuning(), Replica: replica.New(nil),
		Store: statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 8, TxnOps: 6}, nil), Term: term, FencingToken: testToken})
	l.setInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}}}})
	intent := l.fleet.AddIntent("r-1", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-1"}})
	m := l.fleet.Add("i-1", intent, now)
	l.fleet.RegisterRunning(m)
	l.writes.Remove(fleet.ListKey(0))
	m.Instance.IntentStored, m.Instance.ListStored = true, true
	m.Reconciliation.Knowledge = state.TasksUnknown
	m.Heartbeat.FromCurrentTerm = true
	job := replica.Job{State: wire.JobPending, SubmittedAt: micros.WallTime(), Spec: &wire.Job{
		ID: "j-000001", Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 3, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}}
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", job, 1)
	l.applyJobChange("j-000001", true)
	l.ready = true
	l.scheduler.RequestPlan()
	return l, term
}

// heartbeat returns a heartbeat of machine i-1 in its first incarnation.
func heartbeat(sequence, fencingToken uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{MachineID: "i-1", Address: "", InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: sequence, FencingToken: fencingToken, Tasks: tasks}
}

// commandNames returns the commands of a response in the form "verb task", sorted.
func commandNames(response wire.HeartbeatResponse) (names []string) {
	for _, c := range response.Commands {
		names = append(names, string(c.Verb)+" "+c.TaskID)
	}
	slices.Sort(names)
	return names
}

// taskKnowledge returns TasksConfirmed if a machine has confirmed its tasks in this term, and TasksUnknown if not.
func taskKnowledge(confirmed bool) state.TaskKnowledge {
	if confirmed {
		return state.TasksConfirmed
	}
	return state.TasksUnknown
}

// fakeWorkers is a function that serves as the transport for calls to workers. It returns the HTTP status code and the
// heartbeat in the body of the response. If the heartbeat is nil, the call fails without a response.
type fakeWorkers func(c *wire.CommandRequest) (int, *wire.Heartbeat)

// RoundTrip implements http.RoundTripper.
func (f fakeWorkers) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var c wire.CommandRequest
	if err := wire.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	status, workerStatus := f(&c)
	if workerStatus == nil {
		return nil, errors.New("no response")
	}
	response, err := wire.Marshal(workerStatus)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(response)), Request: r}, err
}

// setTermStart sets the start time of the term in the leader, its liveness monitor and its task queries.
func setTermStart(l *Leader, at micros.Micros) {
	l.startedAt, l.liveness.TermStartedAt, l.taskQueries.TermStartedAt = at, at, at
}
