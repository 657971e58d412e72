package peer

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/explain"
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
	// What the warm standby, the policy on zones and the members say, and explanations, whole.
	v01da0cfRequest struct {
		ID        uint64                `json:"id"`
		Probe     *v3a714abProbe        `json:"probe,omitempty"`
		Relay     []wire.Raw            `json:"relay,omitempty"`
		Explain   string                `json:"explain,omitempty"`
		Standby   *v01da0cfStandbyQuery `json:"standby,omitempty"`
		Zones     bool                  `json:"zones,omitempty"`
		Heartbeat *v01da0cfHeartbeat    `json:"heartbeat,omitempty"`
	}
	v01da0cfResponse struct {
		ID        uint64               `json:"id"`
		State     *v5fd93d5State       `json:"state,omitempty"`
		Relay     []v3a714abRelayed    `json:"relay,omitempty"`
		Explain   *v01da0cfExplanation `json:"explain,omitempty"`
		Standby   *v01da0cfStandbyPage `json:"standby,omitempty"`
		Zones     []v01da0cfZone       `json:"zones,omitempty"`
		Heartbeat *v01da0cfHeartbeat   `json:"heartbeat,omitempty"`
		Error     string               `json:"error,omitempty"`
	}
	v01da0cfStandbyQuery struct {
		Version  int    `json:"version"`
		Member   string `json:"member"`
		Token    uint64 `json:"token"`
		Position uint64 `json:"position"`
		Snapshot bool   `json:"snapshot,omitempty"`
		After    string `json:"after,omitempty"`
	}
	v01da0cfStandbyPage struct {
		Version   int                    `json:"version"`
		Token     uint64                 `json:"token"`
		Latest    uint64                 `json:"latest"`
		From      uint64                 `json:"from"`
		Entries   []v01da0cfStandbyEntry `json:"entries,omitempty"`
		Compacted bool                   `json:"compacted,omitempty"`
		Snapshot  *struct {
			Machines []struct {
				Name      string `json:"name"`
				Session   uint64 `json:"session"`
				Resolved  bool   `json:"resolved"`
				Returning bool   `json:"returning,omitempty"`
				Tasks     []struct {
					Task     string `json:"task"`
					Attempt  uint64 `json:"attempt"`
					Stopping bool   `json:"stopping,omitempty"`
					Urgent   bool   `json:"urgent,omitempty"`
					Reserved bool   `json:"reserved,omitempty"`
				} `json:"tasks,omitempty"`
			} `json:"machines"`
			More      bool                `json:"more"`
			Estimates []v01da0cfEstimated `json:"estimates,omitempty"`
			Handover  *v01da0cfHandover   `json:"handover,omitempty"`
		} `json:"snapshot,omitempty"`
		Followers []struct {
			Member   string  `json:"member"`
			Position uint64  `json:"position"`
			Whole    bool    `json:"whole"`
			AgeS     float64 `json:"age_s"`
		} `json:"followers,omitempty"`
	}
	v01da0cfStandbyEntry struct {
		Placed *struct {
			Machine  string `json:"machine"`
			Task     string `json:"task"`
			Attempt  uint64 `json:"attempt"`
			Stopping bool   `json:"stopping,omitempty"`
			Urgent   bool   `json:"urgent,omitempty"`
			Reserved bool   `json:"reserved,omitempty"`
		} `json:"placed,omitempty"`
		Left *struct {
			Machine string `json:"machine"`
			Task    string `json:"task"`
		} `json:"left,omitempty"`
		Observed *struct {
			Machine  string `json:"machine"`
			Session  uint64 `json:"session"`
			Resolved bool   `json:"resolved"`
		} `json:"observed,omitempty"`
		Returning *struct {
			Machine string `json:"machine"`
			Why     string `json:"why"`
		} `json:"returning,omitempty"`
		Gone *struct {
			Machine string `json:"machine"`
		} `json:"gone,omitempty"`
		Estimated *v01da0cfEstimated `json:"estimated,omitempty"`
		Handover  *v01da0cfHandover  `json:"handover,omitempty"`
	}
	v01da0cfEstimated struct {
		Class   string    `json:"class"`
		Moments []float64 `json:"moments"`
	}
	v01da0cfHandover struct {
		To       string `json:"to,omitempty"`
		Complete bool   `json:"complete"`
	}
	v01da0cfZone struct {
		Zone     string  `json:"zone"`
		State    string  `json:"state"`
		Reason   string  `json:"reason"`
		SinceS   float64 `json:"since_s"`
		Step     int     `json:"step,omitempty"`
		Steps    int     `json:"steps,omitempty"`
		OpenPart float64 `json:"open"`
		HoldS    float64 `json:"hold_s,omitempty"`
		Flaps    int     `json:"flaps"`
		Evidence struct {
			Up       int `json:"up"`
			Late     int `json:"late"`
			Silent   int `json:"silent"`
			Deaf     int `json:"deaf"`
			Vanished int `json:"vanished"`
			Failing  int `json:"failing"`
			Back     int `json:"back"`
			Relapses int `json:"relapses"`
			Sent     int `json:"sent"`
			Started  int `json:"started"`
		} `json:"evidence"`
		Work struct {
			Displaced map[string]int `json:"displaced,omitempty"`
			Moved     map[string]int `json:"moved,omitempty"`
			Restarted map[string]int `json:"restarted,omitempty"`
			Machines  int            `json:"machines,omitempty"`
			Tasks     int            `json:"tasks,omitempty"`
			NextEndS  float64        `json:"next_end_s,omitempty"`
			LastEndS  float64        `json:"last_end_s,omitempty"`
			Closed    int            `json:"closed,omitempty"`
			Replaced  int            `json:"replaced,omitempty"`
		} `json:"work"`
	}
	v01da0cfHeartbeat struct {
		Member      string `json:"member"`
		Incarnation uint64 `json:"incarnation"`
		Leaving     bool   `json:"leaving,omitempty"`
		Opinions    []struct {
			Member      string `json:"member"`
			State       string `json:"state"`
			Incarnation uint64 `json:"incarnation"`
			Silence     int64  `json:"silence"`
		} `json:"opinions,omitempty"`
	}
	v01da0cfExplanation struct {
		Job       string   `json:"job"`
		By        string   `json:"by"`
		AgeS      float64  `json:"age_s"`
		Notes     []string `json:"notes"`
		State     string   `json:"state"`
		Team      string   `json:"team"`
		Class     string   `json:"class"`
		Priority  string   `json:"priority"`
		Submitted int64    `json:"submitted"`
		Ended     int64    `json:"ended"`
		Tasks     int      `json:"tasks"`
		Done      int      `json:"done"`
		Running   int      `json:"running"`
		Waiting   int      `json:"waiting"`
		Why       []string `json:"why"`
		On        []struct {
			Task    string `json:"task"`
			Attempt uint64 `json:"attempt"`
			Machine string `json:"machine"`
			State   string `json:"state"`
			Since   int64  `json:"since"`
		} `json:"on"`
		Stops []struct {
			Task    string `json:"task"`
			Attempt uint64 `json:"attempt"`
			Machine string `json:"machine"`
			At      int64  `json:"at"`
			Why     string `json:"why"`
		} `json:"stops"`
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
	zones   bool   // it tells of zones, sends heartbeats, and its layouts are whole
	// Its layouts.
	request, response, report, answer reflect.Type
}

