package leader

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// fakeTerm is a term whose proofs the tests set.
type fakeTerm struct {
	holdsSession, exclusive                bool
	lastConfirmed, earlierTermsFencedSince micros.Micros
}

func (t *fakeTerm) HoldsSession() bool                     { return t.holdsSession }
func (t *fakeTerm) IsExclusive() bool                      { return t.exclusive }
func (t *fakeTerm) LastConfirmed() micros.Micros           { return t.lastConfirmed }
func (t *fakeTerm) EarlierTermsFencedSince() micros.Micros { return t.earlierTermsFencedSince }

const testToken = 7

// newTestLeader makes a leader of one job of three tasks and one machine that an
// earlier leader had brought up.
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
	b := &launchIntent{id: "r-1", Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-1"}}
	l.intents[b.id] = b
	m := l.addMachine("i-1", b, now)
	m.instance.running, m.instance.intentStored, m.instance.listStored = true, true, true
	m.reconciliation.knowledge = tasksUnknown
	m.heartbeat.ofThisTerm = true
	l.machineLists = []*machineList{{Machines: []string{"i-1"}}}
	job := replica.Job{State: wire.JobPending, SubmittedAt: micros.Wall(), Spec: &wire.Job{
		ID: "j-000001", Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 3, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}}
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", job, 1)
	l.applyJobChange("j-000001", true)
	l.ready = true
	l.replan = true
	return l, term
}

func heartbeat(seq, baton uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{MachineID: "i-1", Address: "", InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: baton, Tasks: tasks}
}

func commandNames(a wire.HeartbeatResponse) (out []string) {
	for _, c := range a.Commands {
		out = append(out, c.Verb+" "+c.TaskID)
	}
	slices.Sort(out)
	return out
}

// TestReport goes through what a machine reports after a take-over, step by
// step, and what it is told.
func TestReport(t *testing.T) {
	running := func(task string, n uint64) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: n, State: wire.TaskRunning}
	}
	l, _ := newTestLeader(t)
	steps := []struct {
		name   string
		report *wire.Heartbeat
		want   []string // nil: not answered
	}{
		// Made before the worker knew of this term: an old leader's start may
		// still be executed, so nothing of the old job is started.
		{"a report of an earlier term", heartbeat(10, testToken-1), []string{}},
		// One task runs from the earlier term and is kept; the others start.
		{"the first of this term", heartbeat(11, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"a late copy", heartbeat(10, testToken-1), nil},
		// The answer with the starts was lost: a newer report proves it.
		{"starts lost", heartbeat(12, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"an unknown task is stopped", heartbeat(13, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			running("j-000001/2", testToken<<32|4), running("j-000099/0", 2)), []string{"stop j-000099/0"}},
		// The result is kept on the worker until it is surely stored.
		{"a task is done", heartbeat(14, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 4, State: wire.TaskExited, ExitReason: wire.ExitDone}), []string{}},
		{"a refused start is cleared and tried again", heartbeat(15, testToken, running("j-000001/0", 5),
			wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 3, State: wire.TaskExited, ExitReason: wire.ExitStopped}),
			[]string{"clear j-000001/1", "start j-000001/1"}},
	}
	for _, s := range steps {
		l.plannedAt = 0 // plans may follow each other at once
		a, err := l.HandleHeartbeat(s.report)
		if (err != nil) != (s.want == nil) {
			t.Fatalf("%s: error %v", s.name, err)
		}
		if got := commandNames(a); !slices.Equal(got, s.want) {
			t.Fatalf("%s: told %v, want %v", s.name, got, s.want)
		}
	}
	var numbers []uint64
	for _, a := range l.machines["i-1"].attempts {
		numbers = append(numbers, a.number)
	}
	slices.Sort(numbers)
	if len(numbers) != len(slices.Compact(numbers)) {
		t.Errorf("attempt numbers repeat: %v", numbers)
	}
	if _, err := l.HandleHeartbeat(heartbeat(16, testToken+1)); err == nil {
		t.Error("a worker with a higher token was answered")
	}
	if _, err := l.HandleHeartbeat(heartbeat(17, testToken)); err == nil {
		t.Error("answered after a higher token was seen")
	}
}

