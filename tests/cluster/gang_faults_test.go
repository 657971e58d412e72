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

// gangFaultCase is a fault that affects a gang.
type gangFaultCase struct {
	name       string
	job        map[string]any
	zones      []string         // of the fleet; nil: one
	imagePullS float64          // how long machines pull its image
	inject     func(c *cluster) // called once the gang is submitted; nil: no fault
	fullRuns   int              // attempts of which all tasks ran; negative: any number
	timeout    time.Duration    // from its submission to its completion
}

// wideGang is a gang over several machines: one has four CPUs, so that each of three has one task.
func wideGang() map[string]any { return gangJob(testGang, 3, 3, nil) }

// gangFaultCases lists gangs of each shape, and faults without a failover.
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
		{name: "zone given", job: gangJob(testGang, 3, 3, map[string]any{"hall": "b"}), zones: twoZones,
			fullRuns: 1, timeout: 60 * time.Second},
		{name: "as large as its team's limit", job: gangJob(testGang, 4, 1, map[string]any{"desk": "small"}),
			fullRuns: 1, timeout: 40 * time.Second},
		// A replacement with the same attempt number completes the gang.
		{name: "a machine hangs before the gang starts", job: wideGang(), imagePullS: 3,
			inject: hangBeforeGangStarts, fullRuns: 1, timeout: 60 * time.Second},
		{name: "a machine is interrupted while the others wait", job: wideGang(), imagePullS: 3,
			inject: interruptWhileGangWaits, fullRuns: 1, timeout: 60 * time.Second},
		{name: "a machine is interrupted after a notice while the others wait", job: wideGang(), imagePullS: 3,
			inject: noticeBeforeGangStarts, fullRuns: 1, timeout: 60 * time.Second},
		// The other tasks notice the loss, and all start again.
		{name: "a machine hangs while the gang runs", job: wideGang(),
			inject: hangWhileGangRuns, fullRuns: 2, timeout: 90 * time.Second},
		{name: "a machine is interrupted while the gang runs", job: wideGang(),
			inject: interruptWhileGangRuns, fullRuns: 2, timeout: 80 * time.Second},
		// All tasks are stopped, checkpoint, and continue elsewhere: no progress is lost.
		{name: "a machine is interrupted after a notice while the gang runs", job: wideGang(),
			inject: noticeWhileGangRuns, fullRuns: 2, timeout: 60 * time.Second},
		{name: "the stop reaches only some tasks", job: wideGang(),
			inject: isolateMachineOfStoppingGang, fullRuns: 2, timeout: 100 * time.Second},
		{name: "every tenth machine is isolated", job: spread, zones: twoZones,
			inject: isolateEveryTenthMachine, fullRuns: -1, timeout: 120 * time.Second},
	}
}

// TestGangFaults runs a gang through one fault each. It must complete, with no rule violated; the
// number of its full runs shows whether an attempt was lost, and its duration whether its progress
// was.
func TestGangFaults(t *testing.T) {
	for _, tc := range append(gangFaultCases(), gangFailoverCases()...) {
		t.Run(tc.name, tc.run)
	}
}

// run submits the gang, injects the fault, and checks how the gang ends.
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
			t.Errorf("done after %v", duration)
		}
		if runs := c.cloud.GangRuns(testGang); tc.fullRuns >= 0 && runs != tc.fullRuns {
			t.Errorf("%d full runs, want %d", runs, tc.fullRuns)
		}
		time.Sleep(5 * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("still on machines: %v", left)
		}
		for _, rule := range c.rules.Violations() {
			t.Error(rule)
		}
	})
}

// checkGangOnOneMachine injects no fault: the tasks of a gang that fit on one machine must share it.
func checkGangOnOneMachine(c *cluster) {
	c.awaitGangRunning(testGang, 4)
	if n := len(c.cloud.WorkersOf(testGang)); n != 1 {
		c.t.Errorf("it is on %d machines, want one", n)
	}
}

// hangBeforeGangStarts has a machine hang for a minute while all pull the image.
func hangBeforeGangStarts(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[1].Hang(time.Minute)
}

// interruptWhileGangWaits has the cloud take back, without notice, a machine that hangs and for
// which the other tasks wait.
func interruptWhileGangWaits(c *cluster) {
	c.awaitGangPulling(testGang)
	hungWorker := c.cloud.WorkersOf(testGang)[1]
	hungWorker.Hang(4 * time.Second)
	c.awaitGangWaiting(testGang)
	hungWorker.Interrupt(0)
}

// noticeBeforeGangStarts has the cloud take back a machine 8 s after a notice that comes while all
// pull the image. The gang must not start on it.
func noticeBeforeGangStarts(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[0].Interrupt(8 * time.Second)
}

// hangWhileGangRuns has a machine hang for a minute, after the tasks' first checkpoint.
func hangWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(12 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Hang(time.Minute)
}

// interruptWhileGangRuns has the cloud take back a machine without notice, after the tasks' first
// checkpoint.
func interruptWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(12 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Interrupt(0)
}

// noticeWhileGangRuns has the cloud take back a machine 9 s after a notice, before the tasks' first
// periodic checkpoint: stopping the gang must save its progress.
func noticeWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(8 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Interrupt(9 * time.Second)
	time.Sleep(8 * time.Second)
	if progress := c.cloud.GangProgress(testGang); progress < 7*time.Second {
		c.t.Errorf("checkpoints keep %v of its progress, want at least 7 s", progress)
	}
}

// isolateMachineOfStoppingGang isolates one machine of the gang as another gets an interruption
// notice, so that the stop does not reach all tasks.
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

// isolateEveryTenthMachine isolates the machines whose IDs end in 1, for longer than a lease.
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
