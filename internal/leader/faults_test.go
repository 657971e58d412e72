package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestAttributeFault has tasks fail and succeed, step by step. A job that was submitted with a
// mistake fails on every machine and must cost none; a machine that fails everything
// is found all the same, also among such jobs. Steps: "2x1" is a failure of job 2 on
// machine 1, "2+1" a success there of a task that began after all before.
func TestAttributeFault(t *testing.T) {
	cases := []struct {
		name    string
		steps   []string
		drained []int // machines
		atFault []int // jobs
	}{
		{"one failure", []string{"0x1"}, nil, nil},
		{"a job on one machine, again and again within a moment", []string{"0x1", "0x1", "0x1", "0x1"}, nil, nil},
		{"a job on three machines", []string{"0x1", "0x2", "0x3"}, nil, []int{0}},
		{"many such jobs on the same machines", []string{"0x1", "1x2", "2x3", "0x2", "1x3", "2x1", "0x3", "1x1", "2x2", "0x1", "1x1", "2x1"}, nil, []int{0, 1, 2}},
		{"such jobs before and after good ones on one machine", []string{"0x1", "1x1", "2+1", "3x1", "4x1", "2+1"}, nil, nil},
		{"a machine that does well afterwards proves the job wrong", []string{"0x1", "1+1", "wait", "0x1"}, nil, []int{0}},
		{"one that had done well before proves nothing", []string{"1+1", "0x1", "wait", "0x1"}, nil, nil},
		{"a good job fails on a machine twice", []string{"0+2", "0x1", "0x1"}, []int{1}, nil},
		{"a job succeeds elsewhere after its failures", []string{"0x1", "1x1", "0+2", "1+2"}, []int{1}, nil},
		{"three jobs fail there and nowhere else", []string{"0x1", "1x1", "2x1"}, []int{1}, nil},
		// It must not be put aside for what three bad machines did to it.
		{"a good job meets bad machines only", []string{"9+4", "0x1", "0x2", "0x3", "9x1", "9x1", "9x2", "9x2"}, []int{1, 2}, nil},
		{"a job at fault after all succeeds", []string{"0x1", "0x2", "0x3", "0+4"}, nil, nil},
		// Nothing else to tell which is at fault: it costs one machine to find out, not
		// one after another.
		{"the only machine and the only job", []string{"0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1"}, []int{1}, nil},
		{"and on the next one", []string{"0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "0x2", "wait", "0x2", "wait", "0x2", "wait", "0x2"}, []int{1}, nil},
		{"three jobs with mistakes on one machine and then on others", []string{"0x1", "1x1", "2x1", "0x2", "1x2", "2x2", "0x3", "1x3", "2x3"}, []int{1}, []int{0, 1, 2}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		b := l.fleet.Intent("r-1")
		var jobs []*state.Job
		for i := range 10 {
			j := state.NewJob(replica.Job{Spec: &wire.Job{ID: fmt.Sprintf("j-00010%d", i), Tasks: 20}}, false)
			l.jobs[j.Spec.ID] = j
			jobs = append(jobs, j)
		}
		for i := 2; i <= 4; i++ {
			l.fleet.Add(fmt.Sprintf("i-%d", i), b, l.startedAt)
		}
		now := l.startedAt
		for _, step := range c.steps {
			now += 200 * micros.Millisecond
			if step == "wait" {
				now += 2 * maxProbeBackoff
				continue
			}
			j, m := jobs[step[0]-'0'], l.fleet.Machines["i-"+step[2:]]
			if step[1] == 'x' {
				j.Failures.Count++
				l.attributeFailure(m, j, now)
			} else {
				j.DoneCount++
				l.recordSuccess(m, j, &state.Attempt{Job: j, Machine: m, StartSequence: 1, StartedAt: now}, now)
			}
		}
		for i := 1; i <= 4; i++ {
			want := false
			for _, d := range c.drained {
				want = want || d == i
			}
			if got := l.fleet.Machines[fmt.Sprintf("i-%d", i)].DrainReason != ""; got != want {
				t.Errorf("%s: machine %d emptied: %v, want %v", c.name, i, got, want)
			}
		}
		for i, j := range jobs {
			want := false
			for _, f := range c.atFault {
				want = want || f == i
			}
			if j.Failures.Quarantined != want {
				t.Errorf("%s: job %d at fault: %v, want %v", c.name, i, j.Failures.Quarantined, want)
			}
		}
	}
}

// TestProbe has a job put off: it is tried ever more seldom, a few tasks at a time,
// also by the next leader; it brings no demand; and a success ends all that.
func TestProbe(t *testing.T) {
	l, _ := newTestLeader(t)
	b := l.fleet.Intent("r-1")
	for i := 2; i <= 3; i++ {
		l.fleet.Add(fmt.Sprintf("i-%d", i), b, l.startedAt)
	}
	j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 500, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}, SubmittedAt: micros.Wall()}, false)
	l.jobs[j.Spec.ID] = j
	l.scaler.AddDemand(j)
	now := micros.Now()
	window := l.scaler.Type("m4").Demand
	before := window.Rate(now)
	for i := 1; i <= 3; i++ {
		l.attributeFailure(l.fleet.Machines[fmt.Sprintf("i-%d", i)], j, now)
	}
	if after := window.Rate(now); before <= 0 || after >= before/2 {
		t.Errorf("demand %v before and %v after it was put off", before, after)
	}
	var pauses []micros.Micros
	for range 6 {
		pauses = append(pauses, j.BackoffUntil-now)
		if n := j.StartableTasks(j.BackoffUntil - 1); n != 0 {
			t.Errorf("%d tasks are tried in the pause", n)
		}
		now = j.BackoffUntil
		if n := j.StartableTasks(now); n != state.ProbeTasks {
			t.Errorf("%d tasks are tried, want %d", n, state.ProbeTasks)
		}
		for range state.ProbeTasks { // one try
			l.attributeFailure(l.fleet.Machines["i-1"], j, now)
		}
	}
	for i := 1; i < len(pauses); i++ {
		if pauses[i] < min(maxProbeBackoff, 2*pauses[i-1]) || pauses[i] > maxProbeBackoff {
			t.Errorf("pauses %v", pauses)
		}
	}
	next, _ := newTestLeader(t)
	heir := state.NewJob(replica.Job{Spec: j.Spec}, true)
	next.jobs[j.Spec.ID] = heir
	next.restoreQuarantinedJobs(l.quarantinedJobs(), now)
	if !heir.Failures.Quarantined || heir.StartableTasks(now) != 0 || heir.StartableTasks(heir.BackoffUntil) != state.ProbeTasks {
		t.Errorf("the next leader tries %d tasks at once", heir.StartableTasks(now))
	}
	j.DoneCount++
	l.recordSuccess(l.fleet.Machines["i-2"], j, nil, now)
	if n := j.StartableTasks(now); n != 499 {
		t.Errorf("%d tasks may start after a success", n)
	}
}

