package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const fencingToken = 7

// errNoResponse is returned by calls that get no response.
var errNoResponse = errors.New("no response")

// fakeWorker returns the status that a worker sends in response to commands, or nil for no response.
type fakeWorker func(ctx context.Context, c *wire.CommandRequest) *wire.Heartbeat

// RoundTrip implements http.RoundTripper.
func (f fakeWorker) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var c wire.CommandRequest
	if err := wire.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	status := f(r.Context(), &c)
	if status == nil {
		return nil, errNoResponse
	}
	response, err := wire.Marshal(status)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(response))}, err
}

// target is the worker that the tests call.
var target = Target{MachineID: "i-1", Address: "i-1:9000", Incarnation: 4}

// newTestDispatcher returns a dispatcher that allows minCalls calls in progress.
func newTestDispatcher(exclusive bool, worker fakeWorker) *Dispatcher {
	return New(&http.Client{Transport: worker}, fencingToken, func() bool { return exclusive }, 0)
}

// TestQuery checks that a query returns the status only if the intended machine responds.
func TestQuery(t *testing.T) {
	cases := []struct {
		name   string
		status *wire.Heartbeat
		want   error
	}{
		{"the machine responds", &wire.Heartbeat{MachineID: "i-1", Sequence: 9}, nil},
		{"another machine has its address", &wire.Heartbeat{MachineID: "i-2"}, ErrWrongMachine},
		{"no response", nil, errNoResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDispatcher(true, func(_ context.Context, r *wire.CommandRequest) *wire.Heartbeat {
				if r.FencingToken != fencingToken || r.Incarnation != target.Incarnation || r.Commands == nil || len(r.Commands) != 0 {
					t.Errorf("query sent %+v, want fencing token, incarnation and an empty list of commands", r)
				}
				return c.status
			})
			status, err := d.Query(t.Context(), target)
			if !errors.Is(err, c.want) || (status != nil) != (c.want == nil) || status != nil && status.Sequence != 9 {
				t.Errorf("Query returned %+v, error %v; want error %v, and a status with sequence number 9 if that is nil", status, err, c.want)
			}
		})
	}
}

// TestSend checks that a command is sent at most once, and not while another node may lead or the
// maximum number of calls is in progress.
func TestSend(t *testing.T) {
	unaddressed := target
	unaddressed.Address = ""
	cases := []struct {
		name      string
		to        Target
		exclusive bool
		busy      bool // the maximum number of calls is in progress
		want      int32
	}{
		{"to a worker", target, true, false, 1},
		{"while another node may lead", target, false, false, 0},
		{"to an unknown address", unaddressed, true, false, 0},
		{"while the maximum number of calls is in progress", target, true, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int32
				d := newTestDispatcher(c.exclusive, func(_ context.Context, r *wire.CommandRequest) *wire.Heartbeat {
					calls.Add(1)
					if len(r.Commands) != 1 || r.Commands[0].TaskID != "j-000001/0" || r.FencingToken != fencingToken || r.Incarnation != c.to.Incarnation {
						t.Errorf("sent %+v, want the one stop command with fencing token and incarnation", r)
					}
					return nil
				})
				if c.busy {
					for range d.MaxCalls() {
						d.inProgress <- struct{}{}
					}
				}
				d.Send(c.to, wire.Command{Verb: wire.VerbStop, TaskID: "j-000001/0", Attempt: 5})
				synctest.Wait()
				if got := calls.Load(); got != c.want {
					t.Errorf("%d calls, want %d; a failed call must not be repeated", got, c.want)
				}
				if busy := len(d.inProgress); (busy > 0) != c.busy {
					t.Errorf("%d calls in progress afterwards; more than 0: %t, want %t", busy, busy > 0, c.busy)
				}
			})
		})
	}
}

// TestSendUntilDelivered checks that commands are repeated until the worker responds, the timeout has passed, or
// another node may lead.
func TestSendUntilDelivered(t *testing.T) {
	const timeout = 50*retryDelay - retryDelay/2 // ends between two calls
	cases := []struct {
		name        string
		respondsAt  int32 // number of the first call that gets a response
		isExclusive func(calls int32) bool
		want        int32         // number of calls
		lastCall    micros.Micros // latest time of the last call
	}{
		{"the first call is delivered", 1, func(int32) bool { return true }, 1, 0},
		{"the third call is delivered", 3, func(int32) bool { return true }, 3, 2 * retryDelay},
		{"no call is delivered", 1000, func(int32) bool { return true }, 50, 49 * retryDelay},
		{"another node may lead after two calls", 1000, func(calls int32) bool { return calls < 2 }, 2, 2 * retryDelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int32
				began, last := micros.Now(), micros.Micros(0)
				d := newTestDispatcher(true, func(context.Context, *wire.CommandRequest) *wire.Heartbeat {
					last = micros.Now() - began
					if calls.Add(1) >= c.respondsAt {
						return &wire.Heartbeat{MachineID: "i-1"}
					}
					return nil
				})
				d.isExclusive = func() bool { return c.isExclusive(calls.Load()) }
				d.SendUntilDelivered(target, []wire.Command{{Verb: wire.VerbStop, TaskID: "j-000001/0"}}, timeout)
				(2 * timeout).Sleep()
				synctest.Wait()
				if got := calls.Load(); got != c.want || last > c.lastCall {
					t.Errorf("%d calls, the last after %v; want %d, the last after %v at most", got, last.Duration(), c.want, c.lastCall.Duration())
				}
			})
		})
	}
}

// TestMaxCalls checks that the limit on calls is proportional to the node's sockets, with a minimum.
func TestMaxCalls(t *testing.T) {
	for _, c := range []struct{ sockets, want int }{{0, minCalls}, {16 * minCalls, minCalls}, {1600, 100}} {
		if got := New(nil, fencingToken, nil, c.sockets).MaxCalls(); got != c.want {
			t.Errorf("%d calls for %d sockets, want %d", got, c.sockets, c.want)
		}
	}
}

// TestQueryTimeout checks that a query to a worker that does not respond ends after its timeout and then no longer
// counts as a call in progress.
func TestQueryTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(true, func(ctx context.Context, _ *wire.CommandRequest) *wire.Heartbeat {
			<-ctx.Done()
			return nil
		})
		began := micros.Now()
		_, err := d.Query(t.Context(), target)
		if took := micros.Now() - began; err == nil || took != queryTimeout || len(d.inProgress) != 0 {
			t.Errorf("error %v after %v, %d calls in progress; want an error after %v and no call in progress", err, took.Duration(), len(d.inProgress), queryTimeout.Duration())
		}
	})
}
