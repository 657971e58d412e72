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

// TestWritePriority checks the order of pending writes for a job that is done, a machine that has booted and many
// terminated machines. The many writes for the terminated machines must not delay the final states of users' jobs.
func TestWritePriority(t *testing.T) {
	l, _ := newTestLeader(t)
	for i := range 40 {
		intent := l.fleet.AddIntent(fmt.Sprintf("r-0-%d", i), fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-x", "i-y"}})
		m := l.fleet.Add(fmt.Sprintf("i-9%02d", i), intent, l.startedAt)
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
	// The autoscaler's record is written before job progress. When it was written after progress, a busy leader never
	// wrote it, and the next leader did not know the quarantined jobs.
	if len(writes) < 3 || !more || writes[0].Key != replica.JobPrefix+"j-000001" || writes[1].Key != fleet.ListKey(0) || writes[2].Key != replica.AutoscalerKey {
		t.Fatalf("first batch of writes %+v, more pending: %t; want the job, the machine list and the autoscaler's record first, and more pending", writes, more)
	}
	if writes, _ = l.writes.Collect(); len(writes) == 0 {
		t.Error("the second batch of writes is empty, want the writes for the terminated machines")
	}
	for _, write := range writes {
		if !strings.HasPrefix(write.Key, replica.LaunchIntentPrefix) {
			t.Errorf("the second batch of writes includes %s, want only the launch intents of terminated machines", write.Key)
		}
	}
}

// TestDeleteOrphanedKeys checks that stored keys of launch intents and jobs that no longer exist are deleted, and that
// keys in use are not. A key is orphaned if the state service carries out a delayed write of it after its deletion.
func TestDeleteOrphanedKeys(t *testing.T) {
	l, _ := newTestLeader(t)
	orphaned := []string{replica.LaunchIntentPrefix + "r-9", state.ProgressKey("j-000009", 0)}
	for _, key := range append(orphaned, replica.LaunchIntentPrefix+"r-1", state.ProgressKey("j-000001", 0)) {
		l.Replica.ApplyPut(key, map[string]any{}, 5)
	}
	l.deleteOrphanedKeys()
	writes, _ := l.writes.Collect()
	var deleted []string
	for _, write := range writes {
		if write.Value != nil || write.ModRevision != 5 {
			t.Errorf("write %+v, want a deletion at mod revision 5", write)
		}
		deleted = append(deleted, write.Key)
	}
	if !slices.Equal(deleted, orphaned) {
		t.Errorf("deleted %v, want %v", deleted, orphaned)
	}
}

// TestFinalStateKeepsCancellation checks that the final state of a job that the leader has found done does not
// overwrite a cancellation that the replica has received since. Such an overwrite once happened, and the simulator's
// checker reported it as a violation of its rule went_back.
func TestFinalStateKeepsCancellation(t *testing.T) {
	l, _ := newTestLeader(t)
	j := l.jobs["j-000001"]
	for i := range j.Spec.Tasks {
		j.Done.Set(i)
		j.DoneCount++
	}
	l.finishIfDone(j)
	if writes, _ := l.writes.Collect(); len(writes) != 1 || writes[0].ModRevision != 1 {
		t.Fatalf("writes %+v, want only the final state, at mod revision 1, which the job had when it was found done", writes)
	}
	l.writes.Enqueue(replica.JobPrefix + "j-000001")
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobCancelled}, 2)
	if writes, _ := l.writes.Collect(); len(writes) != 0 {
		t.Errorf("writes %+v after the job was cancelled, want none", writes)
	}
}
