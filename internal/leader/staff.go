package leader

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"caperlatch/internal/cloud"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
	"caperlatch/staffing"
)

// expectedRuntime is how long a job's tasks should run, by the owner's estimate and
// what the class has taken so far.
func (l *Leader) expectedRuntime(s *wire.Job) float64 {
	if e := l.estimates[s.Class]; e != nil {
		return e.Predict(s.EstimatedRuntimeS)
	}
	return s.EstimatedRuntimeS
}

// learnFromCompletion learns from a task that completed in one go here.
func (l *Leader) learnFromCompletion(j *job, m *machine, a *attempt, now micros.Micros) {
	if a.runningSince != 0 {
		j.longestRun = max(j.longestRun, now-a.runningSince)
	}
	t := l.types[m.offering.Type]
	if t == nil || a.startSequence == 0 {
		return // adopted: nobody here saw it start
	}
	t.finishedTasks++
	t.service.ObserveFinished(machineFraction(t, j.need), (now - a.startedAt).Seconds(), j.spec.Tasks)
	if a.runningSince != 0 && (j.spec.CheckpointIntervalS == 0 || !j.ranBefore[a.index]) {
		e := l.estimates[j.spec.Class]
		if e == nil {
			e = newEstimate()
			l.estimates[j.spec.Class] = e
		}
		e.Observe(j.spec.EstimatedRuntimeS, (now - a.runningSince).Seconds(), j.spec.Tasks)
	}
}

// newEstimate is a class's estimate that has learned nothing yet.
func newEstimate() *staffing.RuntimeEstimator { return &staffing.RuntimeEstimator{} }

// machineFraction is the part of a machine that a task holds.
func machineFraction(t *scaledType, need placement.Resources) float64 {
	f := 0.0
	for _, p := range [...][2]int64{{need.CPU, t.capacity.CPU}, {need.GPU, t.capacity.GPU}, {need.Memory, t.capacity.Memory}} {
		if p[1] > 0 {
			f = math.Max(f, float64(p[0])/float64(p[1]))
		}
	}
	return f
}

// offeringsFor lists what could be rented for a job, the cheapest work first. It is
// kept with the job for as long as the catalog stays as it is.
func (l *Leader) offeringsFor(j *job) []offering {
	if j.offeringsVersion != l.typesVersion {
		j.offerings, j.offeringsVersion = l.findOfferings(j.spec, j.need), l.typesVersion
	}
	return j.offerings
}

