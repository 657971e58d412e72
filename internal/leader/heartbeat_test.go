package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestFirstHeartbeatOfMachine checks that the first heartbeat of a machine in a term causes no starts. The heartbeat
// may be delayed, and its machine terminated long ago. Tasks start only once a heartbeat shows that the worker has
// received a response of this term, and the machine is in a stored machine list.
func TestFirstHeartbeatOfMachine(t *testing.T) {
	l, _ := newTestLeader(t)
	l.fleet.Machines["i-1"].StartBackoffUntil = l.startedAt + 3600*micros.Second
	intent := l.fleet.AddIntent("r-2", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}})
	m := l.fleet.Add("i-2", intent, l.startedAt)
	m.Instance.IntentStored = true
	l.jobs["j-000001"].MayHaveEarlierTasks = false
	for i, c := range []struct {
		sequence, fencingToken uint64
		listStored             bool
		starts                 int
	}{{1, 0, true, 0}, {2, testToken - 1, true, 0}, {3, testToken, false, 0}, {4, testToken, true, 3}} {
		m.Instance.ListStored, l.scheduler.PlannedAt = c.listStored, 0
		h := heartbeat(c.sequence, c.fencingToken)
		h.MachineID = "i-2"
		if response, err := l.HandleHeartbeat(h); err != nil || len(response.Commands) != c.starts {
			t.Errorf("heartbeat %d: commands %v (error %v), want %d starts", i, response.Commands, err, c.starts)
		}
	}
}

// TestHeartbeatOfUnknownMachine checks the handling of heartbeats of a machine that belongs to no launch intent. The
// machine is adopted once a heartbeat shows that it receives this term's responses. A delayed heartbeat of a terminated
// machine never shows that.
func TestHeartbeatOfUnknownMachine(t *testing.T) {
	for _, c := range []struct {
		name       string
		tokens     []uint64 // fencing tokens of its heartbeats
		terminated bool     // the machine was terminated in this term
		adopted    bool
	}{
		{"a delayed heartbeat", []uint64{testToken - 1}, false, false},
		{"two delayed heartbeats", []uint64{testToken - 2, testToken - 1}, false, false},
		{"a machine that was launched late", []uint64{0, testToken}, false, true},
		{"a machine that was terminated in this term", []uint64{testToken}, true, false},
	} {
		l, _ := newTestLeader(t)
		if c.terminated {
			l.fleet.Remove(l.fleet.Add("i-7", l.fleet.Intent("r-1"), l.startedAt))
		}
		for i, fencingToken := range c.tokens {
			h := heartbeat(uint64(i+1), fencingToken)
			h.MachineID = "i-7"
			if response, err := l.HandleHeartbeat(h); (err != nil) != c.terminated || err == nil && (response.FencingToken != testToken || len(response.Commands) > 0) {
				t.Errorf("%s: heartbeat %d: response %+v (error %v); want an error: %t; otherwise want no commands and fencing token %d", c.name, i, response, err, c.terminated, uint64(testToken))
			}
		}
		if got := l.fleet.Machines["i-7"] != nil; got != c.adopted {
			t.Errorf("%s: adopted: %v, want %v", c.name, got, c.adopted)
		}
	}
}

// TestCanRespond checks how a leader responds to heartbeats as its proofs of leadership expire one after another.
func TestCanRespond(t *testing.T) {
	l, term := newTestLeader(t)
	sequence := uint64(10)
	respond := func() (wire.HeartbeatResponse, error) {
		sequence++
		l.scheduler.PlannedAt = 0
		return l.HandleHeartbeat(heartbeat(sequence, testToken))
	}
	if response, err := respond(); err != nil || len(response.Commands) == 0 {
		t.Fatalf("while no other node can lead: response %v (error %v), want commands", response, err)
	}
	term.exclusive, term.holdsSession = false, false
	if _, err := respond(); err == nil {
		t.Error("the first heartbeat while another node may lead got a response, want an error")
	}
	if response, err := respond(); err != nil || len(response.Commands) > 0 {
		t.Errorf("the second heartbeat while another node may lead: response %v (error %v), want one without commands, which renews the lease", response, err)
	}
	term.lastConfirmed = micros.Now() - l.Settings.Params.Workers.LeaseRenewalWindow()
	if _, err := respond(); err == nil {
		t.Error("a heartbeat after the lease renewal window got a response, though the leader may miss a cancellation; want an error")
	}
}

