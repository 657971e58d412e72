// Package api answers users, workers and health checks.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
	"github.com/labstack/echo/v4"

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Node is what the handlers ask of the node they run on.
type Node interface {
	// Leading is this node's leader if it leads, else nil.
	Leading() *leader.Leader
	// LeaderMember names the leader as known here, if any.
	LeaderMember() string
	// Ready tells whether the node can take requests.
	Ready() bool
	// Versions tells which versions serve, as far as it is known here.
	Versions() peer.Versions
	// Counts shows how far a job is, as well as it is known here.
	Counts(id string) (done, running int)
	// Relays tells whether reports can be passed on to the leader, and Relay asks
	// it for its answer to one.
	Relays() bool
	Relay(ctx context.Context, report wire.Raw) (wire.Raw, error)
	// Front names the node that takes a machine's reports for the leader.
	Front(machine string) string
	// Explain asks the leader about a job.
	Explain(ctx context.Context, id string) (leader.Explanation, error)
}

// Handler holds what the handlers work with.
type Handler struct {
	Node     Node
	Settings *settings.Settings
	Store    *statestore.Client
	Batch    *statestore.Batcher
	Replica  *replica.Replica
	Times    *Times

	mu         sync.Mutex
	redirected map[string]micros.Micros // machines sent to another node, when
	swept      micros.Micros            // when old ones were forgotten
}

// New makes the HTTP handler.
func New(h *Handler) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		code := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			code = he.Code
		} else {
			slog.Error("request", "path", c.Path(), "error", err)
		}
		if !c.Response().Committed {
			if err := c.NoContent(code); err != nil {
				slog.Debug("answer", "error", err)
			}
		}
	}
	e.Use(h.Times.middleware)
	intake, polls := newLimiter(), newLimiter()
	e.POST("/v1/jobs", h.submit, limited(intake))
	e.GET("/v1/jobs/:id", h.poll, limited(polls))
	e.POST("/v1/jobs/:id/abort", h.abort, limited(intake))
	// Users who ask very often must not keep the duty team from asking why.
	e.GET("/v1/jobs/:id/why", h.explain, limited(newLimiter()))
	e.GET("/ready", h.ready)
	e.POST("/hello", h.report)
	return e
}

// newLimiter makes a limit on requests in progress that adjusts itself to the
// times they take. It starts above what the brief's bursts bring and never
// closes altogether.
func newLimiter() adaptivelimiter.AdaptiveLimiter[any] {
	return adaptivelimiter.NewBuilder[any]().WithLimits(16, 256, 64).Build()
}

// limited sheds users' requests over the limit; workers' reports and health
// checks do not pass here.
func limited(l adaptivelimiter.AdaptiveLimiter[any]) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			permit, ok := l.TryAcquirePermit()
			if !ok {
				return unavailable(c, http.StatusTooManyRequests)
			}
			err := next(c)
			// What is refused says nothing of how long work takes.
			if c.Response().Status >= http.StatusInternalServerError {
				permit.Drop()
			} else {
				permit.Record()
			}
			return err
		}
	}
}

func reply(c echo.Context, code int, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(code, wire.ContentType, b)
}

// unavailable tells a user at once to come back.
func unavailable(c echo.Context, code int) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(int(statestore.RetryAfter/micros.Second)))
	return reply(c, code, wire.ErrorBody{Error: "come back later"})
}

func bad(c echo.Context, code int, err error) error {
	return reply(c, code, wire.ErrorBody{Error: err.Error()})
}

// userTimeout is within what users wait for a poll.
const userTimeout = 1800 * micros.Millisecond

// known finds a job as it is now: a job that is over stays so, anything else
// is only known after a read barrier.
func (h *Handler) known(ctx context.Context, id string) (j replica.Job, stamp uint64, ok bool, err error) {
	if j, stamp, ok = h.Replica.Job(id); ok && j.Final() {
		return j, stamp, ok, nil
	}
	ctx, cancel := context.WithTimeout(ctx, userTimeout.Duration())
	defer cancel()
	if err := h.Replica.Barrier(ctx); err != nil {
		return j, stamp, false, err
	}
	j, stamp, ok = h.Replica.Job(id)
	return j, stamp, ok, nil
}

