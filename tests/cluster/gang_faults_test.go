package cluster

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// testGang is the only job of each case of TestGangFaults.
const testGang = "j-000001"

// gangFaultCase is a case of TestGangFaults: a gang, and a fault that affects it.
type gangFaultCase struct {
	name       string
	job        map[string]any
	zones      []string         // of the fleet; nil: a single zone
	imagePullS float64          // time that a machine needs to pull the gang's image
	inject     func(c *cluster) // called after the gang is submitted; nil: no fault
	fullRuns   int              // wanted number of attempts in which all tasks ran; negative: any number
	timeout    time.Duration    // from submission to completion
}

// wideGang returns a gang of three tasks that need three CPUs each. A machine has four CPUs, so three machines have one
// task each.
func wideGang() map[string]any { return gangJob(testGang, 3, 3, nil) }

// gangFaultCases lists the cases of TestGangFaults with gangs of each shape, and with faults that cause no failover.
func gangFaultCases() []gangFaultCase {
	twoZones := []string{"a", "b"}
	spread := gangJob(testGang, 4, 3, map[string]any{"scatter": true})
	return []gangFaultCase{
		{name: "on one machine", job: gangJob(testGang, 4, 1, nil),
			inject: checkGangOnOneMachine, fullRuns: 1, timeout: 40 * time.Second},
		{name: "single task", job: gangJob(testGang, 1, 1, nil),
			fullRuns: 1, timeout: 40 * time.Second},
		{name: "over several machines", job: wideGang(), imagePullS: 2,
			fullRuns: 1, timeout: 40 * time.Second},
		{name: "single zone", job: gangJob(testGang, 3, 3, map[string]any{"together": true}), zones: twoZones,
			fullRuns: 1, timeout: 60 * time.Second},
		{name: "spread over zones", job: spread, zones: twoZones,
			fullRuns: 1, timeout: 60 * time.Second},
		{name: "requested zone", job: gangJob(testGang, 3, 3, map[string]any{"hall": "b"}), zones: twoZones,
			fullRuns: 1, timeout: 60 * time.Second},
		{name: "as large as its team's limit", job: gangJob(testGang, 4, 1, map[string]any{"desk": "small"}),
			fullRuns: 1, timeout: 40 * time.Second},
		// In these cases a replacement task with the same attempt number completes the gang.
		{name: "a machine hangs before the gang starts", job: wideGang(), imagePullS: 3,
			inject: hangBeforeGangStarts, fullRuns: 1, timeout: 60 * time.Second},
		{name: "a machine is interrupted while the others wait", job: wideGang(), imagePullS: 3,
			inject: interruptWhileGangWaits, fullRuns: 1, timeout: 60 * time.Second},
		{name: "a machine is interrupted after a notice while the others wait", job: wideGang(), imagePullS: 3,
			inject: noticeBeforeGangStarts, fullRuns: 1, timeout: 60 * time.Second},
		// In these cases the other tasks detect the loss, and all tasks start again.
		{name: "a machine hangs while the gang runs", job: wideGang(),
			inject: hangWhileGangRuns, fullRuns: 2, timeout: 90 * time.Second},
		{name: "a machine is interrupted while the gang runs", job: wideGang(),
			inject: interruptWhileGangRuns, fullRuns: 2, timeout: 80 * time.Second},
		// In this case all tasks are stopped, checkpoint, and continue elsewhere, so that no progress is lost.
		{name: "a machine is interrupted after a notice while the gang runs", job: wideGang(),
			inject: noticeWhileGangRuns, fullRuns: 2, timeout: 60 * time.Second},
		{name: "the stop reaches only some tasks", job: wideGang(),
			inject: isolateMachineOfStoppingGang, fullRuns: 2, timeout: 100 * time.Second},
		{name: "every tenth machine is isolated", job: spread, zones: twoZones,
			inject: isolateEveryTenthMachine, fullRuns: -1, timeout: 120 * time.Second},
	}
}

// TestGangFaults checks that a gang completes after a fault, and that no rule is violated. The number of attempts in
// which all tasks ran shows whether an attempt was lost, and the duration shows whether progress was lost.
func TestGangFaults(t *testing.T) {
	for _, tc := range append(gangFaultCases(), gangFailoverCases()...) {
		t.Run(tc.name, tc.run)
	}
}

