package caperlatch

import (
	"context"
	"log/slog"

	"caperlatch/internal/election"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
)

const (
	// connectivityCheckInterval is the time between two checks of the connectivity.
	connectivityCheckInterval = micros.Second
	// idleWatchTimeout is how long the watch may deliver no change before the node checks that it does not hang.
	idleWatchTimeout = 1500 * micros.Millisecond
)

// connectivity tracks whether the state service and the peers respond to this node. It sends no requests except the
// reads that detect a hanging watch.
type connectivity struct {
	member   string // this node
	others   []settings.Peer
	store    *statestore.Client
	replica  *replica.Replica
	peers    *peer.Peers
	election *election.Election
}

// reachesStateService reports whether the state service has responded to this node within peer.ContactTimeout.
func (c *connectivity) reachesStateService() bool {
	return c.store.SinceLastResponse() < peer.ContactTimeout
}

// isReady reports whether this node can serve requests. A node that cannot reach the state service is not ready, unless
// no peer can reach it either, because then skipping this node would not help. A node that can reach neither the state
// service nor any peer is never ready: it is cut off and could only tell its users to retry later, whereas other nodes
// may be able to serve them.
func (c *connectivity) isReady() bool {
	return c.replica.IsLoaded() && (c.reachesStateService() || c.peers.AnyResponds() && !c.peers.AnyReachesStateService())
}

// isIsolated reports whether this node can reach neither the state service nor at least half of its peers. Failures that
// it observes in zones then probably have their cause at this node.
func (c *connectivity) isIsolated() bool {
	if c.reachesStateService() {
		return false
	}
	reachable := 0
	for _, p := range c.others {
		if c.peers.IsReachable(p.Member) {
			reachable++
		}
	}
	return 2*reachable < len(c.others)
}

// membershipEnvironment returns what membership needs to know from the state service.
func (c *connectivity) membershipEnvironment() membership.Environment {
	env := membership.Environment{StateServiceReachable: c.reachesStateService()}
	if micros.Now()-c.replica.CurrentAsOf() < peer.ContactTimeout {
		if l, modRevision := c.election.Leader(); modRevision != 0 {
			env.Leader = l.Member
		}
	}
	return env
}

// monitor reads from the state service while the replica's watch has delivered no changes for idleWatchTimeout, because a
// watch may hang. The read shows whether the state service responds, and fetches changes that the watch missed. monitor
// also logs changes of the connectivity. It returns when ctx ends.
func (c *connectivity) monitor(ctx context.Context) {
	logged := loggedConnectivity{stateServiceResponds: true, responds: map[string]bool{}, versions: map[string]int{}}
	micros.Every(ctx, connectivityCheckInterval, func() {
		c.logChanges(&logged)
		if c.replica.IsLoaded() && micros.Now()-c.replica.CurrentAsOf() > idleWatchTimeout {
			if err := c.replica.Barrier(ctx); err != nil {
				slog.Debug("reading from the state service to check an idle watch failed", "error", err)
			}
		}
	})
}

// loggedConnectivity is the connectivity as last logged. The maps have the peers' values by member.
type loggedConnectivity struct {
	stateServiceResponds bool
	responds             map[string]bool
	versions             map[string]int
}

// logChanges logs the changes since the connectivity was last logged, and updates logged.
func (c *connectivity) logChanges(logged *loggedConnectivity) {
	if now := c.reachesStateService(); now != logged.stateServiceResponds {
		logged.stateServiceResponds = now
		slog.Info("state service connectivity changed", "responds", now, "unreachable", c.store.IsUnreachable())
	}
	for _, p := range c.others {
		if now := c.peers.IsReachable(p.Member); now != logged.responds[p.Member] {
			logged.responds[p.Member] = now
			slog.Info("peer connectivity changed", "peer", p.Member, "responds", now)
		}
	}
	for _, p := range c.peers.Versions(c.member).Peers {
		previous, known := logged.versions[p.Member]
		if p.Responding && (!known || previous != p.Version) {
			logged.versions[p.Member] = p.Version
			slog.Info("peer version changed", "peer", p.Member, "version", p.Version, "own_version", peer.Version)
		}
	}
}
