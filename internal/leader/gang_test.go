package leader

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// TestGangReports goes through what machines with a gang's tasks report, step by step, and
// what they are told.
func TestGangReports(t *testing.T) {
	type step struct {
		machine string
		tasks   []string
		want    []string
	}
	launched := []step{
		{"i-1", nil, []string{"start"}},
		{"i-2", nil, []string{"start"}},
		{"i-3", nil, []string{"start"}},
	}
	run := append(slices.Clone(launched),
		step{"i-1", []string{". running"}, nil}, step{"i-2", []string{". running"}, nil}, step{"i-3", []string{". running"}, nil})
	for _, c := range []struct {
		name  string
		old   bool
		steps []step
		n     uint64 // number of its attempt at the end, less the term's first; 0: none
		done  bool
	}{
		{"it starts", false, run, 1, false},
		{"a start is lost, and sent again under the same number", false, append(slices.Clone(launched),
			step{"i-2", nil, []string{"start"}}), 1, false},
		{"a waiting task that exits is replaced under the same number", false, append(slices.Clone(launched),
			step{"i-1", []string{". waiting"}, nil},
			step{"i-2", []string{". ended stopped"}, []string{"clear", "start"}}), 1, false},
		{"not at once on a machine where it failed", false, append(slices.Clone(launched),
			step{"i-1", []string{". waiting"}, nil},
			step{"i-2", []string{". ended error"}, []string{"clear"}}), 1, false},
		{"a running gang that loses a task ends", false, append(slices.Clone(run),
			step{"i-2", nil, nil},
			step{"i-1", []string{". running"}, []string{"stop"}},
			step{"i-3", []string{". running"}, []string{"stop"}}), 1, false},
		{"the next attempt begins when all are gone", false, append(slices.Clone(run),
			step{"i-2", []string{". ended peers"}, []string{"clear"}},
			step{"i-1", []string{". ended stopped"}, []string{"clear"}},
			step{"i-2", nil, nil},
			step{"i-3", []string{". ended peers"}, []string{"clear", "start"}}), 2, false},
		{"one gives up waiting: all stop", false, append(slices.Clone(launched),
			step{"i-2", []string{". ended incomplete"}, []string{"clear"}},
			step{"i-1", []string{". waiting"}, []string{"stop"}}), 1, false},
		{"one is done: all are", false, append(slices.Clone(run), step{"i-2", []string{". ended done"}, nil}), 1, true},
		{"unknown states and causes do no harm", false, append(slices.Clone(launched),
			step{"i-1", []string{". pondering"}, nil},
			step{"i-2", []string{". ended boredom"}, []string{"clear", "start"}}), 1, false},
		// Take-overs.
		{"a waiting gang is adopted and completed under its number", true, []step{
			{"i-1", []string{"0@5 waiting"}, nil},
			{"i-2", []string{"1@5 waiting"}, nil},
			{"i-3", nil, []string{"start"}}}, 5, false},
		{"tasks of a lower attempt are stopped", true, []step{
			{"i-1", []string{"0@4 waiting"}, nil},
			{"i-2", []string{"1@5 waiting"}, nil},
			{"i-1", []string{"0@4 waiting"}, []string{"stop"}},
			{"i-3", []string{"2@4 waiting"}, []string{"stop"}},
			{"i-3", []string{"2@4 ended stopped"}, []string{"clear", "start"}}}, 5, false},
		{"a running gang is adopted and left alone", true, []step{
			{"i-1", []string{"0@5 running"}, nil}, {"i-2", []string{"1@5 running"}, nil}, {"i-3", []string{"2@5 running"}, nil},
			{"i-1", []string{"0@5 running"}, nil}}, 5, false},
		{"one that an earlier leader was stopping is stopped whole", true, []step{
			{"i-1", []string{"0@5 running"}, nil}, {"i-2", []string{"1@5 flushing"}, []string{"stop"}},
			{"i-1", []string{"0@5 running"}, []string{"stop"}},
			{"i-3", []string{"2@5 running"}, []string{"stop"}}}, 5, false},
		{"one that an earlier leader had stopped in part is stopped whole", true, []step{
			{"i-1", []string{"0@5 running"}, nil}, {"i-2", []string{"1@5 ended stopped"}, []string{"clear"}},
			{"i-1", []string{"0@5 running"}, []string{"stop"}}}, 5, false},
		{"a result was lost with its machine: all start again, and one shows it at once", true, []step{
			{"i-1", nil, nil}, {"i-2", nil, nil}, {"i-3", nil, []string{"start"}},
			{"i-1", nil, []string{"start"}}, {"i-2", nil, []string{"start"}},
			{"i-1", []string{". pulling"}, nil}, {"i-2", []string{". ended done"}, nil}}, 1, true},
		{"a result was lost with its machine, and is not known yet", true, []step{
			{"i-1", nil, nil}, {"i-2", nil, nil}, {"i-3", nil, []string{"start"}},
			{"i-1", nil, []string{"start"}}, {"i-2", nil, []string{"start"}},
			{"i-1", []string{". pulling"}, nil}, {"i-2", []string{". waiting"}, nil}}, 1, false},
		{"a result that an earlier leader did not store is that of all", true, []step{{"i-2", []string{"1@5 ended done"}, nil}}, 0, true},
	} {
		l := newGangTest(t, c.old)
		j := l.jobs["j-000002"]
		for i, s := range c.steps {
			if s.want == nil {
				s.want = []string{}
			}
			got := tellTasks(t, l, s.machine, s.tasks...)
			for i := range got {
				got[i], _, _ = strings.Cut(got[i], " ")
			}
			if !slices.Equal(got, s.want) {
				t.Fatalf("%s: step %d: told %v, want %v", c.name, i, got, s.want)
			}
		}
		n := j.gang.number
		if n > testToken<<32 {
			n -= testToken << 32
		}
		if _, final := l.finalJobs[j.spec.ID]; n != c.n || (j.doneCount == 3) != c.done || final != c.done {
			t.Errorf("%s: attempt %d, %d done", c.name, n, j.doneCount)
		}
		for name, m := range l.machines {
			if m.quarantine.failures > 0 || len(m.quarantine.suspectJobs) > 0 && !strings.Contains(c.name, "failed") {
				t.Errorf("%s: %s is at fault: %d, %v", c.name, name, m.quarantine.failures, m.quarantine.suspectJobs)
			}
		}
	}
}

