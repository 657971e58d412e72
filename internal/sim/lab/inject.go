package lab

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/sim/harness"
)

// DefaultFaults returns the faults that are injected if the user gives no fault file: the leader is killed once, 10 s
// after the first submission, and restarted 2 s later.
func DefaultFaults() []Fault { return []Fault{{AtS: 10, ForS: 2, Kind: Kill, Node: leaderNodeName}} }

// injectFault injects a fault and returns when the fault has ended.
func (l *Lab) injectFault(f *Fault) error {
	duration := time.Duration(f.ForS * float64(time.Second))
	l.logf("%s %s%s for %v", f.Kind, f.Node, f.Zone, duration)
	switch f.Kind {
	case StateDown:
		l.cluster.State.SetOutage(true)
		time.Sleep(duration)
		l.cluster.State.SetOutage(false)
		return nil
	case Silence:
		l.changeSilence(f.Zone, 1)
		time.Sleep(duration)
		l.changeSilence(f.Zone, -1)
		return nil
	}
	node, err := l.resolveNode(f.Node)
	if err != nil {
		return err
	}
	return l.failNode(node, f.Kind, duration)
}

// resolveNode returns the index of the node with the given name. For leaderNodeName it waits until there is a leader and
// returns the leader's index.
func (l *Lab) resolveNode(name string) (node int, err error) {
	if name == leaderNodeName {
		return l.cluster.AwaitLeader()
	}
	_, err = fmt.Sscanf(name, harness.MemberFormat, &node)
	return node, err
}

// failNode kills, terminates or freezes a node, and restarts or resumes it after the given duration.
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
		l.cluster.Kill(node) // if it has not exited yet
	default:
		l.cluster.Kill(node)
		time.Sleep(duration)
	}
	return l.cluster.StartNode(node, l.options.Program)
}

// changeSilence adds delta to the number of silence faults that are active in a zone, or in all zones if zone is empty.
func (l *Lab) changeSilence(zone string, delta int) {
	l.mu.Lock()
	l.silenced[zone] += delta
	l.mu.Unlock()
	l.history.ObserveFault()
}

// isSilenced reports whether a silence fault is active in a zone.
func (l *Lab) isSilenced(zone string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return zone != "" && (l.silenced[zone] > 0 || l.silenced[""] > 0)
}

// requestFault returns the network fault for a request: requests from machines in a silenced zone are dropped.
func (l *Lab) requestFault(from string, _ *http.Request) fake.Fault {
	if l.isSilenced(l.cluster.Rules.ZoneOf(from)) {
		return fake.DroppedRequest
	}
	return fake.NoFault
}
