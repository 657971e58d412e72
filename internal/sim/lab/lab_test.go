package lab

import (
	"io"
	"testing"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// TestSummary tells what was wrong with a run.
func TestSummary(t *testing.T) {
	cases := []struct {
		name string
		run  Summary
		want string // of the error
	}{
		{"all well", Summary{Seed: 7}, ""},
		{"a rule broken", Summary{Seed: 7, Violations: []string{"ran_twice: j-1000001/0"}, FirstViolationAt: 3 * time.Second}, "a rule was broken after 3.0 s, seed 7: ran_twice: j-1000001/0"},
		{"jobs open", Summary{Seed: 7, OpenJobs: []string{"j-1000001"}}, "1 jobs were not done in time, seed 7: j-1000001"},
	}
	for _, c := range cases {
		text := ""
		if err := c.run.Err(); err != nil {
			text = err.Error()
		}
		if text != c.want {
			t.Errorf("%s: %q, want %q", c.name, text, c.want)
		}
	}
}

// TestSampleBesideStarts samples while workers start tasks: the checker of rules tells the history
// of these under its lock, and the two must not wait for each other.
func TestSampleBesideStarts(t *testing.T) {
	l, err := New(Options{Nodes: 3, Machines: 1, SubmitFor: time.Second}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	l.processes, err = harness.NewProcessCluster(harness.ProcessConfig{
		Settings:  func(node int) *settings.Settings { s, _ := sampleSettings(node, 3); return s },
		Nodes:     3,
		Dir:       t.TempDir(),
		RuntimeOf: l.runFor,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.processes.Close()
	l.observe()
	rules := l.processes.Rules
	rules.ObserveLaunch("i-000000", wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true, Count: 1})
	rules.ObserveSubmission(classes[0].job(jobID(0, 1)))
	done := make(chan struct{})
	go func() {
		defer close(done)
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
			case <-done:
				return
			default:
				l.sample()
			}
		}
	}()
	select {
	case <-sampled:
	case <-time.After(time.Minute):
		t.Fatal("they wait for each other")
	}
}
