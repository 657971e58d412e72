package cluster

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch"
	"caperlatch/internal/api"
	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// A handover's answer must be true whatever happens meanwhile: operators go on with the node that it names. It said
// "handed over to host-1" as soon as host-1 had been named, whoever led then; see TestHandoverToNamedNode.

// leaderlessBound is for how long a handover may leave a cluster without a leader while the state service answers:
// handover_ms, the 0.7 s for which the leader key is kept, the 0.7 s for which others let the named node go first, and
// two retries of a campaign.
const leaderlessBound = 1500*time.Millisecond + 700*time.Millisecond + 700*time.Millisecond + 800*time.Millisecond

// undisturbedBound is how long a handover may take that nothing disturbs: a fraction of a second, as
// docs/operations-standby.md says.
const undisturbedBound = 900 * time.Millisecond

// answerCase is something that happens to the named node during a handover.
type answerCase struct {
	name    string
	nodes   int
	without []int // nodes that run without a standby
	// disturb is called some time into the handover.
	disturb func(c *cluster, leader, named int)
	always  bool // the named node leads each time
}

var answerCases = []answerCase{
	{"nothing", 3, []int{2}, func(*cluster, int, int) {}, true},
	{"nothing, five nodes", 5, []int{2, 3}, func(*cluster, int, int) {}, true},
	{"the named node ends", 3, []int{2}, func(c *cluster, _, named int) { c.kill(named) }, false},
	{"the named node ends, five nodes", 5, []int{2}, func(c *cluster, _, named int) { c.kill(named) }, false},
	{"the named node is cut off", 3, []int{2}, func(c *cluster, _, named int) { c.cutOff(named) }, false},
	{"the named node is refused by the state service", 5, []int{2}, func(c *cluster, _, named int) { c.refuseStateTo(named) }, false},
	{"the leader is partitioned from the nodes", 3, []int{2}, func(c *cluster, leader, _ int) { c.partitionFromNodes(leader) }, false},
	{"the named node restarts", 5, []int{4}, func(c *cluster, _, named int) { c.restartNodes(named) }, false},
}

// disturbances is how often a case is tried, each time a step later into the handover.
const (
	disturbances    = 12
	disturbanceStep = 25 * time.Millisecond
)

// cutOff has nothing that a node sends, or that is sent to it by nodes, arrive.
func (c *cluster) cutOff(node int) {
	c.partitionFromNodes(node)
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if isFromNode(from, node) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// refuseStateTo has the state service refuse a node.
func (c *cluster) refuseStateTo(node int) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, node) && isStateRequest(r) {
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	})
}

// partitionFromNodes partitions a node from the other nodes.
func (c *cluster) partitionFromNodes(node int) {
	host := memberName(node)
	c.peerNet.SetPartition(func(from, to string) bool { return from == host || to == host })
}

// heal ends all faults, and starts a node anew that was killed.
func (c *cluster) heal(killed int) {
	c.setFault(nil)
	c.healPartitions()
	c.restartNodes(killed)
}

// observedHandover is what is seen of who leads during a handover.
type observedHandover struct {
	leaders  map[string]bool // that led in a later term before the answer came
	firstLed time.Duration   // until the first of them led, 0 if none did
}

// leaderKeyInterval is the time between two looks at the leader key.
const leaderKeyInterval = 5 * time.Millisecond

// observeHandover looks at the leader key until done is closed, and once more then.
func (c *cluster) observeHandover(token uint64, done <-chan struct{}) (seen observedHandover) {
	seen.leaders = map[string]bool{}
	leadership := harness.Leadership{State: c.state}
	startedAt := time.Now()
	for answered := false; !answered; {
		select {
		case <-done:
			answered = true
		case <-time.After(leaderKeyInterval):
		}
		if node := leadership.CurrentLeader(); node >= 0 && leadership.FencingToken() > token {
			seen.leaders[memberName(node)] = true
			if seen.firstLed == 0 {
				seen.firstLed = time.Since(startedAt)
			}
		}
	}
	return seen
}

