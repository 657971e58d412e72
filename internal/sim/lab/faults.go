package lab

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/harness"
)

// Kind is the kind of a fault, as named in a fault file.
type Kind string

// The kinds of faults.
const (
	Kill      Kind = "kill"       // kills a node by SIGKILL, and restarts it
	Terminate Kind = "terminate"  // terminates a node by SIGTERM, and restarts it
	Freeze    Kind = "freeze"     // suspends a node by SIGSTOP, and resumes it by SIGCONT
	StateDown Kind = "state_down" // makes the state service unavailable
	Silence   Kind = "silence"    // drops the heartbeats of the machines in one zone, or in all zones
)

// Fault is a fault that is injected during a run. The struct tags are the field names in a fault file.
type Fault struct {
	AtS  float64 `toml:"at_s"`  // start of the fault, in seconds since the first submission
	ForS float64 `toml:"for_s"` // duration, in seconds
	Kind Kind    `toml:"kind"`
	Node string  `toml:"node"` // for kill, terminate and freeze; "leader" selects the leader at the start of the fault
	Zone string  `toml:"zone"` // for silence; empty means all zones
}

// leaderNodeName stands for the node that is the leader when the fault starts.
const leaderNodeName = "leader"

// maxFaultTimeS is the maximum of at_s and of for_s, in seconds.
const maxFaultTimeS = 3600

// FaultError is an error in a fault file.
type FaultError struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error returns one line of text that contains the file, the line and the field.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%s:%d: %s %s", e.File, e.Line, e.Field, e.Problem)
}

// ParseFaults parses and validates the content of a fault file, which is a TOML array of tables [[fault]], for a
// cluster with the given number of nodes and the given zones. It returns the faults sorted by start time. The error is
// a *FaultError if it can be attributed to a line.
func ParseFaults(file string, content []byte, nodes int, zones []string) ([]Fault, error) {
	var document struct {
		Faults []Fault `toml:"fault"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, decodeError(file, err)
	}
	// The decoder takes keys that differ from a field's name in case only for the field.
	unknown, err := settings.UnknownKeys(content, &document)
	if err != nil {
		return nil, decodeError(file, err)
	}
	if len(unknown) > 0 {
		return nil, &FaultError{file, findKey(content, unknown[0]), unknown[0], "is unknown"}
	}
	for i := range document.Faults {
		if field, problem := document.Faults[i].check(nodes, zones); problem != "" {
			return nil, &FaultError{file, findLine(content, i, field), field, problem}
		}
	}
	slices.SortStableFunc(document.Faults, func(a, b Fault) int { return int(a.AtS*1000 - b.AtS*1000) })
	return document.Faults, nil
}

// decodeError converts an error of the TOML decoder, which is returned for invalid TOML, a value of the wrong type or an
// unknown field.
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

// check returns the first invalid field and a description of the problem, or empty strings if the fault is valid.
func (f *Fault) check(nodes int, zones []string) (field, problem string) {
	isNodeFault := f.Kind == Kill || f.Kind == Terminate || f.Kind == Freeze
	switch {
	case !isNodeFault && f.Kind != StateDown && f.Kind != Silence:
		return "kind", fmt.Sprintf("%q is none of kill, terminate, freeze, state_down, silence", f.Kind)
	case !(f.AtS >= 0 && f.AtS <= maxFaultTimeS): // the negation also rejects NaN
		return "at_s", fmt.Sprintf("must be from 0 to %d", maxFaultTimeS)
	case !(f.ForS > 0 && f.ForS <= maxFaultTimeS):
		return "for_s", fmt.Sprintf("must be over 0 and at most %d", maxFaultTimeS)
	case isNodeFault && f.Node != leaderNodeName && !isNodeName(f.Node, nodes):
		return "node", fmt.Sprintf("%q is neither a node nor \"leader\"", f.Node)
	case !isNodeFault && f.Node != "":
		return "node", "applies only to kill, terminate and freeze"
	case f.Zone != "" && f.Kind != Silence:
		return "zone", "applies only to silence"
	case f.Zone != "" && !slices.Contains(zones, f.Zone):
		return "zone", fmt.Sprintf("%q is none of %s", f.Zone, strings.Join(zones, ", "))
	}
	return "", ""
}

// isNodeName reports whether name is the name of a node in a cluster with the given number of nodes.
func isNodeName(name string, nodes int) bool {
	var node int
	_, err := fmt.Sscanf(name, harness.MemberFormat, &node)
	return err == nil && node >= 0 && node < nodes && name == fmt.Sprintf(harness.MemberFormat, node)
}

// findKey returns the number of the first line that sets a key, which may be preceded by the names of its tables.
func findKey(content []byte, key string) int {
	name := key[strings.LastIndex(key, ".")+1:]
	for i, line := range strings.Split(string(content), "\n") {
		if found, _, isSet := strings.Cut(line, "="); isSet && strings.Trim(found, " \t\"'") == name {
			return i + 1
		}
	}
	return 0
}

// faultTableHeader is the line that begins a fault in a fault file.
const faultTableHeader = "[[fault]]"

// findLine returns the number of the line that sets a field of the fault with index n, or of the header of the fault
// if the field is missing.
func findLine(content []byte, n int, field string) int {
	headerLine, index := 0, -1
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, faultTableHeader) {
			if index++; index == n {
				headerLine = i + 1
			}
		}
		key, _, _ := strings.Cut(line, "=")
		if index == n && strings.TrimSpace(key) == field {
			return i + 1
		}
	}
	return headerLine
}
