package leader

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// callShare is what part of a node's sockets calls to workers may take: after a
// whole zone was cut off, each of them holds one until it times out.
const callShare = 16

// Asking machines for their tasks.
const (
	askTimeout = 1500 * micros.Millisecond
	askPause   = 500 * micros.Millisecond
	askedLimit = 4 * micros.Second // for a machine that gave no answer twice
)

// answers counts the machines of a zone that were asked for their tasks.
type answers struct{ asked, answered int }

// most tells whether a machine of the zone that gives no answer is the exception: if
// not, it is this node that cannot reach the zone.
func (a answers) most() bool { return 2*a.answered >= a.asked && a.answered > 0 }

// mostAnswered tells whether this node reaches most workers.
func (l *Leader) mostAnswered() bool {
	var all answers
	for _, a := range l.zoneAnswers {
		all.asked += a.asked
		all.answered += a.answered
	}
	return all.most()
}

// askLoop asks, after a take-over, all machines that may hold tasks of earlier terms
// for them. Waiting for their reports took a report time and more, and until the
// last one all jobs waited that an earlier term may have begun: in a fleet of a
// thousand that a busy hour filled, a fifth stood idle for 20 s each time.
//
// The call carries this term's token and no commands. What its answer shows with
// that token was so after the worker had heard of this term, so no start of an earlier
// one can follow; and this term starts nothing before it knows a machine's tasks.
func (l *Leader) askLoop(ctx context.Context) {
	machines := l.machinesToAsk()
	if len(machines) == 0 {
		return
	}
	l.askAll(ctx, machines)
	l.mu.Lock()
	defer l.mu.Unlock()
	slog.Info("asked for tasks", "machines", len(machines), "unresolved", l.unresolved(), "took", (micros.Now() - l.began).Duration())
}

// machinesToAsk lists the machines whose tasks they have not told this term, in the order in
// which they are to be asked, and counts them by zone.
func (l *Leader) machinesToAsk() (machines []*machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.order {
		if m.confirmed() || m.address == "" {
			continue
		}
		machines = append(machines, m)
		zone := l.zoneAnswers[m.kind.Zone]
		zone.asked++
		l.zoneAnswers[m.kind.Zone] = zone
	}
	if l.PreviousTerm != nil {
		l.askOrder(machines)
	}
	return machines
}

// dueAsk is a machine that is to be asked, not before an instant.
type dueAsk struct {
	machine *machine
	at      micros.Micros
}

// askAll asks machines, some at a time, each again and again until that is no longer needed.
func (l *Leader) askAll(ctx context.Context, machines []*machine) {
	var open sync.WaitGroup
	open.Add(len(machines))
	queue := make(chan dueAsk, len(machines))
	for _, m := range machines {
		queue <- dueAsk{m, 0}
	}
	for range min(len(machines), cap(l.calls)) {
		go func() {
			for due := range queue {
				if now := micros.Now(); now < due.at {
					micros.Pause(ctx, due.at-now)
				}
				if ctx.Err() != nil || l.ask(ctx, due.machine) {
					open.Done()
				} else {
					queue <- dueAsk{due.machine, micros.Now() + askPause}
				}
			}
		}()
	}
	open.Wait()
	close(queue)
}

// ask asks a machine for its tasks, and tells whether that is no longer needed.
func (l *Leader) ask(ctx context.Context, m *machine) bool {
	// A worker that lost its lease is in a session that only its answer tells.
	for range 2 {
		to, needed := l.askTarget(m)
		if !needed {
			return true
		}
		if !l.Term.IsExclusive() {
			return false
		}
		report, err := l.askOnce(ctx, to)
		l.mu.Lock()
		if err != nil {
			m.asks++
			l.mu.Unlock()
			slog.Debug("asking for tasks", "machine", m.id, "error", err)
			return false
		}
		l.answeredAsk(m, report, micros.Now())
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return m.confirmed()
}

// askTarget is where a machine is asked, as it was known when the call began.
type askTarget struct {
	machine, address string
	session          uint64
}

// askTarget is where a machine is to be asked, if it still needs to be.
func (l *Leader) askTarget(m *machine) (to askTarget, needed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed = !m.confirmed() && !m.leaving && l.machines[m.id] == m && !l.superseded && !l.handing
	return askTarget{m.id, m.address, m.probableSession()}, needed
}

// errOtherMachine says that another machine answers at a machine's address.
var errOtherMachine = errors.New("another machine answers")

// askOnce sends a machine this term's token without commands, and takes its report.
func (l *Leader) askOnce(ctx context.Context, to askTarget) (*wire.Heartbeat, error) {
	l.calls <- struct{}{}
	defer func() { <-l.calls }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	body := wire.CommandRequest{FencingToken: l.FencingToken, Incarnation: to.session, Commands: []wire.Command{}}
	_, answer, err := wire.Call(ctx, l.WorkerClient, http.MethodPost, "http://"+to.address+"/commands", body)
	if err != nil {
		return nil, err
	}
	var report wire.Heartbeat
	if err := wire.Unmarshal(answer, &report); err != nil {
		return nil, err
	}
	if report.MachineID != to.machine {
		return nil, errOtherMachine
	}
	return &report, nil
}

// confirmed tells whether the machine itself has told this term its tasks, or cannot have
// any of an earlier one.
func (m *machine) confirmed() bool { return m.resolved && !m.unconfirmed }

// answeredAsk takes a machine's tasks from its answer, unless a report came first.
func (l *Leader) answeredAsk(m *machine, r *wire.Heartbeat, now micros.Micros) {
	if m.confirmed() || l.machines[m.id] != m || l.superseded || r.Incarnation < m.session {
		return
	}
	m.session = r.Incarnation
	if r.FencingToken != l.FencingToken {
		return
	}
	a := l.zoneAnswers[m.kind.Zone]
	a.answered++
	l.zoneAnswers[m.kind.Zone] = a
	m.asked = r.Sequence
	// It is alive; and no answer of an earlier term renews its lease from now on.
	m.reported, m.answered = now, now
	l.reconcile(m, r, now)
	l.publishMachine(m)
}

// probableSession is the session that a machine is probably in.
func (m *machine) probableSession() uint64 {
	if m.session == 0 && m.expected != nil {
		return max(1, m.expected.Incarnation)
	}
	return max(1, m.session)
}
