package placement

import "slices"

// Admit reports whether the constraints allow machines of an instance type, zone and kind. It ignores SingleZone and
// SpreadZones, which depend on where the job's other tasks are.
func (c *Constraints) Admit(instanceType, zone string, spot bool) bool {
	return (len(c.InstanceTypes) == 0 || slices.Contains(c.InstanceTypes, instanceType)) &&
		(c.Zone == "" || c.Zone == zone) && (c.AllowSpot || !spot)
}

// CanStartOn reports whether the constraints, including SingleZone and SpreadZones, allow the job's next task to start
// on a machine.
func (j *Job) CanStartOn(instanceType, zone string, spot bool) bool {
	return j.Admit(instanceType, zone, spot) && j.remainingInZone(zone) > 0
}

// remainingInZone returns how many more tasks of the job SingleZone and SpreadZones allow in a zone. If they set no
// limit, it returns the number of all tasks of the job.
func (j *Job) remainingInZone(zone string) int {
	if j.SingleZone {
		for other, n := range j.TasksPerZone {
			if n > 0 && other != zone {
				return 0
			}
		}
	}
	if j.SpreadZones {
		return max(0, (j.TotalTasks+1)/2-j.TasksPerZone[zone])
	}
	return j.TotalTasks
}

// accepts reports whether the job's constraints and the machine's own restrictions allow the machine to start tasks of
// a job. It ignores free capacity and the zones of the job's other tasks.
func (m *Machine) accepts(j *Job) bool {
	if m.ReservedFor != nil && m.ReservedFor.ID != j.ID && comparePrecedence(j, m.ReservedFor) >= 0 {
		return false
	}
	if m.GangsOnly && !j.Gang || m.ZoneBoundOnly && j.OnlyZone != m.Zone {
		return false
	}
	return j.Admit(m.InstanceType, m.Zone, m.Spot) && !(j.DelayTolerant && m.RejectsDelayTolerant)
}
