package caperlatch

import (
	"context"
	"errors"
	"sync"

	"caperlatch/internal/explain"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
)

// errNoExplanation means that the leader's response has no explanation.
var errNoExplanation = errors.New("no explanation in the answer")

// taskCountsTTL is how long the task counts that the leader last sent are valid.
const taskCountsTTL = 5 * micros.Second

// jobView provides a node's view of jobs for the API. It takes the data from this node's own leader or, while this node
// does not lead, from what the remote leader sends and answers.
type jobView struct {
	leadership *localLeadership
	leader     leaderClient

	mu           sync.Mutex
	taskCounts   peer.TaskCounts // as the leader last sent them
	taskCountsAt micros.Micros
}

// setTaskCounts stores the task counts that the leader sent.
func (v *jobView) setTaskCounts(counts peer.TaskCounts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.taskCounts, v.taskCountsAt = counts, micros.Now()
}

// countTasks returns how many tasks of a job are done and how many run. Both are 0 if that is not known.
func (v *jobView) countTasks(id string) (done, running int) {
	if localLeader := v.leadership.localLeader(); localLeader != nil {
		done, running, _ = localLeader.TaskCounts(id)
		return done, running
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if micros.Now()-v.taskCountsAt > taskCountsTTL {
		return 0, 0
	}
	return v.taskCounts.Of(id)
}

// explain returns the explanation of a job by this node's leader or, while this node does not lead, by the remote leader.
func (v *jobView) explain(ctx context.Context, id string) (explain.Explanation, error) {
	if e, err := v.explainAsLeader(id); err == nil {
		return e, nil
	}
	response, err := v.leader.call(ctx, peer.Request{ExplainJob: id})
	if err == nil && response.Explanation == nil {
		err = errNoExplanation
	}
	if err != nil {
		return explain.Explanation{}, err
	}
	return *response.Explanation, nil
}

// explainAsLeader returns the explanation of a job by this node's leader. It fails with ErrNotLeading while this node
// does not lead.
func (v *jobView) explainAsLeader(id string) (explain.Explanation, error) {
	localLeader := v.leadership.localLeader()
	if localLeader == nil {
		return explain.Explanation{}, ErrNotLeading
	}
	e, _ := localLeader.Explain(id)
	return e, nil
}
