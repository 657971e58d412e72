package scheduler

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// The jobs of the tests of deferrals. They need, on the machine of four CPUs, 5, 30 and 20 s.
const (
	smallJob   = "j-000001" // can meet its first deadline
	largeJob   = "j-000002" // can meet only its second deadline
	overdueJob = "j-000003" // can meet no deadline any more
)

// newOverload makes a scheduler with one machine of four CPUs and the three jobs, which are of a class with two
// objectives: done by the deadline, and by twice the deadline.
func newOverload(t *testing.T, now micros.Micros) *Scheduler {
	t.Helper()
	s, _ := newTest(t)
	s.Workload = workload.New(settings.Params{
		Teams: []settings.Team{{Name: "blue"}},
		Objectives: []settings.Objective{
			{Kind: settings.ObjectiveDeadline, Class: "scan", Share: 0.9, Times: 1},
			{Kind: settings.ObjectiveDeadline, Class: "scan", Share: 0.99, Times: 2},
		},
	})
	addMachine(s, "i-1", now)
	add := func(id string, tasks int, deadlineS float64, age micros.Micros) {
		spec := wire.Job{ID: id, Team: "blue", Class: "scan", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, DeadlineS: &deadlineS}
		addJob(s, spec).SubmittedAt = micros.Wall() - age
	}
	add(smallJob, 2, 25, 0)
	add(largeJob, 12, 40, 0) // its last task is to start within 30 s, or 70 s
	add(overdueJob, 8, 20, 60*micros.Second)
	return s
}

// TestLargestJobKeepsItsPlace has a large job miss its first deadline, and one that can meet none any more wait. The
// large job went behind that one, and so missed its second deadline too, which it could have met: it started up to
// 20 s later here, at a user's distance for as long as there were late jobs that are smaller. In the log it stood as
// "job deferred" job=j-000002 late=true start_deadline=1m9.999995s for_job=j-000002 missed_deadline=29.999995s: the job that was to be
// in time is itself, and it is late although its deadline lies after the one that it missed.
func TestLargestJobKeepsItsPlace(t *testing.T) {
	now := micros.Now()
	s := newOverload(t, now)
	q := s.newQueue(now)
	var order []string
	for _, j := range q.jobs {
		order = append(order, j.Spec.ID)
	}
	if got, want := strings.Join(order, " "), smallJob+" "+largeJob+" "+overdueJob; got != want {
		t.Errorf("the queue is %s, want %s", got, want)
	}
	for _, w := range q.waiting {
		if w.Late != (w.ID == overdueJob) {
			t.Errorf("%s: late is %v", w.ID, w.Late)
		}
	}
}

// TestDeferralsAreLogged checks that a deferral is logged at level debug, once as long as it stays.
func TestDeferralsAreLogged(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	defer slog.SetDefault(before)
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	now := micros.Now()
	s := newOverload(t, now)
	for range 3 {
		s.newQueue(now)
	}
	want := `msg="job deferred" job=` + largeJob + " team=blue late="
	if n := strings.Count(log.String(), want); n != 1 {
		t.Errorf("%d lines %q in\n%s", n, want, log.String())
	}
}