// TestGangPlaces has the places of a gang that is starting held as if it ran: in its team's
// use and on its machines, and given back whole.
func TestGangPlaces(t *testing.T) {
	l := newGangTest(t, false)
	tellTasks(t, l, "i-1")
	j := l.jobs["j-000002"]
	if len(j.attempts) != 3 || l.teamUsage["blue"].CPU != 9000 {
		t.Fatalf("%d places, %+v used", len(j.attempts), l.teamUsage["blue"])
	}
	for _, m := range l.sorted {
		if m.free.CPU != 1000 {
			t.Errorf("%s has %d free", m.id, m.free.CPU)
		}
	}
	// A machine that does not come for its start in time is passed over.
	late := l.startedAt - 10*micros.Second
	l.startedAt, l.machines["i-3"].heartbeat.receivedAt = late, late
	for _, a := range j.attempts {
		a.startedAt = late
	}
	l.checkGangs(micros.Now())
	if j.waiting() != 1 || j.gang.number != testToken<<32|1 {
		t.Errorf("%d wait for another place, attempt %d", j.waiting(), j.gang.number)
	}
	// It waits too long: all is given back.
	j.gang.waitingSince = micros.Now() - 15*micros.Second
	l.checkGangs(micros.Now())
	n := 0
	for _, a := range j.attempts {
		if a.stopRequestedAt != 0 && !a.reserved && a.gracePeriod >= checkpointGrace(j) { // it may run unseen
			n++
		}
	}
	if n != len(j.attempts) || n != 1 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d of %d tasks are stopped, %+v used", n, len(j.attempts), l.teamUsage["blue"])
	}
}

