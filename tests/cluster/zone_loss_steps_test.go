package cluster

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/zone"
)

// zoneStep is a step of a scenario, which injects a fault, waits or checks.
type zoneStep func(r *zoneRun)

// waitFor returns a step that waits for the given number of seconds.
func waitFor(seconds float64) zoneStep {
	return func(*zoneRun) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
}

// awaitZone returns a step that waits until the lost zone is in one of the given states.
func awaitZone(states ...zone.State) zoneStep {
	return func(r *zoneRun) { r.awaitState(r.lostZone, states...) }
}

// restartAll restarts all nodes of a cluster of five at once.
func restartAll(r *zoneRun) { r.restart(0, 1, 2, 3, 4) }

// isolate isolates the lost zone again. If no zone has been lost yet, it isolates one that the leader is not in.
func isolate(r *zoneRun) {
	if r.lostZone == "" {
		r.lostZone = r.zoneByLeaderPresence(false)
	}
	r.isolatedAt = r.Elapsed()
	r.Isolate(r.lostZone)
}

// loseZone returns a step that isolates a zone as isolate does, waits until the leader has declared it lost, and then
// waits for the given number of seconds.
func loseZone(seconds float64) zoneStep {
	return func(r *zoneRun) {
		isolate(r)
		r.awaitState(r.lostZone, zone.FullDisruption)
		r.lostAt = r.Elapsed()
		waitFor(seconds)(r)
		r.launched = cmp.Or(r.launched, r.cloud.Launched())
	}
}

// heal returns a step that ends all isolation, and waits until the lost zone is in one of the given states, or healthy.
func heal(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		r.healedAt = r.Elapsed()
		r.Heal()
		r.awaitState(r.lostZone, append(states, zone.Normal)...)
	}
}

// killLeaders returns a step that restarts the leader a number of times. If states are given, each next leader must
// report the lost zone in one of them.
func killLeaders(times int, states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		for range times {
			if r.restart(r.leader()); len(states) > 0 {
				checkZoneAfterFailover(states...)(r)
			}
		}
	}
}

// refuseStateToLeaderThenToEveryNode makes the state service unavailable to the leader alone for 8 s, and then to all
// nodes for 8 s. Workers then try other nodes, so that leases may expire in the surviving zone too.
func refuseStateToLeaderThenToEveryNode(r *zoneRun) {
	r.MarkAllAffected()
	leadingNode := r.leader()
	r.InjectFor(8*time.Second, fake.ServiceUnavailable, func(from string, q *http.Request) bool { return isStateRequest(q) && isFromNode(from, leadingNode) })
	r.state.SetOutage(true)
	time.Sleep(8 * time.Second)
	r.state.SetOutage(false)
}

// reconnectHalfOfZone lets the messages of half of the machines in the isolated zone pass again.
func reconnectHalfOfZone(r *zoneRun) {
	for i, w := range r.cloud.Workers() {
		if w.Zone() == r.lostZone && i%2 == 0 {
			r.AllowMachines(w.ID)
		}
	}
}

// injectIntoSurvivors returns a step that injects a fault into machines outside the lost zone, at most limit of them.
func injectIntoSurvivors(limit int, inject func(w *fake.Worker)) zoneStep {
	return func(r *zoneRun) {
		survivors := slices.DeleteFunc(r.cloud.Workers(), func(w *fake.Worker) bool { return w.Zone() == r.lostZone })
		for _, w := range survivors[:min(limit, len(survivors))] {
			inject(w)
		}
		r.MarkAllAffected()
	}
}

// submitJobs returns a step that submits n further jobs and waits 8 s for them to start.
func submitJobs(n int, job func(id string) map[string]any) zoneStep {
	return func(r *zoneRun) {
		for i := range n {
			r.addedJobs = append(r.addedJobs, fmt.Sprintf("j-%06d", 100+i))
			r.submitJob(job(r.addedJobs[i]))
		}
		time.Sleep(8 * time.Second)
	}
}

// cancelAddedJobs cancels the jobs of submitJobs through a node in a zone that is not isolated.
func cancelAddedJobs(r *zoneRun) {
	node := slices.IndexFunc(r.zones, func(name string) bool { return name != r.lostZone }) + 2
	for _, id := range r.addedJobs {
		r.cancelJob(id, node)
	}
}

