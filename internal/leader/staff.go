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

// expected is how long a job's tasks should run, by the owner's estimate and
// what the class has taken so far.
func (l *Leader) expected(s *wire.Job) float64 {
	if e := l.estimates[s.Class]; e != nil {
		return e.Predict(s.EstimatedRuntimeS)
	}
	return s.EstimatedRuntimeS
}

// finishedTask learns from a task that completed in one go here.
func (l *Leader) finishedTask(j *job, m *machine, a *attempt, now micros.Micros) {
	if a.running != 0 {
		j.longest = max(j.longest, now-a.running)
	}
	t := l.types[m.kind.Type]
	if t == nil || a.sentAt == 0 {
		return // adopted: nobody here saw it start
	}
	t.finished++
	t.service.Finished(fraction(t, j.need), (now - a.began).Seconds(), j.spec.Tasks)
	if a.running != 0 && (j.spec.CheckpointIntervalS == 0 || !j.resumed[a.task]) {
		e := l.estimates[j.spec.Class]
		if e == nil {
			e = newEstimate()
			l.estimates[j.spec.Class] = e
		}
		e.Observe(j.spec.EstimatedRuntimeS, (now - a.running).Seconds(), j.spec.Tasks)
	}
}

// newEstimate is a class's estimate that has learned nothing yet.
func newEstimate() *staffing.RuntimeEstimator { return &staffing.RuntimeEstimator{} }

// fraction is the part of a machine that a task holds.
func fraction(t *machineType, need placement.Resources) float64 {
	f := 0.0
	for _, p := range [...][2]int64{{need.CPU, t.capacity.CPU}, {need.GPU, t.capacity.GPU}, {need.Mem, t.capacity.Mem}} {
		if p[1] > 0 {
			f = math.Max(f, float64(p[0])/float64(p[1]))
		}
	}
	return f
}

// offersFor lists what could be rented for a job, the cheapest work first. It is
// kept with the job for as long as the catalog stays as it is.
func (l *Leader) offersFor(j *job) []offer {
	if j.offersOf != l.catalog {
		j.offers, j.offersOf = l.findOffers(j.spec, j.need), l.catalog
	}
	return j.offers
}

