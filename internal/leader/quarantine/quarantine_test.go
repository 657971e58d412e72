package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// newTestQuarantine returns a quarantine of the machines i-1 to i-4, and the autoscaler that counts the demand of its
// jobs.
func newTestQuarantine(t *testing.T) (*Quarantine, *autoscaler.Scaler) {
	t.Helper()
	jobs := map[string]*state.Job{}
	f := fleet.New(fleet.Config{InstanceType: func(string) (fleet.InstanceType, bool) {
		return fleet.InstanceType{Capacity: placement.Resources{CPU: 4000, Memory: 16000}}, true
	}})
	scaler := autoscaler.New(autoscaler.Config{
		Tuning:   settings.DefaultTuning(),
		Fleet:    f,
		Workload: workload.New(settings.Params{Teams: []settings.Team{{Name: "blue"}}}),
		Jobs:     jobs,
	})
	scaler.SetInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}}}})
	intent := f.AddIntent("r-1", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
	for i := 1; i <= 4; i++ {
		f.Add(fmt.Sprintf("i-%d", i), intent, micros.Now())
	}
	return New(Config{
		Fleet:  f,
		Jobs:   jobs,
		Demand: scaler,
		StopTask: func(a *state.Attempt, _ micros.Micros, reason string) {
			t.Errorf("task %s is stopped with reason %q, want no task stopped", a.TaskID(), reason)
		},
		EvictGangTask: func(a *state.Attempt, _ micros.Micros, reason string, _ micros.Micros) {
			t.Errorf("task %s is evicted with reason %q, want no task evicted", a.TaskID(), reason)
		},
		OnChange: func() {},
	}), scaler
}

