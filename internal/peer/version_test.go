package peer

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestVersions goes through what peers may say of their version.
func TestVersions(t *testing.T) {
	heard := func(v int) *lastResponse { return &lastResponse{state: NodeState{Version: v}} }
	long := &lastResponse{state: NodeState{Version: Version}, sentAt: -2 * FreshWithin}
	cases := []struct {
		name   string
		last   map[string]*lastResponse
		peers  []MemberVersion
		common int
	}{
		{"all ours", map[string]*lastResponse{"b": heard(Version), "c": heard(Version)}, []MemberVersion{{"b", true, Version}, {"c", true, Version}}, Version},
		{"one of before there were versions", map[string]*lastResponse{"b": heard(0), "c": heard(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
		{"one never heard", map[string]*lastResponse{"b": heard(Version)}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		// It may have come back with the old version meanwhile.
		{"one not heard for long", map[string]*lastResponse{"b": heard(Version), "c": long}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		{"one of a later version", map[string]*lastResponse{"b": heard(Version + 7), "c": heard(Version)}, []MemberVersion{{"b", true, Version + 7}, {"c", true, Version}}, Version},
		{"nonsense", map[string]*lastResponse{"b": heard(-3), "c": heard(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Minute)
				peers := NewPeers(map[string]*Client{"b": nil, "c": nil}, nil, nil)
				for m, s := range tc.last {
					s.sentAt += micros.Now()
					peers.last[m] = *s
				}
				want := Versions{Member: "a", Version: Version, Common: tc.common, Peers: tc.peers}
				if got := peers.Versions("a"); !reflect.DeepEqual(got, want) {
					t.Errorf("%+v, want %+v", got, want)
				}
			})
		})
	}
}

// TestVersionIsOptional has nodes of before and after there were versions read each
// other's answers.
func TestVersionIsOptional(t *testing.T) {
	type before struct {
		Loaded bool   `json:"loaded"`
		Token  uint64 `json:"token"`
	}
	b, err := wire.Marshal(NodeState{Loaded: true, HighestToken: 3, Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	var old before
	if err := wire.Unmarshal(b, &old); err != nil || !old.Loaded || old.Token != 3 {
		t.Errorf("before: %+v, %v", old, err)
	}
	if b, err = wire.Marshal(old); err != nil {
		t.Fatal(err)
	}
	var s NodeState
	if err := wire.Unmarshal(b, &s); err != nil || s.Version != 0 || s.HighestToken != 3 {
		t.Errorf("after: %+v, %v", s, err)
	}
}
