package leader

import (
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestGangHeartbeatRaces checks the commands in the responses when heartbeats with a gang's tasks race with each other
// and with earlier commands.
func TestGangHeartbeatRaces(t *testing.T) {
	type step struct {
		before  func(l *Leader) // runs before the heartbeat, unless nil
		machine string
		tasks   gangStatuses
		want    []string
	}
	// The task on machine i-2 is evicted and exits, and machine i-4 is added.
	evicted := []step{
		{func(l *Leader) { evictGangTask(l, "i-2"); addSchedulable(l, "i-4", "a") }, "i-2", gangStatuses{taskOnSender.waiting()}, []string{"stop"}},
		{nil, "i-2", gangStatuses{taskOnSender.exited(wire.ExitStopped)}, []string{"clear"}},
	}
	replaced := append(slices.Clone(evicted), step{nil, "i-4", nil, []string{"start"}})
	cases := []struct {
		name        string
		launch      string // initial state of the gang's tasks, empty if none was started in this term
		earlierTerm bool   // an earlier term may have started tasks of the gang
		steps       []step
	}{
		{"the exit of a replaced task is listed again", wire.TaskWaitingForGang, false, append(slices.Clone(replaced),
			step{nil, "i-4", gangStatuses{taskOnSender.running()}, nil},
			step{nil, "i-1", gangStatuses{taskOnSender.running()}, nil},
			step{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitStopped)}, []string{"clear"}},
			step{nil, "i-1", gangStatuses{taskOnSender.running()}, nil})},
		{"the others run before the start of the replacement is sent", wire.TaskWaitingForGang, false, append(slices.Clone(evicted),
			step{nil, "i-1", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			step{nil, "i-4", nil, nil})},
		{"a task is evicted while all wait, and then another is listed as running", wire.TaskWaitingForGang, false, []step{
			{func(l *Leader) { evictGangTask(l, "i-2") }, "i-1", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			{nil, "i-3", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			{nil, "i-2", gangStatuses{taskOnSender.checkpointing()}, []string{"stop"}}}},
		{"a task of a lower attempt is stopped without the others", "", true, []step{
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil},
			{nil, "i-3", gangStatuses{gangTask(2).waiting().ofAttempt(5)}, []string{"stop"}},
			{nil, "i-2", gangStatuses{gangTask(1).running().ofAttempt(6)}, nil}}},
		{"the others run before a heartbeat shows the last start", "", false, []step{
			{func(l *Leader) { addSchedulable(l, "i-4", "a") }, "i-1", nil, []string{"start"}},
			{nil, "i-2", nil, []string{"start"}},
			{nil, "i-3", nil, []string{"start"}},
			{nil, "i-1", gangStatuses{taskOnSender.running()}, nil},
			{nil, "i-3", gangStatuses{taskOnSender.running()}, nil}}},
		{"a start is executed after the others have given up waiting", wire.TaskWaitingForGang, false, append(slices.Clone(replaced),
			step{nil, "i-1", gangStatuses{taskOnSender.exited(wire.ExitGangTimeout)}, []string{"clear"}},
			step{nil, "i-3", gangStatuses{taskOnSender.exited(wire.ExitGangTimeout)}, []string{"clear"}},
			step{nil, "i-4", gangStatuses{taskOnSender.waiting()}, []string{"stop"}},
			step{nil, "i-1", nil, nil},
			step{nil, "i-3", nil, nil},
			step{nil, "i-4", gangStatuses{taskOnSender.exited(wire.ExitStopped)}, []string{"clear", "start"}})},
		{"a task exits because its gang lost a task, before any is listed as running", wire.TaskWaitingForGang, false, []step{
			{nil, "i-3", gangStatuses{taskOnSender.exited(wire.ExitGangTaskLost)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{taskOnSender.waiting()}, []string{"stop"}}}},
		{"the gang loses a task, and one that still runs exits", wire.TaskRunning, false, []step{
			{func(l *Leader) { l.fleet.Remove(l.fleet.Machines["i-2"]) }, "i-1", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			{nil, "i-3", gangStatuses{taskOnSender.exited(wire.ExitGangTaskLost)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{taskOnSender.running()}, []string{"stop"}},
			{nil, "i-3", nil, nil}}},
		// In the following cases, a new leader receives heartbeats that list tasks that have exited before those that
		// list the remaining tasks.
		{"a task has exited because its gang lost a task, then another is listed as running", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTaskLost).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}}}},
		{"a task has given up waiting, then another is listed as waiting", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTimeout).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).waiting().ofAttempt(5)}, []string{"stop"}}}},
		{"a task is on no machine, which is known once the tasks of all machines are", "", true, []step{
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil},
			{nil, "i-2", gangStatuses{gangTask(1).running().ofAttempt(5)}, nil},
			{func(l *Leader) { l.gangs.Check(micros.Now()) }, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil},
			{nil, "i-3", nil, nil},
			{func(l *Leader) { l.gangs.Check(micros.Now()) }, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}}}},
		{"a task of an earlier attempt has exited because its gang lost a task", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTaskLost).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil},
			{nil, "i-3", gangStatuses{gangTask(2).running().ofAttempt(5)}, []string{"stop"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil}}},
	}
	for _, c := range cases {
		l := newGangTest(t, c.earlierTerm)
		if c.launch != "" {
			launchGang(t, l, c.launch)
		}
		for i, s := range c.steps {
			if s.before != nil {
				s.before(l)
			}
			if got := commandVerbs(gangHeartbeat(t, l, s.machine, s.tasks...)); !slices.Equal(got, append([]string{}, s.want...)) {
				t.Errorf("%s: step %d: commands %v, want %v", c.name, i, got, s.want)
				break
			}
		}
	}
}