// TestGangGathering has a gang find no room beside work that ends soon: room is gathered for a
// time, then let go for as long.
func TestGangGathering(t *testing.T) {
	const s = micros.Second
	l := newGangTest(t, false)
	l.startedAt -= 100 * s
	now := micros.Now()
	small := newJob(replica.Job{Spec: &wire.Job{ID: "j-000003", Team: "blue", Tasks: 40, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true, Priority: "normal"}}, false)
	for _, m := range l.sorted {
		for range 4 {
			task, _ := small.takeWaitingTask()
			l.assign(&attempt{job: small, index: task, number: 1, machine: m, startSequence: 1, startedAt: now, runningSince: now, reportedState: wire.TaskRunning})
		}
	}
	gathered := func() (n int) {
		for _, m := range l.sorted {
			if m.reservation != nil {
				n++
			}
		}
		return n
	}
	l.plan(now)
	if gathered() != 3 {
		t.Fatalf("%d machines are gathered", gathered())
	}
	m := l.machines["i-1"]
	for _, a := range m.attempts {
		l.release(a, "")
		break
	}
	l.jobs[small.spec.ID] = small
	if small.spec.Priority = "normal"; len(tellTasks(t, l, "i-1")) != 0 {
		t.Error("the room that is gathered went to another")
	}
	g := l.reservations["j-000002"]
	g.expiresAt = micros.Now()
	l.checkGangs(micros.Now())
	if gathered() != 0 {
		t.Error("it is gathered for ever")
	}
	if l.plan(micros.Now()); gathered() != 0 {
		t.Error("it is gathered again at once")
	}
}

// TestGangOldQueue has a gang change between two plans. A machine that reports is filled
// from the queue of the last plan, which must not start what has been ended meanwhile.
func TestGangOldQueue(t *testing.T) {
	cancel := func(l *Leader) {
		spec := l.jobs["j-000002"].spec
		l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 3)
	}
	cases := []struct {
		name    string
		cpus    float64 // of each task; a machine has four
		before  func(t *testing.T, l *Leader)
		between func(l *Leader)
		machine string
		tasks   []string // that it reports
		want    []string
	}{
		{"it still waits", 1, nil, func(*Leader) {}, "i-1", nil, []string{"start", "start", "start"}},
		{"it is cancelled", 1, nil, cancel, "i-1", nil, nil},
		{"it has a place there", 3, func(t *testing.T, l *Leader) { tellTasks(t, l, "i-1") }, func(*Leader) {}, "i-2", nil, []string{"start"}},
		{"it has a place there, and its team is at its limit by now", 3, func(t *testing.T, l *Leader) { tellTasks(t, l, "i-1") }, func(l *Leader) {
			l.teams["blue"] = settings.Team{Name: "blue", MaxCPUs: 9.5}
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(placement.Resources{CPU: 1000}, 1)
		}, "i-2", nil, nil},
		{"one of its tasks is done", 1, nil, func(*Leader) {}, "i-1", []string{"0@5 ended done"}, nil},
		{"its attempt ends while another task of it waits for a place", 3, func(t *testing.T, l *Leader) {
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				tellTasks(t, l, id)
			}
			tellTasks(t, l, "i-1", ". waiting")
			tellTasks(t, l, "i-3", ". waiting")
			tellTasks(t, l, "i-2", ". ended error")
		}, func(*Leader) {}, "i-1", []string{". ended incomplete"}, []string{"clear"}},
		{"all of its attempt are gone, of which one waited for a place", 1, func(t *testing.T, l *Leader) {
			tellTasks(t, l, "i-1")
			for _, id := range []string{"i-2", "i-3"} {
				l.machines[id].startBackoffUntil = micros.Now() + micros.Second
			}
			tellTasks(t, l, "i-1", "0 waiting", "1 waiting", "2 ended no_room")
		}, func(l *Leader) { l.releaseAll(l.machines["i-1"], "test") }, "i-2", nil, nil},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs["j-000002"]
		j.spec.CPUs, j.need.CPU = c.cpus, int64(1000*c.cpus)
		if c.before != nil {
			c.before(t, l)
		}
		later := micros.Now() + micros.Second
		for _, m := range l.sorted {
			m.startBackoffUntil = later
		}
		l.plan(micros.Now())
		for _, m := range l.sorted {
			m.startBackoffUntil = 0
		}
		c.between(l)
		l.planDuration = micros.Now() // no other plan for long
		got := tellTasks(t, l, c.machine, c.tasks...)
		for i := range got {
			got[i], _, _ = strings.Cut(got[i], " ")
		}
		if !slices.Equal(got, c.want) && len(got)+len(c.want) > 0 {
			t.Errorf("%s: told %v, want %v", c.name, got, c.want)
		}
	}
}

