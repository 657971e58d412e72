package peer

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/leader"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// The messages between nodes, and those of workers that nodes pass on, as earlier versions
// have them, frozen: not to be changed along with the code. A type is named after the
// first version that has it; those after it share it until one differs, which then gets
// a type of its own.
type (
	v3a714abRequest struct {
		ID      uint64         `json:"id"`
		Probe   *v3a714abProbe `json:"probe,omitempty"`
		Relay   []wire.Raw     `json:"relay,omitempty"`
		Explain string         `json:"explain,omitempty"`
	}
	v3a714abProbe struct {
		Member string            `json:"member"`
		Token  uint64            `json:"token"`
		Leader string            `json:"leader"`
		Doubt  bool              `json:"doubt"`
		Counts map[string][2]int `json:"counts,omitempty"`
		Since  uint64            `json:"since"`
	}
	v3a714abState struct {
		Loaded     bool                   `json:"loaded"`
		Token      uint64                 `json:"token"`
		Leader     string                 `json:"leader"`
		SinceHeard int64                  `json:"since_heard"`
		Promise    int64                  `json:"promise"`
		Fronts     bool                   `json:"fronts"`
		Cancelled  []v3a714abCancellation `json:"cancelled"`
		Through    uint64                 `json:"through"`
		Whole      bool                   `json:"whole"`
	}
	v3a714abCancellation struct {
		ID    string `json:"id"`
		Stamp uint64 `json:"stamp"`
		Job   struct {
			SubmittedAt int64  `json:"at"`
			State       string `json:"state"`
			Reason      string `json:"why,omitempty"`
			EndedAt     int64  `json:"end,omitempty"`
		} `json:"job"`
	}
	v3a714abResponse struct {
		ID      uint64               `json:"id"`
		State   *v3a714abState       `json:"state,omitempty"`
		Relay   []v3a714abRelayed    `json:"relay,omitempty"`
		Explain *v3a714abExplanation `json:"explain,omitempty"`
		Error   string               `json:"error,omitempty"`
	}
	// It tells its version.
	v5fd93d5State struct {
		Loaded     bool                   `json:"loaded"`
		Token      uint64                 `json:"token"`
		Leader     string                 `json:"leader"`
		SinceHeard int64                  `json:"since_heard"`
		Promise    int64                  `json:"promise"`
		Fronts     bool                   `json:"fronts"`
		Cancelled  []v3a714abCancellation `json:"cancelled"`
		Through    uint64                 `json:"through"`
		Whole      bool                   `json:"whole"`
		Version    int                    `json:"version,omitempty"`
	}
	v5fd93d5Response struct {
		ID      uint64               `json:"id"`
		State   *v5fd93d5State       `json:"state,omitempty"`
		Relay   []v3a714abRelayed    `json:"relay,omitempty"`
		Explain *v3a714abExplanation `json:"explain,omitempty"`
		Error   string               `json:"error,omitempty"`
	}
	// What the warm standby says is kept as it is: it has a version of its own.
	vd052fb0Request struct {
		ID      uint64         `json:"id"`
		Probe   *v3a714abProbe `json:"probe,omitempty"`
		Relay   []wire.Raw     `json:"relay,omitempty"`
		Explain string         `json:"explain,omitempty"`
		Standby wire.Raw       `json:"standby,omitempty"`
	}
	vd052fb0Response struct {
		ID      uint64               `json:"id"`
		State   *v5fd93d5State       `json:"state,omitempty"`
		Relay   []v3a714abRelayed    `json:"relay,omitempty"`
		Explain *v3a714abExplanation `json:"explain,omitempty"`
		Standby wire.Raw             `json:"standby,omitempty"`
		Error   string               `json:"error,omitempty"`
	}
	v3a714abRelayed struct {
		Answer wire.Raw `json:"answer,omitempty"`
		Error  string   `json:"error,omitempty"`
	}
	// Of what is only shown to the duty team, the part that tells it most.
	v3a714abExplanation struct {
		Job   string   `json:"job"`
		By    string   `json:"by"`
		Tasks int      `json:"tasks"`
		Why   []string `json:"why"`
	}
	v3a714abReport struct {
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
	v3a714abAnswer struct {
		Token    uint64 `json:"baton"`
		Commands []struct {
			Verb    string   `json:"verb"`
			Task    string   `json:"piece"`
			Attempt uint64   `json:"try"`
			GraceS  *float64 `json:"leeway_s,omitempty"`
		} `json:"orders"`
	}
)

// oldVersion is an earlier version that may serve beside this one.
type oldVersion struct {
	name    string // its directory in testdata/versions
	version int    // that it says it speaks
	gangs   bool   // it runs gangs
	standby bool   // it has the warm standby
	// Its layouts.
	request, response, report, answer reflect.Type
}

var oldVersions = []oldVersion{
	{"3a714ab", 0, false, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v3a714abResponse](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// Gangs have no fields of their own: their states and causes are words that were not
	// used before.
	{"5fd93d5", 1, true, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v5fd93d5Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// The last without a standby.
	{"1f14824", 1, true, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v5fd93d5Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// The last without a policy on zones.
	{"d052fb0", 1, true, true,
		reflect.TypeFor[vd052fb0Request](), reflect.TypeFor[vd052fb0Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
}

// messages are those captured from the version (testdata/versions/capture), by name.
func (v oldVersion) messages(t *testing.T) map[string]wire.Raw {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "testdata", "versions", v.name, "messages.cbor"))
	if err != nil {
		t.Fatal(err)
	}
	return read[map[string]wire.Raw](t, b)
}

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

// resaid has a message read and said again in a layout.
func resaid(t *testing.T, b wire.Raw, layout reflect.Type) wire.Raw {
	t.Helper()
	v := reflect.New(layout)
	if err := wire.Unmarshal(b, v.Interface()); err != nil {
		t.Fatalf("%v: %v", layout, err)
	}
	return raw(t, v.Interface())
}

// capturedReport, and the functions after it, are what the captured messages say.
func capturedReport() wire.Report {
	notice := 12.5
	return wire.Report{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Seq: 88, Token: 41,
		NoticeS: &notice, Tasks: []wire.ReportTask{{Task: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{Task: "j-000398/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}}}
}

func capturedAnswer() wire.ReportAnswer {
	return wire.ReportAnswer{Token: 41, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000412/4", Attempt: 2}}}
}

func capturedProbe() *Probe {
	return &Probe{Member: "host-1", Token: 41, Leader: "host-1", Doubt: true, Counts: map[string][2]int{"j-000412": {3, 13}}, Since: 430}
}

func capturedState(version int) *State {
	return &State{Loaded: true, Token: 41, Leader: "host-1", SinceHeard: 1500 * micros.Millisecond,
		Promise: PromiseLife, Fronts: true, Through: 431, Whole: true, Version: version, Cancelled: []replica.Cancellation{{ID: "j-000377", Stamp: 431,
			Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}
}

func capturedGangReport() wire.Report {
	return wire.Report{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Session: 1, Seq: 89, Token: 41, Tasks: []wire.ReportTask{
		{Task: "j-000501/0", Attempt: 7, State: "waiting"}, {Task: "j-000502/1", Attempt: 8, State: "running"},
		{Task: "j-000503/2", Attempt: 9, State: "flushing"}, {Task: "j-000504/3", Attempt: 10, State: "ended", Cause: "stopped", Saved: true},
		{Task: "j-000505/0", Attempt: 11, State: "ended", Cause: "peers"}, {Task: "j-000506/0", Attempt: 12, State: "ended", Cause: "incomplete"}}}
}

func capturedGangAnswer() wire.ReportAnswer {
	grace := 10.0
	return wire.ReportAnswer{Token: 41, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000507/0", Attempt: 13},
		{Verb: wire.VerbStart, Task: "j-000507/1", Attempt: 13}, {Verb: wire.VerbStop, Task: "j-000502/1", Attempt: 8, GraceS: &grace}}}
}

// TestOldVersionsSay reads the messages that were captured from earlier versions. Their
// frozen layouts say all of what matters in them.
func TestOldVersionsSay(t *testing.T) {
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			said := v.messages(t)
			cases := []struct {
				name      string
				got, want any
			}{
				{"probe", read[Request](t, said["probe"]).Probe, capturedProbe()},
				{"state", read[Response](t, said["state"]).State, capturedState(v.version)},
				{"a report passed on", read[wire.Report](t, read[Request](t, said["relay"]).Relay[0]), capturedReport()},
				{"its answer", read[wire.ReportAnswer](t, read[Response](t, said["relayed"]).Relay[0].Answer), capturedAnswer()},
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
			if !v.gangs {
				return
			}
			if got := read[wire.Report](t, said["gang report"]); !reflect.DeepEqual(got, capturedGangReport()) {
				t.Errorf("a report of gangs: %+v", got)
			}
			if got := read[wire.ReportAnswer](t, said["gang answer"]); !reflect.DeepEqual(got, capturedGangAnswer()) {
				t.Errorf("its answer: %+v", got)
			}
		})
	}
}

// TestOldLayoutsAreWhole has the frozen layouts read what their versions said. Said again
// from them, nothing may be missing.
func TestOldLayoutsAreWhole(t *testing.T) {
	for _, v := range oldVersions {
		said := v.messages(t)
		layouts := map[string]reflect.Type{"probe": v.request, "relay": v.request, "explain": v.request,
			"state": v.response, "relayed": v.response, "failed": v.response, "gang report": v.report, "gang answer": v.answer}
		for name, message := range said {
			layout, ok := layouts[name]
			if !ok && name != "explained" { // of which the frozen layout has a part
				t.Errorf("%s: no layout of %q", v.name, name)
			}
			if !ok {
				continue
			}
			if got, want := read[any](t, resaid(t, message, layout)), read[any](t, message); !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: the frozen layout says %+v of %+v", v.name, name, got, want)
			}
		}
	}
}

// noteFields notes of all fields within a message whether one of its kind is set.
func noteFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			noteFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			noteFields(v.Index(i), set)
		}
	case reflect.Struct:
		switch v.Interface().(type) {
		case leader.Explanation, replica.Job, standby.Query, standby.Page, zone.Status:
			return // only shown; as it is stored; not known to any earlier version
		}
		for i := range v.NumField() {
			name := v.Type().String() + "." + v.Type().Field(i).Name
			set[name] = set[name] || !v.Field(i).IsZero()
			noteFields(v.Field(i), set)
		}
	}
}

// TestOldVersionsUnderstand has the frozen layout of each earlier version read what this
// version says, with every field set. Said again by it, nothing that matters may be missing.
func TestOldVersionsUnderstand(t *testing.T) {
	report, answer := capturedReport(), capturedAnswer()
	grace := 10.0
	answer.Commands = append(answer.Commands, wire.Command{Verb: wire.VerbStop, Task: "j-000377/1", Attempt: 1, GraceS: &grace})
	report.Tasks[1].Saved = true
	heartbeat := &membership.Heartbeat{Member: "host-2", Incarnation: 3, Leaving: true,
		Opinions: []membership.Opinion{{Member: "host-1", State: membership.Suspected, Incarnation: 2, Silence: 7}}}
	request := Request{ID: 7, Probe: capturedProbe(), Relay: []wire.Raw{raw(t, report)}, Explain: "j-000412",
		Standby: &standby.Query{Version: standby.Version, Member: "host-2", Token: 41, Position: 7}, Zones: true, Heartbeat: heartbeat}
	response := Response{ID: 7, State: capturedState(Version), Relay: []Relayed{{Answer: raw(t, answer)}, {Error: "not entitled"}}, Error: "not leading",
		Explain: &leader.Explanation{Job: "j-000412", By: "host-1", Tasks: 16, Why: []string{"no room"}},
		Standby: &standby.Page{Version: standby.Version, Token: 41, Latest: 9, Entries: []standby.Entry{{Gone: &standby.Gone{Machine: "i-000231"}}}},
		Zones:   []zone.Status{{Zone: "a", Flaps: 1}}, Heartbeat: heartbeat}
	set := map[string]bool{}
	for _, message := range []any{request, response, report, answer} {
		noteFields(reflect.ValueOf(message), set)
	}
	for field, is := range set {
		if !is {
			t.Errorf("%s is not set here: set it, to see what earlier versions make of it", field)
		}
	}
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			// Earlier versions send no heartbeats and tell nothing of zones, and most neither follow a leader nor publish:
			// they ignore these.
			wantRequest := request
			wantRequest.Zones, wantRequest.Heartbeat = false, nil
			if !v.standby {
				wantRequest.Standby = nil
			}
			if got := read[Request](t, resaid(t, raw(t, request), v.request)); !reflect.DeepEqual(got, wantRequest) {
				t.Errorf("request: %+v, want %+v", got, wantRequest)
			}
			want := response
			want.Zones, want.Heartbeat = nil, nil
			if !v.standby {
				want.Standby = nil
			}
			if v.version == 0 {
				want.State = capturedState(0) // it knows no versions, and does not pass them on
			}
			if got := read[Response](t, resaid(t, raw(t, response), v.response)); !reflect.DeepEqual(got, want) {
				t.Errorf("response: %+v, want %+v", got, want)
			}
			if got := read[wire.Report](t, resaid(t, raw(t, report), v.report)); !reflect.DeepEqual(got, report) {
				t.Errorf("report: %+v, want %+v", got, report)
			}
			if got := read[wire.ReportAnswer](t, resaid(t, raw(t, answer), v.answer)); !reflect.DeepEqual(got, answer) {
				t.Errorf("answer: %+v, want %+v", got, answer)
			}
		})
	}
}
