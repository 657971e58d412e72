package peer

import (
	"os"
	"reflect"
	"testing"

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// The messages between nodes as the version in production has them, frozen: not to be
// changed along with the code, only when another version is in production.
type (
	prodRequest struct {
		ID      uint64     `json:"id"`
		Probe   *prodProbe `json:"probe,omitempty"`
		Relay   []wire.Raw `json:"relay,omitempty"`
		Explain string     `json:"explain,omitempty"`
	}
	prodProbe struct {
		Member string            `json:"member"`
		Token  uint64            `json:"token"`
		Leader string            `json:"leader"`
		Doubt  bool              `json:"doubt"`
		Counts map[string][2]int `json:"counts,omitempty"`
		Since  uint64            `json:"since"`
	}
	prodState struct {
		Loaded     bool               `json:"loaded"`
		Token      uint64             `json:"token"`
		Leader     string             `json:"leader"`
		SinceHeard int64              `json:"since_heard"`
		Promise    int64              `json:"promise"`
		Fronts     bool               `json:"fronts"`
		Cancelled  []prodCancellation `json:"cancelled"`
		Through    uint64             `json:"through"`
		Whole      bool               `json:"whole"`
	}
	prodCancellation struct {
		ID    string `json:"id"`
		Stamp uint64 `json:"stamp"`
		Job   struct {
			SubmittedAt int64  `json:"at"`
			State       string `json:"state"`
			Reason      string `json:"why,omitempty"`
			EndedAt     int64  `json:"end,omitempty"`
		} `json:"job"`
	}
	prodResponse struct {
		ID      uint64           `json:"id"`
		State   *prodState       `json:"state,omitempty"`
		Relay   []prodRelayed    `json:"relay,omitempty"`
		Explain *prodExplanation `json:"explain,omitempty"`
		Error   string           `json:"error,omitempty"`
	}
	prodRelayed struct {
		Answer wire.Raw `json:"answer,omitempty"`
		Error  string   `json:"error,omitempty"`
	}
	// Of what is only shown to the duty team, the part that tells it most.
	prodExplanation struct {
		Job   string   `json:"job"`
		By    string   `json:"by"`
		Tasks int      `json:"tasks"`
		Why   []string `json:"why"`
	}
	prodReport struct {
		Machine string   `json:"host"`
		Address string   `json:"address"`
		Type    string   `json:"build"`
		Zone    string   `json:"hall"`
		Spot    bool     `json:"standby"`
		Session uint64   `json:"shift"`
		Seq     uint64   `json:"tick"`
		Token   uint64   `json:"baton"`
		NoticeS *float64 `json:"recall_s"`
		Tasks   []struct {
			Task    string `json:"piece"`
			Attempt uint64 `json:"try"`
			State   string `json:"status"`
			Cause   string `json:"cause,omitempty"`
			Saved   bool   `json:"stored,omitempty"`
		} `json:"pieces"`
	}
	prodAnswer struct {
		Token    uint64 `json:"baton"`
		Commands []struct {
			Verb    string   `json:"verb"`
			Task    string   `json:"piece"`
			Attempt uint64   `json:"try"`
			GraceS  *float64 `json:"leeway_s,omitempty"`
		} `json:"orders"`
	}
)

func raw(t *testing.T, v any) wire.Raw {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func read[T any](t *testing.T, b wire.Raw) (v T) {
	t.Helper()
	if err := wire.Unmarshal(b, &v); err != nil {
		t.Fatalf("%T: %v", v, err)
	}
	return v
}

// production is what the messages captured from production say.
func production(t *testing.T) (report wire.Report, answer wire.ReportAnswer, probe Probe, state State) {
	notice := 12.5
	report = wire.Report{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Seq: 88, Token: 41,
		NoticeS: &notice, Tasks: []wire.ReportTask{{Task: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{Task: "j-000398/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}}}
	answer = wire.ReportAnswer{Token: 41, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000412/4", Attempt: 2}}}
	probe = Probe{Member: "host-1", Token: 41, Leader: "host-1", Doubt: true, Counts: map[string][2]int{"j-000412": {3, 13}}, Since: 430}
	state = State{Loaded: true, Token: 41, Leader: "host-1", SinceHeard: 1500 * micros.Millisecond,
		Promise: PromiseLife, Fronts: true, Through: 431, Whole: true, Cancelled: []replica.Cancellation{{ID: "j-000377", Stamp: 431,
			Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}
	return report, answer, probe, state
}

// TestProductionSays reads the messages that were captured from the version in
// production (testdata/production/capture).
func TestProductionSays(t *testing.T) {
	b, err := os.ReadFile("../../testdata/production/messages.cbor")
	if err != nil {
		t.Fatal(err)
	}
	said := read[map[string]wire.Raw](t, b)
	report, answer, probe, state := production(t)
	cases := []struct {
		name      string
		got, want any
	}{
		{"probe", read[Request](t, said["probe"]).Probe, &probe},
		{"state", read[Response](t, said["state"]).State, &state},
		{"a report passed on", read[wire.Report](t, read[Request](t, said["relay"]).Relay[0]), report},
		{"its answer", read[wire.ReportAnswer](t, read[Response](t, said["relayed"]).Relay[0].Answer), answer},
		{"one that was not answered", read[Response](t, said["relayed"]).Relay[1].Error, "not entitled"},
		{"a question", read[Request](t, said["explain"]).Explain, "j-000412"},
		{"its answer's job", read[Response](t, said["explained"]).Explain.Job, "j-000412"},
		{"its answer's reasons", read[Response](t, said["explained"]).Explain.Why, []string{"no room"}},
		{"a failure", read[Response](t, said["failed"]).Error, "not leading"},
	}
	for _, c := range cases {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, c.got, c.want)
		}
	}
}

// TestProductionUnderstands has production's frozen layout read what this version says.
// Said again by it, nothing that matters may be missing.
func TestProductionUnderstands(t *testing.T) {
	report, answer, probe, state := production(t)
	ours := state
	ours.Version = Version
	grace := 10.0
	answer.Commands = append(answer.Commands, wire.Command{Verb: wire.VerbStop, Task: "j-000377/1", Attempt: 1, GraceS: &grace})
	report.Tasks[1].Saved = true
	request := Request{ID: 7, Probe: &probe, Relay: []wire.Raw{raw(t, report)}, Explain: "j-000412"}
	response := Response{ID: 7, State: &ours, Relay: []Relayed{{Answer: raw(t, answer)}, {Error: "not entitled"}}, Error: "not leading",
		Explain: &leader.Explanation{Job: "j-000412", By: "host-1", Tasks: 16, Why: []string{"no room"}}}

	if got := read[Request](t, raw(t, read[prodRequest](t, raw(t, request)))); !reflect.DeepEqual(got, request) {
		t.Errorf("request: %+v, want %+v", got, request)
	}
	want := response
	want.State = &state // production knows no versions, and does not pass them on
	if got := read[Response](t, raw(t, read[prodResponse](t, raw(t, response)))); !reflect.DeepEqual(got, want) {
		t.Errorf("response: %+v, want %+v", got, want)
	}
	if got := read[wire.Report](t, raw(t, read[prodReport](t, raw(t, report)))); !reflect.DeepEqual(got, report) {
		t.Errorf("report: %+v, want %+v", got, report)
	}
	if got := read[wire.ReportAnswer](t, raw(t, read[prodAnswer](t, raw(t, answer)))); !reflect.DeepEqual(got, answer) {
		t.Errorf("answer: %+v, want %+v", got, answer)
	}
}