// TestGangRaces has reports of a gang's tasks cross each other, and what the leader does.
func TestGangRaces(t *testing.T) {
	type step struct {
		before  func(l *Leader) // the report
		machine string
		tasks   []string
		want    []string
	}
	// The task on the second machine leaves it, and a fourth machine is there.
	moved := []step{
		{func(l *Leader) { leave(l, "i-2"); addUp(l, "i-4", "a") }, "i-2", []string{". waiting"}, []string{"stop"}},
		{nil, "i-2", []string{". ended stopped"}, []string{"clear"}},
	}
	replaced := append(slices.Clone(moved), step{nil, "i-4", nil, []string{"start"}})
	cases := []struct {
		name   string
		launch string // state that its tasks have at first; empty: a new leader has not heard of it
		steps  []step
	}{
		{"a task that was replaced is listed again as stopped", wire.TaskWaitingForGang, append(slices.Clone(replaced),
			step{nil, "i-4", []string{". running"}, nil},
			step{nil, "i-1", []string{". running"}, nil},
			step{nil, "i-2", []string{"1 ended stopped"}, []string{"clear"}},
			step{nil, "i-1", []string{". running"}, nil})},
		{"the others run, so the one that has its place is too late", wire.TaskWaitingForGang, append(slices.Clone(moved),
			step{nil, "i-1", []string{". running"}, []string{"stop"}},
			step{nil, "i-4", nil, nil})},
		{"one is to leave as they wait, and another shows that they run", wire.TaskWaitingForGang, []step{
			{func(l *Leader) { leave(l, "i-2") }, "i-1", []string{". running"}, []string{"stop"}},
			{nil, "i-3", []string{". running"}, []string{"stop"}},
			{nil, "i-2", []string{". flushing"}, []string{"stop"}}}},
		{"one of a lower attempt is to leave, which is another matter", "old", []step{
			{nil, "i-1", []string{"0@6 running"}, nil},
			{nil, "i-3", []string{"2@5 waiting"}, []string{"stop"}},
			{nil, "i-2", []string{"1@6 running"}, nil}}},
		{"others run, and the last start is not heard of yet", "", []step{
			{func(l *Leader) { addUp(l, "i-4", "a") }, "i-1", nil, []string{"start"}},
			{nil, "i-2", nil, []string{"start"}},
			{nil, "i-3", nil, []string{"start"}},
			{nil, "i-1", []string{". running"}, nil},
			{nil, "i-3", []string{". running"}, nil}}},
		{"a start is carried out when the others have left as incomplete", wire.TaskWaitingForGang, append(slices.Clone(replaced),
			step{nil, "i-1", []string{". ended incomplete"}, []string{"clear"}},
			step{nil, "i-3", []string{". ended incomplete"}, []string{"clear"}},
			step{nil, "i-4", []string{". waiting"}, []string{"stop"}},
			step{nil, "i-1", nil, nil},
			step{nil, "i-3", nil, nil},
			step{nil, "i-4", []string{". ended stopped"}, []string{"clear", "start"}})},
		{"one gives its gang up before any was seen running", wire.TaskWaitingForGang, []step{
			{nil, "i-3", []string{". ended peers"}, []string{"clear"}},
			{nil, "i-1", []string{". waiting"}, []string{"stop"}}}},
		{"a task that runs without the others exits", wire.TaskRunning, []step{
			{func(l *Leader) { l.removeMachine(l.machines["i-2"]) }, "i-1", []string{". running"}, []string{"stop"}},
			{nil, "i-3", []string{". ended peers"}, []string{"clear"}},
			{nil, "i-1", []string{". running"}, []string{"stop"}},
			{nil, "i-3", nil, nil}}},
		// A new leader hears first of what has ended, then of what is left.
		{"one gave its gang up, then one shows to run", "old", []step{
			{nil, "i-2", []string{"1@5 ended peers"}, []string{"clear"}},
			{nil, "i-1", []string{"0@5 running"}, []string{"stop"}}}},
		{"one gave up waiting, then one shows to wait", "old", []step{
			{nil, "i-2", []string{"1@5 ended incomplete"}, []string{"clear"}},
			{nil, "i-1", []string{"0@5 waiting"}, []string{"stop"}}}},
		{"one of it is nowhere, which is known when all machines are", "old", []step{
			{nil, "i-1", []string{"0@5 running"}, nil},
			{nil, "i-2", []string{"1@5 running"}, nil},
			{func(l *Leader) { l.checkGangs(micros.Now()) }, "i-1", []string{"0@5 running"}, nil},
			{nil, "i-3", nil, nil},
			{func(l *Leader) { l.checkGangs(micros.Now()) }, "i-1", []string{"0@5 running"}, []string{"stop"}}}},
		{"one gave an earlier attempt up", "old", []step{
			{nil, "i-2", []string{"1@5 ended peers"}, []string{"clear"}},
			{nil, "i-1", []string{"0@6 running"}, nil},
			{nil, "i-3", []string{"2@5 running"}, []string{"stop"}},
			{nil, "i-1", []string{"0@6 running"}, nil}}},
	}
	for _, c := range cases {
		l := newGangTest(t, c.launch == "old")
		if c.launch != "" && c.launch != "old" {
			launchGang(t, l, c.launch)
		}
		for i, s := range c.steps {
			if s.before != nil {
				s.before(l)
			}
			if got := verbsOf(tellTasks(t, l, s.machine, s.tasks...)); !slices.Equal(got, append([]string{}, s.want...)) {
				t.Errorf("%s: step %d: told %v, want %v", c.name, i, got, s.want)
				break
			}
		}
	}
}

