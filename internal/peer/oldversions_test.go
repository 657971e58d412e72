package peer

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/wire"
)

// These types are frozen copies of the message layouts of old versions: the messages between nodes, and the workers'
// messages that nodes forward. They must not change when the code changes. Each type is named after the first version
// with this layout. Later versions share it until one differs, which then has its own type.
type (
	v3a714abRequest struct {
		ID      uint64            `json:"id"`
		Probe   *v3a714abProbe    `json:"probe,omitempty"`
		Relay   []wire.RawMessage `json:"relay,omitempty"`
		Explain string            `json:"explain,omitempty"`
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
	// v5fd93d5State is the first layout with a version.
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
	// vd052fb0Request and vd052fb0Response keep the messages of the warm standby undecoded, because those have their
	// own version number.
	vd052fb0Request struct {
		ID      uint64            `json:"id"`
		Probe   *v3a714abProbe    `json:"probe,omitempty"`
		Relay   []wire.RawMessage `json:"relay,omitempty"`
		Explain string            `json:"explain,omitempty"`
		Standby wire.RawMessage   `json:"standby,omitempty"`
	}
	vd052fb0Response struct {
		ID      uint64               `json:"id"`
		State   *v5fd93d5State       `json:"state,omitempty"`
		Relay   []v3a714abRelayed    `json:"relay,omitempty"`
		Explain *v3a714abExplanation `json:"explain,omitempty"`
		Standby wire.RawMessage      `json:"standby,omitempty"`
		Error   string               `json:"error,omitempty"`
	}
	// v01da0cfRequest, v01da0cfResponse and the types after them contain every field of the warm standby, the zone
	// status, the membership heartbeats and the explanations.
	v01da0cfRequest struct {
		ID        uint64                `json:"id"`
		Probe     *v3a714abProbe        `json:"probe,omitempty"`
		Relay     []wire.RawMessage     `json:"relay,omitempty"`
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
		Answer wire.RawMessage `json:"answer,omitempty"`
		Error  string          `json:"error,omitempty"`
	}
	// v3a714abExplanation contains only the most important fields, because explanations are only displayed to operators.
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

// oldVersion is an old version that may run beside this one.
type oldVersion struct {
	name    string // its commit, and its directory in testdata/versions
	version int    // the version number that it sends
	gangs   bool   // it supports gangs
	standby bool   // it supports the warm standby
	zones   bool   // it reports zone status and sends membership heartbeats, and its frozen layouts are complete
	layouts layouts
}

// layouts are the frozen types of a version's messages.
type layouts struct{ request, response, heartbeat, heartbeatResponse reflect.Type }

// layoutsOf returns the layouts of a version with the given messages between nodes. All old versions share the workers'
// messages of 3a714ab.
func layoutsOf[Request, Response any]() layouts {
	return layouts{
		request:           reflect.TypeFor[Request](),
		response:          reflect.TypeFor[Response](),
		heartbeat:         reflect.TypeFor[v3a714abReport](),
		heartbeatResponse: reflect.TypeFor[v3a714abAnswer](),
	}
}

var oldVersions = []oldVersion{
	{name: "3a714ab", version: 0, layouts: layoutsOf[v3a714abRequest, v3a714abResponse]()},
	// 5fd93d5 is the first version with gangs. Gangs add no fields, only new values of task states and exit reasons.
	{name: "5fd93d5", version: 1, gangs: true, layouts: layoutsOf[v3a714abRequest, v5fd93d5Response]()},
	// 1f14824 is the last version without the warm standby.
	{name: "1f14824", version: 1, gangs: true, layouts: layoutsOf[v3a714abRequest, v5fd93d5Response]()},
	// d052fb0 is the last version without the zone policy.
	{name: "d052fb0", version: 1, gangs: true, standby: true, layouts: layoutsOf[vd052fb0Request, vd052fb0Response]()},
	{name: "01da0cf", version: 1, gangs: true, standby: true, zones: true, layouts: layoutsOf[v01da0cfRequest, v01da0cfResponse]()},
	// d64cbaf is the last version before identifiers and messages were renamed.
	{name: "d64cbaf", version: 1, gangs: true, standby: true, zones: true, layouts: layoutsOf[v01da0cfRequest, v01da0cfResponse]()},
}

// messages returns the messages captured from the version (testdata/versions/capture), by name.
func (v oldVersion) messages(t *testing.T) map[string]wire.RawMessage {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "testdata", "versions", v.name, "messages.cbor"))
	if err != nil {
		t.Fatal(err)
	}
	return decode[map[string]wire.RawMessage](t, b)
}
