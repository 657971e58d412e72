package leader

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"

	"caperlatch/internal/micros"
	"caperlatch/placement"
	"caperlatch/staffing"
)

// Arrays fill a fleet task by task, so a busy fleet seldom has room for a whole gang on
// any machine. Gangs therefore have machines of their own: their demand is a stream apart,
// measured in whole machines, with its mean stepped by the same equation as the fleet's
// and its margin by the same formula. Only gangs start on these machines.

// gangPool is the room that is held free for gangs on machines of one type.
type gangPool struct {
	kind          poolKind
	window        *staffing.DemandWindow // machines' worth of gangs that came in
	service       staffing.ServiceTime
	batches       staffing.BatchSizes
	mean          float64 // machines that gangs hold, by the equation
	readyMachines int     // machines that must have room, for one to report in time
	target        int     // machines
	heldUntil     micros.Micros
}

// poolKind tells which machines a reserve consists of.
type poolKind struct {
	Type     string
	OnDemand bool // no spot machines
}

func (k poolKind) admits(o offering) bool {
	return o.Type == k.Type && !(k.OnDemand && o.Spot)
}

// poolDivisor is the part of the fleet that reserves may take at most.
const poolDivisor = 8

// minPoolMean is the mean below which no machine is reserved: formula (4) would keep
// one for a gang now and then.
const minPoolMean = 0.05

// poolFor is the reserve that serves a gang: machines of the cheapest type that takes
// it whole. It is nil for a gang that no single machine may take, and for one that is
// bound to types or a zone, which most of a reserve could not serve.
func (l *Leader) poolFor(j *job) *gangPool {
	s := j.spec
	if !j.isGang() || s.SpreadZones || s.Zone != "" || len(s.InstanceTypes) > 0 {
		return nil
	}
	for _, o := range l.offeringsFor(j) {
		if l.types[o.Type].capacity.CountFitting(j.need, s.Tasks) < s.Tasks {
			continue
		}
		kind := poolKind{Type: o.Type, OnDemand: !s.AllowSpot}
		r := l.pools[kind]
		if r == nil {
			r = &gangPool{kind: kind, window: staffing.NewDemandWindow(l.Tuning.Window)}
			l.pools[kind] = r
		}
		return r
	}
	return nil
}

// addPoolDemand counts a gang that came in. Its size is the part of a machine that it
// keeps from other gangs of its size: 12 of 16 GuaranteedCPUs are a whole one, 6 are half of one.
func (l *Leader) addPoolDemand(j *job, now micros.Micros) {
	r := l.poolFor(j)
	if r == nil {
		return
	}
	t := l.types[r.kind.Type]
	perMachine := t.capacity.CountFitting(j.need, 1<<20) / j.spec.Tasks
	size := 1 / float64(max(1, perMachine))
	fetch := j.spec.ImageSizeGB / math.Max(t.ImagePullGBPerS, 0.01)
	r.service.ObserveEstimate(size, l.expectedRuntime(j.spec)+fetch)
	r.batches.Add(size, 1, false)
	r.readyMachines = max(r.readyMachines, l.readyMachinesFor(j, fetch))
	if j.mayHaveEarlierTasks {
		// It may hold its machine already. The rate is what keeps the mean as it is.
		r.mean += size
		r.window.Seed(now, r.mean*r.service.Rate(0))
		return
	}
	r.window.Add(now, size)
}

// readyMachinesFor is how many machines must have room for a gang, so that one of them reports
// in time for what is expected of its class, its image fetched.
func (l *Leader) readyMachinesFor(j *job, fetch float64) int {
	standing := 1
	for _, o := range l.Settings.Params.Objectives {
		if o.Kind != "wait" || o.Class != j.spec.Class || o.WithinS <= 0 {
			continue
		}
		wait := o.WithinS
		if wait > fetch {
			wait -= fetch
		}
		standing = max(standing, staffing.IdleMachines(wait, l.heartbeatInterval.Seconds(), 1-o.Share))
	}
	return standing
}

// stepPools steps the reserves' means and sets their targets, which hold for an
// interval unless they rise.
func (l *Leader) stepPools(now micros.Micros) {
	for _, r := range l.pools {
		lambda, mu := r.window.EarlyRate(now, l.Tuning.Z), r.service.Rate(0)
		r.mean = staffing.StepMean(r.mean, lambda, mu, 1)
		// What is rented now is up after a boot and should then do for an interval.
		horizon := l.types[r.kind.Type].BootTimeS + l.Tuning.ReviewInterval.Seconds()
		peak := staffing.PeakMean(r.mean, lambda, mu, horizon)
		target := 0
		if peak >= minPoolMean {
			formula := staffing.RequiredServers(peak, r.batches.Peakedness()*peak, l.Tuning.Z)
			target = max(formula, int(math.Ceil(peak))+r.readyMachines)
		}
		target = min(target, len(l.sorted)/poolDivisor)
		if target > r.target || now >= r.heldUntil {
			r.target = target
			r.heldUntil = now + l.Tuning.ReviewInterval
		}
	}
}

// resizePools picks the reserves' machines, and books what the fleet lacks.
func (l *Leader) resizePools(now micros.Micros) {
	for _, m := range l.sorted {
		if m.pool != nil && (m.instance.terminating || m.drainReason != "" || !m.instance.running) {
			m.pool = nil
		}
	}
	for _, r := range l.sortedPools() {
		l.resizePool(r, now)
	}
}

