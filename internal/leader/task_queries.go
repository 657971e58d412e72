package leader

import (
	"context"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// newTaskQueries returns the queries with which this term learns the tasks that earlier terms started.
func (l *Leader) newTaskQueries() *taskquery.Queries {
	return taskquery.New(taskquery.Config{
		Lock:          &l.mu,
		Fleet:         l.fleet,
		FencingToken:  l.FencingToken,
		TermStartedAt: l.startedAt,
		IsExclusive:   l.Term.IsExclusive,
		Call: func(ctx context.Context, to dispatch.Target) (*wire.Heartbeat, error) {
			return l.dispatcher.Query(ctx, to)
		},
		MaxCalls:      func() int { return l.dispatcher.MaxCalls() },
		IsSuperseded:  func() bool { return l.superseded },
		IsHandingOver: func() bool { return l.handingOver },
		Prioritize: func(machines []*state.Machine) {
			if l.PreviousTerm != nil {
				l.sortByQueryPriority(machines)
			}
		},
		OnStatus: func(m *state.Machine, status *wire.Heartbeat, now micros.Micros) {
			l.reconcile(m, status, now)
			l.publishMachine(m)
		},
	})
}
