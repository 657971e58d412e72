package cluster

import (
	"fmt"
	"slices"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/zone"
)

// Bounds of the checks.
const (
	maxStall          = 30 * time.Second // of urgent jobs
	maxOrderRatio     = 5                // starts of scans for each of an update while scans wait, at least
	minMeasuredStarts = 60               // starts for an order to be checked
	minWaiting        = 30               // scans for which updates are out of order
)

// Kinds of problems that checks find.
const orderProblem, stepsProblem, holdDownProblem, stateProblem = "order:", "steps:", "hold-down:", "stored state:"

// checkOutlivesLease checks that tasks in the zone completed after a lease from its isolation.
func checkOutlivesLease(r *zoneRun) {
	if r.CompletionsIn(r.lostZone, r.isolatedAt+zoneLeaseS*time.Second) == 0 {
		r.t.Error("no task in the zone completed after a lease")
	}
}

// checkFlaps checks that the losses of the zone are counted, and that few machines were launched again.
func checkFlaps(r *zoneRun) {
	if s, more := r.status(r.lostZone), r.cloud.Launched()-r.launched; s.Flaps < 3 || more > halfMachines/4 {
		r.t.Errorf("%d losses are counted; %d machines were launched again for the same loss", s.Flaps, more)
	}
}

// reportProblem records a problem of a kind, if there is one.
func (r *zoneRun) reportProblem(found bool, kind, format string, args ...any) {
	if found {
		r.problems = append(r.problems, kind+" "+fmt.Sprintf(format, args...))
	}
}

// checkOrder checks the order in which tasks started from the loss until the zone was healed.
func checkOrder(r *zoneRun) {
	scansWait := checker.Contention{Class: "scan", MinWaiting: minWaiting, From: r.lostAt, To: r.healedAt}
	scans, updates := r.StartsDuring(scansWait, "scan"), r.StartsDuring(scansWait, "update")
	if scans+updates < minMeasuredStarts {
		r.t.Errorf("%d tasks started while scans waited, too few to tell, between %v and %v", scans+updates, r.lostAt, r.healedAt)
	}
	r.reportProblem(updates*maxOrderRatio > scans, orderProblem, "%d updates started beside %d scans while scans waited", updates, scans)
}

// checkSteps checks how fast the zone's machines got tasks again.
func checkSteps(r *zoneRun) {
	starts, policy := r.FirstStarts(r.lostZone, r.healedAt), zoneSettings()
	if len(starts) < fullMachines/2 {
		r.t.Errorf("%d machines got tasks again, too few to tell", len(starts))
		return
	}
	soon, _ := slices.BinarySearch(starts, starts[0]+policy.MinStepTime.Duration()/2)
	most := 1 + int(policy.OpenShares[0]*float64(r.cloud.MaxMachinesByZone[r.lostZone])) // rounded up
	r.reportProblem(soon > most, stepsProblem, "%d machines got tasks within the first step, want at most %d", soon, most)
	half := starts[len(starts)*6/10] - starts[0]
	r.reportProblem(half < 5*policy.MinStepTime.Duration()/2, stepsProblem, "more than half of the machines got tasks after %v", half)
}

// checkHoldDown checks when the zone's first machine got a task that could run elsewhere, after a
// third loss.
func checkHoldDown(r *zoneRun) {
	least := r.healedAt + 4*zoneSettings().InitialHoldDown.Duration()
	firstAt := append(r.FirstStarts(r.lostZone, r.healedAt), least)[0]
	r.reportProblem(firstAt < least, holdDownProblem, "a task started %v after the zone was heard again", firstAt-r.healedAt)
}

// checkNextLeader checks that a leader that has just begun finds the zone in one of some states.
func checkNextLeader(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		s := r.poll(r.lostZone, 30, func(s zone.Status) bool { return s.Zone != "" })
		r.reportProblem(!isInState(s, states), stateProblem, "zone %s is %q (%s) under the next leader, want %v", r.lostZone, s.State, s.Reason, states)
	}
}
