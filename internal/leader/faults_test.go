package leader

import (
	"fmt"
	"testing"

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
		b := l.intents["r-1"]
		var jobs []*job
		for i := range 10 {
			j := newJob(replica.Job{Spec: &wire.Job{ID: fmt.Sprintf("j-00010%d", i), Tasks: 20}}, false)
			l.jobs[j.spec.ID] = j
			jobs = append(jobs, j)
		}
		for i := 2; i <= 4; i++ {
			l.addMachine(fmt.Sprintf("i-%d", i), b, l.startedAt)
		}
		now := l.startedAt
		for _, step := range c.steps {
			now += 200 * micros.Millisecond
			if step == "wait" {
				now += 2 * maxProbeBackoff
				continue
			}
			j, m := jobs[step[0]-'0'], l.machines["i-"+step[2:]]
			if step[1] == 'x' {
				j.failures.count++
				l.attributeFailure(m, j, now)
			} else {
				j.doneCount++
				l.recordSuccess(m, j, &attempt{job: j, machine: m, startSequence: 1, startedAt: now}, now)
			}
		}
		for i := 1; i <= 4; i++ {
			want := false
			for _, d := range c.drained {
				want = want || d == i
			}
			if got := l.machines[fmt.Sprintf("i-%d", i)].drainReason != ""; got != want {
				t.Errorf("%s: machine %d emptied: %v, want %v", c.name, i, got, want)
			}
		}
		for i, j := range jobs {
			want := false
			for _, f := range c.atFault {
				want = want || f == i
			}
			if j.failures.quarantined != want {
				t.Errorf("%s: job %d at fault: %v, want %v", c.name, i, j.failures.quarantined, want)
			}
		}
	}
}

// TestProbe has a job put off: it is tried ever more seldom, a few tasks at a time,
// also by the next leader; it brings no demand; and a success ends all that.
func TestProbe(t *testing.T) {
	l, _ := newTestLeader(t)
	b := l.intents["r-1"]
	for i := 2; i <= 3; i++ {
		l.addMachine(fmt.Sprintf("i-%d", i), b, l.startedAt)
	}
	j := newJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 500, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}, SubmittedAt: micros.Wall()}, false)
	l.jobs[j.spec.ID] = j
	l.addDemand(j)
	now := micros.Now()
	window := l.types["m4"].demand
	before := window.Rate(now)
	for i := 1; i <= 3; i++ {
		l.attributeFailure(l.machines[fmt.Sprintf("i-%d", i)], j, now)
	}
	if after := window.Rate(now); before <= 0 || after >= before/2 {
		t.Errorf("demand %v before and %v after it was put off", before, after)
	}
	var pauses []micros.Micros
	for range 6 {
		pauses = append(pauses, j.backoffUntil-now)
		if n := j.startableTasks(j.backoffUntil - 1); n != 0 {
			t.Errorf("%d tasks are tried in the pause", n)
		}
		now = j.backoffUntil
		if n := j.startableTasks(now); n != probeTasks {
			t.Errorf("%d tasks are tried, want %d", n, probeTasks)
		}
		for range probeTasks { // one try
			l.attributeFailure(l.machines["i-1"], j, now)
		}
	}
	for i := 1; i < len(pauses); i++ {
		if pauses[i] < min(maxProbeBackoff, 2*pauses[i-1]) || pauses[i] > maxProbeBackoff {
			t.Errorf("pauses %v", pauses)
		}
	}
	next, _ := newTestLeader(t)
	heir := newJob(replica.Job{Spec: j.spec}, true)
	next.jobs[j.spec.ID] = heir
	next.restoreQuarantinedJobs(l.quarantinedJobs(), now)
	if !heir.failures.quarantined || heir.startableTasks(now) != 0 || heir.startableTasks(heir.backoffUntil) != probeTasks {
		t.Errorf("the next leader tries %d tasks at once", heir.startableTasks(now))
	}
	j.doneCount++
	l.recordSuccess(l.machines["i-2"], j, nil, now)
	if n := j.startableTasks(now); n != 499 {
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
		j := newJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 50, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}}, false)
		l.jobs[j.spec.ID] = j
		j.failures.longestRun = c.failTook
		l.assign(&attempt{job: j, machine: l.machines["i-1"], runningSince: now})
		for i := 2; i <= 4; i++ {
			l.attributeFailure(l.addMachine(fmt.Sprintf("i-%d", i), l.intents["r-1"], now), j, now)
		}
		if !j.failures.quarantined {
			t.Fatalf("%s: not put aside", c.name)
		}
		l.machines["i-1"].heartbeat.receivedAt = now + c.report
		l.newQueue(now + c.report)
		if j.failures.quarantined != c.atFault {
			t.Errorf("%s: at fault %v, want %v", c.name, j.failures.quarantined, c.atFault)
		}
	}
}
