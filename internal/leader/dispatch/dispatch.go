// Package dispatch sends commands directly to workers, in addition to the commands in heartbeat responses.
//
// The package limits how many such calls are in progress, and sets their timeouts. It makes no scheduling decisions. It
// must never send a command while another node may lead: every call carries the term's fencing token, and commands are
// sent only while the term is exclusive.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Limits on the calls in progress. When a whole zone is cut off, each call to it holds a socket until it times out.
const (
	socketsPerCall = 16 // one call may be in progress for each 16 sockets of the node
	minCalls       = 8  // calls that may be in progress in any case
)

// Timeouts and delays of the calls.
const (
	queryTimeout     = 1500 * micros.Millisecond
	sendTimeout      = 3 * micros.Second
	retrySendTimeout = micros.Second            // timeout of each call of SendUntilDelivered
	retryDelay       = 200 * micros.Millisecond // delay between calls of SendUntilDelivered
)

// ErrWrongMachine is returned by Query if the response from a machine's address comes from a different machine.
var ErrWrongMachine = errors.New("response is from a different machine")

// Target identifies the worker that a call is sent to. The worker executes the commands only in the given incarnation.
type Target struct {
	MachineID   string
	Address     string // "host:port", empty if unknown
	Incarnation uint64
}

// Dispatcher calls workers on behalf of one term. It is safe for concurrent use.
type Dispatcher struct {
	client       *http.Client
	fencingToken uint64
	isExclusive  func() bool
	inProgress   chan struct{} // semaphore with one element for each call
}

// New returns a dispatcher for one term. sockets is the maximum number of sockets of the node. isExclusive reports
// whether it is certain that no other node leads now.
func New(client *http.Client, fencingToken uint64, isExclusive func() bool, sockets int) *Dispatcher {
	return &Dispatcher{
		client:       client,
		fencingToken: fencingToken,
		isExclusive:  isExclusive,
		inProgress:   make(chan struct{}, max(minCalls, sockets/socketsPerCall)),
	}
}

// MaxCalls returns the maximum number of calls in progress.
func (d *Dispatcher) MaxCalls() int { return cap(d.inProgress) }

// Send sends a command once, in the background. It drops the command if MaxCalls calls are in progress, if the worker's
// address is unknown, or if another node may lead. The caller repeats the command in the responses to the worker's
// heartbeats in any case, so it does not wait for the call, which ends within its timeout. The response is ignored:
// the status in the response may be newer than the worker's latest heartbeat and still lack a task whose start has
// been sent but not received.
func (d *Dispatcher) Send(to Target, command wire.Command) {
	if to.Address == "" || !d.isExclusive() {
		return
	}
	select {
	case d.inProgress <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.inProgress }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
		defer cancel()
		if _, err := d.call(ctx, to, []wire.Command{command}); err != nil {
			slog.Debug("direct command failed", "machine", to.MachineID, "address", to.Address, "error", err)
		}
	}()
}

// SendUntilDelivered sends commands in the background until the worker responds, the timeout has passed, or another
// node may lead. The caller also repeats the commands in the responses to the worker's heartbeats, so it does not wait
// for the calls.
func (d *Dispatcher) SendUntilDelivered(to Target, commands []wire.Command, timeout micros.Micros) {
	if to.Address == "" {
		return
	}
	deadline := micros.Now() + timeout
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (deadline - micros.Now()).Duration())
		defer cancel()
		for ctx.Err() == nil && d.isExclusive() {
			err := d.sendOnce(ctx, to, commands)
			if err == nil || ctx.Err() != nil {
				return
			}
			slog.Debug("direct commands failed", "machine", to.MachineID, "address", to.Address, "count", len(commands), "error", err)
			time.Sleep(retryDelay.Duration())
		}
	}()
}

// sendOnce sends commands once. It first waits until fewer than MaxCalls calls are in progress.
func (d *Dispatcher) sendOnce(ctx context.Context, to Target, commands []wire.Command) error {
	select {
	case d.inProgress <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-d.inProgress }()
	ctx, cancel := context.WithTimeout(ctx, retrySendTimeout.Duration())
	defer cancel()
	_, err := d.call(ctx, to, commands)
	return err
}

// Query sends the term's fencing token, without commands, to a worker and returns the status in its response. It first
// waits until fewer than MaxCalls calls are in progress, even if ctx ends.
func (d *Dispatcher) Query(ctx context.Context, to Target) (*wire.Heartbeat, error) {
	d.inProgress <- struct{}{}
	defer func() { <-d.inProgress }()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	body, err := d.call(ctx, to, []wire.Command{})
	if err != nil {
		return nil, err
	}
	var status wire.Heartbeat
	if err := wire.Unmarshal(body, &status); err != nil {
		return nil, err
	}
	if status.MachineID != to.MachineID {
		return nil, ErrWrongMachine
	}
	return &status, nil
}

// call sends commands to a worker and returns the body of the response.
func (d *Dispatcher) call(ctx context.Context, to Target, commands []wire.Command) ([]byte, error) {
	request := wire.CommandRequest{FencingToken: d.fencingToken, Incarnation: to.Incarnation, Commands: commands}
	_, body, err := wire.Call(ctx, d.client, http.MethodPost, "http://"+to.Address+wire.PathCommands, request)
	return body, err
}