// TestGangSurelyGone has the machine of a task that is about to run fall silent and more.
// The task may be started elsewhere, under the same number, only when it is surely gone.
func TestGangSurelyGone(t *testing.T) {
	say := func(edit func(r *wire.Heartbeat)) func(t *testing.T, l *Leader, m *machine) {
		return func(_ *testing.T, l *Leader, m *machine) {
			r := &wire.Heartbeat{MachineID: m.id, Address: m.instance.address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.heartbeat.sequence + 1, FencingToken: testToken}
			edit(r)
			if _, err := l.HandleHeartbeat(r); err != nil && r.Sequence > m.heartbeat.sequence {
				t.Error(err)
			}
		}
	}
	shows := func(tasks ...string) func(t *testing.T, l *Leader, m *machine) {
		return func(t *testing.T, l *Leader, m *machine) { tellTasks(t, l, m.id, tasks...) }
	}
	silent := func(seconds micros.Micros) func(t *testing.T, l *Leader, m *machine) {
		return func(_ *testing.T, l *Leader, m *machine) {
			m.lease.renewedAt = micros.Now() - seconds*micros.Second
			m.heartbeat.receivedAt = m.lease.renewedAt
			l.superviseMachines(micros.Now())
		}
	}
	cases := []struct {
		name  string
		event func(t *testing.T, l *Leader, m *machine)
		gone  bool
	}{
		{"it is silent for a while", silent(10), false},
		{"it is silent for its lease", silent(16), false},
		{"its lease is surely over", silent(18), true},
		{"it is to be returned", func(_ *testing.T, l *Leader, m *machine) { l.terminate(m, "test") }, false},
		{"the cloud has answered that it is returned", func(_ *testing.T, l *Leader, m *machine) { l.removeMachine(m) }, true},
		{"the cloud's list calls it failed", func(_ *testing.T, l *Leader, m *machine) {
			l.reconcileInstances([]wire.InstanceStatus{{ID: m.id, State: wire.InstanceFailed}}, micros.Second)
		}, false},
		{"the cloud's lists lack it", func(_ *testing.T, l *Leader, _ *machine) {
			for range 3 {
				l.reconcileInstances(nil, micros.Second)
			}
		}, false},
		{"it reports in a new session", say(func(r *wire.Heartbeat) { r.Incarnation = 2 }), true},
		{"a late copy of a report from before the start comes", say(func(r *wire.Heartbeat) { r.Sequence = 1 }), false},
		{"a report of an earlier term comes", say(func(r *wire.Heartbeat) { r.FencingToken = testToken - 1 }), false},
		{"it reports in a new session, and knows an earlier term", say(func(r *wire.Heartbeat) { r.Incarnation, r.FencingToken = 2, testToken-1 }), true},
		{"it reports without the task", shows(), true},
		{"it reports another attempt, which is to be cleared", shows("1@3 ended stopped", ". waiting"), false},
		{"it still fetches", shows(". pulling"), false},
		{"it shows a state that nobody knows", shows(". pondering"), false},
		{"the task has ended", shows(". ended stopped"), true},
		{"the task has ended for a cause that nobody knows", shows(". ended boredom"), true},
		{"the start was refused", shows(". ended no_room"), true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskWaitingForGang)
		j, m := l.jobs["j-000002"], l.machines["i-2"]
		n, a := j.gang.number, taskOn(l, "i-2")
		c.event(t, l, m)
		if held := m.attempts[taskID(j.spec.ID, a.index)] == a; held == c.gone {
			t.Errorf("%s: its task counts as being there: %t", c.name, held)
		}
		m.startBackoffUntil, l.replan, l.plannedAt = micros.Now()+100*micros.Second, true, 0
		if b := j.attempts[a.index]; b != a && b != nil && b.machine == m {
			continue // it is started on the same machine again
		}
		addUp(l, "i-4", "a")
		if got := verbsOf(tellTasks(t, l, "i-4")); slices.Contains(got, "start") != c.gone || j.gang.number != n {
			t.Errorf("%s: another machine is told %v, attempt %d after %d", c.name, got, j.gang.number, n)
		}
	}
}

