package peer

import (
	"reflect"
	"testing"

	"caperlatch/internal/explain"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

func encode(t *testing.T, v any) wire.RawMessage {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func decode[T any](t *testing.T, b wire.RawMessage) (v T) {
	t.Helper()
	if err := wire.Unmarshal(b, &v); err != nil {
		t.Fatalf("%T: %v", v, err)
	}
	return v
}

// reencode decodes a message into a layout and encodes it again.
func reencode(t *testing.T, b wire.RawMessage, layout reflect.Type) wire.RawMessage {
	t.Helper()
	v := reflect.New(layout)
	if err := wire.Unmarshal(b, v.Interface()); err != nil {
		t.Fatalf("%v: %v", layout, err)
	}
	return encode(t, v.Interface())
}

// TestReadsOldVersions decodes the messages that were captured from earlier versions.
func TestReadsOldVersions(t *testing.T) {
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			messages := v.messages(t)
			cases := []struct {
				name      string
				got, want any
			}{
				{"probe", decode[Request](t, messages["probe"]).Probe, capturedProbe()},
				{"state", decode[Response](t, messages["state"]).NodeState, capturedNodeState(v.version)},
				{"a forwarded heartbeat", decode[wire.Heartbeat](t, decode[Request](t, messages["relay"]).ForwardedHeartbeats[0]), capturedHeartbeat()},
				{"its response", decode[wire.HeartbeatResponse](t, decode[Response](t, messages["relayed"]).ForwardedResponses[0].Response), capturedHeartbeatResponse()},
				{"one without a response", decode[Response](t, messages["relayed"]).ForwardedResponses[1].Error, "not entitled"},
				{"a request to explain", decode[Request](t, messages["explain"]).ExplainJob, "j-000412"},
				{"its response's job", decode[Response](t, messages["explained"]).Explanation.Job, "j-000412"},
				{"its response's reasons", decode[Response](t, messages["explained"]).Explanation.Reasons, []string{"no room"}},
				{"a failure", decode[Response](t, messages["failed"]).Error, "not leading"},
			}
			for _, c := range cases {
				if !reflect.DeepEqual(c.got, c.want) {
					t.Errorf("%s: %+v, want %+v", c.name, c.got, c.want)
				}
			}
			if !v.gangs {
				return
			}
			if got := decode[wire.Heartbeat](t, messages["gang report"]); !reflect.DeepEqual(got, capturedGangHeartbeat()) {
				t.Errorf("a heartbeat with gangs: %+v", got)
			}
			if got := decode[wire.HeartbeatResponse](t, messages["gang answer"]); !reflect.DeepEqual(got, capturedGangResponse()) {
				t.Errorf("its response: %+v", got)
			}
			if !v.zones {
				return
			}
			for _, c := range []struct {
				name      string
				got, want any
			}{
				{"a query of the standby", decode[Request](t, messages["standby query"]).StandbyQuery, capturedStandbyQuery()},
				{"its response", decode[Response](t, messages["standby page"]).StandbyPage, capturedStandbyPage()},
				{"a request for the zones", decode[Request](t, messages["zones asked"]).WantZones, true},
				{"its response", decode[Response](t, messages["zones told"]).ZoneStatus, capturedZoneStatus()},
				{"a membership heartbeat", decode[Request](t, messages["heartbeat"]).MembershipHeartbeat, capturedMembershipHeartbeat()},
				{"its response", decode[Response](t, messages["heartbeat answered"]).MembershipHeartbeat, capturedMembershipHeartbeat()},
				{"an explanation", decode[Response](t, messages["explained"]).Explanation, capturedExplanation()},
			} {
				if !reflect.DeepEqual(c.got, c.want) {
					t.Errorf("%s: %+v, want %+v", c.name, c.got, c.want)
				}
			}
		})
	}
}

// TestOldLayoutsAreComplete decodes what was captured from old versions into their frozen layouts. Encoded again
// from them, nothing may be missing.
func TestOldLayoutsAreComplete(t *testing.T) {
	for _, v := range oldVersions {
		messages := v.messages(t)
		layouts := map[string]reflect.Type{"probe": v.layouts.request, "relay": v.layouts.request, "explain": v.layouts.request,
			"state": v.layouts.response, "relayed": v.layouts.response, "failed": v.layouts.response, "gang report": v.layouts.heartbeat, "gang answer": v.layouts.heartbeatResponse,
			"standby query": v.layouts.request, "standby page": v.layouts.response, "zones asked": v.layouts.request, "zones told": v.layouts.response,
			"heartbeat": v.layouts.request, "heartbeat answered": v.layouts.response}
		if v.zones {
			layouts["explained"] = v.layouts.response
		}
		for name, message := range messages {
			layout, ok := layouts[name]
			if !ok && name != "explained" { // of which the frozen layouts of the first versions have a part
				t.Errorf("%s: no layout of %q", v.name, name)
			}
			if !ok {
				continue
			}
			if got, want := decode[any](t, reencode(t, message, layout)), decode[any](t, message); !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: the frozen layout holds %+v of %+v", v.name, name, got, want)
			}
		}
	}
}

