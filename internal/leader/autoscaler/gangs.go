package autoscaler

import (
	"log/slog"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// gangLaunchDelay is how long a gang that lost a task before it had started waits for free capacity, until a
// machine is launched for it.
const gangLaunchDelay = 2 * micros.Second

// launchForGangs launches machines for gangs that would not fit even if the fleet were empty. The targets of
// the types count machines, and a gang may need more machines at once, or more in one zone, than its work
// alone requires. For a gang of which some tasks are on machines already, only free capacity counts, because these
// tasks occupy their machines in vain until all tasks of the gang run.
func (s *Scaler) launchForGangs(now micros.Micros) {
	teams, awaitsReconciliation := s.TeamUsage(), s.AwaitsReconciliation()
	for _, j := range state.Gangs(s.Jobs) {
		if awaitsReconciliation(j) || !s.Term.IsExclusive() {
			continue
		}
		wanted := j.StartableTasks(now)
		if wanted == 0 || teams[j.Spec.Team].CountAllowed(j.Need, wanted) < wanted {
			j.Gang.NoCapacitySince = 0
			continue
		}
		capacity := s.countGangCapacity(j, wanted)
		if capacity.total >= wanted {
			j.Gang.NoCapacitySince = 0
			continue
		}
		if j.Gang.NoCapacitySince == 0 {
			j.Gang.NoCapacitySince = now
		}
		if len(j.Attempts) == 0 || now-j.Gang.NoCapacitySince >= gangLaunchDelay {
			s.launchForGang(j, wanted, capacity, now)
		}
	}
}

// launchForGang launches machines of the best offering for the tasks of a gang that do not fit on the fleet.
func (s *Scaler) launchForGang(j *state.Job, wanted int, capacity gangCapacity, now micros.Micros) {
	best, ok := s.bestOfferingForGang(j, capacity, now)
	t := s.types[best.Type]
	if !ok || t == nil {
		return
	}
	missing := min(wanted-capacity.total, capacity.maxInZone(best.Zone)-capacity.perZone[best.Zone])
	if j.Spec.SingleZone {
		missing = wanted - capacity.perZone[best.Zone]
	}
	perMachine := t.Capacity.CountFitting(j.Need, missing)
	slog.Debug("launching machines for a gang", "job", j.Spec.ID, "tasks", wanted, "room", capacity.total, "instance_type", best.Type, "zone", best.Zone)
	s.Fleet.Launch(best, (missing+perMachine-1)/max(1, perMachine))
}

// bestOfferingForGang returns the cheapest offering in a zone where more tasks of a gang may run and the number of
// machines is not limited. For a gang that must run in a single zone, it returns the cheapest offering in the zone
// that already has the most capacity for the gang. ok is false if there is no such offering, or if a launch of the
// same offering as one of the gang's is waiting for its response.
func (s *Scaler) bestOfferingForGang(j *state.Job, capacity gangCapacity, now micros.Micros) (best state.Offering, ok bool) {
	for _, o := range s.OfferingsFor(j) {
		if s.Fleet.HasOpenIntent(o) {
			return state.Offering{}, false
		}
		if !s.Fleet.HasCapacity(o, now) || s.ZonePolicy.Decide(o.Zone).MaxMachines < zone.Unlimited || capacity.maxInZone(o.Zone) <= capacity.perZone[o.Zone] {
			continue
		}
		if !ok || j.Spec.SingleZone && capacity.perZone[o.Zone] > capacity.perZone[best.Zone] {
			best, ok = o, true
		}
	}
	return best, ok
}

// gangCapacity is the capacity of the fleet for one gang, in tasks.
type gangCapacity struct {
	job     *state.Job
	wanted  int
	running map[string]int // tasks of the gang on machines, by zone
	perZone map[string]int // further tasks that fit, by zone
	total   int            // further tasks that fit on machines that the gang may use together
}

// countGangCapacity counts how many tasks of a gang, up to wanted, fit on the fleet. If some tasks of the gang are on
// machines already, only free resources count. Otherwise, the whole capacity of each machine counts.
func (s *Scaler) countGangCapacity(j *state.Job, wanted int) gangCapacity {
	capacity := gangCapacity{job: j, wanted: wanted, running: map[string]int{}, perZone: map[string]int{}}
	for _, a := range j.Attempts {
		capacity.running[a.Machine.Offering.Zone]++
	}
	for _, m := range s.Fleet.Sorted {
		o := m.Offering
		t := s.types[o.Type]
		if t == nil || m.Instance.Terminating || m.DrainReason != "" || !j.MayRunOn(o) {
			continue
		}
		free := t.Capacity
		if len(j.Attempts) > 0 {
			free = m.Free
		}
		n := free.CountFitting(j.Need, capacity.maxInZone(o.Zone)-capacity.perZone[o.Zone])
		capacity.perZone[o.Zone] += n
		capacity.total += n
	}
	if j.Spec.SingleZone {
		capacity.total = 0
		for _, n := range capacity.perZone {
			capacity.total = max(capacity.total, n)
		}
	}
	return capacity
}

// maxInZone returns how many further tasks of the gang may run in a zone.
func (c *gangCapacity) maxInZone(zone string) int {
	spec := c.job.Spec
	switch {
	case spec.SpreadZones:
		return max(0, min(c.wanted, (spec.Tasks+1)/2-c.running[zone]))
	case spec.SingleZone && len(c.running) > 0 && c.running[zone] == 0:
		return 0
	}
	return c.wanted
}
