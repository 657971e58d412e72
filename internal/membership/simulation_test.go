package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"caperlatch/internal/micros"
)

// simulation has detectors exchange heartbeats over paths with lags and cuts, in virtual time.
type simulation struct {
	now    micros.Micros
	random *rand.Rand
	nodes  []*simulated
	events eventQueue
	sent   int
	// lag and cut are what meets a message; leader holds a session; storeDown is for all nodes.
	lag       func(from, to int) micros.Micros
	cut       func(from, to int) bool
	leader    int
	storeDown bool
	arrives   map[[2]int]micros.Micros // of the last message on a path: streams keep their order
	observed  []observation
}

// simulated is one node; without a detector it is of a version without heartbeats.
type simulated struct {
	name      string
	detector  *Detector
	life      int
	down      bool
	frozen    micros.Micros // until when it stands still
	storeLost bool          // the state service does not answer it
}

// observation is a transition at one node.
type observation struct {
	Transition
	at micros.Micros
	by string
}

// event is something that happens at a time, to a node's present life alone.
type event struct {
	at     micros.Micros
	number int // in order of time and then of this
	node   int
	life   int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].number-q[j].number) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// usualLag is that of a path between two nodes that nothing slows.
const usualLag = micros.Millisecond

// newSimulation starts nodes that hear each other and the state service; node 0 leads.
func newSimulation(size int, seed uint64, old ...int) *simulation {
	s := &simulation{
		now:     1000 * micros.Second,
		random:  rand.New(rand.NewPCG(seed, 31)),
		lag:     func(int, int) micros.Micros { return usualLag },
		cut:     func(int, int) bool { return false },
		arrives: map[[2]int]micros.Micros{},
	}
	for i := range size {
		s.nodes = append(s.nodes, &simulated{name: fmt.Sprintf("host-%d", i), down: true})
	}
	for i := range size {
		s.start(i, uint64(s.now), slices.Contains(old, i))
	}
	return s
}

// start begins a new life of a node.
func (s *simulation) start(i int, incarnation uint64, old bool) {
	n := s.nodes[i]
	n.life++
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
	s.after(i, micros.Micros(s.random.Int64N(int64(DefaultConfig().HeartbeatInterval))), func() { s.beat(i) })
}

// stop ends a node, if there is one of this number.
func (s *simulation) stop(i int) {
	if i < len(s.nodes) {
		s.nodes[i].down = true
	}
}

// freeze has a node stand still.
func (s *simulation) freeze(i int, d micros.Micros) { s.nodes[i].frozen = s.now + d }

// after has a node's present life do something later.
func (s *simulation) after(node int, d micros.Micros, do func()) {
	s.sent++
	heap.Push(&s.events, event{at: s.now + d, number: s.sent, node: node, life: s.nodes[node].life, do: do})
}

// run lets time pass.
func (s *simulation) run(d micros.Micros) {
	until := s.now + d
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		n := s.nodes[e.node]
		switch {
		case n.down || n.life != e.life:
		case s.now < n.frozen:
			s.after(e.node, n.frozen-s.now, e.do)
		default:
			e.do()
			s.observe(e.node)
		}
	}
	s.now = until
}

// observe keeps what changed at a node.
func (s *simulation) observe(i int) {
	n := s.nodes[i]
	if n.detector == nil {
		return
	}
	for _, t := range n.detector.TakeTransitions() {
		s.observed = append(s.observed, observation{t, s.now, n.name})
	}
}

// beat is what a node does once an interval.
func (s *simulation) beat(i int) {
	n := s.nodes[i]
	s.after(i, DefaultConfig().HeartbeatInterval, func() { s.beat(i) })
	around := Environment{StateServiceReachable: !s.storeDown && !n.storeLost}
	if leader := s.nodes[s.leader]; around.StateServiceReachable && !leader.down && s.now >= leader.frozen {
		around.Leader = leader.name
	}
	n.detector.Tick(s.now, around)
	heartbeat := n.detector.Heartbeat(s.now)
	for j := range s.nodes {
		if j != i {
			s.ask(i, j, &heartbeat)
		}
	}
}

// ask sends a heartbeat, which is answered.
func (s *simulation) ask(from, to int, question *Heartbeat) {
	asked, n := s.now, s.nodes[from]
	s.send(from, to, func() {
		peer := s.nodes[to].detector
		var answer *Heartbeat
		if peer != nil {
			peer.HandleHeartbeat(s.now, question)
			h := peer.Heartbeat(s.now)
			answer = &h
		}
		s.send(to, from, func() {
			n.detector.HandleAck(s.now, s.nodes[to].name, s.now-asked)
			if answer != nil {
				n.detector.HandleHeartbeat(s.now, answer)
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
	at := max(s.now+s.lag(from, to), s.arrives[path])
	s.arrives[path] = at
	s.after(to, at-s.now, arrive)
}

// saw lists the changes to a state of some node (-1: any) that nodes saw from a time on.
func (s *simulation) saw(from micros.Micros, to State, of int) (all []observation) {
	for _, o := range s.observed {
		if o.at >= from && o.To == to && o.From != to && (of < 0 || of < len(s.nodes) && o.Member == s.nodes[of].name) {
			all = append(all, o)
		}
	}
	return all
}

// state is what one node thinks of another now.
func (s *simulation) state(by, of int) MemberStatus {
	for _, m := range s.nodes[by].detector.Status(s.now).Members {
		if m.Member == s.nodes[of].name {
			return m
		}
	}
	return MemberStatus{}
}
