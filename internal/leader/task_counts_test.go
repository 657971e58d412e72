package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestTaskCountsOfLargeFleet has 16,000 jobs run, as single tasks on 4,000 machines do: the
// counts of all go to the other nodes, in one message. Beyond 2,000 they were left out.
func TestTaskCountsOfLargeFleet(t *testing.T) {
	const jobs, messageBytes = 16000, 1 << 20
	l, _ := newTestLeader(t)
	for i := range jobs {
		id := fmt.Sprintf("j-1%05d", i)
		j := state.NewJob(replica.Job{State: wire.JobPending, SubmittedAt: micros.WallTime(), Spec: &wire.Job{ID: id, Tasks: 1}}, false)
		j.RunningCount = 1
		l.jobs[id] = j
	}
	counts, _ := l.AllTaskCounts()
	message, err := wire.Marshal(counts)
	if err != nil {
		t.Fatal(err)
	}
	if len(counts) != jobs || len(message) > messageBytes {
		t.Errorf("%d of %d jobs are counted, in %d bytes", len(counts), jobs, len(message))
	}
}