// awaitAddedJobs returns a step that waits until the jobs of submitJobs have a final status. None of their tasks may
// run any longer.
func awaitAddedJobs(status string) zoneStep {
	return func(r *zoneRun) {
		for _, id := range r.addedJobs {
			r.awaitStatus(id, status, 4*time.Minute)
			if n := r.runningTasks(id); n > 0 {
				r.t.Errorf("%d tasks of job %s still run although its status is %q", n, id, status)
			}
		}
	}
}

// duplicateHeartbeatsWhileZoneHeals duplicates the heartbeats of half of the machines for 30 s; the duplicates are
// handled late. After 5 s the isolation ends and a failover follows, so that duplicates from before it reach the next
// leader.
func duplicateHeartbeatsWhileZoneHeals(r *zoneRun) {
	time.AfterFunc(5*time.Second, func() { r.Heal(); r.restart(r.leader()) })
	r.InjectFor(30*time.Second, fake.DuplicatedRequest, func(from string, q *http.Request) bool {
		return machineOf(from) != "" && q.URL.Path == "/hello" && from[len(from)-1]%2 == 0
	})
}

// moveLeaderIntoZone returns a step that makes a node in a zone the leader, and selects this zone to be isolated
// later.
func moveLeaderIntoZone(name string) zoneStep {
	return func(r *zoneRun) {
		r.makeLeaderIn(name)
		r.lostZone = name
	}
}

// leadWithoutPolicy makes a node without the zone policy lead for 5 s, and then ends the isolation. Nodes that restart
// after this step have the policy again.
func leadWithoutPolicy(r *zoneRun) {
	r.nodesWithoutFeatures = map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}
	r.restart(r.leader())
	time.Sleep(5 * time.Second)
	r.nodesWithoutFeatures = nil
	r.Heal()
}

// splitZones partitions all zones from each other, and selects one that the leader is not in as the lost zone.
func splitZones(r *zoneRun) {
	r.lostZone = r.zoneByLeaderPresence(false)
	r.SplitZones()
}

// refuseCloudRequests makes the cloud unavailable for 40 s, during the next steps.
func refuseCloudRequests(r *zoneRun) {
	go r.InjectFor(40*time.Second, fake.ServiceUnavailable, func(_ string, q *http.Request) bool { return q.URL.Host == "cloud" })
}

// minuteJob returns a job of ten tasks that take a minute each.
func minuteJob(id string) map[string]any {
	job := testJob(id, 10)
	job["expect_s"] = 60.0
	return job
}

// gangOfFour returns a gang of four tasks. Gangs with an even number in their ID must run in a single zone.
func gangOfFour(id string) map[string]any {
	return gangJob(id, 4, 2, map[string]any{"together": id[len(id)-1]%2 == 0})
}

// isolateOnlyZone isolates the machines of the only zone from the nodes, which continue. The zone must not be declared
// lost, as there is no other zone in which its tasks could run.
func isolateOnlyZone(r *zoneRun) {
	r.MarkAllAffected()
	r.InjectFor(25*time.Second, fake.DroppedRequest, func(from string, q *http.Request) bool {
		return (machineOf(from) == "") != (machineOf(q.URL.Host) == "")
	})
	if s := r.status("a"); s.Zone == "" || s.Flaps > 0 {
		r.t.Errorf("status of the only zone is %+v, want no losses", s)
	}
}

// loseTwoOfFourZones isolates two zones that the leader is not in. Both must be declared lost, and must become healthy
// again once the isolation has ended.
func loseTwoOfFourZones(r *zoneRun) {
	leaderZone := r.zoneByLeaderPresence(true)
	lost := slices.DeleteFunc(slices.Clone(fourZones), func(name string) bool { return name == leaderZone })[:2]
	r.Isolate(lost...)
	for _, want := range []zone.State{zone.FullDisruption, zone.Normal} {
		r.awaitState(lost[0], want)
		r.awaitState(lost[1], want)
		time.Sleep(20 * time.Second)
		r.Heal()
	}
}