// checkAnswer checks that the answer to a handover names who led next.
func (c *cluster) checkAnswer(seen observedHandover, to string, err error) {
	c.t.Helper()
	var other *api.HandoverError
	switch {
	case err == nil && !seen.leaders[to]:
		c.t.Errorf("the answer is %q, and %v led", to, seen.leaders)
	case errors.As(err, &other) && (other.Target == other.Leader || other.Leader == "" && len(seen.leaders) > 0 || other.Leader != "" && !seen.leaders[other.Leader]):
		c.t.Errorf("the answer is %q, and %v led", err, seen.leaders)
	case err != nil && other == nil:
		c.t.Errorf("the answer is %q", err)
	case err != nil && strings.Contains(err.Error(), "\n"):
		c.t.Errorf("more than one line: %q", err)
	}
	if seen.firstLed == 0 || seen.firstLed > leaderlessBound {
		c.t.Errorf("a node led after %v, 0 for none", seen.firstLed)
	}
}

// handOverObserved has a node hand over and checks the answer. It reports whether the named node led.
func (c *cluster) handOverObserved(leader int) (toNamed bool) {
	c.t.Helper()
	token, done, observed := c.fencingToken(), make(chan struct{}), make(chan observedHandover, 1)
	go func() { observed <- c.observeHandover(token, done) }()
	to, err := c.nodes[leader].HandOverAndConfirm(c.t.Context())
	close(done)
	c.checkAnswer(<-observed, to, err)
	return err == nil
}

// TestHandoverAnswers hands over while something happens to the named node: the answer says who leads, some node leads
// soon, and no rule is violated.
func TestHandoverAnswers(t *testing.T) {
	for _, tc := range answerCases {
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, tc.run) })
	}
}

// run hands over again and again.
func (tc answerCase) run(t *testing.T) {
	c := newHandoverCluster(t, tc.nodes, tc.without)
	defer c.close()
	toNamed := 0
	for n := range disturbances {
		c.leadWithStandby()
		c.awaitFollowers()
		time.Sleep(2 * time.Second)
		leader := c.leader()
		named := c.indexOf(c.furthestFollower(leader))
		disturbed := make(chan struct{})
		timer := time.AfterFunc(time.Duration(n)*disturbanceStep, func() {
			defer close(disturbed)
			tc.disturb(c, leader, named)
		})
		startedAt := time.Now()
		if c.handOverObserved(leader) {
			toNamed++
		}
		if took := time.Since(startedAt); tc.always && took > undisturbedBound {
			t.Errorf("handover %d took %v", n, took)
		}
		if !timer.Stop() {
			<-disturbed // two incarnations of a node must not run
			c.heal(named)
		}
		time.Sleep(time.Second)
	}
	if tc.always && toNamed != disturbances {
		t.Errorf("the named node led after %d of %d handovers", toNamed, disturbances)
	}
	t.Logf("the named node led after %d of %d handovers", toNamed, disturbances)
	c.awaitStatus("j-000001", wire.JobDone, time.Minute)
	c.checkRules()
}

// refuseReplacedKeys has the state service refuse to replace a leader key that is there. Nodes of 01da0cf and earlier
// versions do not try to.
func refuseReplacedKeys(t fake.Transaction) fake.TxnFault {
	replaces := slices.ContainsFunc(t.Compares, func(x wire.Compare) bool { return x.Key == replica.LeaderKey && x.ModRevision != 0 })
	if replaces && slices.Contains(t.Keys, replica.LeaderKey) {
		return fake.TxnUnavailable
	}
	return fake.TxnNoFault
}

// TestHandoverToEarlierVersion hands over to nodes that do not replace the leader key, as earlier versions, beside one
// without a standby, which lets nobody go first. Whoever leads then is who the answer says.
func TestHandoverToEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHandoverCluster(t, 3, []int{2})
		defer c.close()
		c.state.SetTxnFault(refuseReplacedKeys)
		for n := range disturbances {
			c.leadWithStandby()
			c.awaitFollowers()
			time.Sleep(2*time.Second + time.Duration(n)*momentStep)
			c.handOverObserved(c.leader())
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		c.checkRules()
	})
}

// TestInvalidHandovers asks for handovers that cannot be made: each answer is one line and says why.
func TestInvalidHandovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHandoverCluster(t, 3, []int{2})
		defer c.close()
		c.awaitFollowers()
		leader := c.leader()
		if _, err := c.nodes[1-leader].HandOverAndConfirm(t.Context()); !errors.Is(err, caperlatch.ErrNotLeading) {
			t.Errorf("a follower answers %v", err)
		}
		if _, err := c.nodes[2].HandOverAndConfirm(t.Context()); !errors.Is(err, api.ErrStandbyDisabled) {
			t.Errorf("a node without a standby answers %v", err)
		}
		c.checkTwoHandovers(leader)
		c.checkRefusedHandoverIsForgotten()
		c.checkHandoverToNobody()
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		c.checkRules()
	})
}

