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

// largeResponses responds to each heartbeat with as many commands as a worker takes.
type largeResponses struct{ heartbeats int }

func (*largeResponses) HandleProbe(*Probe) *NodeState { return &NodeState{} }

func (h *largeResponses) HandleForwardedHeartbeat(wire.RawMessage) (wire.RawMessage, error) {
	h.heartbeats++
	return wire.Marshal(make([]byte, 20<<10))
}

func (*largeResponses) HandleExplain(string) (explain.Explanation, error) {
	return explain.Explanation{}, errors.New("none")
}

func (*largeResponses) HandleStandbyQuery(*standby.Query) *standby.Page { return nil }

func (*largeResponses) HandleZones() ([]zone.Status, error) { return nil, nil }

func (*largeResponses) HandleMembershipHeartbeat(*membership.Heartbeat) *membership.Heartbeat {
	return nil
}

// TestForwardedResponsesFit has a follower forward the heartbeats of a fleet that waits to be filled.
// The responses to all of them do not fit one message: those that do must arrive, and
// the leader must not have seen the heartbeats whose responses do not.
func TestForwardedResponsesFit(t *testing.T) {
	for _, heartbeats := range []int{1, 20, 500} {
		handler := &largeResponses{}
		here, there := net.Pipe()
		go func() { _ = serveConn(there, handler) }() // ends with the pipe
		client := NewClient("leader", func(context.Context, string) (net.Conn, error) { return here, nil })
		request := Request{ForwardedHeartbeats: make([]wire.RawMessage, heartbeats)}
		for i := range request.ForwardedHeartbeats {
			request.ForwardedHeartbeats[i] = wire.RawMessage{0xa0}
		}
		response, err := client.Call(t.Context(), request)
		if err != nil || len(response.ForwardedResponses) != heartbeats {
			t.Fatalf("%d heartbeats: %d responses, error %v", heartbeats, len(response.ForwardedResponses), err)
		}
		answered := 0
		for _, r := range response.ForwardedResponses {
			if r.Response != nil {
				answered++
			}
		}
		if answered != handler.heartbeats || answered == 0 || heartbeats <= 20 && answered != heartbeats {
			t.Errorf("%d heartbeats: %d shown to the leader, %d answered", heartbeats, handler.heartbeats, answered)
		}
		here.Close()
	}
}

// TestUndecodableRequest has a peer send what is no message: the stream ends, with an error for the
// log, and nothing reaches the handler.
func TestUndecodableRequest(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
	}{
		{"no value", []byte{0xff, 0xff, 0xff}},
		{"no map", []byte{0x01}},
		{"a probe that is a text", []byte{0xa1, 0x65, 'p', 'r', 'o', 'b', 'e', 0x61, 'x'}},
		{"heartbeats that are a text", []byte{0xa1, 0x65, 'r', 'e', 'l', 'a', 'y', 0x61, 'x'}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			handler := &largeResponses{}
			here, there := net.Pipe()
			ended := make(chan error, 1)
			go func() { ended <- serveConn(there, handler) }()
			if _, err := here.Write(tc.bytes); err != nil {
				t.Error(err)
			}
			if err := <-ended; err == nil || handler.heartbeats > 0 {
				t.Errorf("error %v, %d heartbeats shown to the handler", err, handler.heartbeats)
			}
			here.Close()
		})
	}
}