// TestWritePriority has the end of a job, a machine that came up and a crowd of machines that
// are gone wait to be written: the crowd must not keep users from their answers.
func TestWritePriority(t *testing.T) {
	l, _ := newTestLeader(t)
	for i := range 40 {
		b := &launchIntent{id: fmt.Sprintf("r-0-%d", i), Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-x", "i-y"}}
		l.intents[b.id] = b
		m := l.addMachine(fmt.Sprintf("i-9%02d", i), b, l.startedAt)
		l.removeMachine(m)
	}
	l.dirty[replica.AutoscalerKey] = true
	l.registerRunning(l.addMachine("i-2", l.intents["r-1"], l.startedAt))
	j := l.jobs["j-000001"]
	for i := range j.spec.Tasks {
		j.done.set(i)
		j.doneCount++
	}
	l.dirty[progressKey("j-000002", 0)] = true
	l.finishIfDone(j)
	ws, more := l.collectWrites()
	// The record goes before progress: behind it, a busy leader's was never written, and
	// the next one knew nothing of the jobs at fault.
	if len(ws) < 3 || !more || ws[0].key != replica.JobPrefix+"j-000001" || ws[1].key != machineListKey(0) || ws[2].key != replica.AutoscalerKey {
		t.Fatalf("written first: %+v", ws)
	}
	if ws, _ = l.collectWrites(); len(ws) == 0 {
		t.Error("nothing is written after them")
	}
	for _, w := range ws {
		if !strings.HasPrefix(w.key, replica.LaunchIntentPrefix) {
			t.Errorf("%s is written before machines that are gone", w.key)
		}
	}
}

// TestDeleteLeftovers has writes carried out late, when what they were for is over: they are
// removed, and what is in use is not.
func TestDeleteLeftovers(t *testing.T) {
	l, _ := newTestLeader(t)
	leftovers := []string{replica.LaunchIntentPrefix + "r-9", progressKey("j-000009", 0)}
	for _, key := range append(leftovers, replica.LaunchIntentPrefix+"r-1", progressKey("j-000001", 0)) {
		l.Replica.ApplyPut(key, map[string]any{}, 5)
	}
	l.deleteLeftovers()
	ws, _ := l.collectWrites()
	var removed []string
	for _, w := range ws {
		if w.value != nil || w.modRevision != 5 {
			t.Errorf("written: %+v", w)
		}
		removed = append(removed, w.key)
	}
	if !slices.Equal(removed, leftovers) {
		t.Errorf("removed %v, want %v", removed, leftovers)
	}
}

// TestAgingOrder has a large job late and put off while others press: after two minutes
// without a start a part of it goes before all others, so that it begins within four.
func TestAgingOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		waited, since micros.Micros // for the first start, and since the last one
		done          int
		running       bool
		first         string
	}{
		{"for a short time", 100 * micros.Second, 0, 0, false, "j-000002"},
		{"for long", 130 * micros.Second, 0, 0, false, "j-000001"},
		{"but a task of it runs", 130 * micros.Second, 0, 0, true, "j-000002"},
		{"it has begun, and lately started one", 400 * micros.Second, 50 * micros.Second, 1, false, "j-000002"},
		{"it has begun, and started none for long", 400 * micros.Second, 130 * micros.Second, 1, false, "j-000001"},
	} {
		l, _ := newTestLeader(t)
		wall := micros.Wall()
		l.startedAtWall = wall - 500*micros.Second
		big := l.jobs["j-000001"]
		big.mayHaveEarlierTasks, big.spec.Tasks, big.submittedAt = false, 64, wall-c.waited
		if c.since != 0 {
			big.lastStart = wall - c.since
		}
		big.doneCount = c.done
		if c.running {
			big.attempts[0] = &attempt{job: big, machine: l.machines["i-1"]}
		}
		spec := *big.spec
		spec.ID, spec.Priority, spec.Tasks = "j-000002", "urgent", 10
		l.jobs["j-000002"] = newJob(replica.Job{Spec: &spec, SubmittedAt: wall}, false)
		q := l.newQueue(micros.Now())
		if got := q.jobs[0].spec.ID; got != c.first {
			t.Errorf("%s: %s goes first, want %s", c.name, got, c.first)
		}
		if n := q.waiting[0].WaitingTasks; c.first == "j-000001" && n > 8 {
			t.Errorf("%s: %d of its tasks go first, want a part", c.name, n)
		}
	}
}