func (l *Leader) findOfferings(s *wire.Job, need placement.Resources) []offering {
	type priced struct {
		offering
		price float64
	}
	var out []priced
	for _, name := range l.typeOrder {
		t := l.types[name]
		per := t.capacity.CountFitting(need, 1<<20)
		if per == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				price := t.OnDemandPrice
				if spot {
					price = t.SpotPrice
				}
				probe := placement.Job{InstanceTypes: s.InstanceTypes, Zone: s.Zone, AllowSpot: s.AllowSpot}
				if placement.ConstraintsAdmit(&probe, name, zone, spot) {
					out = append(out, priced{offering{name, zone, spot}, price * machineFraction(t, need)})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	offers := make([]offering, len(out))
	for i, p := range out {
		offers[i] = p.offering
	}
	return offers
}

// preferredType is the machine type that a job's demand is counted for: the
// cheapest that has not refused lately, else the cheapest.
func (l *Leader) preferredType(j *job, now micros.Micros) *scaledType {
	offers := l.offeringsFor(j)
	for _, o := range offers {
		if s := l.capacityBackoffs[o]; s == nil || now >= s.until {
			return l.types[o.Type]
		}
	}
	if len(offers) == 0 {
		return nil
	}
	return l.types[offers[0].Type]
}

// addDemand counts a job that came in.
func (l *Leader) addDemand(j *job) {
	now := micros.Now()
	t := l.preferredType(j, now)
	if t == nil {
		return
	}
	l.addPoolDemand(j, now)
	work := float64(j.waiting()) * machineFraction(t, j.need)
	j.demand.instanceType, j.demand.machines = t, work
	due, _ := l.startDeadline(j, false, j.submittedAt)
	t.batches.Add(float64(j.spec.Tasks)*machineFraction(t, j.need), j.spec.Tasks, (due-j.submittedAt).Seconds() > t.BootTimeS)
	if j.mayHaveEarlierTasks {
		j.demand.machines = 0 // the record's rate has it
	} else {
		t.demand.Add(now, work)
		if l.isDelayTolerant(j) {
			t.bestEffortDemand.Add(now, work)
		}
	}
	t.service.ObserveEstimate(work, l.expectedRuntime(j.spec)+j.spec.ImageSizeGB/math.Max(t.ImagePullGBPerS, 0.01))
}

// isDelayTolerant tells whether a job can do without ordinary machines: it is of the lowest
// priority and nobody says when it should be done. At about three times the price its
// work would cost more than it is worth.
func (l *Leader) isDelayTolerant(j *job) bool {
	return j.priority == 0 && j.spec.AllowSpot && j.spec.DeadlineS == nil &&
		!slices.ContainsFunc(l.Settings.Params.Objectives, func(o settings.Objective) bool { return o.Class == j.spec.Class })
}

// autoscale steps the model and rents or returns toward the target.
func (l *Leader) autoscale(now micros.Micros) {
	if !l.ready {
		return
	}
	replaced := l.replacedMachines(now)
	supply := l.countSupply(replaced, now)
	demand := l.backlogNeed(replaced, now)
	types := l.typesByPrice()
	l.raiseMeans()
	l.stepModel(types, now)
	l.stepPools(now)
	l.resizePools(now)
	// What a type cannot give as spot machines passes on to the next dearer one.
	short := shortage{}
	for _, t := range types {
		short = l.scaleType(t, supply[t.Name], demand[t.Name], short, now)
	}
	l.launchOnDemand(types, short.onDemand, now)
	l.launchForConstrainedJobs(now)
	l.launchForGangs(now)
	l.consolidate(now)
	if record := int64(l.Tuning.RecordInterval / micros.Second); record < 1 || int64(now/micros.Second)%record == 0 {
		l.dirty[replica.AutoscalerKey] = true
		l.publishEstimates()
		l.deleteLeftovers()
		l.wakeFlush()
	}
}

// typeSupply counts machines of one type.
type typeSupply struct {
	have int // that there are, booting and booked ones too
	busy int // that are in use or reserved
}

// countSupply counts the machines that can be counted on, by type; not those that are to be
// replaced in other zones.
func (l *Leader) countSupply(replaced map[*machine]bool, now micros.Micros) map[string]typeSupply {
	supply := map[string]typeSupply{}
	for _, m := range l.machines {
		if m.instance.terminating || m.drainReason != "" || l.isOverdue(m, now) || replaced[m] {
			continue
		}
		s := supply[m.offering.Type]
		s.have++
		if len(m.attempts) > 0 || len(m.planned) > 0 || m.pool != nil {
			s.busy++
		}
		supply[m.offering.Type] = s
	}
	for _, b := range l.intents {
		if !b.Answered {
			s := supply[b.Type]
			s.have += b.Count
			supply[b.Type] = s
		}
	}
	return supply
}

// shortage is what the types so far could not give, in GuaranteedCPUs.
type shortage struct {
	any      float64
	onDemand float64 // the part that may be ordinary machines
}

// scaleType rents or returns spot machines of one type toward its target, and tells what is
// short with it.
func (l *Leader) scaleType(t *scaledType, supply typeSupply, need machineNeed, short shortage, now micros.Micros) shortage {
	size := math.Max(t.CPUs, 0.001)
	floor, ordinaryFloor := float64(supply.busy), float64(supply.busy)
	if need.any > 0.01 {
		floor = float64(supply.have) + ceilMachines(need.any)
	}
	if need.onDemand > 0.01 {
		ordinaryFloor = float64(supply.have) + ceilMachines(need.onDemand)
	}
	reserved := l.pooledBeyondMean(t.Name)
	want := t.wanted + reserved + short.any/size
	ordinaryWant := t.wantedOnDemand + reserved + short.onDemand/size
	t.target = int(math.Max(ceilMachines(want), floor))
	slog.Debug("staff", "type", t.Name, "m", t.mean, "want", t.wanted, "want_ordinary", t.wantedOnDemand,
		"busy", supply.busy, "need", need.any, "short", short.any, "short_ordinary", short.onDemand, "have", supply.have)
	booked := 0
	if missing := t.target - supply.have; missing > 0 {
		booked = l.launchMore(t, true, missing, now)
	} else {
		l.terminateIdle(t, -missing, now)
	}
	lean := int(ceilMachines(want))
	if need.any > 0 {
		lean = supply.have
	}
	l.markSurplus(t, supply.have-lean, now)
	l.closeToDelayTolerant(t, ordinaryWant, need.onDemand)
	given := float64(supply.have + booked)
	return shortage{
		any:      math.Max(0, math.Max(want, floor)-given) * size,
		onDemand: math.Max(0, math.Max(ordinaryWant, ordinaryFloor)-given) * size,
	}
}

// launchOnDemand rents ordinary machines for so many GuaranteedCPUs, the cheapest first. They cost about
// three times as much: it is what no type had as spot machines.
func (l *Leader) launchOnDemand(types []*scaledType, cpus float64, now micros.Micros) {
	slices.SortStableFunc(types, func(a, b *scaledType) int { return cmp.Compare(a.OnDemandPrice/a.CPUs, b.OnDemandPrice/b.CPUs) })
	for _, t := range types {
		size := math.Max(t.CPUs, 0.001)
		if n := int(ceilMachines(cpus / size)); n > 0 {
			cpus -= float64(l.launchMore(t, false, n, now)) * size
		}
	}
}

// markSurplus picks the n machines of a type that the formula does not want,
// the dearest and emptiest. They get tasks only when no other has room: spread
// over all machines, a few tasks would keep every one of them busy for ever.
func (l *Leader) markSurplus(t *scaledType, n int, now micros.Micros) {
	var ms []*machine
	for _, m := range l.sorted {
		if m.offering.Type == t.Name {
			m.surplus = false
			if m.instance.running && !m.instance.terminating && m.drainReason == "" && m.pool == nil {
				ms = append(ms, m)
			}
		}
	}
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(price(t, b.offering.Spot), price(t, a.offering.Spot)), cmp.Compare(len(a.attempts), len(b.attempts)))
	})
	for i, m := range ms {
		switch m.surplus = i < n; {
		case !m.surplus:
			m.surplusSince = 0
		case m.surplusSince == 0:
			m.surplusSince = now
		}
	}
}