func (h *Handler) status(id string, j replica.Job) wire.JobStatus {
	s := wire.JobStatus{ID: id, Status: j.State}
	if !j.Final() {
		done, running := h.Node.Counts(id)
		s.Done, s.Running = &done, &running
		if running > 0 {
			s.Status = wire.JobRunning
		}
	}
	return s
}

func (h *Handler) submit(c echo.Context) error {
	ctx := c.Request().Context()
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return bad(c, http.StatusBadRequest, err)
	}
	id := wire.SubmittedID(body)
	if id == "" {
		return bad(c, http.StatusBadRequest, errors.New("no map with a good id"))
	}
	if !h.Replica.Loaded() {
		return unavailable(c, http.StatusServiceUnavailable)
	}
	if _, _, ok := h.Replica.Job(id); ok {
		return h.answerKnown(c, id)
	}
	spec, err := wire.ParseJob(body)
	code := http.StatusBadRequest
	if err == nil && !h.Store.AcceptsValue(replica.Job{Spec: &spec, SubmittedAt: micros.Wall(), State: wire.JobPending}) {
		err = errors.New("the description is too long")
	}
	if err == nil {
		var catalog wire.Catalog
		stamp, cerr := h.Replica.Get(replica.CatalogKey, &catalog)
		if cerr != nil {
			return cerr
		}
		if stamp == 0 {
			return unavailable(c, http.StatusServiceUnavailable)
		}
		code, err = http.StatusUnprocessableEntity, Runnable(&spec, catalog.Types, h.Settings.Params.Teams)
	}
	if err != nil {
		// An id that was accepted elsewhere keeps its answer whatever its
		// repeat says.
		if _, _, ok, kerr := h.known(ctx, id); kerr != nil {
			return unavailable(c, http.StatusServiceUnavailable)
		} else if ok {
			return h.answerKnown(c, id)
		}
		slog.Debug("submission refused", "job", id, "code", code, "error", err)
		return bad(c, code, err)
	}
	job := replica.Job{Spec: &spec, SubmittedAt: micros.Wall(), State: wire.JobPending}
	key := replica.JobPrefix + id
	rev, err := h.put(ctx, key, 0, job)
	switch {
	case err == nil:
		h.Replica.Wrote(key, job, rev)
		return reply(c, http.StatusCreated, wire.JobStatus{ID: id, Status: wire.JobPending})
	case errors.Is(err, statestore.ErrConflict):
		return h.answerKnown(c, id)
	case errors.Is(err, statestore.ErrRefused):
		// Its description is over a limit that has come into force. From then on no copy
		// of it that got no answer is stored either; one may have been before.
		if _, _, ok, kerr := h.known(ctx, id); kerr != nil {
			return unavailable(c, http.StatusServiceUnavailable)
		} else if ok {
			return h.answerKnown(c, id)
		}
		slog.Info("submission refused by the state service", "job", id, "error", err)
		return bad(c, http.StatusBadRequest, errors.New("the description is too long"))
	}
	slog.Debug("submission", "job", id, "error", err)
	return unavailable(c, http.StatusServiceUnavailable)
}

func (h *Handler) answerKnown(c echo.Context, id string) error {
	j, _, ok, err := h.known(c.Request().Context(), id)
	if err != nil || !ok {
		return unavailable(c, http.StatusServiceUnavailable)
	}
	return reply(c, http.StatusOK, h.status(id, j))
}

// Tries of a write whose user waits: refusals for the rate limit pass soon.
const (
	putPause  = 60 * micros.Millisecond
	putWithin = 1500 * micros.Millisecond
)

