package leader

import (
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/wire"
)

// TestGangAttempt checks which commands the machines of a gang get in response to a sequence of heartbeats, and the
// gang's attempt number and done tasks at the end of the sequence.
func TestGangAttempt(t *testing.T) {
	type step struct {
		machine string
		tasks   gangStatuses
		want    []string
	}
	launched := []step{
		{"i-1", nil, []string{"start"}},
		{"i-2", nil, []string{"start"}},
		{"i-3", nil, []string{"start"}},
	}
	started := append(slices.Clone(launched),
		step{"i-1", gangStatuses{taskOnSender.running()}, nil}, step{"i-2", gangStatuses{taskOnSender.running()}, nil}, step{"i-3", gangStatuses{taskOnSender.running()}, nil})
	for _, c := range []struct {
		name        string
		earlierTerm bool // an earlier term may have started tasks of the gang
		steps       []step
		attempt     uint64 // the attempt number at the end, without this term's fencing token; 0 if there is no attempt
		done        bool   // all tasks are done at the end
	}{
		{"the gang starts", false, started, 1, false},
		{"a start is lost and sent again under the same number", false, append(slices.Clone(launched),
			step{"i-2", nil, []string{"start"}}), 1, false},
		{"a waiting task that exits is replaced under the same number", false, append(slices.Clone(launched),
			step{"i-1", gangStatuses{taskOnSender.waiting()}, nil},
			step{"i-2", gangStatuses{taskOnSender.exited(wire.ExitStopped)}, []string{"clear", "start"}}), 1, false},
		{"a waiting task that failed is not replaced at once on that machine", false, append(slices.Clone(launched),
			step{"i-1", gangStatuses{taskOnSender.waiting()}, nil},
			step{"i-2", gangStatuses{taskOnSender.exited(wire.ExitError)}, []string{"clear"}}), 1, false},
		{"a running gang that loses a task ends", false, append(slices.Clone(started),
			step{"i-2", nil, nil},
			step{"i-1", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			step{"i-3", gangStatuses{taskOnSender.running()}, []string{"stop"}}), 1, false},
		{"the next attempt begins once all tasks have left", false, append(slices.Clone(started),
			step{"i-2", gangStatuses{taskOnSender.exited(wire.ExitGangTaskLost)}, []string{"clear"}},
			step{"i-1", gangStatuses{taskOnSender.exited(wire.ExitStopped)}, []string{"clear"}},
			step{"i-2", nil, nil},
			step{"i-3", gangStatuses{taskOnSender.exited(wire.ExitGangTaskLost)}, []string{"clear", "start"}}), 2, false},
		{"a task gives up waiting, and all stop", false, append(slices.Clone(launched),
			step{"i-2", gangStatuses{taskOnSender.exited(wire.ExitGangTimeout)}, []string{"clear"}},
			step{"i-1", gangStatuses{taskOnSender.waiting()}, []string{"stop"}}), 1, false},
		{"once a task is done, all are", false, append(slices.Clone(started), step{"i-2", gangStatuses{taskOnSender.exited(wire.ExitDone)}, nil}), 1, true},
		{"unknown states and exit reasons have no other effect", false, append(slices.Clone(launched),
			step{"i-1", gangStatuses{taskOnSender.inState(unknownTaskState)}, nil},
			step{"i-2", gangStatuses{taskOnSender.exited(unknownExitReason)}, []string{"clear", "start"}}), 1, false},
		// The following cases are after a failover.
		{"a waiting gang is adopted and completed under its number", true, []step{
			{"i-1", gangStatuses{gangTask(0).waiting().ofAttempt(5)}, nil},
			{"i-2", gangStatuses{gangTask(1).waiting().ofAttempt(5)}, nil},
			{"i-3", nil, []string{"start"}}}, 5, false},
		{"tasks of a lower attempt are stopped", true, []step{
			{"i-1", gangStatuses{gangTask(0).waiting().ofAttempt(4)}, nil},
			{"i-2", gangStatuses{gangTask(1).waiting().ofAttempt(5)}, nil},
			{"i-1", gangStatuses{gangTask(0).waiting().ofAttempt(4)}, []string{"stop"}},
			{"i-3", gangStatuses{gangTask(2).waiting().ofAttempt(4)}, []string{"stop"}},
			{"i-3", gangStatuses{gangTask(2).exited(wire.ExitStopped).ofAttempt(4)}, []string{"clear", "start"}}}, 5, false},
		{"a running gang is adopted and not changed", true, []step{
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil}, {"i-2", gangStatuses{gangTask(1).running().ofAttempt(5)}, nil}, {"i-3", gangStatuses{gangTask(2).running().ofAttempt(5)}, nil},
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil}}, 5, false},
		{"all tasks of a gang that an earlier leader was stopping are stopped", true, []step{
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil}, {"i-2", gangStatuses{gangTask(1).checkpointing().ofAttempt(5)}, []string{"stop"}},
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}},
			{"i-3", gangStatuses{gangTask(2).running().ofAttempt(5)}, []string{"stop"}}}, 5, false},
		{"all tasks of a gang that an earlier leader had stopped in part are stopped", true, []step{
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil}, {"i-2", gangStatuses{gangTask(1).exited(wire.ExitStopped).ofAttempt(5)}, []string{"clear"}},
			{"i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}}}, 5, false},
		{"a result was lost with its machine, all start again, and one is done at once", true, []step{
			{"i-1", nil, nil}, {"i-2", nil, nil}, {"i-3", nil, []string{"start"}},
			{"i-1", nil, []string{"start"}}, {"i-2", nil, []string{"start"}},
			{"i-1", gangStatuses{taskOnSender.pulling()}, nil}, {"i-2", gangStatuses{taskOnSender.exited(wire.ExitDone)}, nil}}, 1, true},
		{"a result was lost with its machine, and no task is done yet", true, []step{
			{"i-1", nil, nil}, {"i-2", nil, nil}, {"i-3", nil, []string{"start"}},
			{"i-1", nil, []string{"start"}}, {"i-2", nil, []string{"start"}},
			{"i-1", gangStatuses{taskOnSender.pulling()}, nil}, {"i-2", gangStatuses{taskOnSender.waiting()}, nil}}, 1, false},
		{"a result that an earlier leader did not store completes all tasks", true, []step{{"i-2", gangStatuses{gangTask(1).exited(wire.ExitDone).ofAttempt(5)}, nil}}, 0, true},
	} {
		l := newGangTest(t, c.earlierTerm)
		j := l.jobs[gangID]
		for i, s := range c.steps {
			if s.want == nil {
				s.want = []string{}
			}
			got := commandVerbs(gangHeartbeat(t, l, s.machine, s.tasks...))
			if !slices.Equal(got, s.want) {
				t.Fatalf("%s: step %d: commands %v, want %v", c.name, i, got, s.want)
			}
		}
		attempt := j.Gang.Number
		if attempt > testToken<<32 {
			attempt -= testToken << 32
		}
		if _, final := l.finalJobs[j.Spec.ID]; attempt != c.attempt || (j.DoneCount == 3) != c.done || final != c.done {
			t.Errorf("%s: attempt number %d, want %d; %d tasks done, final state queued: %t; want all done and queued: %t", c.name, attempt, c.attempt, j.DoneCount, final, c.done)
		}
		for id, m := range l.fleet.Machines {
			if m.Quarantine.Failures > 0 || len(m.Quarantine.SuspectJobs) > 0 && !strings.Contains(c.name, "failed") {
				t.Errorf("%s: %s has %d failures and suspect jobs %v, want none", c.name, id, m.Quarantine.Failures, m.Quarantine.SuspectJobs)
			}
		}
	}
}

// TestAttemptNumberByKind checks that the tasks of a gang share an attempt number, while each start of a task of any
// other kind of job has a number of its own.
func TestAttemptNumberByKind(t *testing.T) {
	for kind, numbers := range map[wire.JobKind]int{wire.KindGang: 1, wire.KindArray: 3, wire.KindService: 3} {
		l := newGangTest(t, false)
		j := l.jobs[gangID]
		j.Spec.Kind = kind
		launchGang(t, l, "")
		seen := map[uint64]bool{}
		for _, a := range j.Attempts {
			seen[a.Number] = true
		}
		if len(seen) != numbers {
			t.Errorf("%s: attempt numbers %v, want %d distinct ones", kind, seen, numbers)
		}
	}
}
