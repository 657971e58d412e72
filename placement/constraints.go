package placement

import "slices"

// Admit reports whether the constraints that do not depend on the job's other tasks admit a machine.
func (c *Constraints) Admit(instanceType, zone string, spot bool) bool {
	return (len(c.InstanceTypes) == 0 || slices.Contains(c.InstanceTypes, instanceType)) &&
		(c.Zone == "" || c.Zone == zone) && (c.AllowSpot || !spot)
}

// CanStartOn reports whether all constraints currently admit a machine. Where the job's other tasks run may bind
// the next task to their zone, or exclude that zone.
func (j *Job) CanStartOn(instanceType, zone string, spot bool) bool {
	return j.Admit(instanceType, zone, spot) && j.remainingInZone(zone) > 0
}

// remainingInZone returns how many more tasks of the job the zone may take.
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

// accepts reports whether the machine may start tasks of a job under the job's constraints and the machine's own
// restrictions, regardless of free capacity.
func (m *Machine) accepts(j *Job) bool {
	if m.ReservedFor != nil && m.ReservedFor.ID != j.ID && comparePrecedence(j, m.ReservedFor) >= 0 {
		return false
	}
	if m.GangsOnly && !j.Gang || m.ZoneBoundOnly && j.OnlyZone != m.Zone {
		return false
	}
	return j.Admit(m.InstanceType, m.Zone, m.Spot) && !(j.DelayTolerant && m.RejectsDelayTolerant)
}