// TestReclaimedWithoutNotice has machines silent that the cloud's list still names or no longer does.
func TestReclaimedWithoutNotice(t *testing.T) {
	for _, c := range []struct {
		name   string
		lists  []bool // whether it was in each
		silent micros.Micros
		leaves bool
	}{
		{"silent and gone from the list", []bool{true, false, false}, 5 * micros.Second, true},
		{"gone from one list, which may be an old one", []bool{true, false}, 5 * micros.Second, false},
		{"never listed yet", []bool{false, false, false}, 5 * micros.Second, false},
		{"listed again", []bool{true, false, false, true}, 5 * micros.Second, false},
		{"gone from the list and reporting", []bool{true, false, false}, micros.Second, false},
	} {
		l, _ := newTestLeader(t)
		m := l.machines["i-1"]
		for _, there := range c.lists {
			var list []wire.InstanceStatus
			if there {
				list = append(list, wire.InstanceStatus{ID: "i-1", State: wire.InstanceRunning})
			}
			l.reconcileInstances(list, micros.Second)
		}
		now := l.startedAt + 100*micros.Second
		m.heartbeat.receivedAt, m.lease.renewedAt = now-c.silent, now-c.silent
		m.reconciliation.knowledge = tasksConfirmed
		l.superviseMachines(now)
		if m.instance.terminating != c.leaves {
			t.Errorf("%s: returned %v, want %v", c.name, m.instance.terminating, c.leaves)
		}
	}
}

// TestLostResponses has a machine's reports arrive while answers don't reach it: it is not
// taken for healthy and fed work for ever, and in the end it is returned.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		obeys  bool
		told   []int // starts in each answer; the pause for starts ends before the fifth
		leaves bool
	}{
		{"it hears nothing", false, []int{3, 3, 0, 0, 3, 0}, true},
		{"it does as it is told", true, []int{3, 0, 0, 0, 0, 0}, false},
	} {
		l, _ := newTestLeader(t)
		m := l.machines["i-1"]
		var tasks []wire.TaskStatus
		for i, want := range c.told {
			l.plannedAt = 0
			if i == 4 {
				m.startBackoffUntil = 0
			}
			a, err := l.HandleHeartbeat(heartbeat(uint64(11+i), testToken, tasks...))
			if err != nil || len(a.Commands) != want {
				t.Fatalf("%s: answer %d tells %v (%v), want %d starts", c.name, i, a.Commands, err, want)
			}
			for _, o := range a.Commands {
				if c.obeys {
					tasks = append(tasks, wire.TaskStatus{TaskID: o.TaskID, Attempt: o.Attempt, State: wire.TaskRunning})
				}
			}
		}
		now := micros.Now() + 30*micros.Second
		m.heartbeat.receivedAt = now // its reports go on
		l.superviseMachines(now)
		if m.instance.terminating != c.leaves {
			t.Errorf("%s: returned %v, want %v", c.name, m.instance.terminating, c.leaves)
		}
	}
}

// TestFirstHeartbeatOfMachine has a machine report for the first time in a term. Its report may
// be a late copy, and its machine long gone: it draws no tasks until a report shows
// that an answer of this term was heard.
func TestFirstHeartbeatOfMachine(t *testing.T) {
	l, _ := newTestLeader(t)
	l.machines["i-1"].startBackoffUntil = l.startedAt + 3600*micros.Second
	b := &launchIntent{id: "r-2", Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}}
	l.intents[b.id] = b
	m := l.addMachine("i-2", b, l.startedAt)
	m.instance.intentStored = true
	l.jobs["j-000001"].mayHaveEarlierTasks = false
	for i, c := range []struct {
		seq, token uint64
		upStored   bool
		starts     int
	}{{1, 0, true, 0}, {2, testToken - 1, true, 0}, {3, testToken, false, 0}, {4, testToken, true, 3}} {
		m.instance.listStored, l.plannedAt = c.upStored, 0
		r := heartbeat(c.seq, c.token)
		r.MachineID = "i-2"
		if a, err := l.HandleHeartbeat(r); err != nil || len(a.Commands) != c.starts {
			t.Errorf("report %d: told %v (%v), want %d starts", i, a.Commands, err, c.starts)
		}
	}
}

