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
	// contactInterval is the time between two looks at contact.
	contactInterval = micros.Second
	// quietWatchLimit is how long the watch may be without a change until it is checked that it
	// does not hang.
	quietWatchLimit = 1500 * micros.Millisecond
)

// contact is this node's contact with the state service and with its peers. It sends nothing
// but the reads by which it notices that the watch hangs.
type contact struct {
	member   string // this node
	others   []settings.Peer
	store    *statestore.Client
	replica  *replica.Replica
	peers    *peer.Peers
	election *election.Election
}

// hasStateService reports whether the state service answered this node lately.
func (c *contact) hasStateService() bool { return c.store.SinceLastResponse() < peer.ContactTimeout }

// isReady reports whether this node can take requests. Without the state service it cannot, but
// when no peer can either, being skipped would not help anyone. A node that has contact with
// nobody, neither the state service nor a peer, is cut off: the others serve its users better,
// who would only be told to come back later.
func (c *contact) isReady() bool {
	return c.replica.IsLoaded() && (c.hasStateService() || c.peers.AnyResponds() && !c.peers.AnyReachesStateService())
}

// isIsolated reports whether this node has contact with neither the state service nor most of
// its peers. What it sees of zones then says more of itself.
func (c *contact) isIsolated() bool {
	if c.hasStateService() {
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

// surroundings returns what the state service says of the members.
func (c *contact) surroundings() membership.Environment {
	around := membership.Environment{StateServiceReachable: c.hasStateService()}
	if micros.Now()-c.replica.CurrentAsOf() < peer.ContactTimeout {
		if l, modRevision := c.election.Leader(); modRevision != 0 {
			around.Leader = l.Member
		}
	}
	return around
}

// watch reads the changes now and then while the replica's watch is quiet, so that the node
// knows whether the state service answers it and has missed nothing: a watch may hang. It logs
// what changes of the contact. It returns when ctx ends.
func (c *contact) watch(ctx context.Context) {
	logged := loggedContact{stateServiceResponds: true, responds: map[string]bool{}, versions: map[string]int{}}
	micros.Every(ctx, contactInterval, func() {
		c.logChanges(&logged)
		if c.replica.IsLoaded() && micros.Now()-c.replica.CurrentAsOf() > quietWatchLimit {
			if err := c.replica.Barrier(ctx); err != nil {
				slog.Debug("check of a quiet watch failed", "error", err)
			}
		}
	})
}

// loggedContact is what was last logged of the contact; of peers by member.
type loggedContact struct {
	stateServiceResponds bool
	responds             map[string]bool
	versions             map[string]int
}

// logChanges logs what has changed since it was last logged.
func (c *contact) logChanges(logged *loggedContact) {
	if now := c.hasStateService(); now != logged.stateServiceResponds {
		logged.stateServiceResponds = now
		slog.Info("state service contact changed", "responds", now, "unreachable", c.store.IsUnreachable())
	}
	for _, p := range c.others {
		if now := c.peers.IsReachable(p.Member); now != logged.responds[p.Member] {
			logged.responds[p.Member] = now
			slog.Info("peer contact changed", "peer", p.Member, "responds", now)
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
