package leader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// fakeWorkers answers calls to workers' addresses.
type fakeWorkers func(c *wire.CommandRequest) (int, *wire.Heartbeat)

// RoundTrip implements http.RoundTripper.
func (f fakeWorkers) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var c wire.CommandRequest
	if err := wire.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	status, report := f(&c)
	if report == nil {
		return nil, errors.New("no answer")
	}
	answer, err := wire.Marshal(report)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(answer)), Request: r}, err
}

// TestTaskQuery has a new leader ask a machine for its tasks. Only an answer made after the
// worker heard of this term proves them: until then a start of an earlier term may
// still be carried out, and a task that is started elsewhere would run twice.
func TestTaskQuery(t *testing.T) {
	running := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}
	answer := func(session, seq, baton uint64) *wire.Heartbeat {
		r := heartbeat(seq, baton, running)
		r.Incarnation = session
		return r
	}
	other := answer(1, 20, testToken)
	other.MachineID = "i-9"
	rest := []string{"start j-000001/1", "start j-000001/2"}
	cases := []struct {
		name    string
		worker  fakeWorkers
		already *wire.Heartbeat // comes while the worker is asked
		done    bool
		report  *wire.Heartbeat // comes afterwards
		want    []string
	}{
		{"it tells", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, answer(1, 20, testToken) }, nil, true,
			heartbeat(21, testToken, running), rest},
		{"in a later session", func(c *wire.CommandRequest) (int, *wire.Heartbeat) {
			if c.Incarnation != 3 {
				return 409, answer(3, 20, testToken-1)
			}
			return 200, answer(3, 21, testToken)
		}, nil, true, answer(3, 22, testToken), rest},
		// It is older than the answer: what it shows may have ended since, and what
		// was started since does not show.
		{"a report from before the answer", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, answer(1, 20, testToken) }, nil, true,
			heartbeat(19, testToken, running), []string{}},
		{"it has not heard of this term", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 409, answer(1, 20, testToken-1) }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"another machine has its address", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, other }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"no answer", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 0, nil }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		// The report drew starts that the answer cannot show.
		{"a report is faster", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, answer(1, 20, testToken) }, heartbeat(21, testToken, running), true,
			heartbeat(22, testToken, running, wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 1, State: wire.TaskRunning},
				wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 2, State: wire.TaskRunning}), []string{}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		m := l.machines["i-1"]
		m.instance.address, m.heartbeat.ofThisTerm = "i-1:9000", false
		l.WorkerClient = &http.Client{Transport: fakeWorkers(func(d *wire.CommandRequest) (int, *wire.Heartbeat) {
			if d.FencingToken != testToken || len(d.Commands) != 0 {
				t.Errorf("%s: asked with token %d and %d commands", c.name, d.FencingToken, len(d.Commands))
			}
			if c.already != nil {
				if _, err := l.HandleHeartbeat(c.already); err != nil {
					t.Errorf("%s: %v", c.name, err)
				}
			}
			return c.worker(d)
		})}
		if done := l.queryTasks(t.Context(), m); done != c.done || m.tasksKnown() != c.done {
			t.Errorf("%s: done %v, resolved %v", c.name, done, m.tasksKnown())
		}
		if c.done && m.attempts["j-000001/0"] == nil {
			t.Errorf("%s: the running task is not known", c.name)
		}
		if now := micros.Now(); c.done && now > l.leaseExpiry(m) {
			t.Errorf("%s: its lease counts as over", c.name)
		}
		l.plannedAt = 0
		a, err := l.HandleHeartbeat(c.report)
		if got := commandNames(a); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: told %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}

// TestUnresponsiveMachineTermination has a machine give no answer after a take-over. All old jobs wait for
// it, so it is returned soon; but not where the fault may be with this node's own ways.
func TestUnresponsiveMachineTermination(t *testing.T) {
	for _, c := range []struct {
		name           string
		asked, answers int // of its zone
		unresolved     int
		leaves         bool
	}{
		{"the only one", 20, 19, 1, true},
		{"its whole zone is silent", 20, 0, 1, false},
		{"many are", 20, 12, 8, false},
	} {
		l, _ := newTestLeader(t)
		b := l.intents["r-1"]
		for i := range 19 {
			l.addMachine(string(rune('a'+i)), b, l.startedAt).instance.running = true
		}
		now := l.startedAt + unresponsiveLimit + 100*micros.Millisecond
		for i, m := range l.sorted {
			m.heartbeat.receivedAt, m.lease.renewedAt = now, now
			m.reconciliation.knowledge = tasksConfirmed
			if i < c.unresolved {
				m.heartbeat.receivedAt, m.lease.renewedAt, m.reconciliation.failedQueries = 0, 0, 2
				m.reconciliation.knowledge = tasksUnknown
			}
		}
		l.zoneQueries["a"] = queryCounts{c.asked, c.answers}
		l.superviseMachines(now)
		if got := l.sorted[0].instance.terminating; got != c.leaves {
			t.Errorf("%s: returned %v, want %v", c.name, got, c.leaves)
		}
	}
}

// TestZoneCutOff counts silent machines of a zone that stop being there. While a zone is
// cut off nothing is rented in it; once its machines are returned, none of them can show
// that it is not cut off any more.
func TestZoneCutOff(t *testing.T) {
	steps := []struct {
		name     string
		machines int
		silent   bool
		cut      bool
	}{
		{"all heard", 4, false, false},
		{"all silent", 4, true, true},
		{"too few to tell", 2, true, false},
		{"all silent again", 4, true, true},
		{"all returned", 0, true, false},
	}
	l, _ := newTestLeader(t)
	b := l.intents["r-1"]
	now := micros.Now() + micros.Second
	for _, s := range steps {
		l.sorted, l.machines = nil, map[string]*machine{}
		now += 100 * micros.Second
		for i := range s.machines {
			m := l.addMachine(fmt.Sprintf("i-%d", i), b, now)
			m.instance.running = true
			if m.heartbeat.receivedAt = now; s.silent {
				m.heartbeat.receivedAt = now - 50*micros.Second
			}
		}
		l.observeZones(now)
		// All of the only zone is most of the network, too.
		want := zone.Decision{MaxMachines: zone.Unlimited, Reachable: true, OpenShare: 1}
		if s.cut {
			want = zone.Decision{KeepSilent: true, OpenShare: 1}
		}
		if got := l.policy.Decide("a"); got != want {
			t.Errorf("%s: %+v, want %+v", s.name, got, want)
		}
	}
}
