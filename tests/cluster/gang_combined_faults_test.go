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

// The gangs of these tests. One waits for a machine that hangs as the faults begin, one runs, one
// is being stopped for an interruption notice, and one is cancelled during the faults.
const (
	waitingGang   = "j-000001"
	runningGang   = "j-000002"
	stoppingGang  = "j-000003"
	cancelledGang = "j-000004"
)

var faultGangs = []string{waitingGang, runningGang, stoppingGang, cancelledGang}

// What the cases note, to show that their faults coincided.
const (
	notedStopping         = "gang being stopped"
	notedLeaderChange     = "change of leader"
	notedElection         = "election interrupted"
	notedRestart          = "restart beside running tasks"
	notedUnavailable      = "unavailable"
	notedDelayedCommand   = "command delayed"
	notedDuplicate        = "duplicate"
	notedDelayedHeartbeat = "heartbeat delayed"
	notedStale            = "stale heartbeats beside a later attempt"
	notedStaleAnswered    = "stale heartbeat answered beside a later attempt"
	notedCompletion       = "delayed completion"
)

// gangCombinedFaultCase is a combination of faults that affects gangs.
type gangCombinedFaultCase struct {
	name      string
	nodes     int
	inject    func(c *cluster, noted *counter)
	wantNoted []string // what inject must have noted, to show that the faults coincided
}

var gangCombinedFaultCases = []gangCombinedFaultCase{
	{"the leader restarts within a fraction of a second, twice", 5, restartLeaderBesideGangs,
		[]string{notedLeaderChange, notedStopping}},
	{"the next leader restarts before it knows the machines", 5, restartNextLeadersBesideGangs,
		[]string{notedElection, notedStopping}},
	{"all nodes restart within a fraction of a second, one after the other", 3, restartAllNodesBesideGangs,
		[]string{notedRestart}},
	{"the state service is unavailable to the leader alone while a gang is being stopped", 5, refuseStateWhileGangIsStopped,
		[]string{notedStopping, notedUnavailable, notedLeaderChange}},
	{"the state service is unavailable to the leader alone, and its commands are delayed", 5, refuseStateAndDelayCommands,
		[]string{notedUnavailable, notedDelayedCommand}},
	{"duplicates of heartbeats arrive up to two leases late, across failovers", 5, duplicateHeartbeatsOfGangs,
		[]string{notedDuplicate, notedStopping}},
	{"heartbeats are delayed until the next leader leads, and the one after it", 5, delayHeartbeatsToNextLeader,
		[]string{notedStopping, notedDelayedHeartbeat}},
	{"the next leader gets stale heartbeats of every attempt", 5, replayHeartbeatsOfEarlierAttempt,
		[]string{notedStopping, notedStale}},
	{"the next leader gets only stale heartbeats of a gang's machines", 5, replayHeartbeatsOfIsolatedGang,
		[]string{notedStopping, notedStaleAnswered}},
	// The progress of a gang that is stored is its completion alone.
	{"transactions that store completions of gangs are delayed, across failovers", 3, delayCompletionsOfGangs,
		[]string{notedCompletion}},
}

// TestGangCombinedFaults has nodes fail and restart, and messages delayed, while gangs wait, run,
// are being stopped and are cancelled.
func TestGangCombinedFaults(t *testing.T) {
	for _, tc := range gangCombinedFaultCases {
		t.Run(tc.name, tc.run)
	}
}

// run injects the faults, under the checker of the rules. All gangs but the cancelled one must
// complete, and nothing may be left on machines.
func (tc gangCombinedFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, tc.nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 90 }
		c.prepareGangs()
		if n := c.taskStateCounts(waitingGang)[wire.TaskWaitingForGang]; n == 0 {
			t.Error("no gang waits")
		}
		var noted counter
		go c.cancelDuringFaults(cancelledGang)
		tc.inject(c, &noted)
		c.setFault(nil)
		c.healPartitions()
		for _, what := range tc.wantNoted {
			if noted.count(what) == 0 {
				t.Errorf("no %s; noted %v", what, noted.counts)
			}
		}
		for _, id := range faultGangs[:3] {
			c.awaitStatus(id, wire.JobDone, 4*time.Minute)
		}
		c.awaitStatus(cancelledGang, wire.JobCancelled, time.Minute)
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("still on machines: %v", left)
		}
		c.checkRules()
	})
}

// prepareGangs brings the gangs into their states: all but the first run, the first waits for a
// machine that hangs, and a machine of the third has an interruption notice.
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

// cancelDuringFaults repeats a cancellation until it is confirmed. It may run beside the test's
// goroutine, unlike cancelJob, which ends the test.
func (c *cluster) cancelDuringFaults(id string) {
	for try := range 200 {
		if code, _ := c.request(http.MethodPost, try%c.size, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("%s could not be cancelled", id)
}

// awaitCheckpointing waits until tasks of a gang checkpoint, and notes that they do.
func (c *cluster) awaitCheckpointing(id string, noted *counter) {
	for i := 0; i < 100 && noted.count(notedStopping) == 0; i++ {
		if c.taskStateCounts(id)[wire.TaskCheckpointing] > 0 {
			noted.add(notedStopping)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// storesCompletion reports whether a transaction is a leader's that stores the final status of a
// job.
func storesCompletion(x *fake.Transaction) bool {
	byLeader := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool { return k.Key == replica.LeaderKey && k.ModRevision != 0 })
	return byLeader && slices.ContainsFunc(x.Keys, func(key string) bool { return strings.HasPrefix(key, replica.JobPrefix) })
}

// attemptsOf counts the attempts of a job that a heartbeat shows.
func attemptsOf(r *wire.Heartbeat, id string) int {
	numbers := map[uint64]bool{}
	for _, x := range r.Tasks {
		if strings.HasPrefix(x.TaskID, id+"/") {
			numbers[x.Attempt] = true
		}
	}
	return len(slices.Collect(maps.Keys(numbers)))
}
