package caperlatch

// This file is not of the package that it stands beside: ../capture runs it among the
// sources of 5fd93d5, the first version with gangs and with limits that change.

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/peer"
	"caperlatch/internal/settings"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

func init() {
	captures = append(captures, captureGangs, captureDivided)
	addMessages = addGangMessages
}

// captureGangs takes a gang at the moments at which a next leader may find it.
func captureGangs(t *testing.T, m moments) {
	const id = "j-000002"
	c := newTunedCluster(t, capturedNodes, func(s *settings.Settings) {
		s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
	})
	defer c.close()
	c.cloud.FetchS = 4
	c.cloud.RunFor = func(task string) float64 {
		switch {
		case strings.HasPrefix(task, id+"/"):
			return 20
		case strings.HasSuffix(task, "/0"):
			return 2
		}
		return 300
	}
	long := testJob("j-000001", 4)
	long["expect_s"] = 300.0
	c.submitJob(long)
	time.Sleep(15 * time.Second)

	// On three machines of four CPUs, with another image.
	c.submitJob(gangJob(id, 3, 3, map[string]any{"bundle": "gang"}))
	c.until(id, map[string]int{wire.TaskFetching: 3})
	c.cloud.With(id)[0].Hang(6 * time.Second)
	c.until(id, map[string]int{wire.TaskWaiting: 2, wire.TaskFetching: 1})
	m.take(c, "a gang waits for a machine that hangs")

	c.until(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(3 * time.Second)
	m.take(c, "a gang runs")

	time.Sleep(4 * time.Second)
	c.cloud.With(id)[2].Take(12 * time.Second)
	c.until(id, map[string]int{wire.TaskSaving: 3})
	m.take(c, "a gang is being stopped")

	c.until(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(5 * time.Second)
	last := c.cloud.With(id)[0]
	c.setFault(func(from string, _ *http.Request) standin.Fault {
		if strings.HasPrefix(from, "i-") { // nobody hears that it is done
			return standin.LostRequest
		}
		return standin.Pass
	})
	c.until(id, map[string]int{})
	m.take(c, "a gang is done, which is not stored")
	last.Take(0)
	time.Sleep(100 * time.Millisecond)
	m.take(c, "a gang is done, which is not stored, and a machine is gone")
}

// captureDivided lowers the limits where a list of machines that is up is stored too
// large for them, while a gang runs.
func captureDivided(t *testing.T, m moments) {
	const id = "j-000002"
	told := false
	c := manyMachines(t, func(s *settings.Settings) {
		if told {
			tellNext(s)
		}
	})
	defer c.close()
	c.submitJob(gangJob(id, 3, 3, map[string]any{"expect_s": 300.0}))
	time.Sleep(25 * time.Second)
	if lists := len(c.upLists()); lists != 1 {
		t.Errorf("the machines stand in %d lists, want one", lists)
	}
	told = true
	c.state.SetLimits(lowered)
	for i := range capturedNodes {
		c.kill(i)
	}
	for i := range capturedNodes {
		c.start(i)
	}
	twice := func() bool {
		up := c.upMachines()
		slices.Sort(up)
		return len(slices.Compact(slices.Clone(up))) < len(up)
	}
	for try := 0; !twice(); try++ {
		if try == 1000 {
			t.Fatal("no machine stands in two lists")
		}
		time.Sleep(20 * time.Millisecond)
	}
	m.take(c, "a list is being divided, a gang runs")
	time.Sleep(15 * time.Second)
	if twice() || len(c.upLists()) < 2 {
		t.Errorf("%d lists, want some, and no machine in two", len(c.upLists()))
	}
	m.take(c, "a list was divided, a gang runs")
}

// addGangMessages adds the version that a node speaks, and how gangs are reported and
// commanded. The tests know these values.
func addGangMessages(t *testing.T, said map[string]wire.Raw) {
	var probed peer.Response
	if err := wire.Unmarshal(said["state"], &probed); err != nil {
		t.Fatal(err)
	}
	probed.State.Version = peer.Version
	grace := 10.0
	for name, v := range map[string]any{
		"state": probed,
		"gang report": wire.Report{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Session: 1, Seq: 89, Token: 41, Tasks: []wire.ReportTask{
			{Task: "j-000501/0", Attempt: 7, State: wire.TaskWaiting}, {Task: "j-000502/1", Attempt: 8, State: wire.TaskRunning},
			{Task: "j-000503/2", Attempt: 9, State: wire.TaskSaving}, {Task: "j-000504/3", Attempt: 10, State: wire.TaskExited, Cause: wire.CauseStopped, Saved: true},
			{Task: "j-000505/0", Attempt: 11, State: wire.TaskExited, Cause: wire.CausePeers}, {Task: "j-000506/0", Attempt: 12, State: wire.TaskExited, Cause: wire.CauseIncomplete}}},
		"gang answer": wire.ReportAnswer{Token: 41, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000507/0", Attempt: 13},
			{Verb: wire.VerbStart, Task: "j-000507/1", Attempt: 13}, {Verb: wire.VerbStop, Task: "j-000502/1", Attempt: 8, GraceS: &grace}}},
	} {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		said[name] = b
	}
}