// TestPardon has a good job fail on three faulty machines in its first second: it is not
// put aside for long, as a report shows its other tasks to run on.
func TestPardon(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name             string
		failTook, report micros.Micros // the latter of the machine of a running task, since it began
		atFault          bool
	}{
		{"nothing was heard of it since", 0, s, true},
		{"it runs on", 0, 4 * s, false},
		{"it runs no longer than what failed", 10 * s, 15 * s, true},
	} {
		l, _ := newTestLeader(t)
		now := micros.Now()
		j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 50, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}}, false)
		l.jobs[j.Spec.ID] = j
		j.Failures.LongestRun = c.failTook
		l.assign(&state.Attempt{Job: j, Machine: l.fleet.Machines["i-1"], RunningSince: now})
		for i := 2; i <= 4; i++ {
			l.attributeFailure(l.fleet.Add(fmt.Sprintf("i-%d", i), l.fleet.Intent("r-1"), now), j, now)
		}
		if !j.Failures.Quarantined {
			t.Fatalf("%s: not put aside", c.name)
		}
		l.fleet.Machines["i-1"].Heartbeat.ReceivedAt = now + c.report
		l.scheduler.Plan(now + c.report)
		if j.Failures.Quarantined != c.atFault {
			t.Errorf("%s: at fault %v, want %v", c.name, j.Failures.Quarantined, c.atFault)
		}
	}
}
