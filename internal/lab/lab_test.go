package lab

import (
	"io"
	"testing"
	"time"

	"caperlatch/internal/cluster"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestSampleBesideStarts samples while workers start tasks: the checker of rules tells the history
// of these under its lock, and the two must not wait for each other.
func TestSampleBesideStarts(t *testing.T) {
	l, err := New(Options{Nodes: 3, Machines: 1, For: time.Second}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	l.processes, err = cluster.NewProcesses(cluster.Config{
		Settings: func(node int) *settings.Settings { s, _ := sampleSettings(node, 3); return s },
		Nodes:    3,
		Dir:      t.TempDir(),
		RunFor:   l.runFor,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.processes.Close()
	l.observe()
	rules := l.processes.Rules
	rules.Rented("i-000000", wire.Rental{Type: "m4", Zone: "a", Spot: true, Count: 1})
	rules.Submits(classes[0].job(jobID(0, 1)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			rules.Started(jobID(0, 1)+"/0", "i-000000")
			rules.Left(jobID(0, 1)+"/0", "i-000000", false)
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
