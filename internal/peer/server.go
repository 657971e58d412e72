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
	writeTimeout = 2 * micros.Second        // a peer that reads no response for so long is cut off
)

// Handler answers the requests of peers. Its methods are called from many goroutines and must return at once, as a
// connection's next request waits for that. The texts of their errors are sent to the peer.
type Handler interface {
	// HandleProbe takes over what a peer sends of itself and returns the state of this node.
	HandleProbe(p *Probe) *NodeState
	// HandleForwardedHeartbeat responds to a worker's heartbeat that a peer forwards.
	HandleForwardedHeartbeat(heartbeat wire.RawMessage) (wire.RawMessage, error)
	// HandleExplain returns what the leader here knows of a job.
	HandleExplain(job string) (explain.Explanation, error)
	// HandleStandbyQuery returns to a follower what the leader here has decided; nil if none publishes.
	HandleStandbyQuery(q *standby.Query) *standby.Page
	// HandleZones returns the status of the zones as the leader here sees it.
	HandleZones() ([]zone.Status, error)
	// HandleMembershipHeartbeat takes over a peer's heartbeat and returns this node's; nil if it sends none.
	HandleMembershipHeartbeat(h *membership.Heartbeat) *membership.Heartbeat
}

// requestKind is one thing that a node may ask another.
type requestKind struct {
	isSet func(*Request) bool
	// respond sets the field of the response that answers the request. Its error is sent to the peer.
	respond func(h Handler, request *Request, response *Response) error
}

// requestKinds is all that a node may ask another. Of a request with several fields set, which no version
// sends, the first kind is answered; one that is of no kind here, of a later version, gets an empty response.
var requestKinds = []requestKind{
	{
		isSet: func(q *Request) bool { return q.Probe != nil },
		respond: func(h Handler, q *Request, r *Response) error {
			r.NodeState = h.HandleProbe(q.Probe)
			return nil
		},
	},
	{
		isSet: func(q *Request) bool { return q.ForwardedHeartbeats != nil },
		respond: func(h Handler, q *Request, r *Response) error {
			r.ForwardedResponses = respondToForwarded(q.ForwardedHeartbeats, h)
			return nil
		},
	},
	{
		isSet: func(q *Request) bool { return q.StandbyQuery != nil },
		respond: func(h Handler, q *Request, r *Response) error {
			r.StandbyPage = h.HandleStandbyQuery(q.StandbyQuery)
			return nil
		},
	},
	{
		isSet: func(q *Request) bool { return q.WantZones },
		respond: func(h Handler, _ *Request, r *Response) (err error) {
			r.ZoneStatus, err = h.HandleZones()
			return err
		},
	},
	{
		isSet: func(q *Request) bool { return q.MembershipHeartbeat != nil },
		respond: func(h Handler, q *Request, r *Response) error {
			r.MembershipHeartbeat = h.HandleMembershipHeartbeat(q.MembershipHeartbeat)
			return nil
		},
	},
	{
		isSet: func(q *Request) bool { return q.ExplainJob != "" },
		respond: func(h Handler, q *Request, r *Response) error {
			explanation, err := h.HandleExplain(q.ExplainJob)
			r.Explanation = &explanation
			return err
		},
	},
}

// respond makes the response to a request.
func respond(request *Request, h Handler) *Response {
	response := &Response{ID: request.ID}
	for _, kind := range requestKinds {
		if !kind.isSet(request) {
			continue
		}
		if err := kind.respond(h, request, response); err != nil {
			response.Error = err.Error()
		}
		break
	}
	return response
}

// maxForwardedResponseBytes is how many bytes of responses to heartbeats go into one message; what comes on top
// of them, and the last response, must still fit into maxMessageBytes.
const maxForwardedResponseBytes = maxMessageBytes / 2

// respondToForwarded responds to forwarded heartbeats, as many as one message holds. The rest
// must not be shown to the leader at all: were the message too large, the starts in all
// its responses would be lost, again and again while a whole fleet waits to be filled.
func respondToForwarded(heartbeats []wire.RawMessage, h Handler) []ForwardedResponse {
	responses, size := make([]ForwardedResponse, len(heartbeats)), 0
	for i, heartbeat := range heartbeats {
		if size > maxForwardedResponseBytes {
			responses[i].Error = "too many answers at once"
			continue
		}
		response, err := h.HandleForwardedHeartbeat(heartbeat)
		if responses[i].Response = response; err != nil {
			responses[i].Error = err.Error()
		}
		size += len(response)
	}
	return responses
}

// Serve answers requests on connections of l until ctx ends. It closes l, and returns when no connection is served
// any more.
func Serve(ctx context.Context, l net.Listener, h Handler) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err == nil && ctx.Err() != nil {
			conn.Close() // accepted as the node ended: its peer would wait for responses
			return
		}
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Debug("peer connection not accepted", "error", err)
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

// serveConn answers requests, one after the other, until the connection fails.
func serveConn(conn net.Conn, h Handler) error {
	limited := &limitedReader{reader: conn}
	decoder, encoder := wire.NewDecoder(limited), wire.NewEncoder(conn)
	for {
		limited.left = maxMessageBytes
		var request Request
		if err := decoder.Decode(&request); err != nil {
			return err
		}
		response := respond(&request, h)
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return err
		}
		if err := encoder.Encode(response); err != nil {
			return err
		}
	}
}
