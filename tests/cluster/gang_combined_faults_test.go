package cluster

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// The gangs of these tests. When the faults begin, the first gang waits for a machine that hangs, the second runs, and
// the third is being stopped because of an interruption notice. The fourth is cancelled during the faults.
const (
	waitingGang   = "j-000001"
	runningGang   = "j-000002"
	stoppingGang  = "j-000003"
	cancelledGang = "j-000004"
)

var faultGangs = []string{waitingGang, runningGang, stoppingGang, cancelledGang}

// Events that the cases count, to verify that their faults coincided.
const (
	eventGangStopping        = "gang being stopped"
	eventLeaderChange        = "leader change"
	eventElectionInterrupted = "interrupted election"
	eventRestartWithTasks    = "restart while tasks are on machines"
	eventStateUnavailable    = "request to the unavailable state service"
	eventCommandDelayed      = "delayed command"
	eventHeartbeatDuplicated = "duplicated heartbeat"
	eventHeartbeatDelayed    = "delayed heartbeat"
	eventStaleReplayed       = "stale heartbeats replayed during a later attempt"
	eventStaleAnswered       = "stale heartbeat answered during a later attempt"
	eventCompletionDelayed   = "delayed completion"
)

// gangCombinedFaultCase is a case of TestGangCombinedFaults: a combination of faults that affects gangs.
type gangCombinedFaultCase struct {
	name       string
	nodes      int
	inject     func(c *cluster, events *counter)
	wantEvents []string // events that inject must have counted
}

var gangCombinedFaultCases = []gangCombinedFaultCase{
	{"the leader restarts within a fraction of a second, twice", 5, restartLeaderWhileGangStops,
		[]string{eventLeaderChange, eventGangStopping}},
	{"the next leader restarts before it knows the machines", 5, restartNewLeadersAtOnce,
		[]string{eventElectionInterrupted, eventGangStopping}},
	{"all nodes restart within a fraction of a second, one after the other", 3, restartNodesInTurn,
		[]string{eventRestartWithTasks}},
	{"the state service is unavailable to the leader only, while a gang is being stopped", 5, blockStateWhileGangStops,
		[]string{eventGangStopping, eventStateUnavailable, eventLeaderChange}},
	{"the state service is unavailable to the leader only, and the leader's commands are delayed", 5, blockStateAndDelayCommands,
		[]string{eventStateUnavailable, eventCommandDelayed}},
	{"duplicates of heartbeats arrive up to two leases late, across failovers", 5, duplicateHeartbeatsOfGangs,
		[]string{eventHeartbeatDuplicated, eventGangStopping}},
	{"heartbeats are delayed until the next leader leads, in several terms", 5, delayHeartbeatsToNextLeader,
		[]string{eventGangStopping, eventHeartbeatDelayed}},
	{"the next leader receives stale heartbeats of every attempt", 5, replayHeartbeatsOfEarlierAttempt,
		[]string{eventGangStopping, eventStaleReplayed}},
	{"the next leader receives only stale heartbeats from a gang's machines", 5, replayHeartbeatsOfIsolatedGang,
		[]string{eventGangStopping, eventStaleAnswered}},
	// The only progress of a gang that is stored is its completion.
	{"transactions that store completions of gangs are delayed, across failovers", 3, delayCompletionsOfGangs,
		[]string{eventCompletionDelayed}},
}

// TestGangCombinedFaults checks gangs while nodes fail or restart and messages are delayed. The gangs wait, run, are
// being stopped or are cancelled when the faults occur.
func TestGangCombinedFaults(t *testing.T) {
	for _, tc := range gangCombinedFaultCases {
		t.Run(tc.name, tc.run)
	}
}

// run injects the faults. All gangs except the cancelled one must complete, no task may be left on a machine, and no
// rule may be violated.
func (tc gangCombinedFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, tc.nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 90 }
		c.prepareGangs()
		if n := c.taskStateCounts(waitingGang)[wire.TaskWaitingForGang]; n == 0 {
			t.Errorf("%s has no tasks that wait for the gang, want some", waitingGang)
		}
		var events counter
		go c.cancelDuringFaults(cancelledGang)
		tc.inject(c, &events)
		c.setFault(nil)
		c.healPartitions()
		for _, event := range tc.wantEvents {
			if events.count(event) == 0 {
				t.Errorf("event %q did not occur; events %v", event, events.counts)
			}
		}
		for _, id := range faultGangs[:3] {
			c.awaitStatus(id, wire.JobDone, 4*time.Minute)
		}
		c.awaitStatus(cancelledGang, wire.JobCancelled, time.Minute)
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("tasks %v are still on machines after the cancellation timeout", left)
		}
		c.checkRules()
	})
}

// prepareGangs brings the gangs into the states in which the faults affect them. The first gang waits for a machine
// that hangs, the others run, and a machine of the third has an interruption notice.
func (c *cluster) prepareGangs() {
	for _, id := range faultGangs[1:] {
		c.submitJob(gangJob(id, 3, 3, nil))
	}
	for _, id := range faultGangs[1:] {
		c.awaitGangRunning(id, 3)
	}
	c.cloud.ImagePullS = 3
	c.submitJob(gangJob(waitingGang, 3, 3, map[string]any{"bundle": "img-2"}))
	c.awaitGangPulling(waitingGang)
	c.cloud.WorkersOf(waitingGang)[1].Hang(8 * time.Second)
	c.awaitGangWaiting(waitingGang)
	c.cloud.WorkersOf(stoppingGang)[2].Interrupt(12 * time.Second)
}

// cancelDuringFaults repeats a cancellation until it is confirmed. Unlike cancelJob, which calls Fatalf, it may run in
// a goroutine other than the test's.
func (c *cluster) cancelDuringFaults(id string) {
	for try := range 200 {
		if code, _ := c.request(http.MethodPost, try%c.size, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("cancellation of %s was not confirmed in 200 attempts", id)
}

// awaitCheckpointing waits up to 5 s until tasks of a gang checkpoint, and counts that event. If the event has been
// counted before, it returns at once.
func (c *cluster) awaitCheckpointing(id string, events *counter) {
	for i := 0; i < 100 && events.count(eventGangStopping) == 0; i++ {
		if c.taskStateCounts(id)[wire.TaskCheckpointing] > 0 {
			events.add(eventGangStopping)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// storesCompletion reports whether a transaction was sent by a leader and writes the record of a job, as a leader does
// to store the job's final status.
func storesCompletion(txn *fake.Transaction) bool {
	byLeader := slices.ContainsFunc(txn.Compares, func(k wire.Compare) bool { return k.Key == replica.LeaderKey && k.ModRevision != 0 })
	return byLeader && slices.ContainsFunc(txn.Keys, func(key string) bool { return strings.HasPrefix(key, replica.JobPrefix) })
}

// countAttempts returns the number of a job's attempts that a heartbeat shows.
func countAttempts(heartbeat *wire.Heartbeat, id string) int {
	numbers := map[uint64]bool{}
	for _, task := range heartbeat.Tasks {
		if strings.HasPrefix(task.TaskID, id+"/") {
			numbers[task.Attempt] = true
		}
	}
	return len(slices.Collect(maps.Keys(numbers)))
}
