package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Times of serving.
const (
	acceptPause  = 100 * micros.Millisecond // after a connection could not be accepted
	writeTimeout = 2 * micros.Second        // a peer that reads no answer for so long is cut off
)

// Handler answers requests at once.
type Handler interface {
	// HandleProbe takes over what a peer tells and tells of this node.
	HandleProbe(p *Probe) *NodeState
	// HandleForwardedHeartbeat answers a worker's report that a peer passes on.
	HandleForwardedHeartbeat(report wire.Raw) (wire.Raw, error)
	// HandleExplain tells what the leader here knows of a job.
	HandleExplain(job string) (explain.Explanation, error)
	// HandleStandbyQuery tells a follower what the leader here has decided; nil if none publishes.
	HandleStandbyQuery(q *standby.Query) *standby.Page
	// HandleZones tells a peer what the leader here thinks of the zones.
	HandleZones() ([]zone.Status, error)
	// HandleMembershipHeartbeat takes over a peer's heartbeat and answers with this node's; nil if it sends none.
	HandleMembershipHeartbeat(h *membership.Heartbeat) *membership.Heartbeat
}

// Serve answers requests on connections of l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err == nil && ctx.Err() != nil {
			conn.Close() // accepted as the node ended: its peer would wait for answers
			return
		}
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Debug("peer accept", "error", err)
			time.Sleep(acceptPause.Duration())
			continue
		}
		wg.Go(func() {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			defer conn.Close()
			slog.Debug("peer connection ended", "error", serveConn(conn, h))
		})
	}
}

// maxForwardedResponseBytes is how many bytes of answers to reports go into one message; what comes on top
// of them, and the last answer, must still fit into maxMessage.
const maxForwardedResponseBytes = maxMessage / 2

// respondToForwarded answers reports that were passed on, as many as one message holds. The rest
// must not be shown to the leader at all: were the message too large, the starts in all
// its answers would be lost, again and again while a whole fleet waits to be filled.
func respondToForwarded(reports []wire.Raw, h Handler) []ForwardedResponse {
	out, size := make([]ForwardedResponse, len(reports)), 0
	for i, r := range reports {
		if size > maxForwardedResponseBytes {
			out[i].Error = "too many answers at once"
			continue
		}
		answer, err := h.HandleForwardedHeartbeat(r)
		if out[i].Response = answer; err != nil {
			out[i].Error = err.Error()
		}
		size += len(answer)
	}
	return out
}

// serveConn answers requests until the connection fails.
func serveConn(conn net.Conn, h Handler) error {
	in := &limitedReader{r: conn}
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(conn)
	for {
		in.left = maxMessage
		var q Request
		if err := dec.Decode(&q); err != nil {
			return err
		}
		answer := respond(&q, h)
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return err
		}
		if err := enc.Encode(answer); err != nil {
			return err
		}
	}
}

// respond makes the answer to a request.
func respond(q *Request, h Handler) Response {
	answer := Response{ID: q.ID}
	switch {
	case q.Probe != nil:
		answer.NodeState = h.HandleProbe(q.Probe)
	case q.ForwardedHeartbeats != nil:
		answer.ForwardedResponses = respondToForwarded(q.ForwardedHeartbeats, h)
	case q.StandbyQuery != nil:
		answer.StandbyPage = h.HandleStandbyQuery(q.StandbyQuery)
	case q.WantZones:
		zones, err := h.HandleZones()
		answer.ZoneStatus = zones
		answer.fail(err)
	case q.MembershipHeartbeat != nil:
		answer.MembershipHeartbeat = h.HandleMembershipHeartbeat(q.MembershipHeartbeat)
	case q.ExplainJob != "":
		explanation, err := h.HandleExplain(q.ExplainJob)
		answer.Explanation = &explanation
		answer.fail(err)
	}
	return answer
}

// fail has the answer say what went wrong, if anything did.
func (r *Response) fail(err error) {
	if err != nil {
		r.Error = err.Error()
	}
}