// TestAttributeFailure checks which machines and jobs are quarantined after a sequence of failures and successes. A
// job that was submitted with a mistake fails on every machine and must not cause any machine to be drained. A machine
// on which all tasks fail must be detected even if jobs with mistakes fail on it too. The step "2x1" is a failure of
// job 2 on machine 1. "2+1" is a success of job 2 on machine 1, of a task that started after all earlier steps. "wait"
// lets every backoff expire.
func TestAttributeFailure(t *testing.T) {
	cases := []struct {
		name        string
		steps       []string
		drained     []int // numbers of the machines
		quarantined []int // numbers of the jobs
	}{
		{"one failure", []string{"0x1"}, nil, nil},
		{"a job fails on one machine repeatedly within a second", []string{"0x1", "0x1", "0x1", "0x1"}, nil, nil},
		{"a job fails on three machines", []string{"0x1", "0x2", "0x3"}, nil, []int{0}},
		{"three jobs fail on the same three machines", []string{"0x1", "1x2", "2x3", "0x2", "1x3", "2x1", "0x3", "1x1", "2x2", "0x1", "1x1", "2x1"}, nil, []int{0, 1, 2}},
		{"jobs fail on one machine before and after a good job succeeds there", []string{"0x1", "1x1", "2+1", "3x1", "4x1", "2+1"}, nil, nil},
		{"a later success on the machine proves the job to be faulty", []string{"0x1", "1+1", "wait", "0x1"}, nil, []int{0}},
		{"an earlier success on the machine proves nothing", []string{"1+1", "0x1", "wait", "0x1"}, nil, nil},
		{"a good job fails on a machine twice", []string{"0+2", "0x1", "0x1"}, []int{1}, nil},
		{"a job succeeds elsewhere after its failures", []string{"0x1", "1x1", "0+2", "1+2"}, []int{1}, nil},
		{"three jobs fail on one machine and no other", []string{"0x1", "1x1", "2x1"}, []int{1}, nil},
		// The job must not stay quarantined for failures on three faulty machines.
		{"a good job runs on faulty machines only", []string{"9+4", "0x1", "0x2", "0x3", "9x1", "9x1", "9x2", "9x2"}, []int{1, 2}, nil},
		{"a quarantined job succeeds later", []string{"0x1", "0x2", "0x3", "0+4"}, nil, nil},
		// With one job and one machine, nothing else shows which is at fault. Only one machine may be drained to find out.
		{"the only machine and the only job", []string{"0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1"}, []int{1}, nil},
		{"the only job, on the only machine and then on the next one", []string{"0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "wait", "0x1", "0x2", "wait", "0x2", "wait", "0x2", "wait", "0x2"}, []int{1}, nil},
		{"three jobs with mistakes on one machine and then on two others", []string{"0x1", "1x1", "2x1", "0x2", "1x2", "2x2", "0x3", "1x3", "2x3"}, []int{1}, []int{0, 1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, _ := newTestQuarantine(t)
			var jobs []*state.Job
			for i := range 10 {
				j := state.NewJob(replica.Job{Spec: &wire.Job{ID: fmt.Sprintf("j-00010%d", i), Tasks: 20}}, false)
				q.Jobs[j.Spec.ID] = j
				jobs = append(jobs, j)
			}
			now := micros.Now()
			for _, step := range c.steps {
				now += 200 * micros.Millisecond
				if step == "wait" {
					now += 2 * maxProbeBackoff
					continue
				}
				j, m := jobs[step[0]-'0'], q.Fleet.Machines["i-"+step[2:]]
				if step[1] == 'x' {
					j.Failures.Count++
					q.AttributeFailure(m, j, now)
				} else {
					j.DoneCount++
					q.RecordSuccess(m, j, &state.Attempt{Job: j, Machine: m, StartSequence: 1, StartedAt: now}, now)
				}
			}
			for i := 1; i <= 4; i++ {
				want := slices.Contains(c.drained, i)
				if got := q.Fleet.Machines[fmt.Sprintf("i-%d", i)].DrainReason != ""; got != want {
					t.Errorf("machine %d drained: %v, want %v", i, got, want)
				}
			}
			for i, j := range jobs {
				if want := slices.Contains(c.quarantined, i); j.Failures.Quarantined != want {
					t.Errorf("job %d quarantined: %v, want %v", i, j.Failures.Quarantined, want)
				}
			}
		})
	}
}

// TestProbes checks that a quarantined job is probed a few tasks at a time with a growing backoff, also by the next
// leader, that it adds no demand, and that a success ends the quarantine.
func TestProbes(t *testing.T) {
	q, scaler := newTestQuarantine(t)
	j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Team: "blue", Tasks: 500, CPUs: 1, EstimatedRuntimeS: 10, AllowSpot: true}, SubmittedAt: micros.WallTime()}, false)
	q.Jobs[j.Spec.ID] = j
	scaler.AddDemand(j)
	now := micros.Now()
	demand := scaler.Type("m4").Demand
	before := demand.Rate(now)
	for i := 1; i <= 3; i++ {
		q.AttributeFailure(q.Fleet.Machines[fmt.Sprintf("i-%d", i)], j, now)
	}
	if after := demand.Rate(now); before <= 0 || after >= before/2 {
		t.Errorf("demand is %v before and %v after the job was quarantined, want it positive before and less than half of that after", before, after)
	}
	var backoffs []micros.Micros
	for range 6 {
		backoffs = append(backoffs, j.BackoffUntil-now)
		if n := j.StartableTasks(j.BackoffUntil - 1); n != 0 {
			t.Errorf("%d tasks may start during the backoff, want none", n)
		}
		now = j.BackoffUntil
		if n := j.StartableTasks(now); n != state.ProbeTasks {
			t.Errorf("%d tasks may start after the backoff, want %d", n, state.ProbeTasks)
		}
		for range state.ProbeTasks { // failures of one probe
			q.AttributeFailure(q.Fleet.Machines["i-1"], j, now)
		}
	}
	if backoffs[0] <= 0 {
		t.Errorf("the first probe is %v after the quarantine, want a positive backoff", backoffs[0].Duration())
	}
	for i := 1; i < len(backoffs); i++ {
		if backoffs[i] < min(maxProbeBackoff, 2*backoffs[i-1]) || backoffs[i] > maxProbeBackoff {
			t.Errorf("backoffs are %d µs, want each at least twice the previous one, up to %d µs", backoffs, maxProbeBackoff)
		}
	}
	next, _ := newTestQuarantine(t)
	restored := state.NewJob(replica.Job{Spec: j.Spec}, true)
	next.Jobs[j.Spec.ID] = restored
	next.Restore(q.Snapshot(), now)
	if !restored.Failures.Quarantined || restored.StartableTasks(now) != 0 || restored.StartableTasks(restored.BackoffUntil) != state.ProbeTasks {
		t.Errorf("under the next leader, the job is quarantined: %t, and may start %d tasks at once and %d after the backoff; want true, 0 and %d",
			restored.Failures.Quarantined, restored.StartableTasks(now), restored.StartableTasks(restored.BackoffUntil), state.ProbeTasks)
	}
	j.DoneCount++
	q.RecordSuccess(q.Fleet.Machines["i-2"], j, nil, now)
	if n := j.StartableTasks(now); n != 499 {
		t.Errorf("%d tasks may start after a success, want 499", n)
	}
}

