package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
	"caperlatch/internal/explain"
	"caperlatch/internal/golden"
	"caperlatch/internal/membership"
	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// commandsBelow lists a command and all below it, in their order.
func commandsBelow(cmd *cobra.Command) []*cobra.Command {
	all := []*cobra.Command{cmd}
	for _, below := range cmd.Commands() {
		all = append(all, commandsBelow(below)...)
	}
	return all
}

// TestCommandLine has the commands, their flags and what they say of themselves be what they were.
func TestCommandLine(t *testing.T) {
	var sections []golden.Section
	for _, cmd := range commandsBelow(rootCommand()) {
		about := []string{cmd.UseLine(), cmd.Short, cmd.LocalFlags().FlagUsages()}
		sections = append(sections, golden.Section{Name: cmd.CommandPath(), Text: strings.TrimSpace(strings.Join(about, "\n"))})
	}
	for _, cmd := range commandsBelow(rootCommand()) {
		path := strings.Fields(cmd.CommandPath())[1:]
		said, err := say(append(path, "--help"), "")
		if err != nil {
			t.Errorf("%v: %v", path, err)
		}
		sections = append(sections, golden.Section{Name: cmd.CommandPath() + " --help", Text: said})
	}
	golden.Check(t, "commands.golden", sections)
}

// say runs a command of the program with a standard input and returns what it says.
func say(args []string, in string) (said string, err error) {
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetIn(strings.NewReader(in))
	root.SetArgs(args)
	err = root.Execute()
	return strings.TrimSuffix(out.String(), "\n"), err
}

// filled is a value with every field set.
func filled[T any]() any { return golden.Filled(reflect.TypeFor[T]()).Interface() }

// answered is a command and what a node answers it. Answers that are not filled are told by the
// names that their fields have on the wire.
type answered struct {
	name   string
	args   []string
	status int // 200 if it is 0
	body   any // nil: there is none
}

// fields are the fields of an answer, by their names on the wire.
type fields = map[string]any

