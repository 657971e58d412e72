package caperlatch

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/settings"
)

const (
	// heartbeatTimeout is how long a response is waited for: longer than a slow path takes there
	// and back, as giving up ends the stream.
	heartbeatTimeout = 5 * micros.Second
	// leaveTimeout is how long the heartbeat that says that this node leaves may take.
	leaveTimeout = 500 * micros.Millisecond
	// maxPendingHeartbeats bounds the heartbeats to one peer that wait for their responses.
	maxPendingHeartbeats = 16
)

// membershipAgent is a node's part in membership: it sends and answers heartbeats between
// members, and has a detector judge them. Nothing else on the node acts on the verdicts.
type membershipAgent struct {
	config membership.Config
	// clients have streams of their own: those of probes end after a second without an answer,
	// which a slow path may well take.
	clients      map[string]*peer.Client       // by member
	surroundings func() membership.Environment // what the state service says of the members

	mu       sync.Mutex
	detector *membership.Detector
}

// newMembershipAgent returns the agent of a member that has not sent any heartbeat.
func newMembershipAgent(member string, peers []settings.Peer, dial peer.Dial, config membership.Config, surroundings func() membership.Environment) *membershipAgent {
	a := &membershipAgent{config: config, clients: map[string]*peer.Client{}, surroundings: surroundings}
	var others []string
	for _, p := range peers {
		others = append(others, p.Member)
		a.clients[p.Member] = peer.NewClient(p.Addr, dial)
	}
	a.detector = membership.NewDetector(member, others, config, uint64(micros.WallTime()), micros.Now())
	return a
}

// run sends heartbeats and judges the members until ctx ends.
func (a *membershipAgent) run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range a.clients {
		wg.Go(func() { a.sendHeartbeats(ctx, member, client) })
	}
	micros.Every(ctx, a.config.HeartbeatInterval, a.judge)
	wg.Wait()
}

// sendHeartbeats sends heartbeats to a peer until ctx ends. They don't wait for each other's
// responses.
func (a *membershipAgent) sendHeartbeats(ctx context.Context, member string, client *peer.Client) {
	defer client.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	pending := make(chan struct{}, maxPendingHeartbeats)
	micros.Every(ctx, a.config.HeartbeatInterval, func() {
		select {
		case pending <- struct{}{}:
		default:
			return // too many wait for their responses
		}
		wg.Go(func() {
			defer func() { <-pending }()
			a.sendHeartbeat(ctx, member, client, heartbeatTimeout)
		})
	})
}

// sendHeartbeat sends one heartbeat and applies the response.
func (a *membershipAgent) sendHeartbeat(ctx context.Context, member string, client *peer.Client, timeout micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	sentAt := micros.Now()
	heartbeat := a.heartbeat()
	response, err := client.Call(ctx, peer.Request{MembershipHeartbeat: &heartbeat})
	if err != nil {
		slog.Debug("membership heartbeat failed", "peer", member, "error", err)
		return
	}
	a.update(func(d *membership.Detector, now micros.Micros) {
		d.HandleAck(now, member, now-sentAt)
		if response.MembershipHeartbeat != nil {
			d.HandleHeartbeat(now, response.MembershipHeartbeat)
		}
	})
}

// heartbeat returns the heartbeat to send now.
func (a *membershipAgent) heartbeat() membership.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Heartbeat(micros.Now())
}

// respond applies a peer's heartbeat and returns this node's.
func (a *membershipAgent) respond(received *membership.Heartbeat) *membership.Heartbeat {
	a.update(func(d *membership.Detector, now micros.Micros) { d.HandleHeartbeat(now, received) })
	heartbeat := a.heartbeat()
	return &heartbeat
}

// judge has the detector judge the members.
func (a *membershipAgent) judge() {
	around := a.surroundings()
	a.update(func(d *membership.Detector, now micros.Micros) { d.Tick(now, around) })
}

// update changes what is known of the members, and logs their transitions.
func (a *membershipAgent) update(change func(*membership.Detector, micros.Micros)) {
	a.mu.Lock()
	change(a.detector, micros.Now())
	transitions := a.detector.TakeTransitions()
	a.mu.Unlock()
	for _, t := range transitions {
		slog.Info("member state changed", "member", t.Member, "from", t.From, "to", t.To, "reason", t.Reason,
			"silence", t.Silence.Duration(), "confirmed_by", strings.Join(t.ConfirmedBy, " "))
	}
}

// status returns this node's view of the members.
func (a *membershipAgent) status() membership.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Status(micros.Now())
}

// leave announces to all peers that this node leaves.
func (a *membershipAgent) leave() {
	a.mu.Lock()
	a.detector.Leave()
	a.mu.Unlock()
	var wg sync.WaitGroup
	for member, client := range a.clients {
		wg.Go(func() { a.sendHeartbeat(context.Background(), member, client, leaveTimeout) })
	}
	wg.Wait()
}
