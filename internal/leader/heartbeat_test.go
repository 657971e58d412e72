package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestFirstHeartbeatOfMachine has a machine report for the first time in a term. Its report may
// be a late copy, and its machine long gone: it draws no tasks until a report shows
// that an answer of this term was heard.
func TestFirstHeartbeatOfMachine(t *testing.T) {
	l, _ := newTestLeader(t)
	l.fleet.Machines["i-1"].StartBackoffUntil = l.startedAt + 3600*micros.Second
	b := l.fleet.AddIntent("r-2", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}})
	m := l.fleet.Add("i-2", b, l.startedAt)
	m.Instance.IntentStored = true
	l.jobs["j-000001"].MayHaveEarlierTasks = false
	for i, c := range []struct {
		seq, token uint64
		upStored   bool
		starts     int
	}{{1, 0, true, 0}, {2, testToken - 1, true, 0}, {3, testToken, false, 0}, {4, testToken, true, 3}} {
		m.Instance.ListStored, l.plannedAt = c.upStored, 0
		r := heartbeat(c.seq, c.token)
		r.MachineID = "i-2"
		if a, err := l.HandleHeartbeat(r); err != nil || len(a.Commands) != c.starts {
			t.Errorf("report %d: told %v (%v), want %d starts", i, a.Commands, err, c.starts)
		}
	}
}

// TestHeartbeatOfUnknownMachine has reports of machines that no booking explains. One is adopted when
// it shows that it hears this term; a late copy of one that is gone never does.
func TestHeartbeatOfUnknownMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		tokens  []uint64 // of its reports
		gone    bool
		adopted bool
	}{
		{"a late copy", []uint64{testToken - 1}, false, false},
		{"copies", []uint64{testToken - 2, testToken - 1}, false, false},
		{"rented late", []uint64{0, testToken}, false, true},
		{"returned in this term", []uint64{testToken}, true, false},
	} {
		l, _ := newTestLeader(t)
		if c.gone {
			l.fleet.Remove(l.fleet.Add("i-7", l.fleet.Intent("r-1"), l.startedAt))
		}
		for i, n := range c.tokens {
			r := heartbeat(uint64(i+1), n)
			r.MachineID = "i-7"
			if a, err := l.HandleHeartbeat(r); (err != nil) != c.gone || err == nil && (a.FencingToken != testToken || len(a.Commands) > 0) {
				t.Errorf("%s: answered %+v, %v", c.name, a, err)
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
	ask := func() (wire.HeartbeatResponse, error) {
		seq++
		l.plannedAt = 0
		return l.HandleHeartbeat(heartbeat(seq, testToken))
	}
	if a, err := ask(); err != nil || len(a.Commands) == 0 {
		t.Fatalf("sure of its leadership: %v, %v", a, err)
	}
	term.exclusive, term.holdsSession = false, false
	if _, err := ask(); err == nil {
		t.Error("in doubt a worker must be sent on once, as another may lead")
	}
	if a, err := ask(); err != nil || len(a.Commands) > 0 {
		t.Errorf("a worker that came back gets its lease and no start: %v, %v", a, err)
	}
	term.lastConfirmed = micros.Now() - l.Settings.Params.Workers.LeaseRenewalWindow()
	if _, err := ask(); err == nil {
		t.Error("answered although a cancellation could not be seen in time")
	}
}

// TestSupersededLeaderDoesNotRespond has a leader be told tokens. Once one is higher than its own it answers no
// report, though its proofs hold: its successor counts on that from the moment it was told.
func TestSupersededLeaderDoesNotRespond(t *testing.T) {
	for _, c := range []struct {
		name    string
		told    []uint64
		answers bool
	}{
		{"its own", []uint64{testToken}, true},
		{"an earlier one", []uint64{testToken - 1}, true},
		{"a higher one", []uint64{testToken + 1}, false},
		{"a higher one, and then its own by one who is behind", []uint64{testToken + 1, testToken}, false},
	} {
		l, _ := newTestLeader(t)
		for _, told := range c.told {
			l.Supersede(told)
		}
		if _, err := l.HandleHeartbeat(heartbeat(10, testToken)); (err == nil) != c.answers {
			t.Errorf("%s: error %v, answers wanted: %t", c.name, err, c.answers)
		}
	}
}

// TestInterruptionNotice has a spot machine told that it will be taken: what can save is
// stopped in time to do so, the rest may still finish, and nothing starts there.
func TestInterruptionNotice(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint float64
		want       []string
	}{
		{"tasks that save", 20, []string{"stop j-000001/0"}},
		{"tasks that do not", 0, []string{}},
	} {
		l, _ := newTestLeader(t)
		l.jobs["j-000001"].Spec.CheckpointIntervalS = c.checkpoint
		r := heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})
		notice := 15.0
		r.InterruptionNoticeS = &notice
		a, err := l.HandleHeartbeat(r)
		if got := commandNames(a); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: told %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}
