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
		t.Fatalf("decoding into %T failed: %v", v, err)
	}
	return v
}

// reencode decodes a message into a value of type layout and encodes that value again.
func reencode(t *testing.T, b wire.RawMessage, layout reflect.Type) wire.RawMessage {
	t.Helper()
	v := reflect.New(layout)
	if err := wire.Unmarshal(b, v.Interface()); err != nil {
		t.Fatalf("decoding into %v failed: %v", layout, err)
	}
	return encode(t, v.Interface())
}

// TestDecodesMessagesOfOldVersions checks that this version decodes the messages captured from old versions.
func TestDecodesMessagesOfOldVersions(t *testing.T) {
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			messages := v.messages(t)
			cases := []struct {
				name      string
				got, want any
			}{
				{"probe", decode[Request](t, messages["probe"]).Probe, capturedProbe()},
				{"state", decode[Response](t, messages["state"]).NodeState, capturedNodeState(v.version)},
				{"forwarded heartbeat", decode[wire.Heartbeat](t, decode[Request](t, messages["relay"]).ForwardedHeartbeats[0]), capturedHeartbeat()},
				{"response to a forwarded heartbeat", decode[wire.HeartbeatResponse](t, decode[Response](t, messages["relayed"]).ForwardedResponses[0].Response), capturedHeartbeatResponse()},
				{"rejected heartbeat", decode[Response](t, messages["relayed"]).ForwardedResponses[1].Error, "not entitled"},
				{"request to explain a job", decode[Request](t, messages["explain"]).ExplainJob, "j-000412"},
				{"job of the explanation", decode[Response](t, messages["explained"]).Explanation.Job, "j-000412"},
				{"reasons of the explanation", decode[Response](t, messages["explained"]).Explanation.Reasons, []string{"no room"}},
				{"error response", decode[Response](t, messages["failed"]).Error, "not leading"},
			}
			for _, c := range cases {
				if !reflect.DeepEqual(c.got, c.want) {
					t.Errorf("%s: got %+v, want %+v", c.name, c.got, c.want)
				}
			}
			if !v.gangs {
				return
			}
			if got := decode[wire.Heartbeat](t, messages["gang report"]); !reflect.DeepEqual(got, capturedGangHeartbeat()) {
				t.Errorf("heartbeat with gangs: got %+v, want %+v", got, capturedGangHeartbeat())
			}
			if got := decode[wire.HeartbeatResponse](t, messages["gang answer"]); !reflect.DeepEqual(got, capturedGangResponse()) {
				t.Errorf("response to a heartbeat with gangs: got %+v, want %+v", got, capturedGangResponse())
			}
			if !v.zones {
				return
			}
			for _, c := range []struct {
				name      string
				got, want any
			}{
				{"standby query", decode[Request](t, messages["standby query"]).StandbyQuery, capturedStandbyQuery()},
				{"standby page", decode[Response](t, messages["standby page"]).StandbyPage, capturedStandbyPage()},
				{"request for the zone status", decode[Request](t, messages["zones asked"]).WantZones, true},
				{"zone status", decode[Response](t, messages["zones told"]).ZoneStatus, capturedZoneStatus()},
				{"membership heartbeat", decode[Request](t, messages["heartbeat"]).MembershipHeartbeat, capturedMembershipHeartbeat()},
				{"response to a membership heartbeat", decode[Response](t, messages["heartbeat answered"]).MembershipHeartbeat, capturedMembershipHeartbeat()},
				{"explanation", decode[Response](t, messages["explained"]).Explanation, capturedExplanation()},
			} {
				if !reflect.DeepEqual(c.got, c.want) {
					t.Errorf("%s: got %+v, want %+v", c.name, c.got, c.want)
				}
			}
		})
	}
}

// TestOldLayoutsCoverCapturedMessages checks that the old versions' frozen layouts are complete: decoding a captured message
// into its frozen layout and encoding it again must not lose any field.
func TestOldLayoutsCoverCapturedMessages(t *testing.T) {
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
			if !ok && name != "explained" { // the first versions' frozen layouts contain only a part of it
				t.Errorf("version %s: no frozen layout for message %q", v.name, name)
			}
			if !ok {
				continue
			}
			if got, want := decode[any](t, reencode(t, message, layout)), decode[any](t, message); !reflect.DeepEqual(got, want) {
				t.Errorf("version %s, message %s: reencoded from the frozen layout, got %+v, want %+v", v.name, name, got, want)
			}
		}
	}
}

// recordSetFields records in set, by type and name of each field within a message, whether at least one occurrence of the
// field is not zero.
func recordSetFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			recordSetFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			recordSetFields(v.Index(i), set)
		}
	case reflect.Struct:
		if _, stored := v.Interface().(replica.Job); stored {
			return // the frozen layouts of the stored data cover it
		}
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("json") == "-" {
				continue // not sent
			}
			name := v.Type().String() + "." + v.Type().Field(i).Name
			set[name] = set[name] || !v.Field(i).IsZero()
			recordSetFields(v.Field(i), set)
		}
	}
}

// TestOldVersionsDecodeCurrentMessages checks that each old version decodes what this version sends. It decodes messages
// with every field set into the frozen layouts and encodes them again. Only fields that the old version ignores by
// design may be lost.
func TestOldVersionsDecodeCurrentMessages(t *testing.T) {
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
		recordSetFields(reflect.ValueOf(message), set)
	}
	for field, isSet := range set {
		if !isSet {
			t.Errorf("field %s is zero in the test messages; set it to check that old versions decode it", field)
		}
	}
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			// Most old versions have neither membership heartbeats nor zone status, and the first ones have no standby.
			// They ignore the fields for these.
			wantRequest := request
			if !v.zones {
				wantRequest.WantZones, wantRequest.MembershipHeartbeat = false, nil
			}
			if !v.standby {
				wantRequest.StandbyQuery = nil
			}
			if got := decode[Request](t, reencode(t, encode(t, request), v.layouts.request)); !reflect.DeepEqual(got, wantRequest) {
				t.Errorf("request: got %+v, want %+v", got, wantRequest)
			}
			wantResponse := response
			if !v.zones {
				wantResponse.ZoneStatus, wantResponse.MembershipHeartbeat = nil, nil
				// Their frozen layouts contain only a part of the explanation, which is only displayed to operators.
				e := response.Explanation
				wantResponse.Explanation = &explain.Explanation{Job: e.Job, Member: e.Member, Tasks: e.Tasks, Reasons: e.Reasons}
			}
			if !v.standby {
				wantResponse.StandbyPage = nil
			}
			if v.version == 0 {
				wantResponse.NodeState = capturedNodeState(0) // version 0 ignores the version field
			}
			if got := decode[Response](t, reencode(t, encode(t, response), v.layouts.response)); !reflect.DeepEqual(got, wantResponse) {
				t.Errorf("response: got %+v, want %+v", got, wantResponse)
			}
			if got := decode[wire.Heartbeat](t, reencode(t, encode(t, heartbeat), v.layouts.heartbeat)); !reflect.DeepEqual(got, heartbeat) {
				t.Errorf("heartbeat: got %+v, want %+v", got, heartbeat)
			}
			if got := decode[wire.HeartbeatResponse](t, reencode(t, encode(t, heartbeatResponse), v.layouts.heartbeatResponse)); !reflect.DeepEqual(got, heartbeatResponse) {
				t.Errorf("heartbeat response: got %+v, want %+v", got, heartbeatResponse)
			}
		})
	}
}