var oldVersions = []oldVersion{
	{"3a714ab", 0, false, false, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v3a714abResponse](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// Gangs have no fields of their own: their states and causes are words that were not
	// used before.
	{"5fd93d5", 1, true, false, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v5fd93d5Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// The last without a standby.
	{"1f14824", 1, true, false, false,
		reflect.TypeFor[v3a714abRequest](), reflect.TypeFor[v5fd93d5Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	// The last without a policy on zones.
	{"d052fb0", 1, true, true, false,
		reflect.TypeFor[vd052fb0Request](), reflect.TypeFor[vd052fb0Response](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
	{"01da0cf", 1, true, true, true,
		reflect.TypeFor[v01da0cfRequest](), reflect.TypeFor[v01da0cfResponse](), reflect.TypeFor[v3a714abReport](), reflect.TypeFor[v3a714abAnswer]()},
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
func capturedReport() wire.Heartbeat {
	notice := 12.5
	return wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a", Spot: true, Incarnation: 1, Sequence: 88, FencingToken: 41,
		InterruptionNoticeS: &notice, Tasks: []wire.TaskStatus{{TaskID: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{TaskID: "j-000398/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone}}}
}

func capturedAnswer() wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{{Verb: wire.VerbStart, TaskID: "j-000412/4", Attempt: 2}}}
}

func capturedProbe() *Probe {
	return &Probe{Member: "host-1", HighestToken: 41, Leader: "host-1", LeadershipInDoubt: true, TaskCounts: map[string][2]int{"j-000412": {3, 13}}, CancellationsSince: 430}
}

func capturedState(version int) *NodeState {
	return &NodeState{Loaded: true, HighestToken: 41, Leader: "host-1", SinceStateService: 1500 * micros.Millisecond,
		AbstainFor: AbstentionTTL, ForwardsHeartbeats: true, CancelledThrough: 431, CancellationsComplete: true, Version: version, Cancellations: []replica.Cancellation{{ID: "j-000377", ModRevision: 431,
			Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}
}

func capturedGangReport() wire.Heartbeat {
	return wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a", Incarnation: 1, Sequence: 89, FencingToken: 41, Tasks: []wire.TaskStatus{
		{TaskID: "j-000501/0", Attempt: 7, State: "waiting"}, {TaskID: "j-000502/1", Attempt: 8, State: "running"},
		{TaskID: "j-000503/2", Attempt: 9, State: "flushing"}, {TaskID: "j-000504/3", Attempt: 10, State: "ended", ExitReason: "stopped", Checkpointed: true},
		{TaskID: "j-000505/0", Attempt: 11, State: "ended", ExitReason: "peers"}, {TaskID: "j-000506/0", Attempt: 12, State: "ended", ExitReason: "incomplete"}}}
}

func capturedGangAnswer() wire.HeartbeatResponse {
	grace := 10.0
	return wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{{Verb: wire.VerbStart, TaskID: "j-000507/0", Attempt: 13},
		{Verb: wire.VerbStart, TaskID: "j-000507/1", Attempt: 13}, {Verb: wire.VerbStop, TaskID: "j-000502/1", Attempt: 8, GracePeriodS: &grace}}}
}

func capturedHeartbeat() *membership.Heartbeat {
	return &membership.Heartbeat{Member: "host-2", Incarnation: 3, Leaving: true, Views: []membership.MemberView{
		{Member: "host-1", State: membership.Suspected, Incarnation: 2, Silence: 3500 * micros.Millisecond},
		{Member: "host-0", State: membership.Alive, Incarnation: 1, Silence: 200}}}
}

func capturedQuery() *standby.Query {
	return &standby.Query{Version: 1, Member: "host-2", FencingToken: 41, Position: 7, Snapshot: true, AfterMachine: "i-000230"}
}

func capturedPage() *standby.Page {
	state := standby.TaskState{Attempt: 7, Stopping: true, Urgent: true, Reserved: true}
	machine := standby.MachineState{Incarnation: 3, TasksKnown: true}
	return &standby.Page{Version: 1, FencingToken: 41, LatestPosition: 19, AfterPosition: 12, Compacted: true,
		Entries: []standby.Entry{
			{TaskAssigned: &standby.TaskAssigned{Machine: "i-000231", Task: "j-000412/3", TaskState: state}},
			{TaskRemoved: &standby.TaskRemoved{Machine: "i-000231", Task: "j-000412/4"}},
			{MachineObserved: &standby.MachineObserved{Machine: "i-000232", MachineState: machine}},
			{MachineTerminating: &standby.MachineTerminating{Machine: "i-000233", Reason: "idle"}},
			{MachineTerminated: &standby.MachineTerminated{Machine: "i-000234"}},
			{EstimateUpdated: &standby.EstimateUpdated{Class: "batch", Moments: []float64{2, 3.5, 8.25}}},
			{Handover: &standby.Handover{To: "host-2", Complete: true}},
		},
		Snapshot: &standby.SnapshotPage{
			Machines:  []standby.MachineRecord{{Name: "i-000235", MachineState: machine, Terminating: true, Tasks: []standby.TaskRecord{{Task: "j-000413/0", TaskState: state}}}},
			HasMore:   true,
			Estimates: []standby.EstimateUpdated{{Class: "scan", Moments: []float64{1, 0.5}}},
			Handover:  &standby.Handover{To: "host-1", Complete: true},
		},
		Followers: []standby.FollowerState{{Member: "host-2", Position: 18, Complete: true, AgeS: 0.25}},
	}
}

func capturedZones() []zone.Status {
	return []zone.Status{{Zone: "b", State: "returning", Reason: zone.ReasonStepSucceeded, SinceS: 4.5, Step: 2, Steps: 4,
		OpenShare: 0.25, HoldDownS: 1.5, Flaps: 1, Evidence: zone.Evidence{Running: 40, Late: 1, Silent: 2, LostResponses: 3, Unlisted: 4, Quarantined: 5, Recovered: 38, Relapses: 6, StartsSent: 70, StartsSeen: 69},
		Work: zone.WorkStatus{Displaced: map[string]int{"scan": 30}, Moved: map[string]int{"scan": 20}, Restarted: map[string]int{"scan": 9},
			LeasedMachines: 2, LeasedTasks: 8, NextLeaseEndS: 1.25, LastLeaseEndS: 9.5, ClosedMachines: 30, ReplacedMachines: 15}}}
}

func capturedExplanation() *explain.Explanation {
	return &explain.Explanation{Job: "j-000412", Member: "host-1", AgeS: 1.5, Notes: []string{"no report yet"}, State: "pending",
		Team: "blue", Class: "batch", Priority: "normal", SubmittedAt: 4, EndedAt: 6, Tasks: 16, Done: 2, Running: 13, Waiting: 1, Reasons: []string{"no room"},
		Placements: []explain.TaskPlacement{{Task: "j-000412/3", Attempt: 2, Machine: "i-000231", State: "running", Since: 5}},
		Stops:      []explain.TaskStop{{Task: "j-000412/4", Attempt: 1, Machine: "i-000230", At: 4, Reason: "spot notice"}}}
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
				{"state", read[Response](t, said["state"]).NodeState, capturedState(v.version)},
				{"a report passed on", read[wire.Heartbeat](t, read[Request](t, said["relay"]).ForwardedHeartbeats[0]), capturedReport()},
				{"its answer", read[wire.HeartbeatResponse](t, read[Response](t, said["relayed"]).ForwardedResponses[0].Response), capturedAnswer()},
				{"one that was not answered", read[Response](t, said["relayed"]).ForwardedResponses[1].Error, "not entitled"},
				{"a question", read[Request](t, said["explain"]).ExplainJob, "j-000412"},
				{"its answer's job", read[Response](t, said["explained"]).Explanation.Job, "j-000412"},
				{"its answer's reasons", read[Response](t, said["explained"]).Explanation.Reasons, []string{"no room"}},
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
			if got := read[wire.Heartbeat](t, said["gang report"]); !reflect.DeepEqual(got, capturedGangReport()) {
				t.Errorf("a report of gangs: %+v", got)
			}
			if got := read[wire.HeartbeatResponse](t, said["gang answer"]); !reflect.DeepEqual(got, capturedGangAnswer()) {
				t.Errorf("its answer: %+v", got)
			}
			if !v.zones {
				return
			}
			for _, c := range []struct {
				name      string
				got, want any
			}{
				{"a query of the standby", read[Request](t, said["standby query"]).StandbyQuery, capturedQuery()},
				{"its answer", read[Response](t, said["standby page"]).StandbyPage, capturedPage()},
				{"a question for the zones", read[Request](t, said["zones asked"]).WantZones, true},
				{"its answer", read[Response](t, said["zones told"]).ZoneStatus, capturedZones()},
				{"a heartbeat", read[Request](t, said["heartbeat"]).MembershipHeartbeat, capturedHeartbeat()},
				{"its answer", read[Response](t, said["heartbeat answered"]).MembershipHeartbeat, capturedHeartbeat()},
				{"an explanation", read[Response](t, said["explained"]).Explanation, capturedExplanation()},
			} {
				if !reflect.DeepEqual(c.got, c.want) {
					t.Errorf("%s: %+v, want %+v", c.name, c.got, c.want)
				}
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
			"state": v.response, "relayed": v.response, "failed": v.response, "gang report": v.report, "gang answer": v.answer,
			"standby query": v.request, "standby page": v.response, "zones asked": v.request, "zones told": v.response,
			"heartbeat": v.request, "heartbeat answered": v.response}
		if v.zones {
			layouts["explained"] = v.response
		}
		for name, message := range said {
			layout, ok := layouts[name]
			if !ok && name != "explained" { // of which the frozen layouts of the first versions have a part
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
		if _, stored := v.Interface().(replica.Job); stored {
			return // as the frozen layouts of what is stored have it
		}
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("json") == "-" {
				continue // not sent
			}
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
	answer.Commands = append(answer.Commands, wire.Command{Verb: wire.VerbStop, TaskID: "j-000377/1", Attempt: 1, GracePeriodS: &grace})
	report.Tasks[1].Checkpointed = true
	request := Request{ID: 7, Probe: capturedProbe(), ForwardedHeartbeats: []wire.Raw{raw(t, report)}, ExplainJob: "j-000412",
		StandbyQuery: capturedQuery(), WantZones: true, MembershipHeartbeat: capturedHeartbeat()}
	response := Response{ID: 7, NodeState: capturedState(Version), ForwardedResponses: []ForwardedResponse{{Response: raw(t, answer)}, {Error: "not entitled"}}, Error: "not leading",
		Explanation: capturedExplanation(), StandbyPage: capturedPage(), ZoneStatus: capturedZones(), MembershipHeartbeat: capturedHeartbeat()}
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
			// Most versions send no heartbeats and tell nothing of zones, and the first neither follow a leader nor
			// publish: they ignore these.
			wantRequest := request
			if !v.zones {
				wantRequest.WantZones, wantRequest.MembershipHeartbeat = false, nil
			}
			if !v.standby {
				wantRequest.StandbyQuery = nil
			}
			if got := read[Request](t, resaid(t, raw(t, request), v.request)); !reflect.DeepEqual(got, wantRequest) {
				t.Errorf("request: %+v, want %+v", got, wantRequest)
			}
			want := response
			if !v.zones {
				want.ZoneStatus, want.MembershipHeartbeat = nil, nil
				// Of what is only shown to the duty team their frozen layouts have a part.
				e := response.Explanation
				want.Explanation = &explain.Explanation{Job: e.Job, Member: e.Member, Tasks: e.Tasks, Reasons: e.Reasons}
			}
			if !v.standby {
				want.StandbyPage = nil
			}
			if v.version == 0 {
				want.NodeState = capturedState(0) // it knows no versions, and does not pass them on
			}
			if got := read[Response](t, resaid(t, raw(t, response), v.response)); !reflect.DeepEqual(got, want) {
				t.Errorf("response: %+v, want %+v", got, want)
			}
			if got := read[wire.Heartbeat](t, resaid(t, raw(t, report), v.report)); !reflect.DeepEqual(got, report) {
				t.Errorf("report: %+v, want %+v", got, report)
			}
			if got := read[wire.HeartbeatResponse](t, resaid(t, raw(t, answer), v.answer)); !reflect.DeepEqual(got, answer) {
				t.Errorf("answer: %+v, want %+v", got, answer)
			}
		})
	}
}
