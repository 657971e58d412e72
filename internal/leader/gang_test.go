package leader

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// heard has every call to a worker answered.
type heard struct{}

func (heard) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

// newGangTest makes a leader of a gang of three tasks, each of which needs most of a
// machine, and of three machines that are up, not yet known if old.
func newGangTest(t *testing.T, old bool) *Leader {
	t.Helper()
	l, _ := newTest(t)
	l.Workers = &http.Client{Transport: heard{}}
	l.Replica.Wrote(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobDone}, 2)
	l.takeChanges()
	spec := &wire.Job{ID: "j-000002", Team: "blue", Shape: wire.ShapeGang, Priority: "normal", Tasks: 3, CPUs: 3, MemoryGB: 1,
		EstimateS: 60, CheckpointS: 20, SaveS: 3, Spot: true}
	l.jobs[spec.ID] = newJob(replica.Job{Spec: spec, SubmittedAt: micros.Wall() - 5*micros.Second}, old)
	b := l.bookings["r-1"]
	for _, id := range []string{"i-2", "i-3"} {
		l.addMachine(id, b, l.began)
	}
	for _, m := range l.order {
		m.up, m.stored, m.upStored, m.resolved, m.current = true, true, true, !old, true
		m.address, m.session, m.reported, m.answered = m.id+":9000", 1, l.began, l.began
	}
	return l
}

// tellTasks has a machine report tasks given as "number state" or "number state cause",
// the attempt behind an @ if it is another, and a dot for the task that the leader has
// there. It returns what it is told.
func tellTasks(t *testing.T, l *Leader, machine string, tasks ...string) []string {
	t.Helper()
	m := l.machines[machine]
	r := &wire.Report{Machine: machine, Address: machine + ":9000", Type: "m4", Zone: "a", Session: 1, Seq: m.seq + 1, Token: token, Tasks: nil}
	for _, s := range tasks {
		f := strings.Fields(s)
		number, at, _ := strings.Cut(f[0], "@")
		for task, a := range l.jobs["j-000002"].on {
			if number == "." && a.machine == m {
				number = strconv.Itoa(task)
				break
			}
		}
		x := wire.ReportTask{Task: "j-000002/" + number, State: f[1], Attempt: l.jobs["j-000002"].gang.n}
		if at != "" {
			if _, err := fmt.Sscan(at, &x.Attempt); err != nil {
				t.Fatal(err)
			}
		}
		if len(f) > 2 {
			x.Cause = f[2]
		}
		r.Tasks = append(r.Tasks, x)
	}
	l.plannedAt = 0
	a, err := l.Report(r)
	if err != nil {
		t.Fatal(err)
	}
	return verbs(a)
}

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
		n := j.gang.n
		if n > token<<32 {
			n -= token << 32
		}
		if n != c.n || (j.ndone == 3) != c.done {
			t.Errorf("%s: attempt %d, %d done", c.name, n, j.ndone)
		}
		for name, m := range l.machines {
			if m.strikes > 0 || len(m.failed) > 0 && !strings.Contains(c.name, "failed") {
				t.Errorf("%s: %s is blamed: %d, %v", c.name, name, m.strikes, m.failed)
			}
		}
	}
}

// TestGangStop has a running gang stopped for other work while its machines are in several
// states: whole, with time to save, or not at all.
func TestGangStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		edit  func(l *Leader, m *machine)
		stops int
	}{
		{"all can be told", func(*Leader, *machine) {}, 3},
		{"one is silent", func(l *Leader, m *machine) { m.reported = micros.Now() - 10*micros.Second; l.began = m.reported }, 0},
		{"one hears nothing", func(_ *Leader, m *machine) { m.deaf = 1 }, 0},
		{"one is being returned", func(_ *Leader, m *machine) { m.leaving = true }, 0},
		{"one is in a zone that is cut off", func(l *Leader, _ *machine) { l.cutOff["a"] = true }, 0},
		{"its leader is in doubt", func(l *Leader, _ *machine) { l.Term.(*fakeTerm).sure = false }, 0},
	} {
		l := newGangTest(t, false)
		for i := range 3 {
			tellTasks(t, l, fmt.Sprintf("i-%d", i+1))
		}
		j := l.jobs["j-000002"]
		for i := range 3 {
			tellTasks(t, l, fmt.Sprintf("i-%d", i+1), ". running")
		}
		c.edit(l, l.machines["i-2"])
		stopped := l.stopGang(j, saveGrace(j), "test", micros.Now())
		n := 0
		for _, a := range j.on {
			if a.stopped != 0 && a.grace >= 3*micros.Second {
				n++
			}
		}
		if n != c.stops || stopped != (n > 0) {
			t.Errorf("%s: %d tasks are stopped with time to save (%v), want %d", c.name, n, stopped, c.stops)
		}
	}
}

