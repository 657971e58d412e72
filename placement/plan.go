package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Plan places as many tasks of jobs in queue order as it can; those that find no capacity remain counted in
// WaitingTasks. Individual waiting tasks cost no time: the run time grows with the number of jobs and the number
// of machines with free capacity.
func Plan(machines []Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	minNeed := MinNeed(jobs)
	available := make([]int, 0, len(machines))
	for k := range machines {
		if machines[k].Free.Fits(minNeed) {
			available = append(available, k)
		}
	}
	largest := largestFree(machines, available)
	for i, j := range jobs {
		if j.WaitingTasks == 0 || !largest.Fits(j.Need) || teams[j.Team].CountAllowed(j.Need, 1) == 0 {
			continue
		}
		place := placeTasks
		if j.Gang {
			place = placeGang
		}
		placed := place(machines, available, i, j, teams[j.Team])
		starts = append(starts, placed...)
		if len(placed) > 0 {
			available = slices.DeleteFunc(available, func(k int) bool { return !machines[k].Free.Fits(minNeed) })
			largest = largestFree(machines, available)
		}
	}
	return starts
}

// largestFree returns, for each resource, the most that any machine has free. Plan uses it to skip jobs that need
// more without looking at every machine.
func largestFree(machines []Machine, available []int) (largest Resources) {
	for _, k := range available {
		free := machines[k].Free
		largest = Resources{max(largest.CPU, free.CPU), max(largest.GPU, free.GPU), max(largest.Memory, free.Memory), max(largest.Tasks, free.Tasks)}
	}
	return largest
}

// placeTasks places as many tasks of a non-gang job as possible, on the machines with the lowest start cost. index
// is the job's index in the queue.
func placeTasks(machines []Machine, available []int, index int, j *Job, team *Team) (starts []Start) {
	type candidate struct {
		machine int
		cost    micros.Micros
	}
	var candidates []candidate
	for _, k := range available {
		m := &machines[k]
		if m.Free.Fits(j.Need) && m.accepts(j) && j.remainingInZone(m.Zone) > 0 && isWorthWaitingFor(m, j) {
			candidates = append(candidates, candidate{k, startCost(m, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(machines[a.machine].ID, machines[b.machine].ID))
	})
	for _, c := range candidates {
		m := &machines[c.machine]
		count := team.CountAllowed(j.Need, min(j.WaitingTasks, j.remainingInZone(m.Zone)))
		count = m.Free.CountFitting(j.Need, count)
		if count == 0 {
			continue
		}
		assign(m, j, team, count)
		starts = append(starts, Start{Job: index, Machine: c.machine, Count: count})
		if j.WaitingTasks == 0 {
			break
		}
	}
	return starts
}

// assign records that count of a job's waiting tasks are assigned to a machine.
func assign(m *Machine, j *Job, team *Team, count int) {
	m.Free = m.Free.Add(j.Need, -int64(count))
	m.Idle = false
	m.Images = m.Images.With(j.ImageIndex)
	if team != nil {
		team.Used = team.Used.Add(j.Need, int64(count))
	}
	if j.TasksPerZone == nil {
		j.TasksPerZone = map[string]int{}
	}
	j.TasksPerZone[m.Zone] += count
	j.WaitingTasks -= count
}