// run submits the gang, injects the fault, and checks that the gang completes as wanted.
func (tc gangFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 3)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 20 }
		c.cloud.Zones, c.cloud.ImagePullS = tc.zones, tc.imagePullS
		if tc.zones != nil {
			c.rules.InstanceTypes[0].Zones = tc.zones
		}
		startedAt := time.Now()
		c.submitJob(tc.job)
		if tc.inject != nil {
			tc.inject(c)
		}
		c.setFault(nil)
		c.awaitStatus(testGang, wire.JobDone, tc.timeout+30*time.Second)
		if duration := time.Since(startedAt); duration > tc.timeout {
			t.Errorf("gang done after %v, want at most %v", duration, tc.timeout)
		}
		if runs := c.cloud.GangRuns(testGang); tc.fullRuns >= 0 && runs != tc.fullRuns {
			t.Errorf("%d full runs of the gang, want %d", runs, tc.fullRuns)
		}
		time.Sleep(5 * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("tasks %v are still on machines 5 s after the gang is done", left)
		}
		for _, violation := range c.rules.Violations() {
			t.Error(violation)
		}
	})
}

// checkGangOnOneMachine injects no fault. It checks that the tasks of a gang that fit on one machine share it.
func checkGangOnOneMachine(c *cluster) {
	c.awaitGangRunning(testGang, 4)
	if n := len(c.cloud.WorkersOf(testGang)); n != 1 {
		c.t.Errorf("gang is on %d machines, want 1", n)
	}
}

// hangBeforeGangStarts makes a machine hang for a minute while all machines pull the image.
func hangBeforeGangStarts(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[1].Hang(time.Minute)
}

// interruptWhileGangWaits makes the cloud terminate, without notice, a machine that hangs and for whose task the other
// tasks wait.
func interruptWhileGangWaits(c *cluster) {
	c.awaitGangPulling(testGang)
	hungWorker := c.cloud.WorkersOf(testGang)[1]
	hungWorker.Hang(4 * time.Second)
	c.awaitGangWaiting(testGang)
	hungWorker.Interrupt(0)
}

// noticeBeforeGangStarts makes the cloud terminate a machine 8 s after an interruption notice, which arrives while all
// machines pull the image. The gang must not start on that machine.
func noticeBeforeGangStarts(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[0].Interrupt(8 * time.Second)
}

// hangWhileGangRuns makes a machine hang for a minute after the tasks' first checkpoint.
func hangWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(12 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Hang(time.Minute)
}

// interruptWhileGangRuns makes the cloud terminate a machine without notice after the tasks' first checkpoint.
func interruptWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(12 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Interrupt(0)
}

// noticeWhileGangRuns makes the cloud terminate a machine 9 s after an interruption notice, which arrives before the
// tasks' first periodic checkpoint. Stopping the gang must save its progress.
func noticeWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(8 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Interrupt(9 * time.Second)
	time.Sleep(8 * time.Second)
	if progress := c.cloud.GangProgress(testGang); progress < 7*time.Second {
		c.t.Errorf("checkpoints hold %v of the gang's progress, want at least 7 s", progress)
	}
}

// isolateMachineOfStoppingGang isolates one machine of the gang while another gets an interruption notice, so that the
// stop commands do not reach all tasks.
func isolateMachineOfStoppingGang(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(8 * time.Second)
	machines := c.cloud.WorkersOf(testGang)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if r.URL.Host == machines[0].ID+":9000" || from == machines[0].ID {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	machines[2].Interrupt(9 * time.Second)
	time.Sleep(12 * time.Second)
}

// isolateEveryTenthMachine isolates the machines whose IDs end in 1 for 15 s, which is longer than a lease. It also drops
// the requests of nodes in their first incarnation, because the names of these senders end in 1 as well.
func isolateEveryTenthMachine(c *cluster) {
	c.awaitGangRunning(testGang, 4)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if strings.HasSuffix(from, "1") || strings.HasSuffix(r.URL.Host, "1:9000") {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	time.Sleep(15 * time.Second)
}
