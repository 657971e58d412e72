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

// The jobs of the deferral tests. Run alone on the machine of four CPUs, they would take 5, 30 and 20 s.
const (
	smallJob   = "j-000001" // can meet its first deadline
	largeJob   = "j-000002" // can meet only its second deadline
	overdueJob = "j-000003" // can no longer meet any deadline
)

// newOverloadedScheduler returns a scheduler with one machine of four CPUs and the three jobs. Their class has
// two objectives: completion by the deadline, and completion by twice the deadline.
func newOverloadedScheduler(t *testing.T, now micros.Micros) *Scheduler {
	t.Helper()
	s, _ := newTestScheduler(t)
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
		addJob(s, spec).SubmittedAt = micros.WallTime() - age
	}
	add(smallJob, 2, 25, 0)
	add(largeJob, 12, 40, 0) // its last task must start within 30 s or, for the second deadline, 70 s
	add(overdueJob, 8, 20, 60*micros.Second)
	return s
}

// TestDeferredLargestJobUsesLaterDeadline guards against marking a large job as late when it misses its first start
// deadline but can still meet its second. Such a job was queued behind a job that could meet no deadline, which delays
// it by up to 20 s in this test, and so missed its second deadline too. In a user's deployment the delay lasted for as
// long as smaller late jobs were queued.
//
// The log line msg="job deferred" job=j-000002 late=true start_deadline=1m9.999995s for_job=j-000002
// missed_deadline=29.999995s showed the cause. The job was deferred in favor of itself, and was marked as late although
// its new start deadline lies after the missed one.
func TestDeferredLargestJobUsesLaterDeadline(t *testing.T) {
	now := micros.Now()
	s := newOverloadedScheduler(t, now)
	q := s.newQueue(now)
	var order []string
	for _, j := range q.jobs {
		order = append(order, j.Spec.ID)
	}
	if got, want := strings.Join(order, " "), smallJob+" "+largeJob+" "+overdueJob; got != want {
		t.Errorf("queue order: %s, want %s", got, want)
	}
	for _, w := range q.waiting {
		if w.Late != (w.ID == overdueJob) {
			t.Errorf("%s: late: %v, want %v", w.ID, w.Late, w.ID == overdueJob)
		}
	}
}

// TestDeferralIsLoggedOnce checks that a deferral is logged at debug level, and only once as long as it is
// unchanged.
func TestDeferralIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	defer slog.SetDefault(before)
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	now := micros.Now()
	s := newOverloadedScheduler(t, now)
	for range 3 {
		s.newQueue(now)
	}
	want := `msg="job deferred" job=` + largeJob + " team=blue late="
	if n := strings.Count(log.String(), want); n != 1 {
		t.Errorf("%d log lines contain %q, want 1; log:\n%s", n, want, log.String())
	}
}