// statusCases ask for the state of the cluster.
func statusCases() (cases []answered) {
	for _, c := range []struct {
		command []string
		whole   any
		empty   any
	}{
		{[]string{"explain", "j-000412"}, filled[explain.Explanation](), explain.Explanation{}},
		{[]string{"versions"}, filled[peer.Versions](), peer.Versions{}},
		{[]string{"standby"}, filled[api.StandbyStatus](), api.StandbyStatus{}},
		{[]string{"handover"}, filled[api.HandoverResponse](), api.HandoverResponse{}},
		{[]string{"zones"}, filled[api.ZonesStatus](), api.ZonesStatus{}},
		{[]string{"members"}, filled[membership.Status](), membership.Status{}},
	} {
		name := c.command[0]
		cases = append(cases,
			answered{name + ", with all", c.command, 0, c.whole},
			answered{name + ", with nothing", c.command, 0, c.empty},
			answered{name + ", not now", c.command, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no leader known"}},
			answered{name + ", not known", c.command, http.StatusNotFound, nil})
	}
	return append(cases,
		answered{"explain, ended and long ago", []string{"explain", "j-000412"}, 0, fields{"job": "j-000412", "by": "host-1", "age_s": 3.25, "state": "done", "submitted": 1_000_000, "ended": 90_000_000}},
		answered{"versions, one not heard", []string{"versions"}, http.StatusServiceUnavailable, fields{"member": "host-0", "version": 1, "common": 0,
			"peers": []fields{{"member": "host-1", "heard": true, "version": 1}, {"member": "host-2"}}}},
		answered{"versions, by one of the first version", []string{"versions"}, 0, nil},
		answered{"standby, of a follower", []string{"standby"}, 0, fields{"member": "host-1", "leader": "host-0", "token": 3, "phase": "following",
			"progress": fields{"token": 3, "position": 70, "lag_entries": 2, "lag_s": 0.25, "machines": 4, "tasks": 9}}},
		answered{"standby, of a leader", []string{"standby"}, 0, fields{"member": "host-0", "leader": "host-0", "token": 3, "phase": "leading", "leading": true, "position": 72,
			"followers": []fields{{"member": "host-1", "position": 70, "whole": true, "age_s": 0.125}, {"member": "host-2", "age_s": 2.5}},
			"last":      fields{"evidence": fields{"token": 3, "revision": 20, "read_through": 19}, "warm": true, "phases": []fields{{"phase": "reading", "took_s": 0.0625}}}}},
		answered{"standby, cold", []string{"standby"}, 0, fields{"last": fields{"evidence": fields{"token": 3}}}},
		answered{"handover, to one that follows", []string{"handover"}, 0, fields{"to": "host-2"}},
		answered{"zones, one is well and one is held down", []string{"zones"}, 0, fields{"leader": "host-1", "zones": []fields{
			{"zone": "a", "state": "healthy", "reason": "its machines are heard", "open": 1.0}, {"zone": "b", "state": "held down", "since_s": 2.0, "hold_s": 3.0, "flaps": 1, "open": 0.25}}}},
		answered{"members, some in doubt", []string{"members"}, 0, fields{"member": "host-0", "members": []fields{
			{"member": "host-1", "state": "suspected", "since_s": 1.25, "heard_s": 4.25, "verdict_s": 2.125, "doubted_by": []string{"host-2"}},
			{"member": "host-2", "state": "alive", "since_s": 60, "round_trip_s": 0.0005}}}},
	)
}

// jobCases are users' requests, each with both forms of output.
func jobCases() (cases []answered) {
	for _, command := range [][]string{{"submit", "../../deploy/job.example.json"}, {"jobs", "j-000412", "j-000413"}, {"cancel", "j-000412"}} {
		for _, output := range []string{"text", "json"} {
			args := append(command[:len(command):len(command)], "--output", output)
			name := command[0] + " as " + output
			cases = append(cases,
				answered{name + ", with all", args, 0, filled[wire.JobStatus]()},
				answered{name + ", with the least", args, http.StatusCreated, fields{"id": "j-000412", "status": "pending"}},
				answered{name + ", with counts of none", args, 0, fields{"id": "j-000412", "status": "running", "done": 0, "running": 0}},
				answered{name + ", refused", args, http.StatusBadRequest, wire.ErrorResponse{Message: "lane is missing"}},
				answered{name + ", not known", args, http.StatusNotFound, nil})
		}
	}
	return cases
}

// TestOutputs has each command that asks a node ask as it did, and say what it said.
func TestOutputs(t *testing.T) {
	var sections []golden.Section
	for _, c := range append(statusCases(), jobCases()...) {
		sections = append(sections, golden.Section{Name: c.name, Text: c.said(t)})
	}
	golden.Check(t, "outputs.golden", sections)
}

// said is what a command asks for and says.
func (c answered) said(t *testing.T) string {
	t.Helper()
	var said strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(&said, "asks %s %s\n", r.Method, r.URL)
		body, err := io.ReadAll(r.Body)
		if err == nil && len(body) > 0 {
			var sent map[string]any
			if err = wire.Unmarshal(body, &sent); err == nil {
				err = json.NewEncoder(&said).Encode([]any{r.Header.Get("Content-Type"), sent})
			}
		}
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(cmp.Or(c.status, http.StatusOK))
		if c.body == nil {
			return
		}
		answer, err := wire.Marshal(c.body)
		if _, wrote := w.Write(answer); err != nil || wrote != nil {
			t.Error(err, wrote)
		}
	}))
	defer server.Close()
	node := strings.TrimPrefix(server.URL, "http://")
	out, err := say(append(c.args[:len(c.args):len(c.args)], "--node", node), "")
	if out != "" {
		fmt.Fprintln(&said, out)
	}
	if err != nil {
		fmt.Fprintf(&said, "fails with %d: %v\n", exitCode(err), err)
	}
	return strings.TrimSuffix(strings.ReplaceAll(said.String(), node, "NODE"), "\n")
}

// TestCheckOutputs has check, version and wrong uses say what they said.
func TestCheckOutputs(t *testing.T) {
	const example = "../../deploy/settings.example.toml"
	wrong := writeFile(t, "wrong.xml", "<caperlatch><zones><step>3</step></zones></caperlatch>")
	var sections []golden.Section
	for _, args := range [][]string{
		{"check", example},
		{"check", example, "--standby", "../../deploy/standby.xml", "--features", "../../deploy/zones.xml"},
		{"check", example, "--features", "../../deploy/membership.xml"},
		{"check", example, "--features", wrong},
		{"check", example, "--standby", wrong},
		{"check", "../../deploy/zones.xml"},
		{"check"},
		{"run"},
		{"submit", "none.json"},
		{"jobs", "j-000412", "--output", "xml"},
		{"lab", "run", "--nodes", "4"},
		{"lab", "run", "--machines", "0"},
		{"lab", "run", "--seconds", "0"},
		{"lab", "up", "--port", "70000"},
		{"lab", "run", "--faults", example},
		{"lab", "run", "--features", wrong},
		{"nothing"},
		{"--nothing"},
	} {
		said, err := say(args, "")
		if err != nil {
			said = strings.TrimPrefix(said+"\n", "\n") + fmt.Sprintf("fails with %d: %v", exitCode(err), err)
		}
		line := strings.ReplaceAll(strings.Join(args, " "), wrong, "WRONG")
		sections = append(sections, golden.Section{Name: line, Text: strings.ReplaceAll(said, wrong, "WRONG")})
	}
	golden.Check(t, "check.golden", sections)
	if said, err := say([]string{"version"}, ""); err != nil || !strings.HasPrefix(said, "caperlatch ") {
		t.Errorf("version says %q, %v", said, err)
	}
}
