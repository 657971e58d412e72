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
	// heartbeatTimeout is how long a heartbeat waits for its response. It is longer than the round trip of a slow network
	// path, because a timeout closes the connection.
	heartbeatTimeout = 5 * micros.Second
	// leaveTimeout is how long the heartbeat that announces that this node leaves may take.
	leaveTimeout = 500 * micros.Millisecond
	// maxPendingHeartbeats is the maximum number of heartbeats to one peer that wait for their responses.
	maxPendingHeartbeats = 16
)

// membershipAgent runs a node's part of the membership protocol. It sends and answers heartbeats between members, and
// passes them to a failure detector. Nothing else on the node acts on the detector's verdicts.
type membershipAgent struct {
	config membership.Config
	// clients use connections of their own, because the connections of probes are closed after about 1 s without a
	// response, and a slow network path may take longer.
	clients     map[string]*peer.Client       // by member
	environment func() membership.Environment // what the detector needs to know from the state service

	mu       sync.Mutex
	detector *membership.Detector
}

// newMembershipAgent returns the agent of a member. It sends no heartbeats until run is called.
func newMembershipAgent(member string, peers []settings.Peer, dial peer.Dial, config membership.Config, environment func() membership.Environment) *membershipAgent {
	a := &membershipAgent{config: config, clients: map[string]*peer.Client{}, environment: environment}
	var others []string
	for _, p := range peers {
		others = append(others, p.Member)
		a.clients[p.Member] = peer.NewClient(p.Addr, dial)
	}
	a.detector = membership.NewDetector(member, others, config, uint64(micros.WallTime()), micros.Now())
	return a
}

// run sends heartbeats and evaluates the members until ctx ends.
func (a *membershipAgent) run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range a.clients {
		wg.Go(func() { a.sendHeartbeats(ctx, member, client) })
	}
	micros.Every(ctx, a.config.HeartbeatInterval, a.evaluateMembers)
	wg.Wait()
}

// sendHeartbeats sends heartbeats to a peer until ctx ends. Heartbeats do not wait for each other's responses.
func (a *membershipAgent) sendHeartbeats(ctx context.Context, member string, client *peer.Client) {
	defer client.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	pending := make(chan struct{}, maxPendingHeartbeats)
	micros.Every(ctx, a.config.HeartbeatInterval, func() {
		select {
		case pending <- struct{}{}:
		default:
			return // too many heartbeats wait for their responses
		}
		wg.Go(func() {
			defer func() { <-pending }()
			a.sendHeartbeat(ctx, member, client, heartbeatTimeout)
		})
	})
}

// sendHeartbeat sends one heartbeat to a peer and applies the response.
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

// respond applies a peer's heartbeat and returns this node's heartbeat.
func (a *membershipAgent) respond(received *membership.Heartbeat) *membership.Heartbeat {
	a.update(func(d *membership.Detector, now micros.Micros) { d.HandleHeartbeat(now, received) })
	heartbeat := a.heartbeat()
	return &heartbeat
}

// evaluateMembers updates the detector's verdicts on the members.
func (a *membershipAgent) evaluateMembers() {
	environment := a.environment()
	a.update(func(d *membership.Detector, now micros.Micros) { d.Tick(now, environment) })
}

// update applies change to the detector, and logs the resulting state transitions of members.
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

// status returns this node's view of the other members.
func (a *membershipAgent) status() membership.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Status(micros.Now())
}

// leave announces to all peers that this node leaves, so that they do not suspect it.
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
