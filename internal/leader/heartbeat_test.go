package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestFirstHeartbeatOfMachine has a machine send its first heartbeat of a term. It may be a late copy, and its
// machine terminated long ago: it draws no tasks until a heartbeat shows that a response of this term was received.
func TestFirstHeartbeatOfMachine(t *testing.T) {
	l, _ := newTestLeader(t)
	l.fleet.Machines["i-1"].StartBackoffUntil = l.startedAt + 3600*micros.Second
	b := l.fleet.AddIntent("r-2", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}})
	m := l.fleet.Add("i-2", b, l.startedAt)
	m.Instance.IntentStored = true
	l.jobs["j-000001"].MayHaveEarlierTasks = false
	for i, c := range []struct {
		seq, token uint64
		listStored bool
		starts     int
	}{{1, 0, true, 0}, {2, testToken - 1, true, 0}, {3, testToken, false, 0}, {4, testToken, true, 3}} {
		m.Instance.ListStored, l.scheduler.PlannedAt = c.listStored, 0
		r := heartbeat(c.seq, c.token)
		r.MachineID = "i-2"
		if a, err := l.HandleHeartbeat(r); err != nil || len(a.Commands) != c.starts {
			t.Errorf("heartbeat %d: commands %v (%v), want %d starts", i, a.Commands, err, c.starts)
		}
	}
}

// TestHeartbeatOfUnknownMachine has heartbeats of machines that no launch intent explains. One is adopted when
// it shows that it receives this term's responses; a late copy of one that was terminated never does.
func TestHeartbeatOfUnknownMachine(t *testing.T) {
	for _, c := range []struct {
		name       string
		tokens     []uint64 // of its heartbeats
		terminated bool
		adopted    bool
	}{
		{"a late copy", []uint64{testToken - 1}, false, false},
		{"copies", []uint64{testToken - 2, testToken - 1}, false, false},
		{"launched late", []uint64{0, testToken}, false, true},
		{"terminated in this term", []uint64{testToken}, true, false},
	} {
		l, _ := newTestLeader(t)
		if c.terminated {
			l.fleet.Remove(l.fleet.Add("i-7", l.fleet.Intent("r-1"), l.startedAt))
		}
		for i, n := range c.tokens {
			r := heartbeat(uint64(i+1), n)
			r.MachineID = "i-7"
			if a, err := l.HandleHeartbeat(r); (err != nil) != c.terminated || err == nil && (a.FencingToken != testToken || len(a.Commands) > 0) {
				t.Errorf("%s: response %+v, %v", c.name, a, err)
			}
		}
		if got := l.fleet.Machines["i-7"] != nil; got != c.adopted {
			t.Errorf("%s: adopted %v, want %v", c.name, got, c.adopted)
		}
	}
}

// TestCanRespond has the proofs of leadership run out one after another.
func TestCanRespond(t *testing.T) {
	l, term := newTestLeader(t)
	seq := uint64(10)
	respond := func() (wire.HeartbeatResponse, error) {
		seq++
		l.scheduler.PlannedAt = 0
		return l.HandleHeartbeat(heartbeat(seq, testToken))
	}
	if a, err := respond(); err != nil || len(a.Commands) == 0 {
		t.Fatalf("nobody else can lead: %v, %v", a, err)
	}
	term.exclusive, term.holdsSession = false, false
	if _, err := respond(); err == nil {
		t.Error("while another node may lead, a worker must be refused once")
	}
	if a, err := respond(); err != nil || len(a.Commands) > 0 {
		t.Errorf("a worker that came back must get its lease and no start: %v, %v", a, err)
	}
	term.lastConfirmed = micros.Now() - l.Settings.Params.Workers.LeaseRenewalWindow()
	if _, err := respond(); err == nil {
		t.Error("responded although a cancellation could not be seen in time")
	}
}

// TestSupersededLeaderDoesNotRespond gives a leader fencing tokens. Once one is higher than its own it responds to no
// heartbeat, though its proofs hold: its successor counts on that as soon as the leader has got the token.
func TestSupersededLeaderDoesNotRespond(t *testing.T) {
	for _, c := range []struct {
		name     string
		tokens   []uint64
		responds bool
	}{
		{"its own", []uint64{testToken}, true},
		{"an earlier one", []uint64{testToken - 1}, true},
		{"a higher one", []uint64{testToken + 1}, false},
		{"a higher one, and then its own by a node that is behind", []uint64{testToken + 1, testToken}, false},
	} {
		l, _ := newTestLeader(t)
		for _, fencingToken := range c.tokens {
			l.Supersede(fencingToken)
		}
		if _, err := l.HandleHeartbeat(heartbeat(10, testToken)); (err == nil) != c.responds {
			t.Errorf("%s: error %v, want a response: %t", c.name, err, c.responds)
		}
	}
}

// TestInterruptionNotice has a spot machine get an interruption notice: what can save a checkpoint is
// stopped in time to do so, the rest may still finish, and nothing starts there.
func TestInterruptionNotice(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint float64
		want       []string
	}{
		{"tasks with checkpoints", 20, []string{"stop j-000001/0"}},
		{"tasks without", 0, []string{}},
	} {
		l, _ := newTestLeader(t)
		l.jobs["j-000001"].Spec.CheckpointIntervalS = c.checkpoint
		r := heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})
		notice := 15.0
		r.InterruptionNoticeS = &notice
		a, err := l.HandleHeartbeat(r)
		if got := commandNames(a); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: commands %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}