// put writes one key. A refusal for the rate limit passes soon; after a lost
// answer one more try tells whether the first was carried out, as both have
// the same condition.
func (h *Handler) put(ctx context.Context, key string, stamp uint64, value any) (rev uint64, err error) {
	begun, lost := micros.Now(), 0
	for {
		rev, err = h.Batch.Put(ctx, key, stamp, value)
		switch {
		case err == nil, errors.Is(err, statestore.ErrConflict), errors.Is(err, statestore.ErrUnavailable),
			errors.Is(err, statestore.ErrRefused):
			return rev, err
		case ctx.Err() != nil || micros.Now()-begun > putWithin:
			return rev, err
		case !errors.Is(err, statestore.ErrTooMany):
			if lost++; lost == 2 {
				return rev, err
			}
		}
		micros.Pause(ctx, putPause+micros.Micros(rand.Int64N(int64(putPause))))
	}
}

func (h *Handler) poll(c echo.Context) error {
	id := c.Param("id")
	if !wire.ValidJobID(id) {
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	}
	j, _, ok, err := h.known(c.Request().Context(), id)
	switch {
	case err != nil:
		slog.Debug("poll", "job", id, "error", err)
		return unavailable(c, http.StatusServiceUnavailable)
	case !ok:
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	}
	return reply(c, http.StatusOK, h.status(id, j))
}

func (h *Handler) abort(c echo.Context) error {
	id := c.Param("id")
	ctx := c.Request().Context()
	if !wire.ValidJobID(id) {
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	}
	j, stamp, ok, err := h.known(ctx, id)
	switch {
	case err != nil:
		return unavailable(c, http.StatusServiceUnavailable)
	case !ok:
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	case j.Final():
		return answerAbort(c, id, j)
	}
	final := replica.Job{Spec: j.Spec, SubmittedAt: j.SubmittedAt, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: micros.Wall()}
	if !h.Store.FitsValue(final) {
		final.Spec = nil // a cancellation must always be possible
	}
	key := replica.JobPrefix + id
	rev, err := h.put(ctx, key, stamp, final)
	if errors.Is(err, statestore.ErrRefused) && final.Spec != nil {
		// The service takes less than the settings say.
		final.Spec = nil
		rev, err = h.put(ctx, key, stamp, final)
	}
	switch {
	case err == nil:
		h.Replica.Wrote(key, final, rev)
		return answerAbort(c, id, final)
	case errors.Is(err, statestore.ErrConflict):
		// A job's key changes once after its creation, when it ends: a read tells how.
		if j, _, _, err = h.known(ctx, id); err == nil && j.Final() {
			return answerAbort(c, id, j)
		}
	}
	slog.Debug("abort", "job", id, "error", err)
	return unavailable(c, http.StatusServiceUnavailable)
}

// answerAbort tells a user how a job that is over ended.
func answerAbort(c echo.Context, id string, j replica.Job) error {
	return reply(c, http.StatusOK, wire.JobStatus{ID: id, Status: j.State})
}

func (h *Handler) ready(c echo.Context) error {
	code := http.StatusOK
	if !h.Node.Ready() {
		code = http.StatusServiceUnavailable
	}
	return reply(c, code, h.Node.Versions())
}

