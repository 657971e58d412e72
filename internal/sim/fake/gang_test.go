package fake

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// gangEvent is an event on a machine: a command to start or stop a task of the gang, or a hang.
type gangEvent struct {
	at      time.Duration
	machine int
	verb    wire.Verb
	task    int
	attempt uint64
	graceS  float64
	hang    time.Duration
}

// gangFixture is a set of machines, and a node that only renews their leases.
type gangFixture struct {
	t       *testing.T
	cloud   *Cloud
	workers []*Worker
}

// newGangFixture starts machines and submits the gang j-000001, which has three tasks.
func newGangFixture(t *testing.T, machines int) *gangFixture {
	rules := checker.NewRules(time.Minute, map[string]float64{"blue": 0}, InstanceTypes().Types)
	rules.ObserveSubmission(wire.Job{
		ID: "j-000001", Team: "blue", Kind: wire.KindGang, Tasks: 3, CPUs: 1, Image: "img", CheckpointIntervalS: 5, CheckpointDurationS: 2, AllowSpot: true,
	})
	b := &gangFixture{t: t, cloud: newTestCloud(rules, 60)}
	for i := range machines {
		w := startWorker(b.cloud, fmt.Sprintf("i-%06d", i), wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
		b.workers = append(b.workers, w)
	}
	return b
}

// close stops the machines and waits until their goroutines have returned.
func (b *gangFixture) close() {
	for _, w := range b.workers {
		w.stop()
	}
	time.Sleep(2 * time.Minute)
}

// apply applies an event to its machine.
func (b *gangFixture) apply(e gangEvent) {
	w := b.workers[e.machine]
	if e.hang > 0 {
		w.Hang(e.hang)
		return
	}
	command := wire.Command{Verb: e.verb, TaskID: fmt.Sprintf("j-000001/%d", e.task), Attempt: e.attempt}
	if e.verb == wire.VerbStop {
		command.GracePeriodS = &e.graceS
	}
	sendCommands(b.t, w, command)
}

// shortStateNames maps states and exit reasons of the protocol to the names that the test cases use.
var shortStateNames = map[string]string{
	wire.TaskWaitingForGang: "waiting",
	wire.TaskCheckpointing:  "checkpointing",
	wire.ExitGangTaskLost:   "lost",
	wire.ExitGangTimeout:    "timeout",
}

// states returns the state of the latest task of each machine; for an exited task, its exit reason.
func (b *gangFixture) states() string {
	var out []string
	for _, w := range b.workers {
		w.mu.Lock()
		state := "-"
		for _, task := range w.tasks {
			if state = task.State; state == wire.TaskExited {
				state = task.ExitReason
			}
			state = cmp.Or(shortStateNames[state], state)
			if task.Checkpointed {
				state += "+checkpointed"
			}
		}
		w.mu.Unlock()
		out = append(out, state)
	}
	return strings.Join(out, " ")
}

// gangCase is a scenario for the gang on four machines.
type gangCase struct {
	name     string
	events   []gangEvent
	want     map[time.Duration]string // states at the given times
	progress time.Duration            // progress that is checkpointed at the end
}

// gangCases covers the phases of a gang.
func gangCases() []gangCase {
	const s = time.Second
	start := func(at time.Duration, machine, task int, attempt uint64) gangEvent {
		return gangEvent{at: at, machine: machine, verb: wire.VerbStart, task: task, attempt: attempt}
	}
	stop := func(at time.Duration, machine int, graceS float64) gangEvent {
		return gangEvent{at: at, machine: machine, verb: wire.VerbStop, task: machine, attempt: 1, graceS: graceS}
	}
	hang := func(at time.Duration, machine int, d time.Duration) gangEvent {
		return gangEvent{at: at, machine: machine, hang: d}
	}
	startAll := []gangEvent{start(0, 0, 0, 1), start(0, 1, 1, 1), start(0, 2, 2, 1)}
	startAllThen := func(more ...gangEvent) []gangEvent { return append(slices.Clone(startAll), more...) }
	stopAllThen := func(more ...gangEvent) []gangEvent {
		return append(startAllThen(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9)), more...)
	}
	const (
		running = "running running running -"
		stored  = "stopped+checkpointed stopped+checkpointed stopped+checkpointed -"
	)
	return []gangCase{
		{"all tasks run, and complete together", startAll, map[time.Duration]string{s: running, 19 * s: running, 21 * s: "done done done -"}, 0},
		{"one task never starts: the others time out", startAll[:2],
			map[time.Duration]string{s: "waiting waiting - -", 19 * s: "waiting waiting - -", 21 * s: "timeout timeout - -"}, 0},
		{"all run once the last task starts", []gangEvent{startAll[0], startAll[1], start(10*s, 2, 2, 1)},
			map[time.Duration]string{9 * s: "waiting waiting - -", 11 * s: running, 29 * s: running, 31 * s: "done done done -"}, 0},
		{"a task of another attempt does not count", []gangEvent{startAll[0], startAll[1], start(10*s, 2, 2, 2)},
			map[time.Duration]string{11 * s: "waiting waiting waiting -", 21 * s: "timeout timeout waiting -"}, 0},
		{"a waiting task is stopped at once, and replaced", []gangEvent{startAll[0], startAll[1], stop(5*s, 1, 9), start(8*s, 2, 2, 1), start(9*s, 3, 1, 1)},
			map[time.Duration]string{6 * s: "waiting stopped - -", 8500 * time.Millisecond: "waiting stopped waiting -", 10 * s: "running stopped running running"}, 0},
		{"a machine hangs: the others notice the loss", startAllThen(hang(12*s, 2, 30*s)), map[time.Duration]string{13 * s: running, 16 * s: "lost lost running -"}, 10 * s},
		{"all tasks are stopped at once", stopAllThen(), map[time.Duration]string{8 * s: "checkpointing checkpointing checkpointing -", 10 * s: stored}, 7 * s},
		{"the last stop arrives just in time", startAllThen(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(9500*time.Millisecond, 2, 9)),
			map[time.Duration]string{9 * s: "checkpointing checkpointing running -", 12 * s: stored}, 7 * s},
		{"the last stop arrives too late", startAllThen(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(11*s, 2, 9)), map[time.Duration]string{12 * s: "stopped stopped lost -"}, 5 * s},
		{"one stop has too short a grace period", startAllThen(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7500*time.Millisecond, 2, 1)),
			map[time.Duration]string{8500 * time.Millisecond: "stopped stopped stopped -"}, 5 * s},
		{"a second stop ends the checkpoint", stopAllThen(stop(8*s, 2, 0)), map[time.Duration]string{10 * s: "stopped stopped stopped -"}, 5 * s},
		{"a second stop with a grace period changes nothing", stopAllThen(stop(8*s, 2, 1)), map[time.Duration]string{10 * s: stored}, 7 * s},
		{"a machine hangs before the checkpoint is stored", stopAllThen(hang(7500*time.Millisecond, 2, 30*s)),
			map[time.Duration]string{11 * s: "stopped stopped checkpointing -"}, 5 * s},
		{"a machine hangs when the checkpoint is stored", stopAllThen(hang(8800*time.Millisecond, 2, 30*s)),
			map[time.Duration]string{11 * s: "stopped+checkpointed stopped+checkpointed checkpointing -"}, 7 * s},
		{"the next attempt resumes from the checkpoint", stopAllThen(start(20*s, 0, 0, 2), start(20*s, 1, 1, 2), start(20*s, 2, 2, 2)),
			map[time.Duration]string{32500 * time.Millisecond: running, 34 * s: "done done done -"}, 7 * s},
		{"a task starts again after all are done", startAllThen(start(25*s, 3, 0, 2)), map[time.Duration]string{26 * s: "done done done done"}, 0},
	}
}

// TestGangLifecycle checks the phases of a gang of three tasks: waiting, running, checkpointing, loss of a task and
// restart. The gang runs for 20 s, makes a checkpoint after every 5 s of progress, and needs 2 s for a checkpoint when
// it is stopped.
func TestGangLifecycle(t *testing.T) {
	for _, c := range gangCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newGangFixture(t, 4)
				defer b.close()
				start := time.Now()
				for _, e := range c.events {
					time.AfterFunc(e.at, func() { b.apply(e) })
				}
				for _, at := range slices.Sorted(maps.Keys(c.want)) {
					time.Sleep(time.Until(start.Add(at + 50*time.Millisecond)))
					if got := b.states(); got != c.want[at] {
						t.Errorf("%s: after %v the task states are %q, want %q", c.name, at, got, c.want[at])
					}
				}
				if got := b.cloud.GangProgress("j-000001").Round(time.Second); got != c.progress {
					t.Errorf("%s: checkpointed progress is %v, want %v", c.name, got, c.progress)
				}
			})
		})
	}
}