// TestHeartbeatOfUnknownMachine has reports of machines that no booking explains. One is adopted when
// it shows that it hears this term; a late copy of one that is gone never does.
func TestHeartbeatOfUnknownMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		tokens  []uint64 // of its reports
		gone    bool
		adopted bool
	}{
		{"a late copy", []uint64{testToken - 1}, false, false},
		{"copies", []uint64{testToken - 2, testToken - 1}, false, false},
		{"rented late", []uint64{0, testToken}, false, true},
		{"returned in this term", []uint64{testToken}, true, false},
	} {
		l, _ := newTestLeader(t)
		l.terminated["i-7"] = c.gone
		for i, n := range c.tokens {
			r := heartbeat(uint64(i+1), n)
			r.MachineID = "i-7"
			if a, err := l.HandleHeartbeat(r); (err != nil) != c.gone || err == nil && (a.FencingToken != testToken || len(a.Commands) > 0) {
				t.Errorf("%s: answered %+v, %v", c.name, a, err)
			}
		}
		if got := l.machines["i-7"] != nil; got != c.adopted {
			t.Errorf("%s: adopted %v, want %v", c.name, got, c.adopted)
		}
	}
}

// TestCanRespond has the proofs of leadership run out one after another.
func TestCanRespond(t *testing.T) {
	l, term := newTestLeader(t)
	seq := uint64(10)
	ask := func() (wire.HeartbeatResponse, error) {
		seq++
		l.plannedAt = 0
		return l.HandleHeartbeat(heartbeat(seq, testToken))
	}
	if a, err := ask(); err != nil || len(a.Commands) == 0 {
		t.Fatalf("sure of its leadership: %v, %v", a, err)
	}
	term.exclusive, term.holdsSession = false, false
	if _, err := ask(); err == nil {
		t.Error("in doubt a worker must be sent on once, as another may lead")
	}
	if a, err := ask(); err != nil || len(a.Commands) > 0 {
		t.Errorf("a worker that came back gets its lease and no start: %v, %v", a, err)
	}
	term.lastConfirmed = micros.Now() - l.Settings.Params.Workers.LeaseRenewalWindow()
	if _, err := ask(); err == nil {
		t.Error("answered although a cancellation could not be seen in time")
	}
}

// TestLeaseExpiry checks when a silent machine's tasks are surely gone.
func TestLeaseExpiry(t *testing.T) {
	l, term := newTestLeader(t)
	m, w := l.machines["i-1"], l.Settings.Params.Workers
	cases := []struct {
		name            string
		resolved        bool
		alone, answered micros.Micros
		after, notAfter micros.Micros // since the term began
	}{
		{"an earlier leader may renew it", false, 0, 0, w.LeaseRenewalWindow() + w.LeaseDuration(), w.CancellationTimeout()},
		{"all peers know of this term", false, l.startedAt + micros.Second, 0, w.LeaseDuration() + micros.Second, w.LeaseDuration() + 3*micros.Second},
		{"answered by this term", true, 0, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
		{"answered and not resolved", false, l.startedAt + micros.Second, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
	}
	for _, c := range cases {
		m.lease.renewedAt, term.earlierTermsFencedSince = c.answered, c.alone
		m.reconciliation.knowledge = taskKnowledge(c.resolved)
		if got := l.leaseExpiry(m) - l.startedAt; got <= c.after || got > c.notAfter {
			t.Errorf("%s: over after %v s, want within (%v, %v]", c.name, got.Seconds(), c.after.Seconds(), c.notAfter.Seconds())
		}
	}
}

// TestFinalStateKeepsCancellation guards against a rule once broken (went_back): a cancellation
// that the replica took over after the leader had decided that the job is done
// must not be overwritten.
func TestFinalStateKeepsCancellation(t *testing.T) {
	l, _ := newTestLeader(t)
	j := l.jobs["j-000001"]
	for i := range j.spec.Tasks {
		j.done.set(i)
		j.doneCount++
	}
	l.finishIfDone(j)
	if ws, _ := l.collectWrites(); len(ws) != 1 || ws[0].modRevision != 1 {
		t.Fatalf("the end is written as %+v, want under the version decided on", ws)
	}
	l.dirty[replica.JobPrefix+"j-000001"] = true
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobCancelled}, 2)
	if ws, _ := l.collectWrites(); len(ws) != 0 {
		t.Errorf("a cancelled job is written as %+v", ws)
	}
}

