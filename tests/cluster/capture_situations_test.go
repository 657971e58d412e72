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

// captureLimits sets the limits of the state service in the settings of the captured clusters.
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
		c.t.Fatalf("submission of %s: got code %d, want 201", job["id"], code)
	}
}

// maxScaleOutDelay is the longest time that a job without room waits until the autoscaler launches machines for it. The
// autoscaler does not do so at once, because many jobs of the class have run for less time than estimated.
const maxScaleOutDelay = 60 * time.Second

// captureJobs captures jobs of all kinds, a large cluster, and launch intents to which the cloud has not responded.
func captureJobs(t *testing.T, data *captureData) {
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
	data.add(c, "running")

	c.mustAccept(captureJob("j-000007", 500))
	time.Sleep(25 * time.Second)
	data.add(c, "large")

	// Store launch intents to which the cloud does not respond, and leave the cluster without a leader.
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Host == "cloud" && r.Method == http.MethodPost {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.mustAccept(captureJob("j-000008", 100))
	time.Sleep(maxScaleOutDelay)
	c.killAll()
	time.Sleep(5 * time.Second)
	data.add(c, "renting")
	if data.unansweredIntents(t, "renting") == 0 {
		t.Error("every stored launch intent has a response, want one without")
	}
	c.startAll()
}

// submitJobsOfAllKinds submits six jobs: one that is done, one that is cancelled, one that has every field and a
// description of over 2 KB, one that fails, a gang, and one that is over its team's limit.
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

// largeClusterMachines is the number of machines that the cloud has for a large cluster. If it had more, the leader
// would launch them in some runs, and the machine list might be divided even before the limits are lowered.
const largeClusterMachines = 300

// newLargeCluster starts a cluster that soon has hundreds of machines, whose machine list is over 4 KB.
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

// captureLargeList captures a machine list that is larger than the lowered limits allow.
func captureLargeList(t *testing.T, data *captureData) {
	const situation = "a large list"
	c := newLargeCluster(t, func(*settings.Settings) {})
	defer c.close()
	time.Sleep(25 * time.Second)
	data.add(c, situation)
	var list any
	if err := wire.Unmarshal(data.stored[situation][replica.MachineListPrefix+"0"], &list); err != nil || wire.JSONSize(list) < 4096 {
		t.Errorf("the machine list has %d bytes, want at least 4096; decoding error: %v", wire.JSONSize(list), err)
	}
}

// captureGang captures a gang in each state in which the next leader may find it.
func captureGang(t *testing.T, data *captureData) {
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

	// The gang runs on three machines of four CPUs, which first pull an image that the other job does not use.
	c.submitJob(gangJob(id, 3, 3, map[string]any{"bundle": "gang"}))
	c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
	c.cloud.WorkersOf(id)[0].Hang(6 * time.Second)
	c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
	data.add(c, "a gang waits for a machine that hangs")

	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(3 * time.Second)
	data.add(c, "a gang runs")

	time.Sleep(4 * time.Second)
	c.cloud.WorkersOf(id)[2].Interrupt(12 * time.Second)
	c.awaitTaskStates(id, map[string]int{wire.TaskCheckpointing: 3})
	data.add(c, "a gang is being stopped")

	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	time.Sleep(5 * time.Second)
	machine := c.cloud.WorkersOf(id)[0]
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if machineOf(from) != "" { // no node receives a heartbeat that shows that the gang is done
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.awaitTaskStates(id, map[string]int{})
	data.add(c, "a gang is done, which is not stored")
	machine.Interrupt(0)
	time.Sleep(100 * time.Millisecond)
	data.add(c, "a gang is done, which is not stored, and a machine is gone")
}

// captureDividedList captures the division of a machine list, while a gang runs: it lowers the limits so that the stored
// list is too large for them.
func captureDividedList(t *testing.T, data *captureData) {
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
		t.Errorf("%d machine lists are stored before the limits are lowered, want one", lists)
	}
	announced = true
	c.state.SetLimits(loweredLimits)
	c.killAll()
	c.startAll()
	for try := 0; !c.hasMachineInTwoLists(); try++ {
		if try == 1000 {
			t.Fatal("no machine is in two lists within 20 s of the restart, want one while the list is divided")
		}
		time.Sleep(20 * time.Millisecond)
	}
	data.add(c, "a list is being divided, a gang runs")
	time.Sleep(15 * time.Second)
	if c.hasMachineInTwoLists() || len(c.machineLists()) < 2 {
		t.Errorf("%d machine lists are stored, want at least 2 and no machine in two lists", len(c.machineLists()))
	}
	data.add(c, "a list was divided, a gang runs")
}

// hasMachineInTwoLists reports whether a machine is in more than one of the stored lists, as happens while a list is
// being divided.
func (c *cluster) hasMachineInTwoLists() bool {
	machines := c.listedMachines()
	slices.Sort(machines)
	return len(slices.Compact(slices.Clone(machines))) < len(machines)
}

// captureZoneLoss captures a zone that is lost, is then held down, and reopens.
func captureZoneLoss(t *testing.T, data *captureData) {
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
	data.addZoneState(c, lost, zone.FullDisruption, "a zone is lost")
	c.setFault(nil)
	data.addZoneState(c, lost, zone.HeldDown, "a zone is held down")
	data.addZoneState(c, lost, zone.Reopening, "a zone returns")
}

// zoneWithFewestMachines returns the zone with the fewest machines among the given ones.
func (c *cluster) zoneWithFewestMachines(zones []string) string {
	machines := map[string]int{}
	for _, worker := range c.cloud.Workers() {
		machines[worker.Zone()]++
	}
	return slices.MinFunc(zones, func(a, b string) int { return cmp.Compare(machines[a], machines[b]) })
}

// addZoneState waits until a zone is in the given state and the state is stored, and then captures the situation.
func (data *captureData) addZoneState(c *cluster, name string, state zone.State, situation string) {
	c.t.Helper()
	run := &zoneRun{cluster: c} // only for its zone queries
	run.awaitState(name, state)
	time.Sleep(500 * time.Millisecond)
	data.add(c, situation)
	if data.stored[situation][replica.ZonesKey] == nil {
		c.t.Errorf("%s: no zone record is stored", situation)
	}
}