// closeToDelayTolerant picks the ordinary machines of a type that only patient work would use.
// They get none of it, and so are returned when they are idle: once rented for others,
// best-effort work kept them for the rest of the day.
func (l *Leader) closeToDelayTolerant(t *scaledType, want, need float64) {
	wanted := ceilMachines(want)
	var ms []*machine
	for _, m := range l.sorted {
		if m.offering.Type != t.Name || m.instance.terminating || m.drainReason != "" {
			continue
		}
		m.rejectsDelayTolerant = false
		if m.offering.Spot {
			wanted--
			continue
		}
		only := m.pool == nil
		for _, a := range m.attempts {
			only = only && l.isDelayTolerant(a.job)
		}
		if only {
			ms = append(ms, m)
		} else {
			wanted--
		}
	}
	if need > 0.01 {
		return
	}
	slices.SortStableFunc(ms, func(a, b *machine) int { return cmp.Compare(len(a.attempts), len(b.attempts)) })
	for _, m := range ms[:max(0, min(len(ms), len(ms)-int(math.Max(0, wanted))))] {
		m.rejectsDelayTolerant = true
	}
}

// ceilMachines rounds machines up, but not for a trace of one.
func ceilMachines(machines float64) float64 { return math.Ceil(machines - 0.01) }

// raiseMeans raises each type's m once to what is really held, when after a
// take-over the tasks of all machines are known.
func (l *Leader) raiseMeans() {
	if l.meansRaised || l.countUnknownMachines() > 0 {
		return
	}
	l.meansRaised = true
	held := map[string]float64{}
	for _, m := range l.machines {
		for _, a := range m.attempts {
			if t := l.types[m.offering.Type]; t != nil {
				held[t.Name] += machineFraction(t, a.job.need)
			}
		}
	}
	// A job's demand is counted for one type, and its tasks run on any: what is held beyond
	// the means counts only as far as it is more than all of these. Raised type by type, the
	// means doubled at a take-over, and the fleet with them.
	missing, beyond := 0.0, 0.0 // GuaranteedCPUs
	for name, t := range l.types {
		missing += (held[name] - t.mean) * t.CPUs
		beyond += math.Max(0, held[name]-t.mean) * t.CPUs
	}
	if missing <= 0 {
		return
	}
	for name, t := range l.types {
		t.mean += math.Max(0, held[name]-t.mean) * missing / beyond
	}
}