// TestGangTogether has a gang that must be in one zone lose a task. As long as one of the
// old attempt is left anywhere, nothing is started in another zone, and no new attempt.
func TestGangTogether(t *testing.T) {
	ends := func(l *Leader) { l.removeMachine(l.machines["i-2"]) }
	cases := []struct {
		name   string
		state  string
		event  func(t *testing.T, l *Leader) // after a task of it was lost
		starts int                           // told to other machines, three in the other zone and one in its own
		same   bool                          // attempt
	}{
		{"it waits: a replacement must be in its zone", wire.TaskWaitingForGang, func(*testing.T, *Leader) {}, 1, true},
		{"it runs, and the others have not left", wire.TaskRunning, func(*testing.T, *Leader) {}, 0, true},
		{"one is left", wire.TaskRunning, func(t *testing.T, l *Leader) { tellTasks(t, l, "i-1", ". ended stopped") }, 0, true},
		{"one is left on a machine that is to be returned", wire.TaskRunning, func(t *testing.T, l *Leader) {
			tellTasks(t, l, "i-1", ". ended peers")
			l.terminate(l.machines["i-3"], "test")
		}, 0, true},
		{"all are gone", wire.TaskRunning, func(t *testing.T, l *Leader) {
			tellTasks(t, l, "i-1", ". ended peers")
			l.removeMachine(l.machines["i-3"])
		}, 3, false},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs["j-000002"]
		j.spec.SingleZone = true
		launchGang(t, l, c.state)
		n := j.gang.number
		ends(l)
		for i, zone := range []string{"b", "b", "b", "a"} {
			addUp(l, fmt.Sprintf("i-%d", i+4), zone)
		}
		c.event(t, l)
		for _, id := range []string{"i-1", "i-3"} {
			if m := l.machines[id]; m != nil {
				m.startBackoffUntil = micros.Now() + 100*micros.Second // the others alone may take tasks
			}
		}
		starts, zones := 0, map[string]bool{}
		for _, id := range []string{"i-4", "i-5", "i-6", "i-7"} {
			if slices.Contains(verbsOf(tellTasks(t, l, id)), "start") {
				starts++
				zones[l.machines[id].offering.Zone] = true
			}
		}
		if starts != c.starts || len(zones) > 1 || (j.gang.number == n) != c.same || zones["b"] && c.same {
			t.Errorf("%s: %d starts in zones %v, attempt %d after %d", c.name, starts, zones, j.gang.number, n)
		}
	}
}

