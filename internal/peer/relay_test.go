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

// fullAnswers answers each report with as many orders as a worker takes.
type fullAnswers struct{ shown int }

func (*fullAnswers) HandleProbe(*Probe) *NodeState { return &NodeState{} }

func (f *fullAnswers) HandleForwardedHeartbeat(wire.Raw) (wire.Raw, error) {
	f.shown++
	return wire.Marshal(make([]byte, 20<<10))
}

func (*fullAnswers) HandleExplain(string) (explain.Explanation, error) {
	return explain.Explanation{}, errors.New("none")
}

func (*fullAnswers) HandleStandbyQuery(*standby.Query) *standby.Page { return nil }

func (*fullAnswers) HandleZones() ([]zone.Status, error) { return nil, nil }

func (*fullAnswers) HandleMembershipHeartbeat(*membership.Heartbeat) *membership.Heartbeat {
	return nil
}

// TestRelayMuch has a follower pass on the reports of a fleet that waits to be filled.
// The answers to all of them do not fit one message: those that do must arrive, and
// the leader must not have seen the reports whose answers do not.
func TestRelayMuch(t *testing.T) {
	for _, reports := range []int{1, 20, 500} {
		h := &fullAnswers{}
		here, there := net.Pipe()
		go func() { _ = serveConn(there, h) }() // ends with the pipe
		c := NewClient("leader", func(context.Context, string) (net.Conn, error) { return here, nil })
		q := Request{ForwardedHeartbeats: make([]wire.Raw, reports)}
		for i := range q.ForwardedHeartbeats {
			q.ForwardedHeartbeats[i] = wire.Raw{0xa0}
		}
		a, err := c.Call(t.Context(), q)
		if err != nil || len(a.ForwardedResponses) != reports {
			t.Fatalf("%d reports: %d answers, error %v", reports, len(a.ForwardedResponses), err)
		}
		answered := 0
		for _, r := range a.ForwardedResponses {
			if r.Response != nil {
				answered++
			}
		}
		if answered != h.shown || answered == 0 || reports <= 20 && answered != reports {
			t.Errorf("%d reports: %d shown to the leader, %d answered", reports, h.shown, answered)
		}
		here.Close()
	}
}

// TestUndecodable has a peer send what is no message: the stream ends, with an error for the
// log, and nothing reaches the handler.
func TestUndecodable(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"no value":        {0xff, 0xff, 0xff},
		"no map":          {0x01},
		"a field's type":  {0xa1, 0x65, 'p', 'r', 'o', 'b', 'e', 0x61, 'x'},
		"relay is a text": {0xa1, 0x65, 'r', 'e', 'l', 'a', 'y', 0x61, 'x'},
	} {
		h := &fullAnswers{}
		here, there := net.Pipe()
		ended := make(chan error, 1)
		go func() { ended <- serveConn(there, h) }()
		if _, err := here.Write(bytes); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := <-ended; err == nil || h.shown > 0 {
			t.Errorf("%s: error %v, %d reports shown", name, err, h.shown)
		}
		here.Close()
	}
}
