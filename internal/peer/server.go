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

// Delay and timeout of the server.
const (
	acceptRetryDelay = 100 * micros.Millisecond // wait after a connection could not be accepted
	writeTimeout     = 2 * micros.Second        // for writing a response; then the connection is closed
)

// Handler answers the requests of peers. Its methods are called from many goroutines. They must return without blocking,
// because the next request of the connection waits for them. The texts of their errors are sent to the peer.
type Handler interface {
	// HandleProbe applies a peer's probe and returns the state of this node.
	HandleProbe(p *Probe) *NodeState
	// HandleForwardedHeartbeat responds to a worker's heartbeat that a peer has forwarded.
	HandleForwardedHeartbeat(heartbeat wire.RawMessage) (wire.RawMessage, error)
	// HandleExplain returns the explanation of a job by this node's leader.
	HandleExplain(job string) (explain.Explanation, error)
	// HandleStandbyQuery returns the decisions of this node's leader to a follower, or nil if no leader publishes here.
	HandleStandbyQuery(q *standby.Query) *standby.Page
	// HandleZones returns the status of the zones as this node's leader sees them.
	HandleZones() ([]zone.Status, error)
	// HandleMembershipHeartbeat applies a peer's heartbeat and returns this node's, or nil if membership is disabled.
	HandleMembershipHeartbeat(h *membership.Heartbeat) *membership.Heartbeat
}

// requestKind is one kind of request between nodes.
type requestKind struct {
	isSet func(*Request) bool
	// respond sets the field of response that answers the request. Its error is sent to the peer.
	respond func(h Handler, request *Request, response *Response) error
}

// requestKinds lists all kinds of requests between nodes. If several fields of a request are set, which no version does,
// only the first kind in this list is answered. A request of a kind that this version does not know gets an empty
// response.
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

// respond returns the response to a request.
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

// maxForwardedResponseBytes is the size of the heartbeat responses after which no more are put into a message. The last
// response may exceed it, and must fit into maxMessageBytes together with the rest of the message.
const maxForwardedResponseBytes = maxMessageBytes / 2

// respondToForwarded responds to as many forwarded heartbeats as fit into one message. It does not pass the remaining
// heartbeats to the handler at all. If a message became too large, the start commands in all its responses would be
// lost, and this would repeat as long as many idle machines wait for tasks.
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

// Serve answers requests on the connections that it accepts from l until ctx ends. It then closes l, and returns when
// all connections are closed.
func Serve(ctx context.Context, l net.Listener, h Handler) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err == nil && ctx.Err() != nil {
			conn.Close() // accepted during shutdown: without Close, the peer would wait for responses
			return
		}
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Debug("accepting a peer connection failed; retrying", "error", err)
			time.Sleep(acceptRetryDelay.Duration())
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

// serveConn answers the requests on a connection one after the other until the connection fails.
func serveConn(conn net.Conn, h Handler) error {
	limited := &limitedReader{reader: conn}
	decoder, encoder := wire.NewDecoder(limited), wire.NewEncoder(conn)
	for {
		limited.remaining = maxMessageBytes
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
