package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"caperlatch/internal/micros"
)

// simulation runs detectors that exchange heartbeats in simulated time, over paths with latencies and cuts.
type simulation struct {
	now        micros.Micros
	random     *rand.Rand
	nodes      []*simulatedNode
	events     eventQueue
	eventCount int
	// latency and cut give the latency and the loss of each message. leader is the number of the node whose session
	// the state service holds. stateServiceDown applies to all nodes.
	latency          func(from, to int) micros.Micros
	cut              func(from, to int) bool
	leader           int
	stateServiceDown bool
	lastArrival      map[[2]int]micros.Micros // of the last message on each path; messages on a path keep their order
	observed         []observedTransition
}

// simulatedNode is one node. A node without a detector is of a version without heartbeats.
type simulatedNode struct {
	name                string
	detector            *Detector
	startCount          int
	down                bool
	pausedUntil         micros.Micros
	withoutStateService bool // the state service does not answer this node
}

// observedTransition is a transition that one node, the observer, made.
type observedTransition struct {
	Transition
	at       micros.Micros
	observer string
}

// event is an action of a node that is due at a time. It is dropped if the node has stopped or restarted by then.
type event struct {
	at         micros.Micros
	sequence   int // orders events that are due at the same time
	node       int
	startCount int
	action     func()
}

// eventQueue is a heap of events, with the earliest one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].sequence-q[j].sequence) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// normalLatency is the latency of a path without faults.
const normalLatency = micros.Millisecond

// newSimulation starts nodes that reach each other and the state service. Node 0 is the leader. The nodes listed in
// withoutHeartbeats are of a version without heartbeats.
func newSimulation(size int, seed uint64, withoutHeartbeats ...int) *simulation {
	s := &simulation{
		now:         1000 * micros.Second,
		random:      rand.New(rand.NewPCG(seed, 31)),
		latency:     func(int, int) micros.Micros { return normalLatency },
		cut:         func(int, int) bool { return false },
		lastArrival: map[[2]int]micros.Micros{},
	}
	for i := range size {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprintf("host-%d", i), down: true})
	}
	for i := range size {
		s.start(i, uint64(s.now), slices.Contains(withoutHeartbeats, i))
	}
	return s
}

// start starts or restarts a node, as a version with or without heartbeats.
func (s *simulation) start(i int, incarnation uint64, withoutHeartbeats bool) {
	n := s.nodes[i]
	n.startCount++
	n.down, n.detector = false, nil
	if withoutHeartbeats {
		return
	}
	var others []string
	for j, other := range s.nodes {
		if j != i {
			others = append(others, other.name)
		}
	}
	n.detector = NewDetector(n.name, others, DefaultConfig(), incarnation, s.now)
	s.after(i, micros.Micros(s.random.Int64N(int64(DefaultConfig().HeartbeatInterval))), func() { s.sendHeartbeats(i) })
}

// stop stops a node. It does nothing if there is no node with this number.
func (s *simulation) stop(i int) {
	if i < len(s.nodes) {
		s.nodes[i].down = true
	}
}

// pause delays all actions of a node until the pause is over.
func (s *simulation) pause(i int, d micros.Micros) { s.nodes[i].pausedUntil = s.now + d }

// after schedules an action of a node, which is dropped if the node has stopped or restarted by then.
func (s *simulation) after(node int, d micros.Micros, action func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.eventCount, node: node, startCount: s.nodes[node].startCount, action: action})
}

// run advances the simulated time, and runs the actions that become due.
func (s *simulation) run(d micros.Micros) {
	until := s.now + d
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		n := s.nodes[e.node]
		switch {
		case n.down || n.startCount != e.startCount:
		case s.now < n.pausedUntil:
			s.after(e.node, n.pausedUntil-s.now, e.action)
		default:
			e.action()
			s.collectTransitions(e.node)
		}
	}
	s.now = until
}

// collectTransitions appends the new transitions of a node to the observed ones.
func (s *simulation) collectTransitions(i int) {
	n := s.nodes[i]
	if n.detector == nil {
		return
	}
	for _, t := range n.detector.TakeTransitions() {
		s.observed = append(s.observed, observedTransition{t, s.now, n.name})
	}
}

// sendHeartbeats runs a node's periodic action: a tick of its detector, and a heartbeat to each other node.
func (s *simulation) sendHeartbeats(i int) {
	n := s.nodes[i]
	s.after(i, DefaultConfig().HeartbeatInterval, func() { s.sendHeartbeats(i) })
	environment := Environment{StateServiceReachable: !s.stateServiceDown && !n.withoutStateService}
	if leader := s.nodes[s.leader]; environment.StateServiceReachable && !leader.down && s.now >= leader.pausedUntil {
		environment.Leader = leader.name
	}
	n.detector.Tick(s.now, environment)
	heartbeat := n.detector.Heartbeat(s.now)
	for j := range s.nodes {
		if j != i {
			s.exchange(i, j, &heartbeat)
		}
	}
}

// exchange sends a heartbeat, and the response to it in the other direction.
func (s *simulation) exchange(from, to int, request *Heartbeat) {
	sentAt, n := s.now, s.nodes[from]
	s.send(from, to, func() {
		peer := s.nodes[to].detector
		var response *Heartbeat
		if peer != nil {
			peer.HandleHeartbeat(s.now, request)
			h := peer.Heartbeat(s.now)
			response = &h
		}
		s.send(to, from, func() {
			n.detector.HandleAck(s.now, s.nodes[to].name, s.now-sentAt)
			if response != nil {
				n.detector.HandleHeartbeat(s.now, response)
			}
		})
	})
}

// send delivers a message after the latency of its path, unless the path is cut.
func (s *simulation) send(from, to int, arrive func()) {
	if s.cut(from, to) {
		return
	}
	path := [2]int{from, to}
	at := max(s.now+s.latency(from, to), s.lastArrival[path])
	s.lastArrival[path] = at
	s.after(to, at-s.now, arrive)
}

// transitionsTo returns the transitions of the node subject (-1: any node) into a state from any other state, since the
// given time.
func (s *simulation) transitionsTo(since micros.Micros, state State, subject int) (all []observedTransition) {
	for _, o := range s.observed {
		if o.at >= since && o.To == state && o.From != state && (subject < 0 || subject < len(s.nodes) && o.Member == s.nodes[subject].name) {
			all = append(all, o)
		}
	}
	return all
}

// state returns how the node observer sees the node subject now.
func (s *simulation) state(observer, subject int) MemberStatus {
	for _, m := range s.nodes[observer].detector.Status(s.now).Members {
		if m.Member == s.nodes[subject].name {
			return m
		}
	}
	return MemberStatus{}
}
