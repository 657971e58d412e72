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

// zoneStep injects a fault, waits, or checks.
type zoneStep func(r *zoneRun)

// waitFor waits for a while.
func waitFor(seconds float64) zoneStep {
	return func(*zoneRun) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
}

// awaitZone waits until the zone is in one of some states.
func awaitZone(states ...zone.State) zoneStep {
	return func(r *zoneRun) { r.awaitState(r.lostZone, states...) }
}

// restartAll restarts all of five nodes at once.
func restartAll(r *zoneRun) { r.restart(0, 1, 2, 3, 4) }

// isolate isolates the zone that was isolated before, or one that the leader is not in.
func isolate(r *zoneRun) {
	if r.lostZone == "" {
		r.lostZone = r.zoneByLeader(false)
	}
	r.isolatedAt = r.Elapsed()
	r.Isolate(r.lostZone)
}

// loseZone isolates the zone, waits until it is declared lost, and then for a while.
func loseZone(seconds float64) zoneStep {
	return func(r *zoneRun) {
		isolate(r)
		r.awaitState(r.lostZone, zone.FullDisruption)
		r.lostAt = r.Elapsed()
		waitFor(seconds)(r)
		r.launched = cmp.Or(r.launched, r.cloud.Launched())
	}
}

// heal ends all isolation, and waits until the zone is in one of some states, or healthy.
func heal(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		r.healedAt = r.Elapsed()
		r.Heal()
		r.awaitState(r.lostZone, append(states, zone.Normal)...)
	}
}

// killLeaders kills the leader so many times; the next one must find the zone in one of some
// states, if any are given.
func killLeaders(times int, states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		for range times {
			if r.restart(r.leader()); len(states) > 0 {
				checkNextLeader(states...)(r)
			}
		}
	}
}

// stateRefusals makes the state service unavailable to the leader alone for a while, and then to
// all. Workers then try another node, and their leases may expire in the surviving zone.
func stateRefusals(r *zoneRun) {
	r.MarkAllAffected()
	leads := r.leader()
	r.InjectFor(8*time.Second, fake.ServiceUnavailable, func(from string, q *http.Request) bool { return isStateRequest(q) && isFromNode(from, leads) })
	r.state.SetOutage(true)
	time.Sleep(8 * time.Second)
	r.state.SetOutage(false)
}

// reconnectHalf has half of the machines of the isolated zone be heard again.
func reconnectHalf(r *zoneRun) {
	for i, w := range r.cloud.Workers() {
		if w.Zone() == r.lostZone && i%2 == 0 {
			r.AllowMachines(w.ID)
		}
	}
}

// faultSurvivors injects a fault into so many of the machines in the other zones.
func faultSurvivors(most int, inject func(w *fake.Worker)) zoneStep {
	return func(r *zoneRun) {
		left := slices.DeleteFunc(r.cloud.Workers(), func(w *fake.Worker) bool { return w.Zone() == r.lostZone })
		for _, w := range left[:min(most, len(left))] {
			inject(w)
		}
		r.MarkAllAffected()
	}
}

// submitAdded submits further jobs and lets them start.
func submitAdded(n int, job func(id string) map[string]any) zoneStep {
	return func(r *zoneRun) {
		for i := range n {
			r.added = append(r.added, fmt.Sprintf("j-%06d", 100+i))
			r.submitJob(job(r.added[i]))
		}
		time.Sleep(8 * time.Second)
	}
}

// cancelAdded cancels the jobs that were added, at a node of a zone that is not isolated.
func cancelAdded(r *zoneRun) {
	third := slices.IndexFunc(r.zones, func(name string) bool { return name != r.lostZone }) + 2
	for _, id := range r.added {
		r.cancelJob(id, third)
	}
}

// awaitAdded waits until the jobs that were added have a final status. None of their tasks may
// still run.
func awaitAdded(status string) zoneStep {
	return func(r *zoneRun) {
		for _, id := range r.added {
			r.awaitStatus(id, status, 4*time.Minute)
			if n := r.runningTasks(id); n > 0 {
				r.t.Errorf("%d tasks of %s still run", n, id)
			}
		}
	}
}

// duplicateHeartbeatsWhileZoneHeals has copies of the heartbeats of half of the machines handled late, for 30 s.
// Meanwhile the zone heals and a failover follows: copies of before it reach the next leader.
func duplicateHeartbeatsWhileZoneHeals(r *zoneRun) {
	time.AfterFunc(5*time.Second, func() { r.Heal(); r.restart(r.leader()) })
	r.InjectFor(30*time.Second, fake.DuplicatedRequest, func(from string, q *http.Request) bool {
		return machineOf(from) != "" && q.URL.Path == "/hello" && from[len(from)-1]%2 == 0
	})
}

// moveLeaderIntoZone has a zone be the one that is isolated later, with the leader in it.
func moveLeaderIntoZone(name string) zoneStep {
	return func(r *zoneRun) {
		r.makeLeaderIn(name)
		r.lostZone = name
	}
}

// leadWithoutPolicy has nodes without the policy of zones lead for 5 s, and then heals the zone.
func leadWithoutPolicy(r *zoneRun) {
	r.nodesWithoutFeatures = map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}
	r.restart(r.leader())
	time.Sleep(5 * time.Second)
	r.nodesWithoutFeatures = nil
	r.Heal()
}

// splitZones partitions all zones from each other. The one that the leader is not in is lost.
func splitZones(r *zoneRun) {
	r.lostZone = r.zoneByLeader(false)
	r.SplitZones()
}

// refuseCloudRequests makes the cloud unavailable for 40 s, beside the next steps.
func refuseCloudRequests(r *zoneRun) {
	go r.InjectFor(40*time.Second, fake.ServiceUnavailable, func(_ string, q *http.Request) bool { return q.URL.Host == "cloud" })
}

// minuteJob returns a job of ten tasks of a minute each.
func minuteJob(id string) map[string]any {
	job := testJob(id, 10)
	job["expect_s"] = 60.0
	return job
}

// gangOfFour returns a gang; every other one must be in a single zone.
func gangOfFour(id string) map[string]any {
	return gangJob(id, 4, 2, map[string]any{"together": id[len(id)-1]%2 == 0})
}

// isolateOnlyZone isolates the machines of the only zone from the nodes, which continue. It must not
// be taken for lost: there is nowhere that its work could go.
func isolateOnlyZone(r *zoneRun) {
	r.MarkAllAffected()
	r.InjectFor(25*time.Second, fake.DroppedRequest, func(from string, q *http.Request) bool {
		return (machineOf(from) == "") != (machineOf(q.URL.Host) == "")
	})
	if s := r.status("a"); s.Zone == "" || s.Flaps > 0 {
		r.t.Errorf("the only zone was lost: %+v", s)
	}
}

// loseTwoOfFourZones isolates two zones that the leader is not in: both must be declared lost, and
// return once they are healed.
func loseTwoOfFourZones(r *zoneRun) {
	leads := r.zoneByLeader(true)
	lost := slices.DeleteFunc(slices.Clone(fourZones), func(name string) bool { return name == leads })[:2]
	r.Isolate(lost...)
	for _, want := range []zone.State{zone.FullDisruption, zone.Normal} {
		r.awaitState(lost[0], want)
		r.awaitState(lost[1], want)
		time.Sleep(20 * time.Second)
		r.Heal()
	}
}