// TestSupersededLeaderDoesNotRespond checks that a leader that has learned of a higher fencing token than its own
// responds to no heartbeat, even if its own proofs of leadership are valid: its successor relies on that as soon as the
// leader has received the token.
func TestSupersededLeaderDoesNotRespond(t *testing.T) {
	for _, c := range []struct {
		name     string
		tokens   []uint64
		responds bool
	}{
		{"its own token", []uint64{testToken}, true},
		{"a lower token", []uint64{testToken - 1}, true},
		{"a higher token", []uint64{testToken + 1}, false},
		{"a higher token, and then its own token from a node that lags", []uint64{testToken + 1, testToken}, false},
	} {
		l, _ := newTestLeader(t)
		for _, fencingToken := range c.tokens {
			l.Supersede(fencingToken)
		}
		if _, err := l.HandleHeartbeat(heartbeat(10, testToken)); (err == nil) != c.responds {
			t.Errorf("%s: error %v, want a response without error: %t", c.name, err, c.responds)
		}
	}
}

// TestInterruptionNotice checks the response to a heartbeat with an interruption notice: tasks that can save a
// checkpoint are stopped in time to do so, the others may still finish, and nothing starts on the machine.
func TestInterruptionNotice(t *testing.T) {
	for _, c := range []struct {
		name                string
		checkpointIntervalS float64
		want                []string
	}{
		{"tasks with checkpoints", 20, []string{"stop j-000001/0"}},
		{"tasks without checkpoints", 0, []string{}},
	} {
		l, _ := newTestLeader(t)
		l.jobs["j-000001"].Spec.CheckpointIntervalS = c.checkpointIntervalS
		h := heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})
		noticeS := 15.0
		h.InterruptionNoticeS = &noticeS
		response, err := l.HandleHeartbeat(h)
		if got := commandNames(response); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: commands %v (error %v), want %v", c.name, got, err, c.want)
		}
	}
}

// TestHeartbeatsFromBeforeRestart guards against a task that is started a second time because its machine was restarted,
// began with the first incarnation again, and a late copy of a heartbeat from before seems to be of a later incarnation.
// Only a heartbeat that has this term's fencing token, as the worker has shown it, proves that the tasks are gone.
func TestHeartbeatsFromBeforeRestart(t *testing.T) {
	for _, c := range []struct {
		name                      string
		incarnation, fencingToken uint64
		released                  bool
	}{
		{"a copy from an earlier term", 2, testToken - 1, false},
		{"a copy from before the worker's first response", 3, 0, false},
		{"a copy of the same incarnation from an earlier term", 1, testToken - 1, false},
		{"a later incarnation in this term", 2, testToken, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			m, j := l.fleet.Machines["i-1"], l.jobs["j-000001"]
			for sequence := uint64(1); len(m.Attempts) == 0 && sequence < 5; sequence++ {
				l.scheduler.PlannedAt = 0
				if _, err := l.HandleHeartbeat(heartbeat(sequence, testToken)); err != nil {
					t.Fatal(err)
				}
			}
			started := len(j.Attempts)
			m.StartBackoffUntil = l.startedAt + 3600*micros.Second
			h := heartbeat(90, c.fencingToken)
			h.Incarnation = c.incarnation
			_, _ = l.HandleHeartbeat(h) // whether it gets a response does not matter
			if started == 0 || (len(j.Attempts) == 0) != c.released {
				t.Errorf("%d tasks started, of which %d are assigned after the heartbeat; want some, and all of them to be assigned: %t", started, len(j.Attempts), !c.released)
			}
		})
	}
}
