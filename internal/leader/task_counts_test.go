package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestTaskCountsOfLargeFleet checks that AllTaskCounts returns the counts of all of 16,000 running jobs, and that these
// counts fit into one message to another node. A fleet of 4,000 machines can run 16,000 single-task jobs. The counts of
// jobs beyond the first 2,000 were once left out.
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
		t.Errorf("counts of %d of %d jobs in a message of %d bytes, want all jobs in at most 1 MiB", len(counts), jobs, len(message))
	}
}
