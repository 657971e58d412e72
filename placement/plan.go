package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Plan places what it can of jobs that are in the queue's order, and leaves in
// Waiting what finds no room. It changes the input's machines, jobs and teams as
// it goes. Waiting tasks cost nothing here: the work grows with the jobs, and
// with the machines that have room.
func Plan(machines []Machine, jobs []*Job, teams map[string]*Team) (starts []Start) {
	minNeed := MinNeed(jobs)
	available := make([]int, 0, len(machines))
	for k := range machines {
		if machines[k].Free.Fits(minNeed) {
			available = append(available, k)
		}
	}
	var largestFree Resources // the largest of each, to pass over jobs quickly
	measureLargestFree := func() {
		largestFree = Resources{}
		for _, k := range available {
			free := machines[k].Free
			largestFree = Resources{max(largestFree.CPU, free.CPU), max(largestFree.GPU, free.GPU), max(largestFree.Memory, free.Memory)}
		}
	}
	measureLargestFree()
	for i, j := range jobs {
		if j.WaitingTasks == 0 || !largestFree.Fits(j.Need) || teams[j.Team].CountAllowed(j.Need, 1) == 0 {
			continue
		}
		choose := placeTasks
		if j.Gang {
			choose = placeGang
		}
		placed := choose(machines, available, i, j, teams[j.Team])
		starts = append(starts, placed...)
		if len(placed) > 0 {
			available = slices.DeleteFunc(available, func(k int) bool { return !machines[k].Free.Fits(minNeed) })
			measureLargestFree()
		}
	}
	return starts
}

func placeTasks(machines []Machine, open []int, index int, j *Job, team *Team) (starts []Start) {
	type candidate struct {
		machine int
		cost    micros.Micros
	}
	var candidates []candidate
	for _, k := range open {
		m := &machines[k]
		if m.Free.Fits(j.Need) && acceptsJob(m, j) && remainingInZone(j, m.Zone) > 0 && isWorthWaitingFor(m, j) {
			candidates = append(candidates, candidate{k, startCost(m, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(machines[a.machine].ID, machines[b.machine].ID))
	})
	for _, c := range candidates {
		m := &machines[c.machine]
		count := team.CountAllowed(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone)))
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

// assign counts n tasks of j as being on m.
func assign(m *Machine, j *Job, team *Team, n int) {
	m.Free = m.Free.Add(j.Need, -int64(n))
	m.Idle = false
	m.Images = m.Images.With(j.ImageIndex)
	if team != nil {
		team.Used = team.Used.Add(j.Need, int64(n))
	}
	if j.TasksPerZone == nil {
		j.TasksPerZone = map[string]int{}
	}
	j.TasksPerZone[m.Zone] += n
	j.WaitingTasks -= n
}

// imagePullTime is how long m would fetch the image of j.
func imagePullTime(m *Machine, j *Job) micros.Micros {
	if m.ImagePullGBPerS <= 0 || m.Images.Has(j.ImageIndex) {
		return 0
	}
	return micros.FromSeconds(j.ImageSizeGB / m.ImagePullGBPerS)
}

// failedMachinePenalty is what wait is put up with rather than start a whole job again where a task
// of it failed: one that fails keeps all waiting.
const failedMachinePenalty = 10 * micros.Second

// startCost is how long a task would wait for its start on m, with a little for
// leaving costly and empty machines as they are, and large holes.
func startCost(m *Machine, j *Job) micros.Micros {
	cost := m.CommandDelay + imagePullTime(m, j)
	if m.Idle {
		cost += micros.Second / 2
	}
	if _, ok := j.FailedOn[m.ID]; ok {
		cost += failedMachinePenalty
	}
	leftCPU := m.Free.CPU - j.Need.CPU
	return cost + m.StartPenalty + micros.Micros(leftCPU)*micros.Millisecond/1000*10
}

// isWorthWaitingFor tells whether a start on m may be planned ahead. What presses is
// not kept for a machine whose next report is far off, unless that saves a longer
// fetch: any machine that reports sooner takes it, see Fill.
func isWorthWaitingFor(m *Machine, j *Job) bool {
	return !j.AtRisk || m.CommandDelay <= micros.Second/2 ||
		m.Images.Has(j.ImageIndex) && m.ImagePullGBPerS > 0 && m.CommandDelay < micros.FromSeconds(j.ImageSizeGB/m.ImagePullGBPerS)
}
