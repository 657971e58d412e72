package leader

import (
	"context"
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
	l.mu.Lock()
	var ms []*machine
	for _, m := range l.order {
		if (!m.resolved || m.unconfirmed) && m.address != "" {
			ms = append(ms, m)
			a := l.zoneAnswers[m.kind.Zone]
			a.asked++
			l.zoneAnswers[m.kind.Zone] = a
		}
	}
	if l.Expected != nil {
		l.askOrder(ms)
	}
	l.mu.Unlock()
	type ask struct {
		m  *machine
		at micros.Micros // not before
	}
	var open sync.WaitGroup
	open.Add(len(ms))
	queue := make(chan ask, len(ms))
	for _, m := range ms {
		queue <- ask{m, 0}
	}
	for range min(len(ms), cap(l.calls)) {
		go func() {
			for a := range queue {
				if now := micros.Now(); now < a.at {
					micros.Pause(ctx, a.at-now)
				}
				if ctx.Err() != nil || l.ask(ctx, a.m) {
					open.Done()
				} else {
					queue <- ask{a.m, micros.Now() + askPause}
				}
			}
		}()
	}
	open.Wait()
	close(queue)
	if len(ms) > 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		slog.Info("asked for tasks", "machines", len(ms), "unresolved", l.unresolved(), "took", (micros.Now() - l.began).Duration())
	}
}

// ask asks a machine for its tasks, and tells whether that is no longer needed.
func (l *Leader) ask(ctx context.Context, m *machine) bool {
	// A worker that lost its lease is in a session that only its answer tells.
	for range 2 {
		l.mu.Lock()
		over := m.resolved && !m.unconfirmed || m.leaving || l.machines[m.id] != m || l.superseded || l.handing
		body := wire.DirectCommands{Token: l.Token, Session: m.probableSession(), Commands: []wire.Command{}}
		l.mu.Unlock()
		if over {
			return true
		}
		if !l.Term.Sure() {
			return false
		}
		l.calls <- struct{}{}
		callCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		_, answer, err := wire.Exchange(callCtx, l.Workers, http.MethodPost, "http://"+m.address+"/commands", body)
		cancel()
		<-l.calls
		var r wire.Report
		if err == nil {
			err = wire.Unmarshal(answer, &r)
		}
		l.mu.Lock()
		if err != nil || r.Machine != m.id {
			m.asks++
			l.mu.Unlock()
			slog.Debug("asking for tasks", "machine", m.id, "error", err)
			return false
		}
		l.answeredAsk(m, &r, micros.Now())
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return m.resolved && !m.unconfirmed
}

// answeredAsk takes a machine's tasks from its answer, unless a report came first.
func (l *Leader) answeredAsk(m *machine, r *wire.Report, now micros.Micros) {
	if m.resolved && !m.unconfirmed || l.machines[m.id] != m || l.superseded || r.Session < m.session {
		return
	}
	m.session = r.Session
	if r.Token != l.Token {
		return
	}
	a := l.zoneAnswers[m.kind.Zone]
	a.answered++
	l.zoneAnswers[m.kind.Zone] = a
	m.asked = r.Seq
	// It is alive; and no answer of an earlier term renews its lease from now on.
	m.reported, m.answered = now, now
	l.reconcile(m, r, now)
	l.publishMachine(m)
}

// probableSession is the session that a machine is probably in.
func (m *machine) probableSession() uint64 {
	if m.session == 0 && m.expected != nil {
		return max(1, m.expected.Session)
	}
	return max(1, m.session)
}
