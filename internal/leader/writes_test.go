package leader

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestWritePriority has the end of a job, a machine that came up and many terminated machines
// wait to be written: the many must not keep users from the ends of their jobs.
func TestWritePriority(t *testing.T) {
	l, _ := newTestLeader(t)
	for i := range 40 {
		b := l.fleet.AddIntent(fmt.Sprintf("r-0-%d", i), fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-x", "i-y"}})
		m := l.fleet.Add(fmt.Sprintf("i-9%02d", i), b, l.startedAt)
		l.fleet.Remove(m)
	}
	l.writes.Enqueue(replica.AutoscalerKey)
	l.fleet.RegisterRunning(l.fleet.Add("i-2", l.fleet.Intent("r-1"), l.startedAt))
	j := l.jobs["j-000001"]
	for i := range j.Spec.Tasks {
		j.Done.Set(i)
		j.DoneCount++
	}
	l.writes.Enqueue(state.ProgressKey("j-000002", 0))
	l.finishIfDone(j)
	writes, more := l.writes.Collect()
	// The autoscaler's record goes before progress: behind it, a busy leader's was never written, and
	// the next one knew nothing of the quarantined jobs.
	if len(writes) < 3 || !more || writes[0].Key != replica.JobPrefix+"j-000001" || writes[1].Key != fleet.ListKey(0) || writes[2].Key != replica.AutoscalerKey {
		t.Fatalf("written first: %+v", writes)
	}
	if writes, _ = l.writes.Collect(); len(writes) == 0 {
		t.Error("nothing is written after them")
	}
	for _, write := range writes {
		if !strings.HasPrefix(write.Key, replica.LaunchIntentPrefix) {
			t.Errorf("%s is written before terminated machines", write.Key)
		}
	}
}

// TestDeleteLeftovers has writes carried out late, when what they were for is no longer needed: these keys
// are deleted, and what is in use is not.
func TestDeleteLeftovers(t *testing.T) {
	l, _ := newTestLeader(t)
	leftovers := []string{replica.LaunchIntentPrefix + "r-9", state.ProgressKey("j-000009", 0)}
	for _, key := range append(leftovers, replica.LaunchIntentPrefix+"r-1", state.ProgressKey("j-000001", 0)) {
		l.Replica.ApplyPut(key, map[string]any{}, 5)
	}
	l.deleteOrphanedKeys()
	writes, _ := l.writes.Collect()
	var deleted []string
	for _, write := range writes {
		if write.Value != nil || write.ModRevision != 5 {
			t.Errorf("written: %+v", write)
		}
		deleted = append(deleted, write.Key)
	}
	if !slices.Equal(deleted, leftovers) {
		t.Errorf("deleted %v, want %v", deleted, leftovers)
	}
}

// TestFinalStateKeepsCancellation guards against a rule once broken (went_back): a cancellation that the replica saw after the
// leader had decided that the job is done must not be overwritten.
func TestFinalStateKeepsCancellation(t *testing.T) {
	l, _ := newTestLeader(t)
	j := l.jobs["j-000001"]
	for i := range j.Spec.Tasks {
		j.Done.Set(i)
		j.DoneCount++
	}
	l.finishIfDone(j)
	if writes, _ := l.writes.Collect(); len(writes) != 1 || writes[0].ModRevision != 1 {
		t.Fatalf("the end is written as %+v, want under the mod revision decided on", writes)
	}
	l.writes.Enqueue(replica.JobPrefix + "j-000001")
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobCancelled}, 2)
	if writes, _ := l.writes.Collect(); len(writes) != 0 {
		t.Errorf("a cancelled job is written as %+v", writes)
	}
}