func (l *Leader) findOffers(s *wire.Job, need placement.Resources) []offer {
	type priced struct {
		offer
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
					out = append(out, priced{offer{name, zone, spot}, price * fraction(t, need)})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	offers := make([]offer, len(out))
	for i, p := range out {
		offers[i] = p.offer
	}
	return offers
}

// typeFor is the machine type that a job's demand is counted for: the
// cheapest that has not refused lately, else the cheapest.
func (l *Leader) typeFor(j *job, now micros.Micros) *machineType {
	offers := l.offersFor(j)
	for _, o := range offers {
		if s := l.offers[o]; s == nil || now >= s.until {
			return l.types[o.Type]
		}
	}
	if len(offers) == 0 {
		return nil
	}
	return l.types[offers[0].Type]
}

// demand counts a job that came in.
func (l *Leader) demand(j *job) {
	now := micros.Now()
	t := l.typeFor(j, now)
	if t == nil {
		return
	}
	l.reserveDemand(j, now)
	work := float64(j.waiting()) * fraction(t, j.need)
	j.demandOf, j.demandWork = t, work
	due, _ := l.due(j, false, j.submitted)
	t.batches.Add(float64(j.spec.Tasks)*fraction(t, j.need), j.spec.Tasks, (due-j.submitted).Seconds() > t.BootTimeS)
	if j.old {
		j.demandWork = 0 // the record's rate has it
	} else {
		t.window.Add(now, work)
		if l.patient(j) {
			t.bestEffort.Add(now, work)
		}
	}
	t.service.Estimate(work, l.expected(j.spec)+j.spec.ImageSizeGB/math.Max(t.ImagePullGBPerS, 0.01))
}

// patient tells whether a job can do without ordinary machines: it is of the lowest
// priority and nobody says when it should be done. At about three times the price its
// work would cost more than it is worth.
func (l *Leader) patient(j *job) bool {
	return j.priority == 0 && j.spec.AllowSpot && j.spec.DeadlineS == nil &&
		!slices.ContainsFunc(l.Settings.Params.Objectives, func(o settings.Objective) bool { return o.Class == j.spec.Class })
}

// staff steps the model and rents or returns toward the target.
func (l *Leader) staff(now micros.Micros) {
	if !l.ready {
		return
	}
	replaced := l.replacedMachines(now)
	supply := l.countSupply(replaced, now)
	demand := l.waitingNeed(replaced, now)
	types := l.byPrice()
	l.raiseMeans()
	l.stepModel(types, now)
	l.stepReserves(now)
	l.staffReserves(now)
	// What a type cannot give as spot machines passes on to the next dearer one.
	short := shortage{}
	for _, t := range types {
		short = l.staffType(t, supply[t.Name], demand[t.Name], short, now)
	}
	l.rentOrdinary(types, short.ordinary, now)
	l.rentSpecial(now)
	l.rentForGangs(now)
	l.consolidate(now)
	if record := int64(l.Tuning.RecordInterval / micros.Second); record < 1 || int64(now/micros.Second)%record == 0 {
		l.dirty[replica.AutoscalerKey] = true
		l.publishEstimates()
		l.sweep()
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
		if m.leaving || m.draining != "" || l.overdue(m, now) || replaced[m] {
			continue
		}
		s := supply[m.kind.Type]
		s.have++
		if len(m.tasks) > 0 || len(m.planned) > 0 || m.reserve != nil {
			s.busy++
		}
		supply[m.kind.Type] = s
	}
	for _, b := range l.bookings {
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
	ordinary float64 // the part that may be ordinary machines
}

// staffType rents or returns spot machines of one type toward its target, and tells what is
// short with it.
func (l *Leader) staffType(t *machineType, supply typeSupply, need typeNeed, short shortage, now micros.Micros) shortage {
	size := math.Max(t.CPUs, 0.001)
	floor, ordinaryFloor := float64(supply.busy), float64(supply.busy)
	if need.any > 0.01 {
		floor = float64(supply.have) + ceiling(need.any)
	}
	if need.ordinary > 0.01 {
		ordinaryFloor = float64(supply.have) + ceiling(need.ordinary)
	}
	reserved := l.reservedBeyondMean(t.Name)
	want := t.want + reserved + short.any/size
	ordinaryWant := t.wantOrdinary + reserved + short.ordinary/size
	t.target = int(math.Max(ceiling(want), floor))
	slog.Debug("staff", "type", t.Name, "m", t.m, "want", t.want, "want_ordinary", t.wantOrdinary,
		"busy", supply.busy, "need", need.any, "short", short.any, "short_ordinary", short.ordinary, "have", supply.have)
	booked := 0
	if missing := t.target - supply.have; missing > 0 {
		booked = l.rentMore(t, true, missing, now)
	} else {
		l.returnIdle(t, -missing, now)
	}
	lean := int(ceiling(want))
	if need.any > 0 {
		lean = supply.have
	}
	l.markSurplus(t, supply.have-lean, now)
	l.closeToPatient(t, ordinaryWant, need.ordinary)
	given := float64(supply.have + booked)
	return shortage{
		any:      math.Max(0, math.Max(want, floor)-given) * size,
		ordinary: math.Max(0, math.Max(ordinaryWant, ordinaryFloor)-given) * size,
	}
}

// rentOrdinary rents ordinary machines for so many GuaranteedCPUs, the cheapest first. They cost about
// three times as much: it is what no type had as spot machines.
func (l *Leader) rentOrdinary(types []*machineType, cpus float64, now micros.Micros) {
	slices.SortStableFunc(types, func(a, b *machineType) int { return cmp.Compare(a.OnDemandPrice/a.CPUs, b.OnDemandPrice/b.CPUs) })
	for _, t := range types {
		size := math.Max(t.CPUs, 0.001)
		if n := int(ceiling(cpus / size)); n > 0 {
			cpus -= float64(l.rentMore(t, false, n, now)) * size
		}
	}
}

// markSurplus picks the n machines of a type that the formula does not want,
// the dearest and emptiest. They get tasks only when no other has room: spread
// over all machines, a few tasks would keep every one of them busy for ever.
func (l *Leader) markSurplus(t *machineType, n int, now micros.Micros) {
	var ms []*machine
	for _, m := range l.order {
		if m.kind.Type == t.Name {
			m.surplus = false
			if m.up && !m.leaving && m.draining == "" && m.reserve == nil {
				ms = append(ms, m)
			}
		}
	}
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(price(t, b.kind.Spot), price(t, a.kind.Spot)), cmp.Compare(len(a.tasks), len(b.tasks)))
	})
	for i, m := range ms {
		switch m.surplus = i < n; {
		case !m.surplus:
			m.surplusAt = 0
		case m.surplusAt == 0:
			m.surplusAt = now
		}
	}
}

