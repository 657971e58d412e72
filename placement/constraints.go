package placement

import "slices"

// ConstraintsAdmit tells whether a job's constraints that do not depend on its other
// tasks admit a machine.
func ConstraintsAdmit(j *Job, typ, zone string, spot bool) bool {
	return (len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, typ)) &&
		(j.Zone == "" || j.Zone == zone) && (j.AllowSpot || !spot)
}

// ConstraintsAdmitNow tells the same as things are now: where a job's other tasks are may bind the next
// one to their zone, or keep it out.
func ConstraintsAdmitNow(j *Job, typ, zone string, spot bool) bool {
	return ConstraintsAdmit(j, typ, zone, spot) && remainingInZone(j, zone) > 0
}

// acceptsJob tells the same of a machine, and whether the job is worth it.
func acceptsJob(m *Machine, j *Job) bool {
	if m.ReservedFor != nil && m.ReservedFor.ID != j.ID && compareStanding(j, m.ReservedFor) >= 0 {
		return false
	}
	if m.GangsOnly && !j.Gang || m.ZoneBoundOnly && j.OnlyZone != m.Zone {
		return false
	}
	return ConstraintsAdmit(j, m.InstanceType, m.Zone, m.Spot) && !(j.DelayTolerant && m.RejectsDelayTolerant)
}

// remainingInZone tells how many more tasks of j may be in zone.
func remainingInZone(j *Job, zone string) int {
	if j.SingleZone {
		for z, n := range j.TasksPerZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if j.SpreadZones {
		return max(0, (j.TotalTasks+1)/2-j.TasksPerZone[zone])
	}
	return j.TotalTasks
}