// TestUnknownTaskStates checks that one event is logged for a task with a state or exit reason that the protocol does
// not define, even if later heartbeats list the unknown state again. A task in an unknown state counts as present on
// its machine, and a task with an unknown exit reason as exited.
func TestUnknownTaskStates(t *testing.T) {
	cases := []struct {
		name    string
		tasks   gangStatuses
		events  int
		present bool
	}{
		{"known state", gangStatuses{taskOnSender.waiting()}, 0, true},
		{"unknown state", gangStatuses{taskOnSender.inState(unknownTaskState)}, 1, true},
		{"unknown exit reason", gangStatuses{taskOnSender.exited(unknownExitReason)}, 1, false},
		{"exit reason of gang tasks", gangStatuses{taskOnSender.exited(wire.ExitGangTaskLost)}, 0, false},
		{"unknown state with an unknown exit reason", gangStatuses{{index: taskOnSender, state: unknownTaskState, exitReason: unknownExitReason}}, 1, true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskPullingImage)
		a := gangAttemptOn(l, "i-2")
		l.fleet.Machines["i-2"].StartBackoffUntil = micros.Now() + 100*micros.Second
		for range 3 {
			gangHeartbeat(t, l, "i-2", c.tasks...)
		}
		events := 0
		for message, count := range l.events.Counts() {
			if strings.Contains(message, "unknown") {
				events += count
			}
		}
		if present := l.fleet.Machines["i-2"].Attempts[state.TaskID(gangID, a.Index)] == a; events != c.events || present != c.present {
			t.Errorf("%s: %d events about unknown values, want %d; the task counts as present on its machine: %t, want %t", c.name, events, c.events, present, c.present)
		}
	}
}

// TestGangDelayedDuplicateHeartbeat guards against a task of a gang being started on two machines because of a delayed
// duplicate of a heartbeat. The task's start is refused, and the task is cleared and started again on the same machine
// under the same number, because the tasks of a waiting gang keep their attempt number. Then a duplicate of the
// heartbeat with the refusal arrives. If the leader took the refusal for one of the second start, it would consider the
// task gone and start it on another machine as well. It must therefore reject a heartbeat whose sequence number is not
// higher than the latest of the incarnation.
func TestGangDelayedDuplicateHeartbeat(t *testing.T) {
	l := newGangTest(t, false)
	for _, machine := range []string{"i-1", "i-2", "i-3"} {
		gangHeartbeat(t, l, machine)
	}
	j, m, a := l.jobs[gangID], l.fleet.Machines["i-2"], gangAttemptOn(l, "i-2")
	number := j.Gang.Number
	refusal := &wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken,
		Tasks: []wire.TaskStatus{{TaskID: a.TaskID(), Attempt: number, State: wire.TaskExited, ExitReason: wire.ExitStopped}}}
	l.scheduler.PlannedAt = 0
	if response, err := l.HandleHeartbeat(refusal); err != nil || !slices.Contains(commandNames(response), "start "+a.TaskID()) {
		t.Fatalf("commands %v (error %v), want the start again", response.Commands, err)
	}
	next := *refusal
	next.Sequence, next.Tasks = refusal.Sequence+1, []wire.TaskStatus{{TaskID: a.TaskID(), Attempt: number, State: wire.TaskWaitingForGang}}
	if _, err := l.HandleHeartbeat(&next); err != nil || j.Gang.Number != number {
		t.Fatalf("attempt number %d (error %v), want %d", j.Gang.Number, err, number)
	}
	if _, err := l.HandleHeartbeat(refusal); err == nil {
		t.Error("the delayed duplicate got a response, want an error")
	}
	addSchedulable(l, "i-4", "a")
	if commands := gangHeartbeat(t, l, "i-4"); len(commands) > 0 {
		t.Errorf("commands for another machine: %v, want none", commands)
	}
	if current := j.Attempts[a.Index]; current == nil || current.Machine != m {
		t.Errorf("the task no longer counts as present on %s", m.ID)
	}
}
