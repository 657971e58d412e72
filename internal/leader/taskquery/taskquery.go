// Package taskquery queries machines for their tasks after a failover.
//
// Waiting for their heartbeats took a heartbeat interval and more, and until the last one all jobs waited
// that an earlier term may have started: in a fleet of a thousand that a busy hour filled, a fifth stood idle
// for 20 s each time.
//
// A query carries this term's fencing token and no commands. What its response shows with that token was so
// after the worker had seen this term's token, so no start of an earlier term can follow; and this term
// starts nothing before it knows a machine's tasks.
//
// The package owns which machines are still to be queried and how the machines of each zone respond. It must
// never send a command, nor query while another node may lead. It takes the leader's lock itself, and never
// holds it over a call.
package taskquery

import (
	"context"
	"log/slog"
	"sync"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// retryInterval is for how long a machine is not asked again.
const retryInterval = 500 * micros.Millisecond

// maxIncarnationTries is how often a machine is asked in a row: a worker whose lease expired is in an
// incarnation that only its response shows.
const maxIncarnationTries = 2

// Config is what queries work with. The functions are called with the lock held, but for Call and MaxCalls.
type Config struct {
	Lock          sync.Locker // the leader's
	Fleet         *fleet.Fleet
	FencingToken  uint64
	TermStartedAt micros.Micros
	// IsExclusive reports whether no other node can lead now. It needs no lock.
	IsExclusive func() bool
	// Call asks a worker for its status; MaxCalls is how many such calls may be in progress.
	Call     func(ctx context.Context, to dispatch.Target) (*wire.Heartbeat, error)
	MaxCalls func() int
	// IsSuperseded reports whether a higher fencing token is known, IsHandingOver whether the term is
	// handing over.
	IsSuperseded  func() bool
	IsHandingOver func() bool
	// Prioritize sorts machines into the order in which they are to be asked.
	Prioritize func(machines []*state.Machine)
	// OnStatus takes a machine's tasks from its response.
	OnStatus func(m *state.Machine, status *wire.Heartbeat, now micros.Micros)
}

// Counts counts the machines of a zone that were asked for their tasks.
type Counts struct{ Queried, Responded int }

// mostRespond reports whether a machine that gives no response is the exception: if not, it is
// this node that cannot reach the zone.
func (c Counts) mostRespond() bool { return 2*c.Responded >= c.Queried && c.Responded > 0 }

// Queries asks the machines of a fleet for one term.
type Queries struct {
	Config
	ByZone map[string]Counts // by zone; guarded by the lock
}

// New makes queries of which none was sent.
func New(c Config) *Queries { return &Queries{Config: c, ByZone: map[string]Counts{}} }

// MostOfZoneRespond reports whether this node reaches most workers of a zone. It is called with the lock held.
func (q *Queries) MostOfZoneRespond(zone string) bool { return q.ByZone[zone].mostRespond() }

// MostRespond reports whether this node reaches most workers. It is called with the lock held.
func (q *Queries) MostRespond() bool {
	var all Counts
	for _, c := range q.ByZone {
		all.Queried += c.Queried
		all.Responded += c.Responded
	}
	return all.mostRespond()
}

// Run asks all machines that may hold tasks of earlier terms, until their tasks are known or ctx ends.
func (q *Queries) Run(ctx context.Context) {
	machines := q.unconfirmedMachines()
	if len(machines) == 0 {
		return
	}
	q.queryAll(ctx, machines)
	q.Lock.Lock()
	defer q.Lock.Unlock()
	slog.Info("queried machines for their tasks",
		"machines", len(machines),
		"tasks_unknown", q.Fleet.CountWithUnknownTasks(),
		"duration", (micros.Now() - q.TermStartedAt).Duration())
}

// unconfirmedMachines lists the machines that have not confirmed their tasks in this term, in the order in
// which they are to be asked, and counts them by zone.
func (q *Queries) unconfirmedMachines() (machines []*state.Machine) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	for _, m := range q.Fleet.Sorted {
		if m.TasksConfirmed() || m.Instance.Address == "" {
			continue
		}
		machines = append(machines, m)
		counts := q.ByZone[m.Offering.Zone]
		counts.Queried++
		q.ByZone[m.Offering.Zone] = counts
	}
	q.Prioritize(machines)
	return machines
}

// scheduledQuery is a machine that is to be asked, not before an instant.
type scheduledQuery struct {
	machine   *state.Machine
	notBefore micros.Micros
}

// queryAll asks machines, some at a time, each again and again until that is no longer needed.
func (q *Queries) queryAll(ctx context.Context, machines []*state.Machine) {
	var open, callers sync.WaitGroup
	open.Add(len(machines))
	queue := make(chan scheduledQuery, len(machines))
	for _, m := range machines {
		queue <- scheduledQuery{m, 0}
	}
	for range min(len(machines), q.MaxCalls()) {
		callers.Go(func() {
			for due := range queue {
				if now := micros.Now(); now < due.notBefore {
					micros.Pause(ctx, due.notBefore-now)
				}
				if ctx.Err() != nil || q.Query(ctx, due.machine) {
					open.Done()
				} else {
					queue <- scheduledQuery{due.machine, micros.Now() + retryInterval}
				}
			}
		})
	}
	open.Wait()
	close(queue)
	callers.Wait()
}

// Query asks a machine for its tasks, and reports whether that is no longer needed.
func (q *Queries) Query(ctx context.Context, m *state.Machine) (done bool) {
	for range maxIncarnationTries {
		to, needed := q.target(m)
		if !needed {
			return true
		}
		if !q.IsExclusive() {
			return false
		}
		status, err := q.Call(ctx, to)
		if err != nil {
			q.recordFailure(m)
			slog.Debug("querying a machine for its tasks failed", "machine", m.ID, "error", err)
			return false
		}
		q.applyStatus(m, status)
	}
	q.Lock.Lock()
	defer q.Lock.Unlock()
	return m.TasksConfirmed()
}

// target is where a machine is to be asked, if it still needs to be.
func (q *Queries) target(m *state.Machine) (to dispatch.Target, needed bool) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	needed = !m.TasksConfirmed() && !m.Instance.Terminating && q.Fleet.Machines[m.ID] == m && !q.IsSuperseded() && !q.IsHandingOver()
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.LikelyIncarnation()}, needed
}

// recordFailure counts a query without a response.
func (q *Queries) recordFailure(m *state.Machine) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	m.Reconciliation.FailedQueries++
}

// applyStatus takes a machine's tasks from its response, unless a heartbeat came first.
func (q *Queries) applyStatus(m *state.Machine, status *wire.Heartbeat) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	now := micros.Now()
	if m.TasksConfirmed() || q.Fleet.Machines[m.ID] != m || q.IsSuperseded() || status.Incarnation < m.Heartbeat.Incarnation {
		return
	}
	m.Heartbeat.Incarnation = status.Incarnation
	if status.FencingToken != q.FencingToken {
		return
	}
	counts := q.ByZone[m.Offering.Zone]
	counts.Responded++
	q.ByZone[m.Offering.Zone] = counts
	m.Reconciliation.QueriedSequence = status.Sequence
	// It is alive; and no response of an earlier term renews its lease from now on.
	m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
	q.OnStatus(m, status, now)
}