// stepModel steps each type's mean and sets what the formula wants, which
// holds for an interval unless it rises.
func (l *Leader) stepModel(types []*scaledType, now micros.Micros) {
	for _, t := range types {
		lambda, mu := t.demand.Rate(now), t.service.Rate(t.finishedTasks)
		t.mean = staffing.StepMean(t.mean, lambda, mu, 1)
		// The same equation for the part that is not worth ordinary machines.
		bestEffort := t.bestEffortDemand.Rate(now)
		t.meanBestEffort = math.Min(t.mean, staffing.StepMean(t.meanBestEffort, bestEffort, mu, 1))
		all := staffing.PeakMean(t.mean, lambda, mu, l.Tuning.ReviewInterval.Seconds())
		servers := func(spot bool) float64 {
			mean := all
			if !spot {
				mean = staffing.PeakMean(t.mean-t.meanBestEffort, math.Max(0, lambda-bestEffort), mu, l.Tuning.ReviewInterval.Seconds())
			}
			if mean < 0.05 {
				return 0 // formula (4) would keep a machine for nothing
			}
			z := staffing.ZForPrice(l.Tuning.Z, l.priceRatio(t, spot))
			return float64(staffing.RequiredServers(mean, t.batches.Peakedness()*mean, z))
		}
		if want := servers(true); l.meansRaised && now >= t.heldUntil || want > t.wanted {
			t.wanted, t.wantedOnDemand = want, servers(false)
			t.heldUntil = now + l.Tuning.ReviewInterval
		}
	}
}

// priceRatio is a kind's price a CPU over the cheapest there is.
func (l *Leader) priceRatio(t *scaledType, spot bool) float64 {
	least := math.Inf(1)
	for _, x := range l.types {
		least = math.Min(least, math.Min(x.OnDemandPrice, x.SpotPrice)/x.CPUs)
	}
	return math.Max(1, price(t, spot)/t.CPUs/least)
}

// typesByPrice orders the types by what a CPU costs.
func (l *Leader) typesByPrice() []*scaledType {
	ts := make([]*scaledType, 0, len(l.typeOrder))
	for _, name := range l.typeOrder {
		ts = append(ts, l.types[name])
	}
	slices.SortStableFunc(ts, func(a, b *scaledType) int {
		return cmp.Compare(a.SpotPrice/a.CPUs, b.SpotPrice/b.CPUs)
	})
	return ts
}