func (l *Leader) sortedPools() []*gangPool {
	return slices.SortedFunc(maps.Values(l.pools), func(a, b *gangPool) int {
		return cmp.Or(cmp.Compare(a.kind.Type, b.kind.Type), cmp.Compare(strconv.FormatBool(a.kind.OnDemand), strconv.FormatBool(b.kind.OnDemand)))
	})
}

func (l *Leader) resizePool(r *gangPool, now micros.Micros) {
	var members, others []*machine
	coming := 0
	for _, m := range l.sorted {
		switch {
		case !r.kind.admits(m.offering) || m.instance.terminating || m.drainReason != "":
		case m.pool == r:
			members = append(members, m)
		case !m.instance.running:
			coming++
		case m.pool == nil && m.isSchedulable(now):
			others = append(others, m)
		}
	}
	if len(members) > r.target {
		l.removeFromPool(members, len(members)-r.target)
		return
	}
	missing := r.target - len(members)
	if missing == 0 {
		return
	}
	t := l.types[r.kind.Type]
	joined := l.addToPool(r, others, missing, t.BootTimeS, now)
	missing -= joined
	if n := missing - coming; n > 0 {
		slog.Debug("reserve is short", "type", r.kind.Type, "target", r.target, "missing", missing, "coming", coming)
		if l.launchMore(t, !r.kind.OnDemand, n, now) == 0 {
			l.addToPool(r, others[joined:], n, math.Inf(1), now)
		}
	}
}

// addToPool takes up to count machines into a reserve, those first whose other work ends
// soonest, if it does within some seconds. It tells how many.
func (l *Leader) addToPool(r *gangPool, machines []*machine, count int, within float64, now micros.Micros) (joined int) {
	clearIn := make(map[*machine]float64, len(machines))
	for _, m := range machines {
		for _, a := range m.attempts {
			if !a.job.isGang() {
				clearIn[m] = math.Max(clearIn[m], l.remainingRuntime(a, now))
			}
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int { return cmp.Compare(clearIn[a], clearIn[b]) })
	for _, m := range machines[:min(count, len(machines))] {
		if clearIn[m] > within {
			break
		}
		m.pool = r
		l.replan = true
		joined++
	}
	return joined
}

// restorePoolMembership takes a machine back into a reserve, when after a take-over its first snapshot
// shows nothing but gangs on it. Which machines were reserved is not stored; in a fleet that
// arrays fill, those with room for gangs are the ones. Without it the room that an earlier
// leader held was filled up with arrays within a report's time.
func (l *Leader) restorePoolMembership(m *machine) {
	for _, a := range m.attempts {
		if !a.job.isGang() {
			return
		}
	}
	for _, r := range l.sortedPools() {
		if m.pool == nil && r.kind.admits(m.offering) && l.poolMembers(r) < r.target {
			m.pool = r
		}
	}
}

// poolMembers counts the machines of a reserve.
func (l *Leader) poolMembers(r *gangPool) (n int) {
	for _, m := range l.sorted {
		if m.pool == r {
			n++
		}
	}
	return n
}

// removeFromPool opens machines of a reserve to all work, the emptiest first.
func (l *Leader) removeFromPool(members []*machine, count int) {
	slices.SortStableFunc(members, func(a, b *machine) int { return cmp.Compare(len(a.attempts), len(b.attempts)) })
	for _, m := range members[:count] {
		m.pool = nil
		l.replan = true
	}
}

// pooledBeyondMean is how many machines of a type the reserves hold beyond their mean,
// which counts in the type's own mean.
func (l *Leader) pooledBeyondMean(typ string) (beyond float64) {
	for kind, r := range l.pools {
		if kind.Type == typ {
			beyond += math.Max(0, float64(r.target)-r.mean)
		}
	}
	return beyond
}

// preemptForGangs stops work of less claim for gangs that would otherwise be late, each on
// one machine: its worker reports at once when tasks on it end, so the gang starts with
// that report, sooner than on a machine with room that may report much later. A task that
// would take too long to save is stopped at once; what it loses is little against a gang.
func (l *Leader) preemptForGangs(now micros.Micros) {
	wall := micros.Wall()
	var late []*placement.Job
	for _, w := range l.queue.waiting {
		k := l.reservations[w.ID]
		if w.Gang && w.AtRisk && !w.Late && (k == nil || len(k.machines) == 0) && (w.EarliestStart == 0 || wall+w.EarliestStart > w.StartDeadline) {
			late = append(late, w)
		}
	}
	if len(late) == 0 || now-l.preemptedForGangsAt < gangPreemptInterval {
		return
	}
	l.preemptedForGangsAt = now
	machines, ms := l.machinesWithVictims(now)
	for _, w := range late[:min(len(late), maxReservationJobs)] {
		stops, at := placement.PreemptOnSingleMachine(machines, w, l.queue.teams[w.Team])
		if len(stops) == 0 {
			continue
		}
		l.reserveMachineFor(w.ID, ms[at], now)
		for _, s := range stops {
			a := ms[at].attempts[taskID(s.Victim.JobID, s.Victim.Task)]
			if a == nil {
				continue
			}
			grace := micros.FromSeconds(a.job.spec.CheckpointDurationS)
			if wall+grace > w.StartDeadline || a.runningSince == 0 || now-a.runningSince < grace {
				grace = 0
			}
			l.stopTask(a, grace, "stopped to make room for "+w.ID)
		}
	}
}

// gangPreemptInterval bounds how often all running tasks are looked at for gangs.
const gangPreemptInterval = micros.Second / 2
