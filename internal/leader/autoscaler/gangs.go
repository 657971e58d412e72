package autoscaler

import (
	"log/slog"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// launchDelayWhenShort is how long a gang that lost a task before its start waits for another place to
// come free, until a machine is launched for it.
const launchDelayWhenShort = 2 * micros.Second

// launchForGangs launches machines for gangs that not even an empty fleet could take: the types'
// targets count machines, and a gang may need more of them at once, or more in one zone, than the work alone
// would. One whose start is in progress needs room now: its other tasks hold theirs in vain until it comes.
func (s *Scaler) launchForGangs(now micros.Micros) {
	teams, awaitsReconciliation := s.TeamUse(), s.AwaitsReconciliation()
	for _, j := range state.Gangs(s.Jobs) {
		if awaitsReconciliation(j) || !s.Term.IsExclusive() {
			continue
		}
		wanted := j.StartableTasks(now)
		if wanted == 0 || teams[j.Spec.Team].CountAllowed(j.Need, wanted) < wanted {
			j.Gang.NoCapacitySince = 0
			continue
		}
		room := s.gangRoom(j, wanted)
		if room.total >= wanted {
			j.Gang.NoCapacitySince = 0
			continue
		}
		if j.Gang.NoCapacitySince == 0 {
			j.Gang.NoCapacitySince = now
		}
		if len(j.Attempts) == 0 || now-j.Gang.NoCapacitySince >= launchDelayWhenShort {
			s.launchForGang(j, wanted, room, now)
		}
	}
}

// launchForGang launches machines of the best offering for what a gang has no room for.
func (s *Scaler) launchForGang(j *state.Job, wanted int, room gangRoom, now micros.Micros) {
	best, ok := s.bestOfferingForGang(j, room, now)
	t := s.types[best.Type]
	if !ok || t == nil {
		return
	}
	missing := min(wanted-room.total, room.mostIn(best.Zone)-room.perZone[best.Zone])
	if j.Spec.SingleZone {
		missing = wanted - room.perZone[best.Zone]
	}
	perMachine := t.Capacity.CountFitting(j.Need, missing)
	slog.Debug("launching for a gang", "job", j.Spec.ID, "tasks", wanted, "room", room.total, "instance_type", best.Type, "zone", best.Zone)
	s.Fleet.Launch(best, (missing+perMachine-1)/max(1, perMachine))
}

// bestOfferingForGang finds the cheapest offering in a zone where a gang may have more tasks, or,
// for one that must be in a single zone, where it has most room already. There is none while a launch that
// would serve the gang waits for its response.
func (s *Scaler) bestOfferingForGang(j *state.Job, room gangRoom, now micros.Micros) (best state.Offering, ok bool) {
	for _, o := range s.OfferingsFor(j) {
		if s.Fleet.HasOpenIntent(o) {
			return state.Offering{}, false
		}
		if !s.Fleet.HasCapacity(o, now) || s.ZonePolicy.Decide(o.Zone).MaxMachines < zone.Unlimited || room.mostIn(o.Zone) <= room.perZone[o.Zone] {
			continue
		}
		if !ok || j.Spec.SingleZone && room.perZone[o.Zone] > room.perZone[best.Zone] {
			best, ok = o, true
		}
	}
	return best, ok
}

// gangRoom is for how many tasks of a gang its machines would have room.
type gangRoom struct {
	job     *state.Job
	wanted  int
	held    map[string]int // tasks that it has in each zone
	perZone map[string]int // further tasks for which there is room
	total   int            // of all that may be used together
}

// gangRoom counts the tasks of a gang, up to wanted, for which its machines would have room: what is
// free, once its start is in progress, and before that their whole capacity.
func (s *Scaler) gangRoom(j *state.Job, wanted int) gangRoom {
	room := gangRoom{job: j, wanted: wanted, held: map[string]int{}, perZone: map[string]int{}}
	for _, a := range j.Attempts {
		room.held[a.Machine.Offering.Zone]++
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
		n := free.CountFitting(j.Need, room.mostIn(o.Zone)-room.perZone[o.Zone])
		room.perZone[o.Zone] += n
		room.total += n
	}
	if j.Spec.SingleZone {
		room.total = 0
		for _, n := range room.perZone {
			room.total = max(room.total, n)
		}
	}
	return room
}

// mostIn is how many further tasks may be in a zone.
func (r *gangRoom) mostIn(zone string) int {
	spec := r.job.Spec
	switch {
	case spec.SpreadZones:
		return max(0, min(r.wanted, (spec.Tasks+1)/2-r.held[zone]))
	case spec.SingleZone && len(r.held) > 0 && r.held[zone] == 0:
		return 0
	}
	return r.wanted
}
