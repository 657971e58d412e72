package placement

// cpus returns Resources of n CPUs.
func cpus(n int64) Resources { return Resources{CPU: n * 1000} }

// machine returns an on-demand machine with the given number of free CPUs that pulls images at 1 GB per second.
func machine(id, zone string, free int64) Machine {
	return Machine{ID: id, InstanceType: "m", Zone: zone, Free: cpus(free), StartFactors: StartFactors{ImagePullGBPerS: 1}}
}

// with returns m after applying edit to it.
func with(m Machine, edit func(*Machine)) Machine {
	edit(&m)
	return m
}

// job returns a job at risk whose tasks need one CPU each, after applying edit to it if edit is not nil.
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

// gang returns a gang job, after applying edit to it if edit is not nil.
func gang(tasks int, edit func(*Job)) *Job {
	return job("g", tasks, func(j *Job) {
		j.Gang = true
		if edit != nil {
			edit(j)
		}
	})
}
