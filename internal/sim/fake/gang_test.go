package fake

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// event is what happens to a machine: it is told to start or to stop a task of the gang, or
// it hangs.
type event struct {
	at       time.Duration
	machine  int
	verb     string
	task     int
	attempt  uint64
	leewayS  float64
	hangsFor time.Duration
}

// gangBench is a few machines, with a node that only renews their leases.
type gangBench struct {
	t       *testing.T
	cloud   *Cloud
	workers []*Worker
}

func newGangBench(t *testing.T, machines int) *gangBench {
	n := NewNetwork()
	rules := checker.NewRules(time.Minute, map[string]float64{"blue": 0}, InstanceTypes().Types)
	rules.ObserveSubmission(wire.Job{ID: "j-000001", Team: "blue", Kind: wire.KindGang, Tasks: 3, CPUs: 1, Image: "img", CheckpointIntervalS: 5, CheckpointDurationS: 2, AllowSpot: true})
	b := &gangBench{t: t, cloud: NewCloud(n, rules, []string{"host-0:8080"}, 1, 60, func(string) float64 { return 20 })}
	n.Handle("host-0:8080", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		send(rw, http.StatusOK, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}})
	}))
	for i := range machines {
		w := newWorker(b.cloud, fmt.Sprintf("i-%06d", i), wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
		b.workers = append(b.workers, w)
	}
	return b
}

func (b *gangBench) close() {
	for _, w := range b.workers {
		w.stop()
	}
	time.Sleep(2 * time.Minute)
}

// bring has an event come about.
func (b *gangBench) bring(e event) {
	w := b.workers[e.machine]
	if e.hangsFor > 0 {
		w.Hang(e.hangsFor)
		return
	}
	command := wire.Command{Verb: e.verb, TaskID: fmt.Sprintf("j-000001/%d", e.task), Attempt: e.attempt}
	if e.verb == wire.VerbStop {
		command.GracePeriodS = &e.leewayS
	}
	body, err := wire.Marshal(wire.CommandRequest{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{command}})
	if err != nil {
		b.t.Error(err)
	}
	w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/commands", bytes.NewReader(body)))
}

// states are those of the latest task of each machine, with causes.
func (b *gangBench) states() string {
	var out []string
	for _, w := range b.workers {
		w.mu.Lock()
		state := "-"
		for _, task := range w.tasks {
			if state = task.State; state == wire.TaskExited {
				state = task.ExitReason
			}
			if task.Checkpointed {
				state += "+stored"
			}
		}
		w.mu.Unlock()
		out = append(out, state)
	}
	return strings.Join(out, " ")
}