// TestWorstCaseTeamUse counts what machines with unknown tasks could hold.
func TestWorstCaseTeamUse(t *testing.T) {
	l, _ := newTestLeader(t)
	if teams, unresolved := l.worstCaseTeamUse(), l.unknownMachinesNow().count; unresolved != 1 || teams["blue"].Used.CPU != 4000 {
		t.Errorf("unresolved %d, used %+v, want all 4 CPUs of the one machine", unresolved, teams["blue"].Used)
	}
	l.machines["i-1"].reconciliation.knowledge = tasksConfirmed
	if teams := l.worstCaseTeamUse(); teams["blue"].Used.CPU != 0 {
		t.Errorf("used %+v with nothing running", teams["blue"].Used)
	}
}

// TestSilentMachines has machines fall silent. One is returned soon; many at once, or
// any while the leader is in doubt, are not: an isolated leader once had a
// whole fleet returned by requests that were held back and carried out late.
func TestSilentMachines(t *testing.T) {
	cases := []struct {
		name   string
		silent int // of six
		held   bool
		after  micros.Micros
		leaves bool
	}{
		{"one", 1, true, 17 * micros.Second, true},
		{"one, for a moment", 1, true, 5 * micros.Second, false},
		{"one, in doubt", 1, false, 17 * micros.Second, false},
		{"half", 3, true, 17 * micros.Second, false},
		{"half, their leases over", 3, true, 20 * micros.Second, false},
		{"half, their leases over for as long again", 3, true, 40 * micros.Second, true},
	}
	for _, c := range cases {
		l, term := newTestLeader(t)
		term.holdsSession = c.held
		b := l.intents["r-1"]
		for _, id := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
			l.addMachine(id, b, l.startedAt).instance.running = true
		}
		now := l.startedAt + 100*micros.Second
		for i, m := range l.sorted {
			m.heartbeat.receivedAt, m.lease.renewedAt = now, now
			m.reconciliation.knowledge = tasksConfirmed
			if i < c.silent {
				m.heartbeat.receivedAt, m.lease.renewedAt = now-c.after, now-c.after
			}
		}
		// An expired machine is noted first, and given up when that lasts.
		l.superviseMachines(now - 20*micros.Second)
		l.superviseMachines(now)
		if got := l.machines["i-1"].instance.terminating; got != c.leaves {
			t.Errorf("%s: returned %v, want %v", c.name, got, c.leaves)
		}
	}
}

// TestInterruptionNotice has a spot machine told that it will be taken: what can save is
// stopped in time to do so, the rest may still finish, and nothing starts there.
func TestInterruptionNotice(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint float64
		want       []string
	}{
		{"tasks that save", 20, []string{"stop j-000001/0"}},
		{"tasks that do not", 0, []string{}},
	} {
		l, _ := newTestLeader(t)
		l.jobs["j-000001"].spec.CheckpointIntervalS = c.checkpoint
		r := heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})
		notice := 15.0
		r.InterruptionNoticeS = &notice
		a, err := l.HandleHeartbeat(r)
		if got := commandNames(a); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: told %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}

