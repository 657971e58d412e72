package lab

import (
	"io"
	"testing"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// TestSummaryErr checks the error of a summary for successful and failed runs.
func TestSummaryErr(t *testing.T) {
	cases := []struct {
		name string
		run  Summary
		want string // text of the error
	}{
		{"successful run", Summary{Seed: 7}, ""},
		{"rule violation", Summary{Seed: 7, Violations: []string{"ran_twice: j-1000001/0"}, FirstViolationAt: 3 * time.Second}, "a rule was broken after 3.0 s, seed 7: ran_twice: j-1000001/0"},
		{"open jobs", Summary{Seed: 7, OpenJobs: []string{"j-1000001"}}, "1 jobs were not done in time, seed 7: j-1000001"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := ""
			if err := c.run.Err(); err != nil {
				text = err.Error()
			}
			if text != c.want {
				t.Errorf("got error %q, want %q", text, c.want)
			}
		})
	}
}

// TestRecordSampleDoesNotDeadlockWithChecker records samples while workers start tasks. The checker calls the history
// while holding its own lock, so a sampler that called the checker while holding a lock that the history needs would
// cause a deadlock.
func TestRecordSampleDoesNotDeadlockWithChecker(t *testing.T) {
	l, err := New(Options{Nodes: 3, Machines: 1, SubmitFor: time.Second}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	l.cluster, err = harness.NewProcessCluster(harness.ProcessConfig{
		Settings:  func(node int) *settings.Settings { s, _ := nodeSettings(node, 3); return s },
		Nodes:     3,
		Dir:       t.TempDir(),
		RuntimeOf: l.runtimeOf,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.cluster.Close()
	l.startHistory()
	rules := l.cluster.Rules
	rules.ObserveLaunch("i-000000", wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true, Count: 1})
	rules.ObserveSubmission(classes[0].newJob(jobID(0, 1)))
	started := make(chan struct{})
	go func() {
		defer close(started)
		for range 20_000 {
			rules.ObserveStart(jobID(0, 1)+"/0", "i-000000")
			rules.ObserveExit(jobID(0, 1)+"/0", "i-000000", false)
		}
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-started:
				return
			default:
				l.recordSample()
			}
		}
	}()
	select {
	case <-sampled:
	case <-time.After(time.Minute):
		t.Fatal("samples were not recorded within a minute: deadlock between the checker and the history")
	}
}
