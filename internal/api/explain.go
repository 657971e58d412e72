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

// explainBarrierTimeout is how long to wait for the state service; it leaves time to ask the
// leader as well.
const explainBarrierTimeout = 700 * micros.Millisecond

// explain tells what is known of a job. It answers in a take-over, in an outage of the
// state service and beside a silent leader as well, when the duty team needs it most: then
// with what this node holds, and how old that is.
func (h *Handler) explain(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout.Duration())
	defer cancel()
	id := c.Param("id")
	if !wire.IsValidJobID(id) {
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	if !h.Replica.IsLoaded() {
		return respondError(c, http.StatusServiceUnavailable, errors.New("this node has not read the state service yet"))
	}
	barrierCtx, stop := context.WithTimeout(ctx, explainBarrierTimeout.Duration())
	barrier := h.Replica.Barrier(barrierCtx)
	stop()
	job, _, ok := h.Replica.Job(id)
	ageS := (micros.Now() - h.Replica.CurrentAsOf()).Seconds()
	switch {
	case !ok && barrier != nil:
		return respondError(c, http.StatusServiceUnavailable, fmt.Errorf("not known here, and the state service has not answered for %.0f s", ageS))
	case !ok:
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	explanation := h.explanation(ctx, id, job, ageS)
	if barrier != nil {
		explanation.Notes = append(explanation.Notes, fmt.Sprintf(
			"the state service has not answered %s for %.0f s: what was submitted, cancelled or stored since is not known here", h.Settings.Member, ageS))
	}
	return respond(c, http.StatusOK, explanation)
}

// explanation is what the leader tells of a job or, if it does not answer, what is known
// here and is ageS old, completed by the job's description and end.
func (h *Handler) explanation(ctx context.Context, id string, job replica.Job, ageS float64) explain.Explanation {
	e, err := h.Node.Explain(ctx, id)
	if err != nil {
		e = explain.Explanation{Member: h.Settings.Member, AgeS: ageS}
		e.Notes = append(e.Notes, "the leader does not say more: "+err.Error())
	}
	e.Job, e.State, e.SubmittedAt, e.EndedAt = id, job.State, job.SubmittedAt, job.EndedAt
	if spec := job.Spec; spec != nil {
		e.Team, e.Class, e.Priority, e.Tasks = spec.Team, spec.Class, spec.Priority, spec.Tasks
		if err != nil {
			e.Done, e.Running = h.Node.TaskCounts(id)
		}
	}
	if job.IsFinal() {
		e.Reasons = append(e.Reasons, "it is "+job.State+": "+job.Reason)
	}
	return e
}