// TestTasksOfJobsCancelledBeforeTerm has a machine show tasks of a job that was cancelled before this
// term. Whatever else is thought of a report, its answer renews the lease, so it must have
// them stopped; and they count against their team's limit until they are gone.
func TestTasksOfJobsCancelledBeforeTerm(t *testing.T) {
	l, _ := newTestLeader(t)
	l.teams["blue"] = settings.Team{Name: "blue", MaxCPUs: 3}
	l.Replica.ApplyPut(replica.JobPrefix+"j-000002", replica.Job{State: wire.JobCancelled, Spec: &wire.Job{
		ID: "j-000002", Team: "blue", Kind: wire.KindArray, Tasks: 8, CPUs: 1, MemoryGB: 1, CheckpointDurationS: 5, CheckpointIntervalS: 1, AllowSpot: true}}, 2)
	l.machines["i-1"].free.CPU = 8000 // the limit alone is in the way
	task := func(n int, state string) wire.TaskStatus {
		w := wire.TaskStatus{TaskID: taskID("j-000002", n), Attempt: 3<<32 | 1, State: state}
		if state == wire.TaskExited {
			w.ExitReason = wire.ExitStopped
		}
		return w
	}
	started := func(n int) wire.TaskStatus {
		return wire.TaskStatus{TaskID: taskID("j-000001", n), Attempt: testToken<<32 | uint64(n+1), State: wire.TaskRunning}
	}
	stranger := heartbeat(1, 0, task(0, wire.TaskRunning))
	stranger.MachineID = "i-2"
	steps := []struct {
		name   string
		report *wire.Heartbeat
		want   []string
	}{
		{"an unknown machine", stranger, []string{"stop j-000002/0"}},
		{"a report from before this term", heartbeat(1, 3, task(0, wire.TaskRunning), task(1, wire.TaskCheckpointing)),
			[]string{"stop j-000002/0", "stop j-000002/1"}},
		{"two of the team's three", heartbeat(2, testToken, task(0, wire.TaskRunning), task(1, wire.TaskCheckpointing)),
			[]string{"start j-000001/0", "stop j-000002/0", "stop j-000002/1"}},
		{"one is gone", heartbeat(3, testToken, started(0), task(0, wire.TaskExited), task(1, wire.TaskCheckpointing)),
			[]string{"clear j-000002/0", "start j-000001/1", "stop j-000002/1"}},
		{"the other too", heartbeat(4, testToken, started(0), started(1), task(1, wire.TaskExited)),
			[]string{"clear j-000002/1", "start j-000001/2"}},
	}
	for _, s := range steps {
		l.replan, l.plannedAt = true, 0
		answer, err := l.HandleHeartbeat(s.report)
		if got := commandNames(answer); err != nil || !slices.Equal(got, s.want) {
			t.Errorf("%s: %v, %v, want %v", s.name, got, err, s.want)
		}
	}
	if len(l.cancelledJobs) > 0 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d orphans are left, the team uses %v", len(l.cancelledJobs), l.teamUsage["blue"])
	}
}

