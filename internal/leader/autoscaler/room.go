package autoscaler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// roomForecast tells which machines of the fleet will have room for a task before a machine that is launched now could
// be of use. It counts a running task as ended if it is expected to end within overdueHorizonBoots boot times of its
// machine's type. The forecast is made for one step, and evaluates a machine only when it is first asked for it.
type roomForecast struct {
	scaler    *Scaler
	now       micros.Micros
	offerings []*offeringRoom                        // in the order in which the fleet's machines were created
	freeSoon  map[*state.Machine]placement.Resources // as evaluated so far
	found     map[roomQuery]*state.Machine           // machines that findIn has found so far, nil if there is none
}

// offeringRoom holds the machines of an offering that may get tasks, in the order of their creation.
type offeringRoom struct {
	state.Offering
	running []*state.Machine
	booting []*state.Machine
}

// roomQuery is what findIn depends on.
type roomQuery struct {
	offering      state.Offering
	booting       bool
	need          placement.Resources
	delayTolerant bool
	zoneBound     bool
}

// newRoomForecast returns a forecast for the present fleet. It leaves out machines that are drained, terminated, late
// to boot, silent beyond their leases or to be replaced in other zones.
func (s *Scaler) newRoomForecast(replaced map[*state.Machine]bool, now micros.Micros) *roomForecast {
	f := &roomForecast{
		scaler:   s,
		now:      now,
		freeSoon: map[*state.Machine]placement.Resources{},
		found:    map[roomQuery]*state.Machine{},
	}
	byOffering := map[state.Offering]*offeringRoom{}
	for _, m := range s.Fleet.Sorted {
		if s.types[m.Offering.Type] == nil || m.Instance.Terminating || m.DrainReason != "" || s.Fleet.IsOverdue(m, now) || replaced[m] {
			continue
		}
		room := byOffering[m.Offering]
		if room == nil {
			room = &offeringRoom{Offering: m.Offering}
			byOffering[m.Offering] = room
			f.offerings = append(f.offerings, room)
		}
		if m.Instance.Running {
			room.running = append(room.running, m)
		} else {
			room.booting = append(room.booting, m)
		}
	}
	return f
}

// findMachine returns a machine that will have room for the next task of a job that is no gang, a running machine if there
// is any, or nil. Machines that reject delay-tolerant jobs count only if delayTolerant is false.
func (f *roomForecast) findMachine(j *state.Job, delayTolerant bool) *state.Machine {
	candidate := placementJob(j)
	for _, booting := range []bool{false, true} {
		for _, room := range f.offerings {
			if !candidate.CanStartOn(room.Type, room.Zone, room.Spot) {
				continue
			}
			query := roomQuery{room.Offering, booting, j.Need, delayTolerant, j.Spec.Zone != ""}
			if m := f.findIn(room, query); m != nil {
				return m
			}
		}
	}
	return nil
}

// findIn returns the first machine of an offering that will have the room of a query, or nil.
func (f *roomForecast) findIn(room *offeringRoom, query roomQuery) *state.Machine {
	if m, known := f.found[query]; known {
		return m
	}
	machines := room.running
	if query.booting {
		machines = room.booting
	}
	var found *state.Machine
	for _, m := range machines {
		if query.isAcceptedBy(m) && f.freeSoonOn(m).Fits(query.need) {
			found = m
			break
		}
	}
	f.found[query] = found
	return found
}

// isAcceptedBy reports whether a machine's own restrictions admit the task of a query.
func (q *roomQuery) isAcceptedBy(m *state.Machine) bool {
	return !m.Pool.IsSet() && !(m.RejectsDelayTolerant && q.delayTolerant) && !(m.ZoneReturn.ZoneBoundOnly && !q.zoneBound)
}

// freeSoonOn returns the resources of a machine that are free or will be soon. While the tasks of a machine are not
// known, all of it counts as free, because it may be running the tasks that seem to wait.
func (f *roomForecast) freeSoonOn(m *state.Machine) placement.Resources {
	if free, known := f.freeSoon[m]; known {
		return free
	}
	t := f.scaler.types[m.Offering.Type]
	free := m.Free
	if !m.TasksKnown() {
		free = t.Capacity
	}
	for _, a := range m.Attempts {
		if f.endsSoon(a, t) {
			free = free.Add(a.Job.Need, 1)
		}
	}
	f.freeSoon[m] = free
	return free
}

// endsSoon reports whether a task on a machine of type t is expected to end before a new machine could be of use.
func (f *roomForecast) endsSoon(a *state.Attempt, t *TypeModel) bool {
	return a.StopRequestedAt != 0 || f.scaler.Workload.RemainingRuntime(a, f.now) <= overdueHorizonBoots*t.BootTimeS
}
