package caperlatch

import (
	"context"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
)

// Times of staying in contact.
const (
	contactInterval = micros.Second
	quietWatchLimit = 1500 * micros.Millisecond // after so long without a change the watch may hang
)

// stayInContact reads the changes now and then when the watch is quiet, so that
// the node knows whether it is answered and has missed nothing: a watch may hang.
func (n *Node) stayInContact(ctx context.Context) {
	logged := contactLog{storeAnswers: true, reachable: map[string]bool{}, versions: map[string]int{}}
	micros.Every(ctx, contactInterval, func() {
		n.logContact(&logged)
		if n.replica.IsLoaded() && micros.Now()-n.replica.CurrentAsOf() > quietWatchLimit {
			if err := n.replica.Barrier(ctx); err != nil {
				slog.Debug("contact", "error", err)
			}
		}
	})
}

// contactLog is what was last logged about contact with others; peers by member.
type contactLog struct {
	storeAnswers bool
	reachable    map[string]bool
	versions     map[string]int
}

// logContact logs what has changed since it was last logged.
func (n *Node) logContact(logged *contactLog) {
	if now := n.store.SinceLastResponse() < peer.FreshWithin; now != logged.storeAnswers {
		logged.storeAnswers = now
		slog.Info("state service", "answers", now, "refuses", n.store.IsUnreachable())
	}
	for _, p := range n.settings.Peers {
		if now := n.peers.IsReachable(p.Member); now != logged.reachable[p.Member] {
			logged.reachable[p.Member] = now
			slog.Info("peer", "member", p.Member, "answers", now)
		}
	}
	for _, p := range n.Versions().Peers {
		was, known := logged.versions[p.Member]
		if p.Responding && (!known || was != p.Version) {
			logged.versions[p.Member] = p.Version
			slog.Info("peer", "member", p.Member, "version", p.Version, "own", peer.Version)
		}
	}
}
