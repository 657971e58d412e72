// Package taskquery queries machines for their tasks after a failover.
//
// Waiting for the machines' heartbeats instead takes a heartbeat interval or more, and all jobs that an earlier term
// may have started must wait for the last of them. In a fleet of a thousand machines that were full in a busy hour, a
// fifth of the machines stood idle for 20 s after each failover.
//
// A query carries this term's fencing token and no commands. A response with that token lists the tasks that the worker
// had after it had seen the token. From then on, the worker executes no start of an earlier term. This term starts
// nothing on a machine before it knows the machine's tasks.
//
// The package owns the list of machines that are still to be queried and the response counts of each zone. It must
// never send a command, and must never send a query while another node may lead. It takes the leader's lock itself, and
// never holds it during a call.
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

// retryInterval is the minimum time from a call of Query that did not suffice to the next one for the same machine.
const retryInterval = 500 * micros.Millisecond

// maxIncarnationAttempts is how many times in a row a call of Query queries a machine. A worker whose lease expired has
// a new incarnation, which only its response reveals; the next query then names that incarnation.
const maxIncarnationAttempts = 2

// Config holds the dependencies of queries. The functions, except Call, MaxCalls and IsExclusive, are called with Lock
// held.
type Config struct {
	Lock          sync.Locker // the leader's
	Fleet         *fleet.Fleet
	FencingToken  uint64
	TermStartedAt micros.Micros
	// IsExclusive reports whether no other node can lead now. It needs no lock.
	IsExclusive func() bool
	// Call queries a worker for its status. MaxCalls returns how many such calls may be in progress at a time.
	Call     func(ctx context.Context, to dispatch.Target) (*wire.Heartbeat, error)
	MaxCalls func() int
	// IsSuperseded reports whether a higher fencing token is known. IsHandingOver reports whether the term is
	// being handed over.
	IsSuperseded  func() bool
	IsHandingOver func() bool
	// Prioritize sorts machines into the order in which they are queried.
	Prioritize func(machines []*state.Machine)
	// OnStatus records a machine's tasks from the worker's response.
	OnStatus func(m *state.Machine, status *wire.Heartbeat, now micros.Micros)
}

// ResponseCounts holds how many machines of a zone were queried for their tasks, and how many responded.
type ResponseCounts struct{ Queried, Responded int }

// mostRespond reports whether at least half of the queried machines responded, and at least one did. Otherwise the
// cause is assumed to be on this node's side, not on the machines'.
func (c ResponseCounts) mostRespond() bool { return 2*c.Responded >= c.Queried && c.Responded > 0 }

// Queries queries the machines of a fleet for their tasks in one term.
type Queries struct {
	Config
	ByZone map[string]ResponseCounts // queries and responses of each zone; guarded by Lock
}

// New returns Queries that has sent no query yet.
func New(c Config) *Queries { return &Queries{Config: c, ByZone: map[string]ResponseCounts{}} }

// MostOfZoneRespond reports whether most queried machines of a zone responded. It must be called with Lock held.
func (q *Queries) MostOfZoneRespond(zone string) bool { return q.ByZone[zone].mostRespond() }

// MostRespond reports whether most queried machines of all zones responded. It must be called with Lock held.
func (q *Queries) MostRespond() bool {
	var all ResponseCounts
	for _, c := range q.ByZone {
		all.Queried += c.Queried
		all.Responded += c.Responded
	}
	return all.mostRespond()
}

// Run queries all machines that may hold tasks of earlier terms, until none of them needs a further query or ctx ends.
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

// unconfirmedMachines returns the machines that have an address and have not confirmed their tasks in this term, in the
// order in which they are to be queried. It also counts them by zone.
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

// scheduledQuery is a query of a machine that must not be sent before a given time.
type scheduledQuery struct {
	machine   *state.Machine
	notBefore micros.Micros
}

// queryAll queries machines concurrently, up to MaxCalls at a time. It queries each machine repeatedly until the
// machine needs no further query or ctx ends.
func (q *Queries) queryAll(ctx context.Context, machines []*state.Machine) {
	var pending, workers sync.WaitGroup
	pending.Add(len(machines))
	queue := make(chan scheduledQuery, len(machines))
	for _, m := range machines {
		queue <- scheduledQuery{m, 0}
	}
	for range min(len(machines), q.MaxCalls()) {
		workers.Go(func() {
			for query := range queue {
				if now := micros.Now(); now < query.notBefore {
					micros.Pause(ctx, query.notBefore-now)
				}
				if ctx.Err() != nil || q.Query(ctx, query.machine) {
					pending.Done()
				} else {
					queue <- scheduledQuery{query.machine, micros.Now() + retryInterval}
				}
			}
		})
	}
	pending.Wait()
	close(queue)
	workers.Wait()
}

// Query queries a machine for its tasks, up to maxIncarnationAttempts times, and reports whether the machine needs no
// further query. It needs none once its tasks are confirmed, it is being terminated or is gone, or the term is ending.
func (q *Queries) Query(ctx context.Context, m *state.Machine) (done bool) {
	for range maxIncarnationAttempts {
		target, needed := q.target(m)
		if !needed {
			return true
		}
		if !q.IsExclusive() {
			return false
		}
		status, err := q.Call(ctx, target)
		if err != nil {
			q.recordFailure(m)
			slog.Debug("task query to machine failed", "machine", m.ID, "error", err)
			return false
		}
		q.applyStatus(m, status)
	}
	q.Lock.Lock()
	defer q.Lock.Unlock()
	return m.TasksConfirmed()
}

// target returns the destination of a query to a machine, and whether the machine still needs to be queried.
func (q *Queries) target(m *state.Machine) (to dispatch.Target, needed bool) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	needed = !m.TasksConfirmed() && !m.Instance.Terminating && q.Fleet.Machines[m.ID] == m && !q.IsSuperseded() && !q.IsHandingOver()
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.LikelyIncarnation()}, needed
}

// recordFailure counts a query of a machine that failed.
func (q *Queries) recordFailure(m *state.Machine) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	m.Reconciliation.FailedQueries++
}

// applyStatus records a machine's tasks from its response. It ignores the response if a heartbeat has already confirmed
// the tasks, the machine is gone, the term is superseded, or the incarnation is an earlier one. If the response carries
// another fencing token, only its incarnation is recorded.
func (q *Queries) applyStatus(m *state.Machine, status *wire.Heartbeat) {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	now := micros.Now()
	if m.TasksConfirmed() || q.Fleet.Machines[m.ID] != m || q.IsSuperseded() || status.Incarnation < m.Heartbeat.Incarnation {
		return
	}
	if status.Incarnation > m.Heartbeat.Incarnation {
		m.Heartbeat.Incarnation, m.Heartbeat.Sequence = status.Incarnation, 0
	}
	if status.FencingToken != q.FencingToken {
		return
	}
	counts := q.ByZone[m.Offering.Zone]
	counts.Responded++
	q.ByZone[m.Offering.Zone] = counts
	m.Reconciliation.QueriedSequence = status.Sequence
	m.Heartbeat.FencingToken = status.FencingToken
	// The machine is alive, and from now on no response of an earlier term can renew its lease.
	m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
	q.OnStatus(m, status, now)
}
