package peer

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestVersions goes through what peers may answer of their version.
func TestVersions(t *testing.T) {
	answering := func(version int) *lastResponse { return &lastResponse{state: NodeState{Version: version}} }
	silent := &lastResponse{state: NodeState{Version: Version}, sentAt: -2 * ContactTimeout}
	cases := []struct {
		name   string
		last   map[string]*lastResponse // relative to now
		peers  []MemberVersion
		common int
	}{
		{"all ours", map[string]*lastResponse{"b": answering(Version), "c": answering(Version)}, []MemberVersion{{"b", true, Version}, {"c", true, Version}}, Version},
		{"one from before there were versions", map[string]*lastResponse{"b": answering(0), "c": answering(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
		{"one never answered", map[string]*lastResponse{"b": answering(Version)}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		// It may have come back with the old version meanwhile.
		{"one silent for long", map[string]*lastResponse{"b": answering(Version), "c": silent}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		{"one of a later version", map[string]*lastResponse{"b": answering(Version + 7), "c": answering(Version)}, []MemberVersion{{"b", true, Version + 7}, {"c", true, Version}}, Version},
		{"one below zero", map[string]*lastResponse{"b": answering(-3), "c": answering(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Minute)
				peers := NewPeers(map[string]*Client{"b": nil, "c": nil}, nil, nil)
				for member, last := range tc.last {
					last.sentAt += micros.Now()
					peers.last[member] = *last
				}
				want := Versions{Member: "a", Version: Version, Common: tc.common, Peers: tc.peers}
				if got := peers.Versions("a"); !reflect.DeepEqual(got, want) {
					t.Errorf("%+v, want %+v", got, want)
				}
			})
		})
	}
}

// TestVersionIsOptional has nodes from before and after there were versions read each
// other's states.
func TestVersionIsOptional(t *testing.T) {
	type unversionedState struct {
		Loaded bool   `json:"loaded"`
		Token  uint64 `json:"token"`
	}
	encoded, err := wire.Marshal(NodeState{Loaded: true, HighestToken: 3, Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	var before unversionedState
	if err := wire.Unmarshal(encoded, &before); err != nil || !before.Loaded || before.Token != 3 {
		t.Errorf("before: %+v, %v", before, err)
	}
	if encoded, err = wire.Marshal(before); err != nil {
		t.Fatal(err)
	}
	var after NodeState
	if err := wire.Unmarshal(encoded, &after); err != nil || after.Version != 0 || after.HighestToken != 3 {
		t.Errorf("after: %+v, %v", after, err)
	}
}
