package cluster

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// captureLimits sets the limits of the state service under which situations are captured.
func captureLimits(s *settings.Settings) {
	s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
}

// captureJob returns the submission of a job whose tasks run for 300 s.
func captureJob(id string, tasks int) map[string]any {
	job := testJob(id, tasks)
	job["expect_s"] = 300.0
	return job
}

// mustAccept submits a job to the first node, which must accept it at once.
func (c *cluster) mustAccept(job map[string]any) {
	c.t.Helper()
	if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
		c.t.Fatalf("%s: %d", job["id"], code)
	}
}

// untilScaleOut is how long a job waits that has no room, at most, until the autoscaler launches machines for it: not at
// once, as many of its class have run shorter than estimated.
const untilScaleOut = 60 * time.Second

// captureJobs captures jobs of all kinds, many machines, and launch intents without a response.
func captureJobs(t *testing.T, all *captured) {
	c := newTunedCluster(t, captureNodes, captureLimits)
	defer c.close()
	c.cloud.RuntimeOf = func(task string) float64 {
		switch {
		case strings.HasPrefix(task, "j-000001/"):
			return 2
		case strings.HasSuffix(task, "0"):
			return 3
		}
		return 300
	}
	c.cloud.TaskFails = func(task, _ string) bool { return strings.HasPrefix(task, "j-000004/") }
	time.Sleep(3 * time.Second)
	c.submitJobsOfAllKinds()
	time.Sleep(40 * time.Second)
	all.add(c, "running")

	c.mustAccept(captureJob("j-000007", 500))
	time.Sleep(25 * time.Second)
	all.add(c, "large")

	// Launch intents without a response of the cloud, and no leader.
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Host == "cloud" && r.Method == http.MethodPost {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.mustAccept(captureJob("j-000008", 100))
	time.Sleep(untilScaleOut)
	c.killAll()
	time.Sleep(5 * time.Second)
	all.add(c, "renting")
	if all.unansweredIntents(t, "renting") == 0 {
		t.Error("no launch intent without a response is stored")
	}
	c.startAll()
}

// submitJobsOfAllKinds submits jobs of which one is done, one is cancelled, one has every field and a description of
// over 2 KB, one fails, one is a gang, and one is over its team's limit.
func (c *cluster) submitJobsOfAllKinds() {
	c.t.Helper()
	c.submit("j-000001", 2)
	c.awaitStatus("j-000001", wire.JobDone, time.Minute)
	c.submit("j-000002", 2)
	c.request(http.MethodPost, 0, "/v1/jobs/j-000002/abort", nil)
	complete := testJob("j-000003", 20)
	for name, value := range map[string]any{"lane": strings.Repeat("l", 2500), "builds": []string{"m4"}, "hall": "a", "together": true,
		"scatter": true, "due_s": 900.0, "save_every_s": 30.0, "store_s": 4.0, "expect_s": 240.0, "rank": "urgent"} {
		complete[name] = value
	}
	c.mustAccept(complete)
	c.submit("j-000004", 4)
	gang := captureJob("j-000005", 3)
	gang["shape"] = "gang"
	c.mustAccept(gang)
	overLimit := captureJob("j-000006", 40)
	overLimit["desk"] = "small"
	c.mustAccept(overLimit)
}

// largeClusterMachines is how many machines the cloud has for a large cluster. With more, which the leader launches in
// some runs, their list may be divided under the limits before they are lowered.
const largeClusterMachines = 300

// newLargeCluster starts a cluster that soon has hundreds of machines, in a list of over 4 KB.
func newLargeCluster(t *testing.T, tune func(*settings.Settings)) *cluster {
	t.Helper()
	c := newTunedCluster(t, captureNodes, func(s *settings.Settings) {
		captureLimits(s)
		tune(s)
	})
	c.cloud.MaxMachines = largeClusterMachines
	c.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, "j-000001/") && strings.HasSuffix(task, "0") {
			return 3
		}
		return 300
	}
	time.Sleep(3 * time.Second)
	c.mustAccept(captureJob("j-000001", 500))
	return c
}

// captureLargeList captures a machine list that is larger than the lowered limits admit.
func captureLargeList(t *testing.T, all *captured) {
	const situation = "a large list"
	c := newLargeCluster(t, func(*settings.Settings) {})
	defer c.close()
	time.Sleep(25 * time.Second)
	all.add(c, situation)
	var list any
	if err := wire.Unmarshal(all.stored[situation][replica.MachineListPrefix+"0"], &list); err != nil || wire.JSONSize(list) < 4096 {
		t.Errorf("the machine list has %d bytes, %v", wire.JSONSize(list), err)
	}
}

