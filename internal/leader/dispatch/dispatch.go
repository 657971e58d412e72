// Package dispatch sends commands straight to workers, beside those in the responses to their heartbeats.
//
// It owns how many such calls are in progress, and their timeouts. It decides nothing, and must never send a
// command while another node may lead: every call carries the term's fencing token, and none begins
// unless the term is exclusive.
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

// Limits of the calls in progress. After a whole zone was cut off, each of them holds a socket
// until it times out.
const (
	socketShare = 16 // part of the node's sockets that calls may take
	minCalls    = 8
)

// Times of the calls.
const (
	queryTimeout   = 1500 * micros.Millisecond
	sendTimeout    = 3 * micros.Second
	attemptTimeout = micros.Second // of one attempt of SendUntilDelivered
	attemptPause   = 200 * micros.Millisecond
)

// ErrWrongMachine is returned if another machine responds at a machine's address.
var ErrWrongMachine = errors.New("another machine answers")

// Target is a worker as it was known when a call began. Its commands are executed only in that
// incarnation.
type Target struct {
	MachineID   string
	Address     string // "host:port"; empty if it is not known
	Incarnation uint64
}

// Dispatcher calls workers for one term. It is safe for concurrent use.
type Dispatcher struct {
	client       *http.Client
	fencingToken uint64
	isExclusive  func() bool
	inProgress   chan struct{} // one element a call
}

// New makes a dispatcher for a term of a node that may have so many sockets. isExclusive reports
// whether no other node can lead now.
func New(client *http.Client, fencingToken uint64, isExclusive func() bool, sockets int) *Dispatcher {
	return &Dispatcher{
		client:       client,
		fencingToken: fencingToken,
		isExclusive:  isExclusive,
		inProgress:   make(chan struct{}, max(minCalls, sockets/socketShare)),
	}
}

// MaxCalls is how many calls may be in progress.
func (d *Dispatcher) MaxCalls() int { return cap(d.inProgress) }

// Send sends a command once, in the background, if a call is free. Whatever becomes of it, the
// command is to be repeated in the responses to the worker's heartbeats; so nobody waits for the call,
// which ends by itself within its timeout. Its response is not used: a status that the worker gives there may
// be newer than its last heartbeat and still lack a start that is on its way.
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

// SendUntilDelivered sends commands in the background until the worker responds, for as long as
// within. They are also repeated in the responses to its heartbeats; nobody waits for the calls.
func (d *Dispatcher) SendUntilDelivered(to Target, commands []wire.Command, within micros.Micros) {
	if to.Address == "" {
		return
	}
	until := micros.Now() + within
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (until - micros.Now()).Duration())
		defer cancel()
		for ctx.Err() == nil && d.isExclusive() {
			err := d.attempt(ctx, to, commands)
			if err == nil || ctx.Err() != nil {
				return
			}
			slog.Debug("direct commands failed", "machine", to.MachineID, "address", to.Address, "count", len(commands), "error", err)
			time.Sleep(attemptPause.Duration())
		}
	}()
}

// attempt sends commands once, after a call has come free.
func (d *Dispatcher) attempt(ctx context.Context, to Target, commands []wire.Command) error {
	select {
	case d.inProgress <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-d.inProgress }()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	_, err := d.call(ctx, to, commands)
	return err
}

// Query sends a worker the term's fencing token without commands, and returns its status.
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

// call sends commands and returns the body of the response.
func (d *Dispatcher) call(ctx context.Context, to Target, commands []wire.Command) ([]byte, error) {
	request := wire.CommandRequest{FencingToken: d.fencingToken, Incarnation: to.Incarnation, Commands: commands}
	_, body, err := wire.Call(ctx, d.client, http.MethodPost, "http://"+to.Address+wire.PathCommands, request)
	return body, err
}