// TestGangAtLimit has a gang use all that its team may, in each of its states: others of the
// team wait until its tasks are gone, those that wait for each other too.
func TestGangAtLimit(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *testing.T, l *Leader)
		room   bool
	}{
		{"its places are reserved", func(t *testing.T, l *Leader) { tellTasks(t, l, "i-1") }, false},
		{"its starts are sent", func(t *testing.T, l *Leader) { launchGang(t, l, "") }, false},
		{"it fetches", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskPullingImage) }, false},
		{"it waits", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskWaitingForGang) }, false},
		{"it runs", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskRunning) }, false},
		{"it is stopped", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.endGangAttempt(l.jobs["j-000002"], 0, "test")
		}, false},
		{"it is cancelled, and not gone", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			l.dropJob(l.jobs["j-000002"], wire.JobCancelled)
		}, false},
		{"it is cancelled, and one is gone", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			j := l.jobs["j-000002"]
			l.dropJob(j, wire.JobCancelled)
			l.removeMachine(l.machines["i-3"])
		}, true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		l.teams["blue"] = settings.Team{Name: "blue", MaxCPUs: 9}
		c.before(t, l)
		small := &wire.Job{ID: "j-000003", Team: "blue", Kind: wire.KindArray, Priority: "prod", Tasks: 4, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true}
		l.jobs[small.ID] = newJob(replica.Job{Spec: small, SubmittedAt: micros.Wall()}, false)
		addUp(l, "i-4", "a")
		got := tellPlain(t, l, "i-4")
		if (len(got) > 0) != c.room || l.teamUsage["blue"].CPU > 9000 {
			t.Errorf("%s: another of its team is told %v; %d used", c.name, got, l.teamUsage["blue"].CPU)
		}
	}
}