// TestOutlivingTaskPreventsQuarantine checks that a job that fails on three machines is not quarantined if another of
// its tasks is running and has run much longer than the failed ones.
func TestOutlivingTaskPreventsQuarantine(t *testing.T) {
	for _, c := range []struct {
		name        string
		ran         micros.Micros // run time of the running task, as of the latest heartbeat of its machine
		quarantined bool
	}{
		{"runs not much longer than the failed tasks", 3 * micros.Second, true},
		{"runs much longer than the failed tasks", 3*micros.Second + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, _ := newTestQuarantine(t)
			now := micros.Now()
			j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000200", Tasks: 50}}, false)
			q.Jobs[j.Spec.ID] = j
			m := q.Fleet.Machines["i-4"]
			(&state.Attempt{Job: j, Machine: m, RunningSince: now - c.ran}).Attach()
			m.Heartbeat.ReceivedAt = now
			for i := 1; i <= 3; i++ {
				q.AttributeFailure(q.Fleet.Machines[fmt.Sprintf("i-%d", i)], j, now)
			}
			if j.Failures.Quarantined != c.quarantined {
				t.Errorf("job quarantined: %v, want %v", j.Failures.Quarantined, c.quarantined)
			}
		})
	}
}

// TestDrain checks that the tasks on a quarantined machine are stopped with a grace period if they can save a
// checkpoint, and run on otherwise.
func TestDrain(t *testing.T) {
	q, _ := newTestQuarantine(t)
	m, now := q.Fleet.Machines["i-1"], micros.Now()
	newJob := func(spec wire.Job) *state.Job {
		j := state.NewJob(replica.Job{Spec: &spec}, false)
		q.Jobs[spec.ID] = j
		(&state.Attempt{Job: j, Machine: m}).Attach()
		return j
	}
	newJob(wire.Job{ID: "j-000001", Kind: wire.KindArray, Tasks: 2})
	newJob(wire.Job{ID: "j-000002", Kind: wire.KindArray, Tasks: 2, CheckpointIntervalS: 60, CheckpointDurationS: 4})
	gang := newJob(wire.Job{ID: "j-000003", Kind: wire.KindGang, Tasks: 2, CheckpointIntervalS: 60, CheckpointDurationS: 5})
	var got []string
	q.StopTask = func(a *state.Attempt, grace micros.Micros, reason string) {
		got = append(got, fmt.Sprintf("stop %s %v %s", a.TaskID(), grace.Duration(), reason))
	}
	q.EvictGangTask = func(a *state.Attempt, grace micros.Micros, reason string, at micros.Micros) {
		got = append(got, fmt.Sprintf("evict %s %v %s %v", a.TaskID(), grace.Duration(), reason, at == now))
	}
	good := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000004", Tasks: 20}}, false)
	good.DoneCount = 1
	q.AttributeFailure(m, good, now)
	if m.DrainReason != "" || len(got) > 0 {
		t.Errorf("after one failure: drain reason %q, stopped tasks %q; want no drain reason and no stopped tasks", m.DrainReason, got)
	}
	q.AttributeFailure(m, good, now)
	want := []string{
		fmt.Sprintf("evict j-000003/0 %v its machine is faulty true", state.CheckpointGrace(gang).Duration()),
		"stop j-000002/0 4s its machine is faulty",
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		t.Errorf("stopped and evicted tasks %q, want %q", got, want)
	}
	if m.DrainReason != "tasks fail on it" || m.Quarantine.Since != now {
		t.Errorf("drain reason %q, quarantined since %v; want \"tasks fail on it\", since %v", m.DrainReason, m.Quarantine.Since.Duration(), now.Duration())
	}
}