// TestGang goes through the phases of a gang of three tasks, which runs for 20 s, has a
// checkpoint every 5 s of its progress, and takes 2 s to save.
func TestGang(t *testing.T) {
	const s = time.Second
	start := func(at time.Duration, machine, task int, attempt uint64) event {
		return event{at: at, machine: machine, verb: wire.VerbStart, task: task, attempt: attempt}
	}
	stop := func(at time.Duration, machine int, leewayS float64) event {
		return event{at: at, machine: machine, verb: wire.VerbStop, task: machine, attempt: 1, leewayS: leewayS}
	}
	hang := func(at time.Duration, machine int, d time.Duration) event {
		return event{at: at, machine: machine, hangsFor: d}
	}
	all := []event{start(0, 0, 0, 1), start(0, 1, 1, 1), start(0, 2, 2, 1)}
	with := func(more ...event) []event { return append(slices.Clone(all), more...) }
	const running = "running running running -"
	cases := []struct {
		name   string
		events []event
		want   map[time.Duration]string
		safe   time.Duration // progress at the end
	}{
		{"all run, and are done together", all, map[time.Duration]string{s: running, 19 * s: running, 21 * s: "done done done -"}, 0},
		{"one is missing: the others give up", all[:2], map[time.Duration]string{s: "waiting waiting - -", 19 * s: "waiting waiting - -", 21 * s: "incomplete incomplete - -"}, 0},
		{"the last comes late: all start then", []event{all[0], all[1], start(10*s, 2, 2, 1)}, map[time.Duration]string{9 * s: "waiting waiting - -", 11 * s: running, 29 * s: running, 31 * s: "done done done -"}, 0},
		{"another attempt does not complete it", []event{all[0], all[1], start(10*s, 2, 2, 2)}, map[time.Duration]string{11 * s: "waiting waiting waiting -", 21 * s: "incomplete incomplete waiting -"}, 0},
		{"one that waits is stopped, and exits at once; a replacement completes it", []event{all[0], all[1], stop(5*s, 1, 9), start(8*s, 2, 2, 1), start(9*s, 3, 1, 1)},
			map[time.Duration]string{6 * s: "waiting stopped - -", 8500 * time.Millisecond: "waiting stopped waiting -", 10 * s: "running stopped running running"}, 0},
		{"a machine hangs: the others notice", with(hang(12*s, 2, 30*s)), map[time.Duration]string{13 * s: running, 16 * s: "peers peers running -"}, 10 * s},
		{"all are told at once", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9)),
			map[time.Duration]string{8 * s: "flushing flushing flushing -", 10 * s: "stopped+stored stopped+stored stopped+stored -"}, 7 * s},
		{"the last is told just in time", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(9500*time.Millisecond, 2, 9)),
			map[time.Duration]string{9 * s: "flushing flushing running -", 12 * s: "stopped+stored stopped+stored stopped+stored -"}, 7 * s},
		{"one is told too late", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(11*s, 2, 9)), map[time.Duration]string{12 * s: "stopped stopped peers -"}, 5 * s},
		{"one is told with too little time", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7500*time.Millisecond, 2, 1)), map[time.Duration]string{8500 * time.Millisecond: "stopped stopped stopped -"}, 5 * s},
		{"a second stop ends one that saves", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9), stop(8*s, 2, 0)), map[time.Duration]string{10 * s: "stopped stopped stopped -"}, 5 * s},
		{"a second stop with time changes nothing", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9), stop(8*s, 2, 1)),
			map[time.Duration]string{10 * s: "stopped+stored stopped+stored stopped+stored -"}, 7 * s},
		{"one hangs while they save", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9), hang(7500*time.Millisecond, 2, 30*s)),
			map[time.Duration]string{11 * s: "stopped stopped flushing -"}, 5 * s},
		{"one hangs when they have saved", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9), hang(8800*time.Millisecond, 2, 30*s)),
			map[time.Duration]string{11 * s: "stopped+stored stopped+stored flushing -"}, 7 * s},
		{"the next attempt goes on from what is safe", with(stop(7*s, 0, 9), stop(7*s, 1, 9), stop(7*s, 2, 9), start(20*s, 0, 0, 2), start(20*s, 1, 1, 2), start(20*s, 2, 2, 2)),
			map[time.Duration]string{32500 * time.Millisecond: running, 34 * s: "done done done -"}, 7 * s},
		{"one is started again when all are done", with(start(25*s, 3, 0, 2)), map[time.Duration]string{26 * s: "done done done done"}, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			b := newGangBench(t, 4)
			defer b.close()
			begun := time.Now()
			for _, e := range c.events {
				time.AfterFunc(e.at, func() { b.bring(e) })
			}
			at := make([]time.Duration, 0, len(c.want))
			for d := range c.want {
				at = append(at, d)
			}
			slices.Sort(at)
			for _, d := range at {
				time.Sleep(time.Until(begun.Add(d + 50*time.Millisecond)))
				if got := b.states(); got != c.want[d] {
					t.Errorf("%s: after %v they are %q, want %q", c.name, d, got, c.want[d])
				}
			}
			if got := b.cloud.GangProgress("j-000001").Round(s); got != c.safe {
				t.Errorf("%s: %v of its progress is safe, want %v", c.name, got, c.safe)
			}
		})
	}
}