// closeToPatient picks the ordinary machines of a type that only patient work would use.
// They get none of it, and so are returned when they are idle: once rented for others,
// best-effort work kept them for the rest of the day.
func (l *Leader) closeToPatient(t *machineType, want, need float64) {
	wanted := ceiling(want)
	var ms []*machine
	for _, m := range l.order {
		if m.kind.Type != t.Name || m.leaving || m.draining != "" {
			continue
		}
		m.closedToPatient = false
		if m.kind.Spot {
			wanted--
			continue
		}
		only := m.reserve == nil
		for _, a := range m.tasks {
			only = only && l.patient(a.job)
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
	slices.SortStableFunc(ms, func(a, b *machine) int { return cmp.Compare(len(a.tasks), len(b.tasks)) })
	for _, m := range ms[:max(0, min(len(ms), len(ms)-int(math.Max(0, wanted))))] {
		m.closedToPatient = true
	}
}

// ceiling rounds machines up, but not for a trace of one.
func ceiling(machines float64) float64 { return math.Ceil(machines - 0.01) }

// raiseMeans raises each type's m once to what is really held, when after a
// take-over the tasks of all machines are known.
func (l *Leader) raiseMeans() {
	if l.raised || l.unresolved() > 0 {
		return
	}
	l.raised = true
	held := map[string]float64{}
	for _, m := range l.machines {
		for _, a := range m.tasks {
			if t := l.types[m.kind.Type]; t != nil {
				held[t.Name] += fraction(t, a.job.need)
			}
		}
	}
	// A job's demand is counted for one type, and its tasks run on any: what is held beyond
	// the means counts only as far as it is more than all of these. Raised type by type, the
	// means doubled at a take-over, and the fleet with them.
	missing, beyond := 0.0, 0.0 // GuaranteedCPUs
	for name, t := range l.types {
		missing += (held[name] - t.m) * t.CPUs
		beyond += math.Max(0, held[name]-t.m) * t.CPUs
	}
	if missing <= 0 {
		return
	}
	for name, t := range l.types {
		t.m += math.Max(0, held[name]-t.m) * missing / beyond
	}
}

// stepModel steps each type's mean and sets what the formula wants, which
// holds for an interval unless it rises.
func (l *Leader) stepModel(types []*machineType, now micros.Micros) {
	for _, t := range types {
		lambda, mu := t.window.Rate(now), t.service.Rate(t.finished)
		t.m = staffing.StepMean(t.m, lambda, mu, 1)
		// The same equation for the part that is not worth ordinary machines.
		bestEffort := t.bestEffort.Rate(now)
		t.mBestEffort = math.Min(t.m, staffing.StepMean(t.mBestEffort, bestEffort, mu, 1))
		all := staffing.PeakMean(t.m, lambda, mu, l.Tuning.ReviewInterval.Seconds())
		servers := func(spot bool) float64 {
			mean := all
			if !spot {
				mean = staffing.PeakMean(t.m-t.mBestEffort, math.Max(0, lambda-bestEffort), mu, l.Tuning.ReviewInterval.Seconds())
			}
			if mean < 0.05 {
				return 0 // formula (4) would keep a machine for nothing
			}
			z := staffing.ZForPrice(l.Tuning.Z, l.priceRatio(t, spot))
			return float64(staffing.Servers(mean, t.batches.Peakedness()*mean, z))
		}
		if want := servers(true); l.raised && now >= t.heldTill || want > t.want {
			t.want, t.wantOrdinary = want, servers(false)
			t.heldTill = now + l.Tuning.ReviewInterval
		}
	}
}

// priceRatio is a kind's price a CPU over the cheapest there is.
func (l *Leader) priceRatio(t *machineType, spot bool) float64 {
	least := math.Inf(1)
	for _, x := range l.types {
		least = math.Min(least, math.Min(x.OnDemandPrice, x.SpotPrice)/x.CPUs)
	}
	return math.Max(1, price(t, spot)/t.CPUs/least)
}

// byPrice orders the types by what a CPU costs.
func (l *Leader) byPrice() []*machineType {
	ts := make([]*machineType, 0, len(l.typeOrder))
	for _, name := range l.typeOrder {
		ts = append(ts, l.types[name])
	}
	slices.SortStableFunc(ts, func(a, b *machineType) int {
		return cmp.Compare(a.SpotPrice/a.CPUs, b.SpotPrice/b.CPUs)
	})
	return ts
}

// rentMore books up to n machines of a type and kind spread over the zones, and
// tells how many.
func (l *Leader) rentMore(t *machineType, spot bool, n int, now micros.Micros) int {
	if !l.Term.IsExclusive() {
		return n
	}
	var open []offer
	for _, zone := range t.Zones {
		o := offer{t.Name, zone, spot}
		s := l.offers[o]
		switch {
		case l.pending(o):
			return n // its answer comes first
		case l.zones.Decide(zone).Rent == 0:
		case s == nil || now >= s.until:
			open = append(open, o)
		}
	}
	inZone := map[string]int{}
	for _, m := range l.order {
		if m.kind.Type == t.Name {
			inZone[m.kind.Zone]++
		}
	}
	slices.SortStableFunc(open, func(a, b offer) int { return cmp.Compare(inZone[a.Zone], inZone[b.Zone]) })
	booked := 0
	for i, o := range open {
		left := n - booked
		count := min((left+len(open)-i-1)/(len(open)-i), l.mayRent(o.Zone))
		for k := 0; count > 0 && k < maxBookings; k++ {
			l.book(o, count)
			part := min(count, cloud.MaxLaunch)
			booked, count = booked+part, count-part
		}
	}
	return booked
}

// maxBookings is how many bookings of an offer are made at once: a fleet of a
// thousand machines is to be on its way within seconds, a few cloud calls a second.
const maxBookings = 3

// specialWait is how long a job may make no start before a machine is rented for
// it alone.
const specialWait = 10 * micros.Second

// rentSpecial books machines for jobs that some of the fleet is closed to, by
// type, zone or kind, and that get nowhere: the types' targets count machines,
// not whom they serve, and such a job would starve beside idle ones.
func (l *Leader) rentSpecial(now micros.Micros) {
	wall := micros.Wall()
	teams, unresolved := l.teamUse(), l.unknownTasks()
	type count struct{ all, coming int }
	kinds := map[offer]count{}
	for _, m := range l.order {
		n := kinds[m.kind]
		n.all++
		if !m.up && !m.leaving {
			n.coming++
		}
		kinds[m.kind] = n
	}
	for _, j := range l.jobs {
		if l.mustWait(j, unresolved) || teams[j.spec.Team].Room(j.need, 1) == 0 {
			continue // not for want of machines
		}
		if j.ready(now) <= 0 || now-j.seen < specialWait || wall-j.lastStart < specialWait {
			continue
		}
		probe := placement.Job{InstanceTypes: j.spec.InstanceTypes, Zone: j.spec.Zone, AllowSpot: j.spec.AllowSpot,
			SingleZone: j.spec.SingleZone, SpreadZones: j.spec.SpreadZones, Total: j.spec.Tasks, TasksPerZone: j.zones}
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
		for _, o := range l.offersFor(j) {
			if !placement.ConstraintsAdmitNow(&probe, o.Type, o.Zone, o.Spot) {
				continue // its other tasks bind it to another zone
			}
			if l.pending(o) {
				break // its answer comes first
			}
			s := l.offers[o]
			count := int(ceiling(float64(j.ready(now))*fraction(l.types[o.Type], j.need))) - coming
			if count > 0 && (s == nil || now >= s.until) && l.Term.IsExclusive() {
				l.book(o, min(count, 4))
				break
			}
		}
	}
}

// pending tells whether a booking of an offer waits for its answer.
func (l *Leader) pending(o offer) bool {
	for _, b := range l.bookings {
		if !b.Answered && (offer{b.Type, b.Zone, b.Spot}) == o {
			return true
		}
	}
	return false
}

// minPaid is how long a machine is paid for at least.
const minPaid = 60 * micros.Second

// returnIdle returns up to n idle machines, the dearest first, but none
// before its paid time is used.
func (l *Leader) returnIdle(t *machineType, n int, now micros.Micros) {
	if !l.Term.HoldsSession() {
		// That a machine is gone could not be stored, and a next leader would
		// have to wait for its lease.
		return
	}
	var idle []*machine
	for _, m := range l.order {
		if m.kind.Type == t.Name && len(m.tasks) == 0 && len(m.planned) == 0 && m.reserve == nil && m.resolved && !m.leaving && m.draining == "" &&
			now-m.rentedAt > minPaid-3*micros.Second && now-m.busyTill > l.idleLimit(t, m.kind.Spot) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *machine) int {
		return cmp.Compare(price(t, b.kind.Spot), price(t, a.kind.Spot))
	})
	for _, m := range idle[:min(n, len(idle))] {
		l.giveUp(m, "not needed")
	}
}

// idleLimit is how long an idle machine is kept in case it is needed again. As
// much time as a new one takes to boot costs about what returning it in error
// would, to jobs that cannot wait; an expensive one is not worth that while spot
// machines can be had.
func (l *Leader) idleLimit(t *machineType, spot bool) micros.Micros {
	tight, types := 0.0, 0.0
	for _, x := range l.types {
		tight += x.batches.TightShare()
		types++
	}
	keep := micros.FromSeconds(t.BootTimeS / l.priceRatio(t, spot) * tight / types)
	return max(2*l.report, keep)
}

func price(t *machineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// staffingRecord is what a new leader goes on from.
type staffingRecord struct {
	Types   map[string]typeRecord `json:"types"`
	AtFault map[string]int        `json:"at_fault,omitempty"` // see atFaultRecord
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

func (l *Leader) staffingRecord() staffingRecord {
	now := micros.Now()
	r := staffingRecord{Types: map[string]typeRecord{}, AtFault: l.atFaultRecord()}
	for _, t := range l.types {
		r.Types[t.Name] = typeRecord{Lambda: t.window.Rate(now), M: t.m, Mu: t.service.Rate(t.finished), Finished: t.finished, Want: t.want, Target: t.target}
	}
	for _, b := range l.bookings {
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

// restoreStaffing goes on from the record.
func (l *Leader) restoreStaffing(now micros.Micros) error {
	var r staffingRecord
	if _, err := l.Replica.Get(replica.AutoscalerKey, &r); err != nil {
		return err
	}
	l.restoreAtFault(r.AtFault, now)
	for name, t := range l.types {
		x, ok := r.Types[name]
		if !ok {
			continue
		}
		t.m = x.M
		t.window.Seed(now, x.Lambda)
		// The target is taken anew as soon as the means are known: how long it was to hold is
		// not stored, and held anew by each of several leaders it outlasted its peak by minutes.
		t.want, t.wantOrdinary = x.Want, x.Want
		if x.Mu > 0 {
			// As if what is held had just ended: what ends first now are short tasks.
			t.service.Finished(math.Max(1, x.M), 1/x.Mu, 1)
			t.finished = x.Finished
		}
	}
	slog.Info("staffing restored", "types", len(r.Types), "jobs_at_fault", len(r.AtFault))
	return nil
}