// noteSetFields notes for all fields within a message whether one of the same type and name is set.
func noteSetFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			noteSetFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			noteSetFields(v.Index(i), set)
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
			noteSetFields(v.Field(i), set)
		}
	}
}

// TestOldVersionsReadUs decodes what this version sends, with every field set, into the frozen layout of each earlier
// version. Encoded again by that, nothing that matters may be missing.
func TestOldVersionsReadUs(t *testing.T) {
	heartbeat, heartbeatResponse := capturedHeartbeat(), capturedHeartbeatResponse()
	grace := 10.0
	heartbeatResponse.Commands = append(heartbeatResponse.Commands, wire.Command{Verb: wire.VerbStop, TaskID: "j-000377/1", Attempt: 1, GracePeriodS: &grace})
	heartbeat.Tasks[1].Checkpointed = true
	request := Request{ID: 7, Probe: capturedProbe(), ForwardedHeartbeats: []wire.RawMessage{encode(t, heartbeat)}, ExplainJob: "j-000412",
		StandbyQuery: capturedStandbyQuery(), WantZones: true, MembershipHeartbeat: capturedMembershipHeartbeat()}
	response := Response{ID: 7, NodeState: capturedNodeState(Version), ForwardedResponses: []ForwardedResponse{{Response: encode(t, heartbeatResponse)}, {Error: "not entitled"}}, Error: "not leading",
		Explanation: capturedExplanation(), StandbyPage: capturedStandbyPage(), ZoneStatus: capturedZoneStatus(), MembershipHeartbeat: capturedMembershipHeartbeat()}
	set := map[string]bool{}
	for _, message := range []any{request, response, heartbeat, heartbeatResponse} {
		noteSetFields(reflect.ValueOf(message), set)
	}
	for field, isSet := range set {
		if !isSet {
			t.Errorf("%s is not set here: set it, to see what earlier versions read", field)
		}
	}
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			// Most versions send no membership heartbeats and know no status of zones, and the first neither follow a
			// leader nor publish: they ignore these.
			wantRequest := request
			if !v.zones {
				wantRequest.WantZones, wantRequest.MembershipHeartbeat = false, nil
			}
			if !v.standby {
				wantRequest.StandbyQuery = nil
			}
			if got := decode[Request](t, reencode(t, encode(t, request), v.layouts.request)); !reflect.DeepEqual(got, wantRequest) {
				t.Errorf("request: %+v, want %+v", got, wantRequest)
			}
			wantResponse := response
			if !v.zones {
				wantResponse.ZoneStatus, wantResponse.MembershipHeartbeat = nil, nil
				// Of what is only shown to the operators their frozen layouts have a part.
				e := response.Explanation
				wantResponse.Explanation = &explain.Explanation{Job: e.Job, Member: e.Member, Tasks: e.Tasks, Reasons: e.Reasons}
			}
			if !v.standby {
				wantResponse.StandbyPage = nil
			}
			if v.version == 0 {
				wantResponse.NodeState = capturedNodeState(0) // it knows no versions, and does not pass them on
			}
			if got := decode[Response](t, reencode(t, encode(t, response), v.layouts.response)); !reflect.DeepEqual(got, wantResponse) {
				t.Errorf("response: %+v, want %+v", got, wantResponse)
			}
			if got := decode[wire.Heartbeat](t, reencode(t, encode(t, heartbeat), v.layouts.heartbeat)); !reflect.DeepEqual(got, heartbeat) {
				t.Errorf("heartbeat: %+v, want %+v", got, heartbeat)
			}
			if got := decode[wire.HeartbeatResponse](t, reencode(t, encode(t, heartbeatResponse), v.layouts.heartbeatResponse)); !reflect.DeepEqual(got, heartbeatResponse) {
				t.Errorf("heartbeat response: %+v, want %+v", got, heartbeatResponse)
			}
		})
	}
}
