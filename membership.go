package caperlatch

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"caperlatch/internal/api"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
)

// Times of heartbeats.
const (
	// heartbeatTimeout is for how long an answer is waited for: longer than a slow path takes
	// there and back, as giving up ends the stream.
	heartbeatTimeout = 5 * micros.Second
	// leaveTimeout is how long telling that this node ends may take.
	leaveTimeout = 500 * micros.Millisecond
)

// maxHeartbeats bounds the heartbeats to one peer whose answers are waited for.
const maxHeartbeats = 16

// membershipNode is a node's part in membership: it sends and answers heartbeats.
type membershipNode struct {
	node   *Node
	config membership.Config
	// clients are streams of their own: those of probes end after a second without an answer,
	// which a slow path may well take.
	clients map[string]*peer.Client

	mu       sync.Mutex
	detector *membership.Detector
}

func newMembershipNode(n *Node, config membership.Config) *membershipNode {
	m := &membershipNode{node: n, config: config, clients: map[string]*peer.Client{}}
	var others []string
	for _, p := range n.settings.Peers {
		others = append(others, p.Member)
		m.clients[p.Member] = peer.NewClient(p.Addr, n.network.DialPeer)
	}
	m.detector = membership.NewDetector(n.settings.Member, others, config, uint64(micros.Wall()), micros.Now())
	return m
}

// run sends heartbeats and judges the members until ctx ends.
func (m *membershipNode) run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range m.clients {
		wg.Go(func() { m.sendHeartbeats(ctx, member, client) })
	}
	micros.Every(ctx, m.config.HeartbeatInterval, m.tick)
	wg.Wait()
}

// sendHeartbeats sends heartbeats to a peer until ctx ends. They don't wait for each other's answers.
func (m *membershipNode) sendHeartbeats(ctx context.Context, member string, client *peer.Client) {
	defer client.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	open := make(chan struct{}, maxHeartbeats)
	micros.Every(ctx, m.config.HeartbeatInterval, func() {
		select {
		case open <- struct{}{}:
		default:
			return // that many are not answered
		}
		wg.Go(func() {
			defer func() { <-open }()
			m.send(ctx, member, client, heartbeatTimeout)
		})
	})
}

// send sends one heartbeat and takes its answer over.
func (m *membershipNode) send(ctx context.Context, member string, client *peer.Client, timeout micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	sent := micros.Now()
	heartbeat := m.heartbeat()
	response, err := client.Call(ctx, peer.Request{MembershipHeartbeat: &heartbeat})
	if err != nil {
		slog.Debug("heartbeat", "peer", member, "error", err)
		return
	}
	m.update(func(d *membership.Detector, now micros.Micros) {
		d.HandleAck(now, member, now-sent)
		if response.MembershipHeartbeat != nil {
			d.HandleHeartbeat(now, response.MembershipHeartbeat)
		}
	})
}

// heartbeat is what to tell now.
func (m *membershipNode) heartbeat() membership.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Heartbeat(micros.Now())
}

// tick judges the members.
func (m *membershipNode) tick() {
	around := m.surroundings()
	m.update(func(d *membership.Detector, now micros.Micros) { d.Tick(now, around) })
}

// surroundings is what the state service tells of the members.
func (m *membershipNode) surroundings() membership.Environment {
	n := m.node
	around := membership.Environment{StateServiceReachable: n.store.SinceLastResponse() < peer.FreshWithin}
	if micros.Now()-n.replica.CurrentAsOf() < peer.FreshWithin {
		if l, stamp := n.election.Leader(); stamp != 0 {
			around.Leader = l.Member
		}
	}
	return around
}

// update changes what is known of the members, and logs what that changes of their states.
func (m *membershipNode) update(f func(*membership.Detector, micros.Micros)) {
	m.mu.Lock()
	f(m.detector, micros.Now())
	transitions := m.detector.TakeTransitions()
	m.mu.Unlock()
	for _, t := range transitions {
		slog.Info("member", "member", t.Member, "from", t.From, "to", t.To, "reason", t.Reason,
			"silence", t.Silence.Duration(), "confirmed_by", strings.Join(t.ConfirmedBy, " "))
	}
}

// status tells what this node thinks of the members.
func (m *membershipNode) status() membership.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Status(micros.Now())
}

// leave tells all peers that this node ends.
func (m *membershipNode) leave() {
	m.mu.Lock()
	m.detector.Leave()
	m.mu.Unlock()
	var wg sync.WaitGroup
	for member, client := range m.clients {
		wg.Go(func() { m.send(context.Background(), member, client, leaveTimeout) })
	}
	wg.Wait()
}

// HandleMembershipHeartbeat takes over a peer's heartbeat and answers with this node's.
func (n *Node) HandleMembershipHeartbeat(h *membership.Heartbeat) *membership.Heartbeat {
	if n.membership == nil {
		return nil
	}
	n.membership.update(func(d *membership.Detector, now micros.Micros) { d.HandleHeartbeat(now, h) })
	answer := n.membership.heartbeat()
	return &answer
}

// MembershipStatus tells what this node thinks of the other nodes.
func (n *Node) MembershipStatus() (membership.Status, error) {
	if n.membership == nil {
		return membership.Status{}, api.ErrMembershipOff
	}
	return n.membership.status(), nil
}

// Leave tells the other nodes that this one ends, so that it is not suspected.
func (n *Node) Leave() {
	if n.membership != nil {
		n.membership.leave()
	}
}
