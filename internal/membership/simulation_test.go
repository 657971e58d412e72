package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"caperlatch/internal/micros"
)

// simulation has detectors exchange heartbeats over paths with latencies and cuts, in virtual time.
type simulation struct {
	now        micros.Micros
	random     *rand.Rand
	nodes      []*simulatedNode
	events     eventQueue
	eventCount int
	// latency and cut apply to each message; leader has a session; stateServiceDown is for all nodes.
	latency          func(from, to int) micros.Micros
	cut              func(from, to int) bool
	leader           int
	stateServiceDown bool
	lastArrival      map[[2]int]micros.Micros // of the last message on a path: streams keep their order
	observed         []observedTransition
}

// simulatedNode is one node; without a detector it is of a version without heartbeats.
type simulatedNode struct {
	name                string
	detector            *Detector
	startCount          int
	down                bool
	pausedUntil         micros.Micros
	withoutStateService bool // the state service does not answer it
}

// observedTransition is a transition at one node.
type observedTransition struct {
	Transition
	at micros.Micros
	by string
}

// event is something that happens at a time, unless its node has stopped or started again.
type event struct {
	at         micros.Micros
	sequence   int // order of events at one time
	node       int
	startCount int
	do         func()
}

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

// usualLatency is that of a path between two nodes that nothing slows.
const usualLatency = micros.Millisecond

// newSimulation starts nodes that reach each other and the state service; node 0 leads.
func newSimulation(size int, seed uint64, old ...int) *simulation {
	s := &simulation{
		now:         1000 * micros.Second,
		random:      rand.New(rand.NewPCG(seed, 31)),
		latency:     func(int, int) micros.Micros { return usualLatency },
		cut:         func(int, int) bool { return false },
		lastArrival: map[[2]int]micros.Micros{},
	}
	for i := range size {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprintf("host-%d", i), down: true})
	}
	for i := range size {
		s.start(i, uint64(s.now), slices.Contains(old, i))
	}
	return s
}

// start starts a node, also again; old is of a version without heartbeats.
func (s *simulation) start(i int, incarnation uint64, old bool) {
	n := s.nodes[i]
	n.startCount++
	n.down, n.detector = false, nil
	if old {
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

// stop ends a node, if there is one of this number.
func (s *simulation) stop(i int) {
	if i < len(s.nodes) {
		s.nodes[i].down = true
	}
}

// pause has a node stand still.
func (s *simulation) pause(i int, d micros.Micros) { s.nodes[i].pausedUntil = s.now + d }

// after has a node do something later, unless it has stopped or started again.
func (s *simulation) after(node int, d micros.Micros, do func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.eventCount, node: node, startCount: s.nodes[node].startCount, do: do})
}

// run lets time pass.
func (s *simulation) run(d micros.Micros) {
	until := s.now + d
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		n := s.nodes[e.node]
		switch {
		case n.down || n.startCount != e.startCount:
		case s.now < n.pausedUntil:
			s.after(e.node, n.pausedUntil-s.now, e.do)
		default:
			e.do()
			s.observe(e.node)
		}
	}
	s.now = until
}

// observe keeps the transitions at a node.
func (s *simulation) observe(i int) {
	n := s.nodes[i]
	if n.detector == nil {
		return
	}
	for _, t := range n.detector.TakeTransitions() {
		s.observed = append(s.observed, observedTransition{t, s.now, n.name})
	}
}

// sendHeartbeats is what a node does once an interval.
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

// exchange sends a heartbeat, and the response to it.
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

// send has a message arrive unless the path is cut.
func (s *simulation) send(from, to int, arrive func()) {
	if s.cut(from, to) {
		return
	}
	path := [2]int{from, to}
	at := max(s.now+s.latency(from, to), s.lastArrival[path])
	s.lastArrival[path] = at
	s.after(to, at-s.now, arrive)
}

// transitionsTo lists the changes to a state of some node (-1: any) that nodes saw from a time on.
func (s *simulation) transitionsTo(from micros.Micros, to State, of int) (all []observedTransition) {
	for _, o := range s.observed {
		if o.at >= from && o.To == to && o.From != to && (of < 0 || of < len(s.nodes) && o.Member == s.nodes[of].name) {
			all = append(all, o)
		}
	}
	return all
}

// state is what one node takes another to be now.
func (s *simulation) state(by, of int) MemberStatus {
	for _, m := range s.nodes[by].detector.Status(s.now).Members {
		if m.Member == s.nodes[of].name {
			return m
		}
	}
	return MemberStatus{}
}
