package cluster

import (
	"fmt"
	"slices"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/zone"
)

// Bounds of the checks of zone losses.
const (
	maxStall          = 30 * time.Second // longest permitted stall of urgent jobs
	minScansPerUpdate = 5                // minimum number of scan starts per update start while scans wait
	minMeasuredStarts = 60               // minimum number of starts from which the order can be judged
	minWaitingScans   = 30               // number of waiting scans from which updates must not start before them
)

// Kinds of problems that the checks record. Each is the prefix of its problems' texts.
const orderProblem, stepsProblem, holdDownProblem, stateProblem = "order:", "steps:", "hold-down:", "stored state:"

// checkCompletionsAfterLease checks that tasks in the isolated zone still completed when a lease duration had passed
// since its isolation, so that their leases were renewed.
func checkCompletionsAfterLease(r *zoneRun) {
	if r.CompletionsIn(r.lostZone, r.isolatedAt+zoneLeaseS*time.Second) == 0 {
		r.t.Errorf("no task in zone %s completed later than %v s after its isolation, want renewed leases", r.lostZone, zoneLeaseS)
	}
}

// checkFlaps checks that all three losses of the zone are counted, and that a repeated loss launches few further
// machines.
func checkFlaps(r *zoneRun) {
	if s, more := r.status(r.lostZone), r.cloud.Launched()-r.launched; s.Flaps < 3 || more > halfMachines/4 {
		r.t.Errorf("%d losses counted, want at least 3; %d machines launched after the first loss, want at most %d", s.Flaps, more, halfMachines/4)
	}
}

// reportProblem records a problem of a kind if found is true.
func (r *zoneRun) reportProblem(found bool, kind, format string, args ...any) {
	if found {
		r.problems = append(r.problems, kind+" "+fmt.Sprintf(format, args...))
	}
}

// checkEvacuationOrder checks that scans started before updates, as the evacuation order demands, from the loss of the
// zone until its isolation ended.
func checkEvacuationOrder(r *zoneRun) {
	scansWait := checker.Contention{Class: "scan", MinWaiting: minWaitingScans, From: r.lostAt, To: r.healedAt}
	scans, updates := r.StartsDuring(scansWait, "scan"), r.StartsDuring(scansWait, "update")
	if scans+updates < minMeasuredStarts {
		r.t.Errorf("%d tasks started while scans waited between %v and %v, want at least %d to judge the order", scans+updates, r.lostAt, r.healedAt, minMeasuredStarts)
	}
	r.reportProblem(updates*minScansPerUpdate > scans, orderProblem, "%d updates and %d scans started while scans waited, want at least %d scans per update", updates, scans, minScansPerUpdate)
}

// checkReopeningSteps checks that the zone's machines got tasks again step by step, as the policy demands.
func checkReopeningSteps(r *zoneRun) {
	starts, policy := r.FirstStarts(r.lostZone, r.healedAt), zoneSettings()
	if len(starts) < fullMachines/2 {
		r.t.Errorf("%d machines got tasks again, want at least %d to judge the steps", len(starts), fullMachines/2)
		return
	}
	inFirstStep, _ := slices.BinarySearch(starts, starts[0]+policy.MinStepTime.Duration()/2)
	maxInFirstStep := 1 + int(policy.OpenShares[0]*float64(r.cloud.MaxMachinesByZone[r.lostZone])) // rounded up
	r.reportProblem(inFirstStep > maxInFirstStep, stepsProblem, "%d machines got tasks within the first step, want at most %d", inFirstStep, maxInFirstStep)
	until60Percent := starts[len(starts)*6/10] - starts[0]
	r.reportProblem(until60Percent < 5*policy.MinStepTime.Duration()/2, stepsProblem, "60%% of the machines got tasks within %v, want at least %v", until60Percent, 5*policy.MinStepTime.Duration()/2)
}

// checkHoldDown checks that after the third loss no machine of the zone got a task that may run in other zones before
// the hold-down ended. The hold-down doubles with each loss after the first.
func checkHoldDown(r *zoneRun) {
	holdDownEnd := r.healedAt + 4*zoneSettings().InitialHoldDown.Duration()
	firstAt := append(r.FirstStarts(r.lostZone, r.healedAt), holdDownEnd)[0]
	r.reportProblem(firstAt < holdDownEnd, holdDownProblem, "a task started %v after the isolation ended, want at least %v", firstAt-r.healedAt, holdDownEnd-r.healedAt)
}

// checkZoneAfterFailover checks that a leader whose term has just begun reports the zone in one of the given states.
func checkZoneAfterFailover(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		s := r.pollStatus(r.lostZone, 30, func(s zone.Status) bool { return s.Zone != "" })
		r.reportProblem(!isInState(s, states), stateProblem, "zone %s is %q (%s) under the next leader, want %v", r.lostZone, s.State, s.Reason, states)
	}
}
