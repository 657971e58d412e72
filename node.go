// Package caperlatch runs a controller node of the cluster scheduler.
package caperlatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"caperlatch/internal/api"
	"caperlatch/internal/cloud"
	"caperlatch/internal/election"
	"caperlatch/internal/leader"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
)

// Node is one controller.
type Node struct {
	settings *settings.Settings
	tuning   settings.Tuning
	store    *statestore.Client
	cloud    *cloud.Client
	replica  *replica.Replica
	election *election.Election

	mu      sync.Mutex
	leading *leader.Leader

	workers *http.Client
}

var _ api.Node = (*Node)(nil)

// NewNode makes a node from checked settings.
func NewNode(s *settings.Settings, t settings.Tuning) *Node {
	return newNode(s, t,
		&http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
		&http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// newNode takes the transports to the services and to the workers.
func newNode(s *settings.Settings, t settings.Tuning, services, workers http.RoundTripper) *Node {
	n := &Node{settings: s, tuning: t, workers: &http.Client{Transport: workers}}
	n.store = statestore.New(s.External.State, s.Params.State, services)
	n.cloud = cloud.New(s.External.Cloud, s.Params.Cloud, services)
	n.replica = replica.New(n.store)
	n.election = election.New(s.Member, n.store, n.replica, n.lead)
	return n
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	limits := n.settings.Params.Limits
	// Most of the memory limit may be used before the collector works hard;
	// below it, few collections spare the small share of the processor.
	debug.SetMemoryLimit(int64(limits.MemoryMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(300)
	ln, err := net.Listen("tcp", n.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	server := &http.Server{Handler: n.handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	var wg sync.WaitGroup
	wg.Go(func() { n.work(ctx) })
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	slog.Info("node started", "member", n.settings.Member, "listen", ln.Addr().String())
	err = server.Serve(ln)
	if ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	wg.Wait()
	return nil
}

func (n *Node) handler() http.Handler {
	return api.New(&api.Handler{
		Node: n, Settings: n.settings, Store: n.store, Batch: statestore.NewBatcher(n.store), Replica: n.replica,
	})
}

// work does all that is not an answer to a request, until ctx ends.
func (n *Node) work(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.replica.Run(ctx) })
	wg.Go(func() { n.election.Run(ctx) })
	wg.Wait()
}

// lead is called by the election for each term.
func (n *Node) lead(ctx context.Context, t *election.Term) {
	l := leader.New(leader.Config{
		Settings: n.settings, Tuning: n.tuning, Store: n.store, Cloud: n.cloud, Replica: n.replica,
		Term: t, Token: t.Token, Stamp: t.Stamp, Workers: n.workers,
	})
	n.setLeading(l)
	defer n.setLeading(nil)
	l.Run(ctx)
}

func (n *Node) setLeading(l *leader.Leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
}

// Leading is this node's leader if it leads, else nil.
func (n *Node) Leading() *leader.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

// LeaderMember names the leader as known here.
func (n *Node) LeaderMember() string {
	l, _ := n.election.Leader()
	return l.Member
}

// Ready tells whether the node can take requests.
func (n *Node) Ready() bool { return n.replica.Loaded() }

// Counts shows how far a job is.
func (n *Node) Counts(id string) (done, running int) {
	if l := n.Leading(); l != nil {
		done, running, _ = l.Counts(id)
	}
	return done, running
}

// Explain asks the leader about a job.
func (n *Node) Explain(_ context.Context, id string) (leader.Explanation, error) {
	l := n.Leading()
	if l == nil {
		return leader.Explanation{}, errors.New("not leading here")
	}
	e, _ := l.Explain(id)
	return e, nil
}
