package lab

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/sim/harness"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	Kill      Kind = "kill"       // a node ends by SIGKILL, and comes back
	Terminate Kind = "terminate"  // a node ends by SIGTERM, and comes back
	Freeze    Kind = "freeze"     // a node is stopped by SIGSTOP, and goes on
	StateDown Kind = "state_down" // the state service answers nobody
	Silence   Kind = "silence"    // reports of machines of a zone, or of all, are lost
)

// Fault is one trouble on the way.
type Fault struct {
	AtS  float64 `toml:"at_s"`  // since the start of the jobs
	ForS float64 `toml:"for_s"` // until it is over
	Kind Kind    `toml:"kind"`
	Node string  `toml:"node"` // of kill, terminate, freeze; "leader": who leads then
	Zone string  `toml:"zone"` // of silence; empty: all
}

// leaderNode names who leads at the moment of the fault.
const leaderNode = "leader"

// longestFault bounds the times of faults, in seconds.
const longestFault = 3600

// FaultError says what is wrong with a file of faults, in one line.
type FaultError struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error names file, line and field.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%s:%d: %s %s", e.File, e.Line, e.Field, e.Problem)
}

// ParseFaults reads and checks the content of a file of faults, a list [[fault]].
func ParseFaults(file string, content []byte, nodes int, zones []string) ([]Fault, error) {
	var list struct {
		Faults []Fault `toml:"fault"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, decodeError(file, err)
	}
	for i := range list.Faults {
		if field, wrong := list.Faults[i].check(nodes, zones); wrong != "" {
			return nil, &FaultError{file, lineOf(content, i, field), field, wrong}
		}
	}
	slices.SortStableFunc(list.Faults, func(a, b Fault) int { return int(a.AtS*1000 - b.AtS*1000) })
	return list.Faults, nil
}

// decodeError names the line and field of what is no TOML, or no fault's field.
func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &FaultError{file, line, strings.Join(first.Key(), "."), "is unknown"}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &FaultError{file, line, strings.Join(wrong.Key(), "."), "cannot be read: " + wrong.Error()}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// check tells which field is wrong, and how.
func (f *Fault) check(nodes int, zones []string) (field, wrong string) {
	ofNode := slices.Contains([]Kind{Kill, Terminate, Freeze}, f.Kind)
	var node int
	_, err := fmt.Sscanf(f.Node, harness.MemberFormat, &node)
	known := err == nil && node >= 0 && node < nodes && f.Node == fmt.Sprintf(harness.MemberFormat, node)
	switch {
	case !ofNode && f.Kind != StateDown && f.Kind != Silence:
		return "kind", fmt.Sprintf("%q is none of kill, terminate, freeze, state_down, silence", f.Kind)
	case !(f.AtS >= 0 && f.AtS <= longestFault):
		return "at_s", fmt.Sprintf("must be from 0 to %d", longestFault)
	case !(f.ForS > 0 && f.ForS <= longestFault):
		return "for_s", fmt.Sprintf("must be over 0 and at most %d", longestFault)
	case ofNode && f.Node != leaderNode && !known:
		return "node", fmt.Sprintf("%q is neither a node nor \"leader\"", f.Node)
	case !ofNode && f.Node != "":
		return "node", "belongs to kill, terminate and freeze"
	case f.Zone != "" && f.Kind != Silence:
		return "zone", "belongs to silence"
	case f.Zone != "" && !slices.Contains(zones, f.Zone):
		return "zone", fmt.Sprintf("%q is none of %s", f.Zone, strings.Join(zones, ", "))
	}
	return "", ""
}

// faultHeader begins a fault in the file.
const faultHeader = "[[fault]]"

// lineOf is the line of a field of the nth fault, or of the fault itself if the field is left out.
func lineOf(content []byte, n int, field string) int {
	header, seen := 0, -1
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, faultHeader) {
			if seen++; seen == n {
				header = i + 1
			}
		}
		key, _, _ := strings.Cut(line, "=")
		if seen == n && strings.TrimSpace(key) == field {
			return i + 1
		}
	}
	return header
}

// carryOut has a fault happen, and waits until it is over.
func (l *Lab) carryOut(f *Fault) error {
	length := time.Duration(f.ForS * float64(time.Second))
	l.say("%s %s%s for %v", f.Kind, f.Node, f.Zone, length)
	switch f.Kind {
	case StateDown:
		l.processes.State.SetOutage(true)
		l.sleep(length)
		l.processes.State.SetOutage(false)
		return nil
	case Silence:
		l.silence(f.Zone, true)
		l.sleep(length)
		l.silence(f.Zone, false)
		return nil
	}
	node, err := l.nodeOf(f.Node)
	if err != nil {
		return err
	}
	return l.failNode(node, f.Kind, length)
}

// nodeOf is the node that a fault names.
func (l *Lab) nodeOf(name string) (node int, err error) {
	if name == leaderNode {
		return l.processes.AwaitLeader()
	}
	_, err = fmt.Sscanf(name, harness.MemberFormat, &node)
	return node, err
}

// failNode ends or freezes a node, and has it come back.
func (l *Lab) failNode(node int, kind Kind, length time.Duration) error {
	switch kind {
	case Freeze:
		if err := l.processes.Signal(node, syscall.SIGSTOP); err != nil {
			return err
		}
		l.sleep(length)
		return l.processes.Signal(node, syscall.SIGCONT)
	case Terminate:
		l.processes.ExpectExit(node)
		if err := l.processes.Signal(node, syscall.SIGTERM); err != nil {
			return err
		}
		l.sleep(length)
		l.processes.Kill(node) // what has not ended by then
	default:
		l.processes.Kill(node)
		l.sleep(length)
	}
	return l.processes.StartNode(node, l.options.Program)
}

// silence has the reports of a zone's machines be lost, or arrive again.
func (l *Lab) silence(zone string, silent bool) {
	l.mu.Lock()
	if silent {
		l.silent[zone]++
	} else {
		l.silent[zone]--
	}
	l.mu.Unlock()
	l.history.ObserveFault()
}

// hit tells whether the reports of a zone's machines are lost.
func (l *Lab) hit(zone string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return zone != "" && (l.silent[zone] > 0 || l.silent[""] > 0)
}

// faultOf is what a message meets.
func (l *Lab) faultOf(from string, _ *http.Request) fake.Fault {
	if l.hit(l.processes.Rules.ZoneOf(from)) {
		return fake.DroppedRequest
	}
	return fake.NoFault
}