// TestUnknownWords has reports use words that the protocol does not have. Each is told to
// the log once, and the task counts as being there, or as ended.
func TestUnknownWords(t *testing.T) {
	cases := []struct {
		name  string
		tasks []string
		lines int
		there bool
	}{
		{"none", []string{". waiting"}, 0, true},
		{"a state", []string{". pondering"}, 1, true},
		{"a cause", []string{". ended boredom"}, 1, false},
		{"a cause of gangs", []string{". ended peers"}, 0, false},
		{"a state with a cause", []string{". pondering boredom"}, 1, true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskPullingImage)
		a := taskOn(l, "i-2")
		l.machines["i-2"].startBackoffUntil = micros.Now() + 100*micros.Second
		for range 3 {
			tellTasks(t, l, "i-2", c.tasks...)
		}
		lines := 0
		for what, x := range l.aggregatedLog {
			if strings.Contains(what, "unknown") {
				lines += x.count
			}
		}
		if there := l.machines["i-2"].attempts[taskID("j-000002", a.index)] == a; lines != c.lines || there != c.there {
			t.Errorf("%s: %d lines, its task counts as being there: %t", c.name, lines, there)
		}
	}
}

// TestAttemptNumbers has jobs of each shape start: a gang's tasks share a number, for
// others it only tells one start from another.
func TestAttemptNumbers(t *testing.T) {
	for shape, numbers := range map[string]int{wire.KindGang: 1, wire.KindArray: 3, wire.KindService: 3} {
		l := newGangTest(t, false)
		j := l.jobs["j-000002"]
		j.spec.Kind = shape
		launchGang(t, l, "")
		seen := map[uint64]bool{}
		for _, a := range j.attempts {
			seen[a.number] = true
		}
		if len(seen) != numbers {
			t.Errorf("%s: numbers %v", shape, seen)
		}
	}
}

// TestGangOldCopies has a task of a gang be refused, cleared and started again on the same
// machine, under the same number: while a gang waits, an attempt does not tell its starts
// apart. A late copy of the refusal, made in this term, must not count for the second start:
// the leader would take the task for gone and start it on another machine as well. What
// guards is the order of reports within a session.
func TestGangOldCopies(t *testing.T) {
	l := newGangTest(t, false)
	for _, machine := range []string{"i-1", "i-2", "i-3"} {
		tellTasks(t, l, machine)
	}
	j := l.jobs["j-000002"]
	var a *attempt
	for _, x := range j.attempts {
		if x.machine.id == "i-2" {
			a = x
		}
	}
	m, n := l.machines["i-2"], j.gang.number
	name := taskID(j.spec.ID, a.index)
	ended := &wire.Heartbeat{MachineID: m.id, Address: m.instance.address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.heartbeat.sequence + 1, FencingToken: testToken,
		Tasks: []wire.TaskStatus{{TaskID: name, Attempt: n, State: wire.TaskExited, ExitReason: wire.ExitStopped}}}
	l.plannedAt = 0
	if answer, err := l.HandleHeartbeat(ended); err != nil || !slices.Contains(commandNames(answer), "start "+name) {
		t.Fatalf("told %v (%v), want the start again", answer.Commands, err)
	}
	waiting := *ended
	waiting.Sequence, waiting.Tasks = ended.Sequence+1, []wire.TaskStatus{{TaskID: name, Attempt: n, State: wire.TaskWaitingForGang}}
	if _, err := l.HandleHeartbeat(&waiting); err != nil || j.gang.number != n {
		t.Fatalf("attempt %d (%v), want %d", j.gang.number, err, n)
	}
	if _, err := l.HandleHeartbeat(ended); err == nil {
		t.Error("a late copy was answered")
	}
	l.addMachine("i-4", l.intents["r-1"], l.startedAt)
	free := l.machines["i-4"]
	free.instance.running, free.instance.intentStored, free.instance.listStored, free.heartbeat.ofThisTerm, free.heartbeat.incarnation = true, true, true, true, 1
	free.heartbeat.receivedAt, free.lease.renewedAt = micros.Now(), micros.Now()
	if told := tellTasks(t, l, "i-4"); len(told) > 0 {
		t.Errorf("another machine is told %v", told)
	}
	if x := j.attempts[a.index]; x == nil || x.machine != m {
		t.Errorf("the task is not counted on %s any more", m.id)
	}
}
