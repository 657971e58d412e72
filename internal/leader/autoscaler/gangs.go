package autoscaler

import (
	"log/slog"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
	"caperlatch/placement"
)

// gangLaunchDelay is how long a gang that lost a task before it had started waits for free capacity, until a
// machine is launched for it.
const gangLaunchDelay = 2 * micros.Second

// launchForGangs launches machines for gangs that would not fit even if the fleet were empty, and for those that have
// waited for constrainedLaunchDelay and will not fit soon. The targets of the types count machines, and a
// gang may need more machines at once, or more in one zone, than its work alone requires. For a gang of which some tasks
// are on machines already, only free capacity counts, because these tasks occupy their machines in vain until all tasks
// of the gang run.
func (s *Scaler) launchForGangs(forecast *roomForecast, now micros.Micros) {
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
		capacity := s.countGangCapacity(j, wanted, forecast)
		if capacity.total() >= wanted {
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
	missing := min(wanted-capacity.total(), capacity.maxInZone(best.Zone)-capacity.perZone[best.Zone])
	if j.Spec.SingleZone {
		missing = wanted - capacity.perZone[best.Zone]
	}
	perMachine := t.Capacity.CountFitting(j.Need, missing)
	slog.Debug("launching machines for a gang", "job", j.Spec.ID, "tasks", wanted, "room", capacity.total(), "instance_type", best.Type, "zone", best.Zone)
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
	job    *state.Job
	wanted int
	// hasWaited is set if no task of the gang has started for a while.
	hasWaited bool
	running   map[string]int // tasks of the gang on machines, by zone
	perZone   map[string]int // further tasks that fit, by zone
}

// countGangCapacity counts how many tasks of a gang, up to wanted, fit on the fleet. If the booting machines are needed
// for that, they are not terminated meanwhile.
func (s *Scaler) countGangCapacity(j *state.Job, wanted int, forecast *roomForecast) gangCapacity {
	capacity := gangCapacity{
		job:       j,
		wanted:    wanted,
		hasWaited: hasWaited(j, forecast.now),
		running:   map[string]int{},
		perZone:   map[string]int{},
	}
	for _, a := range j.Attempts {
		capacity.running[a.Machine.Offering.Zone]++
	}
	for _, room := range forecast.offerings {
		capacity.addMachines(room.running, forecast)
	}
	if capacity.total() >= wanted {
		return capacity
	}
	for _, room := range forecast.offerings {
		for _, m := range capacity.addMachines(room.booting, forecast) {
			s.awaited[m] = true
		}
	}
	return capacity
}

// addMachines adds the capacity of machines of one offering, and returns those that have room for a task of the gang.
func (c *gangCapacity) addMachines(machines []*state.Machine, forecast *roomForecast) (used []*state.Machine) {
	for _, m := range machines {
		zone := m.Offering.Zone
		if !c.job.MayRunOn(m.Offering) {
			return used
		}
		n := c.freeOn(m, forecast).CountFitting(c.job.Need, c.maxInZone(zone)-c.perZone[zone])
		c.perZone[zone] += n
		if n > 0 {
			used = append(used, m)
		}
	}
	return used
}

// freeOn returns the resources of a machine that count for the gang: the free ones if some of its tasks are on machines
// already, those that will be free soon if it has waited for long, and else all of them.
func (c *gangCapacity) freeOn(m *state.Machine, forecast *roomForecast) placement.Resources {
	switch {
	case len(c.job.Attempts) > 0:
		return m.Free
	case c.hasWaited:
		return forecast.freeSoonOn(m)
	}
	return forecast.scaler.types[m.Offering.Type].Capacity
}

// total returns how many further tasks of the gang fit on machines that it may use together.
func (c *gangCapacity) total() (total int) {
	for _, n := range c.perZone {
		if c.job.Spec.SingleZone {
			total = max(total, n)
		} else {
			total += n
		}
	}
	return total
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