// report answers a worker. The leader has the other nodes take the reports, which
// they pass on to it: one node that took all of a large fleet's reports would
// spend its processor on connections. The leader alone makes the answers, so
// whoever hands them over, they are bound by the leader's token and contact.
func (h *Handler) report(c echo.Context) error {
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return bad(c, http.StatusBadRequest, err)
	}
	if l := h.Node.Leading(); l != nil {
		var r wire.Report
		if err := wire.Unmarshal(body, &r); err != nil {
			return bad(c, http.StatusBadRequest, err)
		}
		if front := h.Node.Front(r.Machine); front != "" && !h.cameBack(r.Machine) {
			return reply(c, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: front})
		}
		answer, err := l.Report(&r)
		if err != nil {
			return bad(c, http.StatusServiceUnavailable, err)
		}
		return reply(c, http.StatusOK, answer)
	}
	member := h.Node.LeaderMember()
	if member == "" || member == h.Settings.Member {
		return bad(c, http.StatusServiceUnavailable, errors.New("no leader known"))
	}
	if !h.Node.Relays() {
		// A worker that comes back cannot reach the leader either.
		var r wire.Report
		if err := wire.Unmarshal(body, &r); err != nil {
			return bad(c, http.StatusBadRequest, err)
		}
		if !h.cameBack(r.Machine) {
			return reply(c, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: member})
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), relayTimeout.Duration())
	defer cancel()
	answer, err := h.Node.Relay(ctx, body)
	if err != nil {
		return bad(c, http.StatusServiceUnavailable, err)
	}
	return c.Blob(http.StatusOK, wire.ContentType, answer)
}

// Times of relaying: a worker that comes back so soon after it was redirected
// cannot stay where it was sent; its answer must come well before it gives up.
const (
	comesBackWithin = 15 * micros.Second
	relayTimeout    = 2500 * micros.Millisecond
)

// cameBack tells whether a worker was sent to another node a short while ago.
// One that is answered here then stays; now and then it is sent again.
func (h *Handler) cameBack(machine string) bool {
	now := micros.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.redirected == nil || now-h.swept > comesBackWithin {
		for id, at := range h.redirected {
			if now-at > comesBackWithin {
				delete(h.redirected, id)
			}
		}
		h.swept = now
	}
	if h.redirected == nil {
		h.redirected = map[string]micros.Micros{}
	}
	since, ok := h.redirected[machine]
	if !ok || now-since > comesBackWithin {
		h.redirected[machine] = now
		return false
	}
	return now-since > micros.Second
}

// explain tells what is known of a job. It answers in a take-over, in an outage of the
// state service and beside a silent leader as well, when the duty team needs it most: then
// with what this node holds, and how old that is.
func (h *Handler) explain(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout.Duration())
	defer cancel()
	id := c.Param("id")
	if !wire.ValidJobID(id) {
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	}
	if !h.Replica.Loaded() {
		return bad(c, http.StatusServiceUnavailable, errors.New("this node has not read the state service yet"))
	}
	asking, stop := context.WithTimeout(ctx, explainBarrier.Duration())
	barrier := h.Replica.Barrier(asking)
	stop()
	j, _, ok := h.Replica.Job(id)
	seen := (micros.Now() - h.Replica.Seen()).Seconds()
	switch {
	case !ok && barrier != nil:
		return bad(c, http.StatusServiceUnavailable, fmt.Errorf("not known here, and the state service has not answered for %.0f s", seen))
	case !ok:
		return bad(c, http.StatusNotFound, errors.New("no such job"))
	}
	e, err := h.Node.Explain(ctx, id)
	if err != nil {
		e = leader.Explanation{By: h.Settings.Member, AgeS: seen}
		e.Notes = append(e.Notes, "the leader does not say more: "+err.Error())
	}
	if barrier != nil {
		e.Notes = append(e.Notes, fmt.Sprintf("the state service has not answered %s for %.0f s: what was submitted, cancelled or stored since is not known here", h.Settings.Member, seen))
	}
	e.Job, e.State, e.Submitted, e.Ended = id, j.State, j.SubmittedAt, j.EndedAt
	if s := j.Spec; s != nil {
		e.Team, e.Class, e.Priority, e.Tasks = s.Team, s.Class, s.Priority, s.Tasks
		if err != nil {
			e.Done, e.Running = h.Node.Counts(id)
		}
	}
	if j.Final() {
		e.Why = append(e.Why, "it is "+j.State+": "+j.Reason)
	}
	return reply(c, http.StatusOK, e)
}

// explainBarrier leaves time to ask the leader as well.
const explainBarrier = 700 * micros.Millisecond
