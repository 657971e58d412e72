package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// largeResponseHandler is a Handler that responds to each heartbeat with 20 KiB, the size of a response with the maximum
// number of commands that a worker accepts.
type largeResponseHandler struct{ heartbeats int }

func (*largeResponseHandler) HandleProbe(*Probe) *NodeState { return &NodeState{} }

func (h *largeResponseHandler) HandleForwardedHeartbeat(wire.RawMessage) (wire.RawMessage, error) {
	h.heartbeats++
	return wire.Marshal(make([]byte, 20<<10))
}

func (*largeResponseHandler) HandleExplain(string) (explain.Explanation, error) {
	return explain.Explanation{}, errors.New("none")
}

func (*largeResponseHandler) HandleStandbyQuery(*standby.Query) *standby.Page { return nil }

func (*largeResponseHandler) HandleZones() ([]zone.Status, error) { return nil, nil }

func (*largeResponseHandler) HandleMembershipHeartbeat(*membership.Heartbeat) *membership.Heartbeat {
	return nil
}

// TestForwardedResponsesFitMessageLimit forwards up to 500 heartbeats in one request, as a follower does while many idle
// machines wait for tasks. Not all responses fit into one message. Those that fit must arrive, and the leader must not
// have processed the heartbeats whose responses do not, because their start commands would be lost.
func TestForwardedResponsesFitMessageLimit(t *testing.T) {
	for _, heartbeats := range []int{1, 20, 500} {
		handler := &largeResponseHandler{}
		clientConn, serverConn := net.Pipe()
		go func() { _ = serveConn(serverConn, handler) }() // returns when the pipe is closed
		client := NewClient("leader", func(context.Context, string) (net.Conn, error) { return clientConn, nil })
		request := Request{ForwardedHeartbeats: make([]wire.RawMessage, heartbeats)}
		for i := range request.ForwardedHeartbeats {
			request.ForwardedHeartbeats[i] = wire.RawMessage{0xa0}
		}
		response, err := client.Call(t.Context(), request)
		if err != nil || len(response.ForwardedResponses) != heartbeats {
			t.Fatalf("%d heartbeats forwarded: got %d responses, error %v; want one response for each heartbeat", heartbeats, len(response.ForwardedResponses), err)
		}
		answered := 0
		for _, r := range response.ForwardedResponses {
			if r.Response != nil {
				answered++
			}
		}
		if answered != handler.heartbeats || answered == 0 || heartbeats <= 20 && answered != heartbeats {
			t.Errorf("%d heartbeats forwarded: leader processed %d, %d answered; want the same number, at least 1, and all of up to 20", heartbeats, handler.heartbeats, answered)
		}
		clientConn.Close()
	}
}

// TestUndecodableRequestEndsConnection sends bytes that are no valid request. The connection must end with an
// error for the log, and nothing may reach the handler.
func TestUndecodableRequestEndsConnection(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
	}{
		{"invalid CBOR", []byte{0xff, 0xff, 0xff}},
		{"integer instead of a map", []byte{0x01}},
		{"probe of type text", []byte{0xa1, 0x65, 'p', 'r', 'o', 'b', 'e', 0x61, 'x'}},
		{"forwarded heartbeats of type text", []byte{0xa1, 0x65, 'r', 'e', 'l', 'a', 'y', 0x61, 'x'}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			handler := &largeResponseHandler{}
			clientConn, serverConn := net.Pipe()
			ended := make(chan error, 1)
			go func() { ended <- serveConn(serverConn, handler) }()
			if _, err := clientConn.Write(tc.bytes); err != nil {
				t.Error(err)
			}
			if err := <-ended; err == nil || handler.heartbeats > 0 {
				t.Errorf("connection ended with error %v after %d heartbeats reached the handler; want an error and 0 heartbeats", err, handler.heartbeats)
			}
			clientConn.Close()
		})
	}
}