// TestGangPlaces has the places of a gang that is starting held as if it ran: in its team's
// use and on its machines, and given back whole.
func TestGangPlaces(t *testing.T) {
	l := newGangTest(t, false)
	tellTasks(t, l, "i-1")
	j := l.jobs["j-000002"]
	if len(j.on) != 3 || l.used["blue"].CPU != 9000 {
		t.Fatalf("%d places, %+v used", len(j.on), l.used["blue"])
	}
	for _, m := range l.order {
		if m.free.CPU != 1000 {
			t.Errorf("%s has %d free", m.id, m.free.CPU)
		}
	}
	// A machine that does not come for its start in time is passed over.
	late := l.began - 10*micros.Second
	l.began, l.machines["i-3"].reported = late, late
	for _, a := range j.on {
		a.began = late
	}
	l.watchGangs(micros.Now())
	if j.waiting() != 1 || j.gang.n != token<<32|1 {
		t.Errorf("%d wait for another place, attempt %d", j.waiting(), j.gang.n)
	}
	// It waits too long: all is given back.
	j.gang.waits = micros.Now() - 15*micros.Second
	l.watchGangs(micros.Now())
	n := 0
	for _, a := range j.on {
		if a.stopped != 0 && !a.reserved {
			n++
		}
	}
	if n != len(j.on) || n != 1 || l.used["blue"].CPU != 3000 {
		t.Errorf("%d of %d tasks are stopped, %+v used", n, len(j.on), l.used["blue"])
	}
}

// TestGangKeep has a gang find no room beside work that ends soon: room is gathered for a
// time, then let go for as long.
func TestGangKeep(t *testing.T) {
	const s = micros.Second
	l := newGangTest(t, false)
	l.began -= 100 * s
	now := micros.Now()
	small := newJob(replica.Job{Spec: &wire.Job{ID: "j-000003", Team: "blue", Tasks: 40, CPUs: 1, EstimateS: 5, Spot: true, Priority: "normal"}}, false)
	for _, m := range l.order {
		for range 4 {
			task, _ := small.take()
			l.hold(&attempt{job: small, task: task, n: 1, machine: m, sentAt: 1, began: now, running: now, state: wire.TaskRunning})
		}
	}
	kept := func() (n int) {
		for _, m := range l.order {
			if m.kept != nil {
				n++
			}
		}
		return n
	}
	l.plan(now)
	if kept() != 3 {
		t.Fatalf("%d machines are kept", kept())
	}
	m := l.machines["i-1"]
	for _, a := range m.tasks {
		l.ended(a, "")
		break
	}
	l.jobs[small.spec.ID] = small
	if small.spec.Priority = "normal"; len(tellTasks(t, l, "i-1")) != 0 {
		t.Error("the room that is kept went to another")
	}
	k := l.keeps["j-000002"]
	k.until = micros.Now()
	l.watchGangs(micros.Now())
	if kept() != 0 {
		t.Error("it is kept for ever")
	}
	if l.plan(micros.Now()); kept() != 0 {
		t.Error("it is kept again at once")
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
	for _, x := range j.on {
		if x.machine.id == "i-2" {
			a = x
		}
	}
	m, n := l.machines["i-2"], j.gang.n
	name := taskName(j.spec.ID, a.task)
	ended := &wire.Report{Machine: m.id, Address: m.address, Type: "m4", Zone: "a", Session: 1, Seq: m.seq + 1, Token: token,
		Tasks: []wire.ReportTask{{Task: name, Attempt: n, State: wire.TaskExited, Cause: wire.CauseStopped}}}
	l.plannedAt = 0
	if answer, err := l.Report(ended); err != nil || !slices.Contains(verbs(answer), "start "+name) {
		t.Fatalf("told %v (%v), want the start again", answer.Commands, err)
	}
	waiting := *ended
	waiting.Seq, waiting.Tasks = ended.Seq+1, []wire.ReportTask{{Task: name, Attempt: n, State: wire.TaskWaiting}}
	if _, err := l.Report(&waiting); err != nil || j.gang.n != n {
		t.Fatalf("attempt %d (%v), want %d", j.gang.n, err, n)
	}
	if _, err := l.Report(ended); err == nil {
		t.Error("a late copy was answered")
	}
	l.addMachine("i-4", l.bookings["r-1"], l.began)
	free := l.machines["i-4"]
	free.up, free.stored, free.upStored, free.current, free.session = true, true, true, true, 1
	free.reported, free.answered = micros.Now(), micros.Now()
	if told := tellTasks(t, l, "i-4"); len(told) > 0 {
		t.Errorf("another machine is told %v", told)
	}
	if x := j.on[a.task]; x == nil || x.machine != m {
		t.Errorf("the task is not counted on %s any more", m.id)
	}
}