// launchMore books up to n machines of a type and kind spread over the zones, and
// tells how many.
func (l *Leader) launchMore(t *scaledType, spot bool, n int, now micros.Micros) int {
	if !l.Term.IsExclusive() {
		return n
	}
	var open []offering
	for _, zone := range t.Zones {
		o := offering{t.Name, zone, spot}
		s := l.capacityBackoffs[o]
		switch {
		case l.hasOpenIntent(o):
			return n // its answer comes first
		case l.policy.Decide(zone).MaxMachines == 0:
		case s == nil || now >= s.until:
			open = append(open, o)
		}
	}
	inZone := map[string]int{}
	for _, m := range l.sorted {
		if m.offering.Type == t.Name {
			inZone[m.offering.Zone]++
		}
	}
	slices.SortStableFunc(open, func(a, b offering) int { return cmp.Compare(inZone[a.Zone], inZone[b.Zone]) })
	booked := 0
	for i, o := range open {
		left := n - booked
		count := min((left+len(open)-i-1)/(len(open)-i), l.launchAllowance(o.Zone))
		for k := 0; count > 0 && k < maxIntentsPerOffering; k++ {
			l.createIntent(o, count)
			part := min(count, cloud.MaxLaunch)
			booked, count = booked+part, count-part
		}
	}
	return booked
}

// maxIntentsPerOffering is how many bookings of an offer are made at once: a fleet of a
// thousand machines is to be on its way within seconds, a few cloud calls a second.
const maxIntentsPerOffering = 3

// constrainedLaunchDelay is how long a job may make no start before a machine is rented for
// it alone.
const constrainedLaunchDelay = 10 * micros.Second

// launchForConstrainedJobs books machines for jobs that some of the fleet is closed to, by
// type, zone or kind, and that get nowhere: the types' targets count machines,
// not whom they serve, and such a job would starve beside idle ones.
func (l *Leader) launchForConstrainedJobs(now micros.Micros) {
	wall := micros.Wall()
	teams, unresolved := l.worstCaseTeamUse(), l.unknownMachinesNow()
	type count struct{ all, coming int }
	kinds := map[offering]count{}
	for _, m := range l.sorted {
		n := kinds[m.offering]
		n.all++
		if !m.instance.running && !m.instance.terminating {
			n.coming++
		}
		kinds[m.offering] = n
	}
	for _, j := range l.jobs {
		if l.mustAwaitReconciliation(j, unresolved) || teams[j.spec.Team].CountAllowed(j.need, 1) == 0 {
			continue // not for want of machines
		}
		if j.startableTasks(now) <= 0 || now-j.seenAt < constrainedLaunchDelay || wall-j.lastStart < constrainedLaunchDelay {
			continue
		}
		probe := placement.Job{InstanceTypes: j.spec.InstanceTypes, Zone: j.spec.Zone, AllowSpot: j.spec.AllowSpot,
			SingleZone: j.spec.SingleZone, SpreadZones: j.spec.SpreadZones, TotalTasks: j.spec.Tasks, TasksPerZone: j.attemptsPerZone}
		closed, coming := 0, 0
		for o, n := range kinds {
			if placement.ConstraintsAdmitNow(&probe, o.Type, o.Zone, o.Spot) {
				coming += n.coming
			} else {
				closed += n.all
			}
		}
		if closed == 0 {
			continue // the targets serve it
		}
		for _, o := range l.offeringsFor(j) {
			if !placement.ConstraintsAdmitNow(&probe, o.Type, o.Zone, o.Spot) {
				continue // its other tasks bind it to another zone
			}
			if l.hasOpenIntent(o) {
				break // its answer comes first
			}
			s := l.capacityBackoffs[o]
			count := int(ceilMachines(float64(j.startableTasks(now))*machineFraction(l.types[o.Type], j.need))) - coming
			if count > 0 && (s == nil || now >= s.until) && l.Term.IsExclusive() {
				l.createIntent(o, min(count, 4))
				break
			}
		}
	}
}

// hasOpenIntent tells whether a booking of an offer waits for its answer.
func (l *Leader) hasOpenIntent(o offering) bool {
	for _, b := range l.intents {
		if !b.Answered && (offering{b.Type, b.Zone, b.Spot}) == o {
			return true
		}
	}
	return false
}

// minBilledTime is how long a machine is paid for at least.
const minBilledTime = 60 * micros.Second