// captureGang captures a gang in the states in which the next leader may find it.
func captureGang(t *testing.T, all *captured) {
	const id = capturedGang
	c := newTunedCluster(t, captureNodes, captureLimits)
	defer c.close()
	c.cloud.ImagePullS = 4
	c.cloud.RuntimeOf = func(task string) float64 {
		switch {
		case strings.HasPrefix(task, id+"/"):
			return 20
		case strings.HasSuffix(task, "/0"):
			return 2
		}
		return 300
	}
	c.submitJob(captureJob("j-000001", 4))
	time.Sleep(15 * time.Second)

	// On three machines of four CPUs, with another image.
	c.submitJob(gangJob(id, 3, 3, map[string]any{"bundle": "gang"}))
	c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
	c.cloud.WorkersOf(id)[0].Hang(6 * time.Second)
	c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
	all.add(c, "a gang waits for a machine that hangs")

	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(3 * time.Second)
	all.add(c, "a gang runs")

	time.Sleep(4 * time.Second)
	c.cloud.WorkersOf(id)[2].Interrupt(12 * time.Second)
	c.awaitTaskStates(id, map[string]int{wire.TaskCheckpointing: 3})
	all.add(c, "a gang is being stopped")

	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(5 * time.Second)
	machine := c.cloud.WorkersOf(id)[0]
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if machineOf(from) != "" { // no node gets a heartbeat that shows the gang done
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.awaitTaskStates(id, map[string]int{})
	all.add(c, "a gang is done, which is not stored")
	machine.Interrupt(0)
	time.Sleep(100 * time.Millisecond)
	all.add(c, "a gang is done, which is not stored, and a machine is gone")
}

// captureDividedList lowers the limits where a machine list is stored that is too large for them, while a gang runs.
func captureDividedList(t *testing.T, all *captured) {
	announced := false
	c := newLargeCluster(t, func(s *settings.Settings) {
		if announced {
			announceLimits(s)
		}
	})
	defer c.close()
	c.submitJob(gangJob(capturedGang, 3, 3, map[string]any{"expect_s": 300.0}))
	time.Sleep(25 * time.Second)
	if lists := len(c.machineLists()); lists != 1 {
		t.Errorf("the machines are in %d lists, want one", lists)
	}
	announced = true
	c.state.SetLimits(loweredLimits)
	c.killAll()
	c.startAll()
	for try := 0; !c.hasMachineInTwoLists(); try++ {
		if try == 1000 {
			t.Fatal("no machine is in two lists")
		}
		time.Sleep(20 * time.Millisecond)
	}
	all.add(c, "a list is being divided, a gang runs")
	time.Sleep(15 * time.Second)
	if c.hasMachineInTwoLists() || len(c.machineLists()) < 2 {
		t.Errorf("%d lists, want several, and no machine in two", len(c.machineLists()))
	}
	all.add(c, "a list was divided, a gang runs")
}

// hasMachineInTwoLists reports whether a machine is in more than one of the stored lists, as while one is divided.
func (c *cluster) hasMachineInTwoLists() bool {
	machines := c.listedMachines()
	slices.Sort(machines)
	return len(slices.Compact(slices.Clone(machines))) < len(machines)
}

// captureZoneLoss captures a zone that is isolated and reopens.
func captureZoneLoss(t *testing.T, all *captured) {
	config := zone.DefaultConfig(heartbeatIntervalS * micros.Second)
	config.MinStepTime, config.InitialHoldDown = 4*micros.Second, 6*micros.Second
	c := newFeaturesCluster(t, captureNodes, func(s *settings.Settings) {
		s.Params.Zones = twoZones
		captureLimits(s)
	}, settings.Features{Zones: &config})
	defer c.close()
	c.cloud.Zones, c.rules.InstanceTypes[0].Zones, c.cloud.MaxMachinesByZone = twoZones, twoZones, map[string]int{"a": 30, "b": 8}
	c.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasSuffix(task, "0") {
			return 3
		}
		return 300
	}
	c.submitJob(captureJob("j-000001", 120))
	time.Sleep(60 * time.Second)

	lost := c.zoneWithFewestMachines(twoZones)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if c.rules.ZoneOf(machineOf(from)) == lost || c.rules.ZoneOf(machineOf(r.URL.Host)) == lost {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	all.addZoneState(c, lost, zone.FullDisruption, "a zone is lost")
	c.setFault(nil)
	all.addZoneState(c, lost, zone.HeldDown, "a zone is held down")
	all.addZoneState(c, lost, zone.Reopening, "a zone returns")
}

// zoneWithFewestMachines returns the one of some zones that fewest machines are in.
func (c *cluster) zoneWithFewestMachines(zones []string) string {
	machines := map[string]int{}
	for _, worker := range c.cloud.Workers() {
		machines[worker.Zone()]++
	}
	return slices.MinFunc(zones, func(a, b string) int { return cmp.Compare(machines[a], machines[b]) })
}

// addZoneState waits until a zone is in a state and that is stored, and captures the situation.
func (all *captured) addZoneState(c *cluster, name string, state zone.State, situation string) {
	c.t.Helper()
	run := &zoneRun{cluster: c} // of which only the queries of the zones are used
	run.awaitState(name, state)
	time.Sleep(500 * time.Millisecond)
	all.add(c, situation)
	if all.stored[situation][replica.ZonesKey] == nil {
		c.t.Errorf("%s: nothing is stored of zones", situation)
	}
}
