package lab

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/sim/harness"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	Kill      Kind = "kill"       // a node ends by SIGKILL, and is started again
	Terminate Kind = "terminate"  // a node ends by SIGTERM, and is started again
	Freeze    Kind = "freeze"     // a node is stopped by SIGSTOP, and continued
	StateDown Kind = "state_down" // outage of the state service
	Silence   Kind = "silence"    // heartbeats of machines of a zone, or of all, are lost
)

// Fault is one fault of a run. Its names are those of the file of faults.
type Fault struct {
	AtS  float64 `toml:"at_s"`  // seconds since the first submission
	ForS float64 `toml:"for_s"` // seconds until it is over
	Kind Kind    `toml:"kind"`
	Node string  `toml:"node"` // of kill, terminate, freeze; "leader": the one that leads then
	Zone string  `toml:"zone"` // of silence; empty: all
}

// leaderNode names the node that leads when the fault begins.
const leaderNode = "leader"

// maxFaultS bounds the times of faults, in seconds.
const maxFaultS = 3600

// FaultError is a problem of a file of faults.
type FaultError struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error implements error: one line with file, line and field.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%s:%d: %s %s", e.File, e.Line, e.Field, e.Problem)
}

// ParseFaults parses and checks the content of a file of faults, a list [[fault]], for a cluster of
// so many nodes over some zones. It returns the faults in the order of their begin. The error is a
// *FaultError where a line is at fault.
func ParseFaults(file string, content []byte, nodes int, zones []string) ([]Fault, error) {
	var list struct {
		Faults []Fault `toml:"fault"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, decodeError(file, err)
	}
	for i := range list.Faults {
		if field, problem := list.Faults[i].check(nodes, zones); problem != "" {
			return nil, &FaultError{file, lineOf(content, i, field), field, problem}
		}
	}
	slices.SortStableFunc(list.Faults, func(a, b Fault) int { return int(a.AtS*1000 - b.AtS*1000) })
	return list.Faults, nil
}

// decodeError returns the error for a file that is no TOML, or has a field that no fault has.
func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &FaultError{file, line, strings.Join(first.Key(), "."), "is unknown"}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return &FaultError{file, line, strings.Join(invalid.Key(), "."), "cannot be read: " + invalid.Error()}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// check returns the first field with a problem, and the problem; both are empty if there is none.
func (f *Fault) check(nodes int, zones []string) (field, problem string) {
	ofNode := f.Kind == Kill || f.Kind == Terminate || f.Kind == Freeze
	switch {
	case !ofNode && f.Kind != StateDown && f.Kind != Silence:
		return "kind", fmt.Sprintf("%q is none of kill, terminate, freeze, state_down, silence", f.Kind)
	case !(f.AtS >= 0 && f.AtS <= maxFaultS): // also if it is no number
		return "at_s", fmt.Sprintf("must be from 0 to %d", maxFaultS)
	case !(f.ForS > 0 && f.ForS <= maxFaultS):
		return "for_s", fmt.Sprintf("must be over 0 and at most %d", maxFaultS)
	case ofNode && f.Node != leaderNode && !isMember(f.Node, nodes):
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

// isMember reports whether a name is that of one of so many nodes.
func isMember(name string, nodes int) bool {
	var node int
	_, err := fmt.Sscanf(name, harness.MemberFormat, &node)
	return err == nil && node >= 0 && node < nodes && name == fmt.Sprintf(harness.MemberFormat, node)
}

// faultHeader begins a fault in the file.
const faultHeader = "[[fault]]"

// lineOf returns the line of a field of the nth fault, or of the fault itself if the field is left out.
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