// terminateIdle returns up to n idle machines, the dearest first, but none
// before its paid time is used.
func (l *Leader) terminateIdle(t *scaledType, n int, now micros.Micros) {
	if !l.Term.HoldsSession() {
		// That a machine is gone could not be stored, and a next leader would
		// have to wait for its lease.
		return
	}
	var idle []*machine
	for _, m := range l.sorted {
		if m.offering.Type == t.Name && len(m.attempts) == 0 && len(m.planned) == 0 && m.pool == nil && m.tasksKnown() && !m.instance.terminating && m.drainReason == "" &&
			now-m.instance.launchedAt > minBilledTime-3*micros.Second && now-m.instance.idleSince > l.idleTimeout(t, m.offering.Spot) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *machine) int {
		return cmp.Compare(price(t, b.offering.Spot), price(t, a.offering.Spot))
	})
	for _, m := range idle[:min(n, len(idle))] {
		l.terminate(m, "not needed")
	}
}

// idleTimeout is how long an idle machine is kept in case it is needed again. As
// much time as a new one takes to boot costs about what returning it in error
// would, to jobs that cannot wait; an expensive one is not worth that while spot
// machines can be had.
func (l *Leader) idleTimeout(t *scaledType, spot bool) micros.Micros {
	tight, types := 0.0, 0.0
	for _, x := range l.types {
		tight += x.batches.ImmediateShare()
		types++
	}
	keep := micros.FromSeconds(t.BootTimeS / l.priceRatio(t, spot) * tight / types)
	return max(2*l.heartbeatInterval, keep)
}

func price(t *scaledType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// autoscalerRecord is what a new leader goes on from.
type autoscalerRecord struct {
	Types   map[string]typeRecord `json:"types"`
	AtFault map[string]int        `json:"at_fault,omitempty"` // see quarantinedJobs
}

type typeRecord struct {
	Lambda   float64 `json:"lambda"`
	M        float64 `json:"m"`
	Mu       float64 `json:"mu"`
	Finished int     `json:"finished"`
	Want     float64 `json:"want"`
	Target   int     `json:"target"`
	InFlight int     `json:"in_flight"`
}

func (l *Leader) autoscalerRecord() autoscalerRecord {
	now := micros.Now()
	r := autoscalerRecord{Types: map[string]typeRecord{}, AtFault: l.quarantinedJobs()}
	for _, t := range l.types {
		r.Types[t.Name] = typeRecord{Lambda: t.demand.Rate(now), M: t.mean, Mu: t.service.Rate(t.finishedTasks), Finished: t.finishedTasks, Want: t.wanted, Target: t.target}
	}
	for _, b := range l.intents {
		if x := r.Types[b.Type]; !b.Answered {
			x.InFlight += b.Count
			r.Types[b.Type] = x
		}
	}
	if !l.Store.ValueAlwaysFits(r) {
		r.AtFault = nil // a next leader finds that again
	}
	return r
}

// restoreAutoscaler goes on from the record.
func (l *Leader) restoreAutoscaler(now micros.Micros) error {
	var r autoscalerRecord
	if _, err := l.Replica.Get(replica.AutoscalerKey, &r); err != nil {
		return err
	}
	l.restoreQuarantinedJobs(r.AtFault, now)
	for name, t := range l.types {
		x, ok := r.Types[name]
		if !ok {
			continue
		}
		t.mean = x.M
		t.demand.Seed(now, x.Lambda)
		// The target is taken anew as soon as the means are known: how long it was to hold is
		// not stored, and held anew by each of several leaders it outlasted its peak by minutes.
		t.wanted, t.wantedOnDemand = x.Want, x.Want
		if x.Mu > 0 {
			// As if what is held had just ended: what ends first now are short tasks.
			t.service.ObserveFinished(math.Max(1, x.M), 1/x.Mu, 1)
			t.finishedTasks = x.Finished
		}
	}
	slog.Info("staffing restored", "types", len(r.Types), "jobs_at_fault", len(r.AtFault))
	return nil
}
