package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/explain"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// explainBarrierTimeout bounds the read barrier of an explanation. It is well below userTimeout, which leaves
// time for the query to the leader.
const explainBarrierTimeout = 700 * micros.Millisecond

// errReplicaNotLoaded means that this node's replica has not loaded the stored jobs yet.
var errReplicaNotLoaded = errors.New("this node has not read the state service yet")

// Explainer is the part of a node that explains the state of jobs.
type Explainer interface {
	JobProgress
	// Explain asks the leader to explain the state of a job.
	Explain(ctx context.Context, id string) (explain.Explanation, error)
}

// explainHandler serves explanations of jobs to operators.
type explainHandler struct {
	explainer Explainer
	member    string // name of this node
	replica   *replica.Replica
}

func newExplainHandler(config Config) *explainHandler {
	return &explainHandler{explainer: config.Node, member: config.Settings.Member, replica: config.Replica}
}

// explain responds with an explanation of a job's state. Operators need it most during a failover, during an
// outage of the state service, or while the leader does not respond. The response then holds what this node
// knows, and how old that is.
func (h *explainHandler) explain(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout.Duration())
	defer cancel()
	id := c.Param("id")
	if !wire.IsValidJobID(id) {
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	if !h.replica.IsLoaded() {
		return respondError(c, http.StatusServiceUnavailable, errReplicaNotLoaded)
	}
	barrierCtx, cancelBarrier := context.WithTimeout(ctx, explainBarrierTimeout.Duration())
	barrierErr := h.replica.Barrier(barrierCtx)
	cancelBarrier()
	job, _, ok := h.replica.Job(id)
	ageS := (micros.Now() - h.replica.CurrentAsOf()).Seconds()
	switch {
	case !ok && barrierErr != nil:
		return respondError(c, http.StatusServiceUnavailable, fmt.Errorf("not known here, and the state service has not answered for %.0f s", ageS))
	case !ok:
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	explanation := h.explanation(ctx, id, job, ageS)
	if barrierErr != nil {
		explanation.Notes = append(explanation.Notes, fmt.Sprintf(
			"the state service has not answered %s for %.0f s: what was submitted, cancelled or stored since is not known here", h.member, ageS))
	}
	return respond(c, http.StatusOK, explanation)
}

// explanation returns the leader's explanation of a job. If the leader does not respond, it returns what this
// node knows, which is ageS seconds old. Both contain the job's description and, if it has ended, how it ended.
func (h *explainHandler) explanation(ctx context.Context, id string, job replica.Job, ageS float64) explain.Explanation {
	e, err := h.explainer.Explain(ctx, id)
	if err != nil {
		e = explain.Explanation{Member: h.member, AgeS: ageS}
		e.Notes = append(e.Notes, "the leader does not say more: "+err.Error())
	}
	e.Job, e.State, e.SubmittedAt, e.EndedAt = id, job.State, job.SubmittedAt, job.EndedAt
	if spec := job.Spec; spec != nil {
		e.Team, e.Class, e.Priority, e.Tasks = spec.Team, spec.Class, string(spec.Priority), spec.Tasks
		if err != nil {
			e.Done, e.Running = h.explainer.TaskCounts(id)
		}
	}
	if job.IsFinal() {
		e.Reasons = append(e.Reasons, "it is "+job.State+": "+job.Reason)
	}
	return e
}
