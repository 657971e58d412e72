package placement

// cpus is n CPUs.
func cpus(n int64) Resources { return Resources{CPU: n * 1000} }

// machine is an on-demand machine with free CPUs that pulls 1 GB a second.
func machine(id, zone string, free int64) Machine {
	return Machine{ID: id, InstanceType: "m", Zone: zone, Free: cpus(free), StartFactors: StartFactors{ImagePullGBPerS: 1}}
}

// with is a machine with changes.
func with(m Machine, edit func(*Machine)) Machine {
	edit(&m)
	return m
}

// job is a job at risk of tasks with one CPU each, with changes if there are any.
func job(id string, waiting int, edit func(*Job)) *Job {
	j := &Job{
		ID:          id,
		Team:        "t",
		QueueKey:    QueueKey{Priority: 1},
		Request:     Request{Need: cpus(1), WaitingTasks: waiting, TotalTasks: waiting, ImageIndex: 70},
		Constraints: Constraints{AllowSpot: true},
		Urgency:     Urgency{AtRisk: true},
	}
	if edit != nil {
		edit(j)
	}
	return j
}

// gang is a job all of whose tasks start, or none does.
func gang(tasks int, edit func(*Job)) *Job {
	return job("g", tasks, func(j *Job) {
		j.Gang = true
		if edit != nil {
			edit(j)
		}
	})
}
