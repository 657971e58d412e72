package lab

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/sim/harness"
)

// DefaultFaults returns the faults of a run unless its user chooses others: the leader is killed once.
func DefaultFaults() []Fault { return []Fault{{AtS: 10, ForS: 2, Kind: Kill, Node: leaderNode}} }

// inject injects a fault, and waits until it is over.
func (l *Lab) inject(f *Fault) error {
	duration := time.Duration(f.ForS * float64(time.Second))
	l.logf("%s %s%s for %v", f.Kind, f.Node, f.Zone, duration)
	switch f.Kind {
	case StateDown:
		l.cluster.State.SetOutage(true)
		time.Sleep(duration)
		l.cluster.State.SetOutage(false)
		return nil
	case Silence:
		l.addSilence(f.Zone, 1)
		time.Sleep(duration)
		l.addSilence(f.Zone, -1)
		return nil
	}
	node, err := l.resolveNode(f.Node)
	if err != nil {
		return err
	}
	return l.failNode(node, f.Kind, duration)
}

// resolveNode returns the index of the node that a fault names.
func (l *Lab) resolveNode(name string) (node int, err error) {
	if name == leaderNode {
		return l.cluster.AwaitLeader()
	}
	_, err = fmt.Sscanf(name, harness.MemberFormat, &node)
	return node, err
}

// failNode ends or freezes a node for a while.
func (l *Lab) failNode(node int, kind Kind, duration time.Duration) error {
	switch kind {
	case Freeze:
		if err := l.cluster.Signal(node, syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(duration)
		return l.cluster.Signal(node, syscall.SIGCONT)
	case Terminate:
		l.cluster.ExpectExit(node)
		if err := l.cluster.Signal(node, syscall.SIGTERM); err != nil {
			return err
		}
		time.Sleep(duration)
		l.cluster.Kill(node) // if it has not exited by then
	default:
		l.cluster.Kill(node)
		time.Sleep(duration)
	}
	return l.cluster.StartNode(node, l.options.Program)
}

// addSilence has n more faults silence a zone, or all zones if it is empty.
func (l *Lab) addSilence(zone string, n int) {
	l.mu.Lock()
	l.silenced[zone] += n
	l.mu.Unlock()
	l.history.ObserveFault()
}

// isSilenced reports whether the heartbeats of a zone's machines are lost.
func (l *Lab) isSilenced(zone string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return zone != "" && (l.silenced[zone] > 0 || l.silenced[""] > 0)
}

// faultOf returns the fault of a message.
func (l *Lab) faultOf(from string, _ *http.Request) fake.Fault {
	if l.isSilenced(l.cluster.Rules.ZoneOf(from)) {
		return fake.DroppedRequest
	}
	return fake.NoFault
}
