package caperlatch

import (
	"context"
	"errors"
	"sync"

	"caperlatch/internal/explain"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
)

// errNoExplanation is for an answer of a leader that does not explain jobs.
var errNoExplanation = errors.New("no explanation in the answer")

// taskCountsTTL is how long the counts that the leader sent last are shown.
const taskCountsTTL = 5 * micros.Second

// jobView is what a node shows of jobs: what its own leader knows or, while it does not lead,
// what the leader sent and answers.
type jobView struct {
	leadership *localLeadership
	leader     leaderClient

	mu           sync.Mutex
	taskCounts   peer.TaskCounts // as the leader last sent them
	taskCountsAt micros.Micros
}

// setTaskCounts keeps the counts that the leader sent.
func (v *jobView) setTaskCounts(counts peer.TaskCounts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.taskCounts, v.taskCountsAt = counts, micros.Now()
}

// countTasks returns how many tasks of a job are done and how many run, 0 if that is not known.
func (v *jobView) countTasks(id string) (done, running int) {
	if local := v.leadership.local(); local != nil {
		done, running, _ = local.TaskCounts(id)
		return done, running
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if micros.Now()-v.taskCountsAt > taskCountsTTL {
		return 0, 0
	}
	return v.taskCounts.Of(id)
}

// explain asks the leader, here or elsewhere, about a job.
func (v *jobView) explain(ctx context.Context, id string) (explain.Explanation, error) {
	if e, err := v.explainAsLeader(id); err == nil {
		return e, nil
	}
	response, err := v.leader.ask(ctx, peer.Request{ExplainJob: id})
	if err == nil && response.Explanation == nil {
		err = errNoExplanation
	}
	if err != nil {
		return explain.Explanation{}, err
	}
	return *response.Explanation, nil
}

// explainAsLeader returns what this node's leader knows of a job. The error is ErrNotLeading
// without a leader here.
func (v *jobView) explainAsLeader(id string) (explain.Explanation, error) {
	local := v.leadership.local()
	if local == nil {
		return explain.Explanation{}, ErrNotLeading
	}
	e, _ := local.Explain(id)
	return e, nil
}
