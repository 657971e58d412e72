package cluster

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// combinedFaultCase is a combination of faults that occurs together with failovers, completions and cancellations.
type combinedFaultCase struct {
	name   string
	nodes  int
	inject func(c *cluster, cancel func()) // called by runUnderFault
}

var combinedFaultCases = []combinedFaultCase{
	{"completions before and after failovers, responses to transactions dropped", 3, dropTxnResponsesAcrossFailovers},
	{"state service unavailable to the leader only, then to all nodes for longer than the cancellation timeout", 5, blockStateForLeaderThenForAll},
	{"outage of the state service without session expiry, for longer than the cancellation timeout", 5, startOutageAfterCancellation},
	{"responses of the state service dropped while users cancel", 3, dropStateResponsesDuringCancellation},
	{"high latency of the state service while users cancel and query", 3, slowStateDuringCancellation},
	{"leader partitioned from state service and peers, but not from workers and users", 5, partitionLeaderFromStateAndPeers},
	{"failover while half of the machines are isolated", 5, failOverWithIsolatedMachines},
	{"failover while responses and commands to half of the machines are dropped", 5, failOverWithUnreachableMachines},
	{"stale heartbeats arrive after newer ones, across failovers", 5, duplicateHeartbeatsAcrossFailovers},
	{"the next leader receives only stale heartbeats from half of the machines", 5, failOverToStaleHeartbeats},
	{"heartbeats delayed, failover", 3, failOverWithDelayedHeartbeats},
	{"commands delayed, then their responses dropped, across failovers", 5, failOverWithDelayedCommands},
	{"launches and terminations delayed, failover", 3, failOverWithDelayedLaunches},
	{"restarts of leaders, then all nodes crash and one restarts within a second", 5, restartLeadersThenCrashAll},
	{"heartbeats of half of the machines dropped, commands delivered, failover", 5, failOverWithHeartbeatsDropped},
	{"machines hang with commands in flight, failover", 5, failOverWithHangingMachines},
	{"all nodes down for longer than a lease", 3, stopAllNodesLongerThanLease},
	{"ten failovers in two minutes, also during an outage", 5, restartLeaderElevenTimes},
	{"more work than capacity in several priorities, with high latency", 3, overloadWithHighLatency},
	{"transactions delayed, heartbeats duplicated, responses dropped, failovers", 5, mixMessageFaultsAcrossFailovers},
}

// TestCombinedFaults checks that jobs complete and no rule is violated when several faults coincide with failovers,
// completions and cancellations.
func TestCombinedFaults(t *testing.T) {
	for _, tc := range combinedFaultCases {
		t.Run(tc.name, func(t *testing.T) { runUnderFault(t, tc.nodes, tc.inject) })
	}
}

// delayedWrite is a kind of write to the state service.
type delayedWrite struct {
	name string
	key  string // key or prefix of the keys in transactions of this kind; empty: requests about sessions
}

// matches reports whether a request is a write of this kind.
func (w delayedWrite) matches(r *http.Request) bool {
	if w.key == "" {
		return strings.HasPrefix(r.URL.Path, wire.PathSessions)
	}
	return isTxn(r) && bodyContains(r, w.key)
}

var delayedWrites = []delayedWrite{
	{"jobs: submissions, cancellations and completions", replica.JobPrefix},
	{"progress", replica.ProgressPrefix},
	{"launch intents", replica.LaunchIntentPrefix},
	{"machine lists", replica.MachineListPrefix},
	{"leader key and fencing token", replica.TokenKey},
	{"autoscaler record", replica.AutoscalerKey},
	{"sessions", ""},
}

// TestDelayedWrites checks that delayed writes do no harm. Writes of each kind are delayed by 2 to 12 s and their
// responses are dropped, so that they are executed after newer writes, also when the term of the leader that sent them
// has ended in the meantime.
func TestDelayedWrites(t *testing.T) {
	for _, write := range delayedWrites {
		t.Run(write.name, func(t *testing.T) {
			runUnderFault(t, 3, func(c *cluster, cancel func()) { delayWritesAcrossFailovers(c, cancel, write) })
		})
	}
}

// delayWritesAcrossFailovers delays two thirds of the writes of a kind while the leader restarts twice. Each write
// compares the revision on which its decision was based, so none may overwrite a newer write.
func delayWritesAcrossFailovers(c *cluster, cancel func(), write delayedWrite) {
	var events counter // also written by goroutines other than the test's
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if write.matches(r) && events.add("write")%3 != 0 {
			return fake.DelayedRequest
		}
		return fake.NoFault
	})
	time.Sleep(10 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
	if count := events.count("write"); count < 3 {
		c.t.Errorf("%d writes of this kind occurred, want at least 3", count)
	}
}