// TestCanStartTask checks what binds a start at the moment it is sent, whatever was planned.
func TestCanStartTask(t *testing.T) {
	cases := []struct {
		name string
		set  func(l *Leader, j *job, m *machine)
		want bool
	}{
		{"nothing in the way", func(*Leader, *job, *machine) {}, true},
		{"another type", func(_ *Leader, j *job, _ *machine) { j.spec.InstanceTypes = []string{"m8"} }, false},
		{"another zone", func(_ *Leader, j *job, _ *machine) { j.spec.Zone = "b" }, false},
		{"no spot machine", func(_ *Leader, j *job, m *machine) { j.spec.AllowSpot, m.offering.Spot = false, true }, false},
		{"at the team's limit", func(l *Leader, j *job, _ *machine) {
			l.teams["blue"] = settings.Team{MaxCPUs: 2}
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(j.need, 2)
		}, false},
		{"machines with unknown tasks may be at it", func(l *Leader, j *job, _ *machine) {
			l.teams["blue"] = settings.Team{MaxCPUs: 2}
			l.unknownUsage = l.unknownUsage.Add(j.need, 2)
		}, false},
		{"its other tasks are in another zone", func(_ *Leader, j *job, m *machine) {
			j.spec.SingleZone = true
			j.attempts[0], j.attemptsPerZone["b"] = &attempt{}, 1
		}, false},
		{"its other tasks are here", func(_ *Leader, j *job, m *machine) {
			j.spec.SingleZone = true
			j.attempts[0], j.attemptsPerZone["a"] = &attempt{}, 1
		}, true},
		{"two of three are here", func(_ *Leader, j *job, m *machine) { j.spec.SpreadZones, j.attemptsPerZone["a"] = true, 2 }, false},
		{"one of three is here", func(_ *Leader, j *job, m *machine) { j.spec.SpreadZones, j.attemptsPerZone["a"] = true, 1 }, true},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		j, m := l.jobs["j-000001"], l.machines["i-1"]
		c.set(l, j, m)
		if got := l.canStartTask(j, m); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestContradictoryHeartbeats has a machine report what cannot be. Nothing of that may upset the
// counts of what is in use, or keep the tasks from running once it reports sense again.
func TestContradictoryHeartbeats(t *testing.T) {
	task := func(name string, n uint64, state, cause string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: name, Attempt: n, State: state, ExitReason: cause}
	}
	const own, other = testToken<<32 | 1, 3<<32 | 9
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
	}{
		{"a task twice, running", []wire.TaskStatus{task("j-000001/0", own, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"a task running and failed", []wire.TaskStatus{task("j-000001/0", own, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskExited, wire.ExitError)}},
		{"a task failed and running", []wire.TaskStatus{task("j-000001/0", own, wire.TaskExited, wire.ExitError), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"two attempts running", []wire.TaskStatus{task("j-000001/0", other, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"an unknown state", []wire.TaskStatus{task("j-000001/0", own, "dreaming", "")}},
		{"an unknown cause", []wire.TaskStatus{task("j-000001/0", own, wire.TaskExited, "bored")}},
		{"no state", []wire.TaskStatus{task("j-000001/0", own, "", "")}},
		{"tasks that cannot be", []wire.TaskStatus{task("j-000001/7", own, wire.TaskRunning, ""), task("j-000001/-1", own, wire.TaskRunning, ""),
			task("j-000001", own, wire.TaskRunning, ""), task("", 0, "", ""), task("j-999999/0", own, wire.TaskRunning, "")}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		for i, r := range []*wire.Heartbeat{heartbeat(1, testToken), heartbeat(2, testToken, c.tasks...), heartbeat(3, testToken, c.tasks...), heartbeat(4, testToken)} {
			l.replan, l.plannedAt = true, 0
			if _, err := l.HandleHeartbeat(r); err != nil {
				t.Errorf("%s: report %d: %v", c.name, i, err)
			}
		}
		m, j := l.machines["i-1"], l.jobs["j-000001"]
		if used, held := l.teamUsage["blue"].CPU, int64(1000*len(m.attempts)); used != held || m.free.CPU != 4000-held || len(j.attempts) != len(m.attempts) || j.doneCount != 0 {
			t.Errorf("%s: %d tasks held and %d counted, %d used, %d free, %d done", c.name, len(m.attempts), len(j.attempts), used, m.free.CPU, j.doneCount)
		}
	}
}

// TestSupersededLeaderDoesNotRespond has a leader be told tokens. Once one is higher than its own it answers no
// report, though its proofs hold: its successor counts on that from the moment it was told.
func TestSupersededLeaderDoesNotRespond(t *testing.T) {
	for _, c := range []struct {
		name    string
		told    []uint64
		answers bool
	}{
		{"its own", []uint64{testToken}, true},
		{"an earlier one", []uint64{testToken - 1}, true},
		{"a higher one", []uint64{testToken + 1}, false},
		{"a higher one, and then its own by one who is behind", []uint64{testToken + 1, testToken}, false},
	} {
		l, _ := newTestLeader(t)
		for _, told := range c.told {
			l.Supersede(told)
		}
		if _, err := l.HandleHeartbeat(heartbeat(10, testToken)); (err == nil) != c.answers {
			t.Errorf("%s: error %v, answers wanted: %t", c.name, err, c.answers)
		}
	}
}

// taskKnowledge is that of a machine that has confirmed its tasks in this term, or has not.
func taskKnowledge(confirmed bool) taskKnowledge {
	if confirmed {
		return tasksConfirmed
	}
	return tasksUnknown
}
