package leader

import (
	"context"
	"log/slog"
	"sync"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Asking machines for their tasks.
const (
	queryRetryInterval = 500 * micros.Millisecond
	unresponsiveLimit  = 4 * micros.Second // for a machine that gave no answer twice
)

// queryCounts counts the machines of a zone that were asked for their tasks.
type queryCounts struct{ queried, responded int }

// mostResponded tells whether a machine of the zone that gives no answer is the exception: if
// not, it is this node that cannot reach the zone.
func (a queryCounts) mostResponded() bool { return 2*a.responded >= a.queried && a.responded > 0 }

// mostMachinesRespond tells whether this node reaches most workers.
func (l *Leader) mostMachinesRespond() bool {
	var all queryCounts
	for _, a := range l.zoneQueries {
		all.queried += a.queried
		all.responded += a.responded
	}
	return all.mostResponded()
}

// queryTasksLoop asks, after a take-over, all machines that may hold tasks of earlier terms
// for them. Waiting for their reports took a report time and more, and until the
// last one all jobs waited that an earlier term may have begun: in a fleet of a
// thousand that a busy hour filled, a fifth stood idle for 20 s each time.
//
// The call carries this term's token and no commands. What its answer shows with
// that token was so after the worker had heard of this term, so no start of an earlier
// one can follow; and this term starts nothing before it knows a machine's tasks.
func (l *Leader) queryTasksLoop(ctx context.Context) {
	machines := l.machinesToQuery()
	if len(machines) == 0 {
		return
	}
	l.queryAll(ctx, machines)
	l.mu.Lock()
	defer l.mu.Unlock()
	slog.Info("asked for tasks", "machines", len(machines), "unresolved", l.fleet.CountUnknown(), "took", (micros.Now() - l.startedAt).Duration())
}

// machinesToQuery lists the machines whose tasks they have not told this term, in the order in
// which they are to be asked, and counts them by zone.
func (l *Leader) machinesToQuery() (machines []*state.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.fleet.Sorted {
		if m.TasksConfirmed() || m.Instance.Address == "" {
			continue
		}
		machines = append(machines, m)
		zone := l.zoneQueries[m.Offering.Zone]
		zone.queried++
		l.zoneQueries[m.Offering.Zone] = zone
	}
	if l.PreviousTerm != nil {
		l.sortByQueryPriority(machines)
	}
	return machines
}

// scheduledQuery is a machine that is to be asked, not before an instant.
type scheduledQuery struct {
	machine   *state.Machine
	notBefore micros.Micros
}

// queryAll asks machines, some at a time, each again and again until that is no longer needed.
func (l *Leader) queryAll(ctx context.Context, machines []*state.Machine) {
	var open sync.WaitGroup
	open.Add(len(machines))
	queue := make(chan scheduledQuery, len(machines))
	for _, m := range machines {
		queue <- scheduledQuery{m, 0}
	}
	for range min(len(machines), l.dispatcher.MaxCalls()) {
		go func() {
			for due := range queue {
				if now := micros.Now(); now < due.notBefore {
					micros.Pause(ctx, due.notBefore-now)
				}
				if ctx.Err() != nil || l.queryTasks(ctx, due.machine) {
					open.Done()
				} else {
					queue <- scheduledQuery{due.machine, micros.Now() + queryRetryInterval}
				}
			}
		}()
	}
	open.Wait()
	close(queue)
}

// queryTasks asks a machine for its tasks, and tells whether that is no longer needed.
func (l *Leader) queryTasks(ctx context.Context, m *state.Machine) bool {
	// A worker that lost its lease is in a session that only its answer tells.
	for range 2 {
		to, needed := l.queryTarget(m)
		if !needed {
			return true
		}
		if !l.Term.IsExclusive() {
			return false
		}
		report, err := l.dispatcher.Query(ctx, to)
		l.mu.Lock()
		if err != nil {
			m.Reconciliation.FailedQueries++
			l.mu.Unlock()
			slog.Debug("asking for tasks", "machine", m.ID, "error", err)
			return false
		}
		l.applyQueryResponse(m, report, micros.Now())
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return m.TasksConfirmed()
}

// queryTarget is where a machine is to be asked, if it still needs to be.
func (l *Leader) queryTarget(m *state.Machine) (to dispatch.Target, needed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed = !m.TasksConfirmed() && !m.Instance.Terminating && l.fleet.Machines[m.ID] == m && !l.superseded && !l.handingOver
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.LikelyIncarnation()}, needed
}

// applyQueryResponse takes a machine's tasks from its answer, unless a report came first.
func (l *Leader) applyQueryResponse(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	if m.TasksConfirmed() || l.fleet.Machines[m.ID] != m || l.superseded || r.Incarnation < m.Heartbeat.Incarnation {
		return
	}
	m.Heartbeat.Incarnation = r.Incarnation
	if r.FencingToken != l.FencingToken {
		return
	}
	a := l.zoneQueries[m.Offering.Zone]
	a.responded++
	l.zoneQueries[m.Offering.Zone] = a
	m.Reconciliation.QueriedSequence = r.Sequence
	// It is alive; and no answer of an earlier term renews its lease from now on.
	m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
	l.reconcile(m, r, now)
	l.publishMachine(m)
}
