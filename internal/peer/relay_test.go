package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"caperlatch/internal/leader"
	"caperlatch/internal/wire"
)

// fullAnswers answers each report with as many orders as a worker takes.
type fullAnswers struct{ shown int }

func (*fullAnswers) Probed(*Probe) *State { return &State{} }

func (f *fullAnswers) Relayed(wire.Raw) (wire.Raw, error) {
	f.shown++
	return wire.Marshal(make([]byte, 20<<10))
}

func (*fullAnswers) Explained(string) (leader.Explanation, error) {
	return leader.Explanation{}, errors.New("none")
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
		q := Request{Relay: make([]wire.Raw, reports)}
		for i := range q.Relay {
			q.Relay[i] = wire.Raw{0xa0}
		}
		a, err := c.Ask(t.Context(), q)
		if err != nil || len(a.Relay) != reports {
			t.Fatalf("%d reports: %d answers, error %v", reports, len(a.Relay), err)
		}
		answered := 0
		for _, r := range a.Relay {
			if r.Answer != nil {
				answered++
			}
		}
		if answered != h.shown || answered == 0 || reports <= 20 && answered != reports {
			t.Errorf("%d reports: %d shown to the leader, %d answered", reports, h.shown, answered)
		}
		here.Close()
	}
}
