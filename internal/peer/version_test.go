package peer

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestPeersVersions checks the common version and the peers' versions for all kinds of version numbers that peers may
// report, and for peers that have not responded recently.
func TestPeersVersions(t *testing.T) {
	responding := func(version int) *lastResponse { return &lastResponse{state: NodeState{Version: version}} }
	unresponsive := &lastResponse{state: NodeState{Version: Version}, sentAt: -2 * ContactTimeout}
	cases := []struct {
		name   string
		last   map[string]*lastResponse // with sentAt relative to now
		peers  []MemberVersion
		common int
	}{
		{"all peers at the current version", map[string]*lastResponse{"b": responding(Version), "c": responding(Version)}, []MemberVersion{{"b", true, Version}, {"c", true, Version}}, Version},
		{"a peer without a version number", map[string]*lastResponse{"b": responding(0), "c": responding(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
		{"a peer that never responded", map[string]*lastResponse{"b": responding(Version)}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		// It may have restarted with an old version meanwhile.
		{"a peer that stopped responding", map[string]*lastResponse{"b": responding(Version), "c": unresponsive}, []MemberVersion{{"b", true, Version}, {"c", false, 0}}, 0},
		{"a peer with a later version", map[string]*lastResponse{"b": responding(Version + 7), "c": responding(Version)}, []MemberVersion{{"b", true, Version + 7}, {"c", true, Version}}, Version},
		{"a peer with a negative version", map[string]*lastResponse{"b": responding(-3), "c": responding(Version)}, []MemberVersion{{"b", true, 0}, {"c", true, Version}}, 0},
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
					t.Errorf("Versions() = %+v, want %+v", got, want)
				}
			})
		})
	}
}

// TestNodeStateVersionIsOptional checks that nodes with and without version numbers can decode each other's states.
func TestNodeStateVersionIsOptional(t *testing.T) {
	type unversionedState struct {
		Loaded bool   `json:"loaded"`
		Token  uint64 `json:"token"`
	}
	encoded, err := wire.Marshal(NodeState{Loaded: true, HighestToken: 3, Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	var unversioned unversionedState
	if err := wire.Unmarshal(encoded, &unversioned); err != nil || !unversioned.Loaded || unversioned.Token != 3 {
		t.Errorf("versioned state decoded without version: got %+v, error %v; want loaded, token 3", unversioned, err)
	}
	if encoded, err = wire.Marshal(unversioned); err != nil {
		t.Fatal(err)
	}
	var versioned NodeState
	if err := wire.Unmarshal(encoded, &versioned); err != nil || versioned.Version != 0 || versioned.HighestToken != 3 {
		t.Errorf("state without a version decoded: got %+v, error %v; want version 0, token 3", versioned, err)
	}
}