// checkTwoHandovers asks the leader twice at once: one of the two is refused, and the named node leads, not the same
// node again: the refused one must not have it forget that it hands over.
func (c *cluster) checkTwoHandovers(leader int) {
	c.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var named []string
	var refused []error
	for range 2 {
		wg.Go(func() {
			to, err := c.nodes[leader].HandOverAndConfirm(c.t.Context())
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused = append(refused, err)
			} else {
				named = append(named, to)
			}
		})
	}
	wg.Wait()
	if len(named) != 1 || len(refused) != 1 || strings.Contains(refused[0].Error(), "\n") {
		c.t.Fatalf("handed over to %q, refused with %v", named, refused)
	}
	if next := memberName(c.leader()); next != named[0] {
		c.t.Errorf("%s leads, %s was named", next, named[0])
	}
}

// checkRefusedHandoverIsForgotten asks the leader twice at once while no other node can lead: it must let others go first
// for 2 s all the same. The refused request had it forget that it hands over, and it took the lead back at once.
func (c *cluster) checkRefusedHandoverIsForgotten() {
	c.t.Helper()
	const letsOthersGoFirst = 2 * time.Second
	c.awaitFollowers()
	time.Sleep(3 * time.Second)
	leader, token := c.leader(), c.fencingToken()
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isStateRequest(r) && !isFromNode(from, leader) {
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	})
	startedAt := time.Now()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if to, err := c.nodes[leader].HandOverAndConfirm(c.t.Context()); err == nil {
				c.t.Errorf("handed over to %q", to)
			}
		})
	}
	c.awaitLeaderAfter(token)
	if duration := time.Since(startedAt); duration < letsOthersGoFirst {
		c.t.Errorf("the node that handed over leads again after %v", duration)
	}
	wg.Wait()
	c.setFault(nil)
}

// checkHandoverToNobody has the leader hand over while the other standby is down: any node may lead, and the answer says
// which one does.
func (c *cluster) checkHandoverToNobody() {
	c.t.Helper()
	time.Sleep(3 * time.Second)
	leader := c.leader()
	c.kill(1 - leader)
	time.Sleep(2 * time.Second)
	to, err := c.nodes[leader].HandOverAndConfirm(c.t.Context())
	var other *api.HandoverError
	if !errors.As(err, &other) || other.Target != "" || other.Leader != memberName(c.leader()) {
		c.t.Errorf("handed over to %q: %v, and node %d leads", to, err, c.leader())
	}
	c.start(1 - leader)
}

// TestFollowsCloselyOnlyDuringHandover has a node without a standby lead after a handover. The other nodes followed the state
// service as closely as a leader while they expected the change, and must stop that: they went on for as long as that
// node led, four times as many requests of the state service's limit.
func TestFollowsCloselyOnlyDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHandoverCluster(t, 3, []int{2})
		defer c.close()
		c.awaitFollowers()
		leader := c.leader()
		c.state.SetTxnFault(refuseReplacedKeys)
		c.refuseStateTo(1 - leader) // so that node 2 leads
		if _, err := c.nodes[leader].HandOverAndConfirm(t.Context()); err == nil || c.leader() != 2 {
			t.Fatalf("node %d leads (%v)", c.leader(), err)
		}
		c.state.SetTxnFault(nil)
		time.Sleep(5 * time.Second)
		var watches counter
		c.setFault(func(from string, r *http.Request) fake.Fault {
			if isFromNode(from, leader) && isStateRequest(r) && r.URL.Path == "/watch" {
				watches.add("watch")
			}
			return fake.NoFault
		})
		const seconds, jobs = 20, 100 // jobs come in all the time, so that each watch ends at once
		for n := range jobs {
			c.trySubmit(2, testJob(fmt.Sprintf("j-%06d", 100+n), 1))
			time.Sleep(seconds * time.Second / jobs)
		}
		if n := watches.count("watch"); n > 3*seconds {
			t.Errorf("%d watches in %d s, a follower makes at most 2.5 a second", n, seconds)
		}
		c.checkRules()
	})
}
