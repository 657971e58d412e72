package leader

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Frozen layouts of the values that earlier versions store. They must not be changed along with the code. A type is
// named after the first version that has the layout. Later versions share the type until one has a different layout,
// which then gets its own type.
type (
	v3a714abJob struct {
		Spec        *v3a714abSpec `json:"job,omitempty"`
		SubmittedAt int64         `json:"at"`
		State       string        `json:"state"`
		Reason      string        `json:"why,omitempty"`
		EndedAt     int64         `json:"end,omitempty"`
	}
	v3a714abSpec struct {
		ID          string   `json:"id"`
		Class       string   `json:"lane"`
		Team        string   `json:"desk"`
		Shape       string   `json:"shape"`
		Priority    string   `json:"rank"`
		Tasks       int      `json:"pieces"`
		CPUs        float64  `json:"vcpus"`
		GPUs        float64  `json:"cards"`
		MemoryGB    float64  `json:"memory_gb"`
		Image       string   `json:"bundle"`
		ImageGB     float64  `json:"pull_gb"`
		Types       []string `json:"builds,omitempty"`
		Zone        string   `json:"hall,omitempty"`
		OneZone     bool     `json:"together"`
		Spread      bool     `json:"scatter"`
		Spot        bool     `json:"standby"`
		EstimateS   float64  `json:"expect_s"`
		CheckpointS float64  `json:"save_every_s"`
		SaveS       float64  `json:"store_s"`
		DeadlineS   *float64 `json:"due_s,omitempty"`
	}
	v3a714abLeader struct {
		Member string `json:"member"`
		Token  uint64 `json:"token"`
		Hold   uint64 `json:"hold"`
	}
	v3a714abToken struct {
		Token uint64 `json:"token"`
	}
	v3a714abProgress struct {
		Done string `json:"done"`
	}
	v3a714abBooking struct {
		Type     string   `json:"type"`
		Zone     string   `json:"zone"`
		Spot     bool     `json:"spot"`
		Count    int      `json:"count"`
		At       int64    `json:"at"`
		Answered bool     `json:"answered"`
		Machines []string `json:"machines"`
	}
	v3a714abUpList struct {
		Machines []string `json:"m"`
	}
	v3a714abStaffing struct {
		Types map[string]struct {
			Lambda   float64 `json:"lambda"`
			M        float64 `json:"m"`
			Mu       float64 `json:"mu"`
			Finished int     `json:"finished"`
			Want     float64 `json:"want"`
			Target   int     `json:"target"`
			InFlight int     `json:"in_flight"`
		} `json:"types"`
		AtFault map[string]int `json:"at_fault,omitempty"`
	}
	v3a714abCatalog struct {
		Types []struct {
			Name        string   `json:"name"`
			CPUs        float64  `json:"vcpus"`
			GPUs        float64  `json:"cards"`
			MemoryGB    float64  `json:"memory_gb"`
			CacheGB     float64  `json:"local_gb"`
			FetchGBPerS float64  `json:"fetch_gb_per_s"`
			Price       float64  `json:"price"`
			SpotPrice   float64  `json:"low_price"`
			BootS       float64  `json:"startup_s"`
			Zones       []string `json:"halls"`
		} `json:"builds"`
	}
	v01da0cfZones struct {
		Version int `json:"version"`
		Zones   map[string]struct {
			State  int    `json:"state"`
			Reason string `json:"reason"`
			Since  int64  `json:"since"`
			Step   int    `json:"step,omitempty"`
			Flaps  int    `json:"flaps,omitempty"`
			Until  int64  `json:"until,omitempty"`
			Keep   bool   `json:"keep,omitempty"`
			Calm   int64  `json:"calm,omitempty"`
		} `json:"zones"`
	}
)

// layout holds the types of the values that are stored under keys with a prefix, one type of this version and one of an
// earlier version.
type layout struct {
	prefix       string
	current, old reflect.Type
}

// oldVersion is an earlier version whose nodes may run in a cluster together with nodes of this version.
type oldVersion struct {
	name    string // name of the version's directory in testdata/versions
	layouts []layout
}

// v3a714abLayouts lists the layouts of version 3a714ab.
var v3a714abLayouts = []layout{
	{replica.JobPrefix, reflect.TypeFor[replica.Job](), reflect.TypeFor[v3a714abJob]()},
	{replica.ProgressPrefix, reflect.TypeFor[state.TaskProgress](), reflect.TypeFor[v3a714abProgress]()},
	{replica.LaunchIntentPrefix, reflect.TypeFor[fleet.LaunchIntent](), reflect.TypeFor[v3a714abBooking]()},
	{replica.MachineListPrefix, reflect.TypeFor[fleet.MachineList](), reflect.TypeFor[v3a714abUpList]()},
	{replica.AutoscalerKey, reflect.TypeFor[autoscaler.Record](), reflect.TypeFor[v3a714abStaffing]()},
	{replica.InstanceTypesKey, reflect.TypeFor[wire.InstanceTypeList](), reflect.TypeFor[v3a714abCatalog]()},
	{replica.TokenKey, reflect.TypeFor[replica.TokenRecord](), reflect.TypeFor[v3a714abToken]()},
	{replica.LeaderKey, reflect.TypeFor[replica.Leader](), reflect.TypeFor[v3a714abLeader]()},
}

// v01da0cfLayouts lists the layouts of version 01da0cf, the first that stores the state of zones.
var v01da0cfLayouts = append(slices.Clip(v3a714abLayouts),
	layout{replica.ZonesKey, reflect.TypeFor[zone.Record](), reflect.TypeFor[v01da0cfZones]()})

var oldVersions = []oldVersion{
	{"3a714ab", v3a714abLayouts},
	// Version 5fd93d5 stores gangs like all other jobs, and split machine lists like all other lists.
	{"5fd93d5", v3a714abLayouts},
	{"1f14824", v3a714abLayouts}, // the last version without a standby
	{"d052fb0", v3a714abLayouts}, // the last version without a zone policy
	{"01da0cf", v01da0cfLayouts},
	{"d64cbaf", v01da0cfLayouts}, // the last version before most Go identifiers were renamed, which must not change stored values
}

// layoutOf returns the layout of the value stored under a key.
func (v oldVersion) layoutOf(key string) (layout, bool) {
	i := slices.IndexFunc(v.layouts, func(l layout) bool { return strings.HasPrefix(key, l.prefix) })
	if i < 0 {
		return layout{}, false
	}
	return v.layouts[i], true
}

// captured returns the values that testdata/versions/capture recorded in the state service while the version ran, by
// the situation in which they were captured and by key.
func (v oldVersion) captured(t *testing.T) (situations map[string]map[string]wire.RawMessage) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "testdata", "versions", v.name, "stored.cbor"))
	if err == nil {
		err = wire.Unmarshal(b, &situations)
	}
	if err != nil {
		t.Fatal(err)
	}
	return situations
}

// reencode encodes a value, decodes the result as another type, and returns the decoded value.
func reencode(t *testing.T, v any, as reflect.Type) any {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(as)
	if err := wire.Unmarshal(b, decoded.Interface()); err != nil {
		t.Fatalf("decode encoded %v as %v: %v", reflect.TypeOf(v), as, err)
	}
	return decoded.Elem().Interface()
}

// TestReadsValuesOfOldVersions checks all values that were captured from earlier versions. The frozen layouts must
// decode all fields of the values, and a value must stay the same when either version reads what the other has written
// and writes it again.
func TestReadsValuesOfOldVersions(t *testing.T) {
	for _, v := range oldVersions {
		t.Run(v.name, func(t *testing.T) {
			checked := map[string]int{}
			for situation, keys := range v.captured(t) {
				for key, value := range keys {
					l, ok := v.layoutOf(key)
					if !ok {
						t.Errorf("%s: no layout for key %s", situation, key)
						continue
					}
					checked[l.prefix]++
					l.checkStored(t, situation+", "+key, value)
				}
			}
			for _, l := range v.layouts {
				if checked[l.prefix] == 0 {
					t.Errorf("no value with key prefix %s was captured", l.prefix)
				}
			}
		})
	}
}

// checkStored checks one value that an earlier version stored. Failures are reported under the given name.
func (l layout) checkStored(t *testing.T, name string, value wire.RawMessage) {
	t.Helper()
	current, old := reencode(t, value, l.current), reencode(t, value, l.old)
	if got := reencode(t, current, l.old); !reflect.DeepEqual(got, old) {
		t.Errorf("%s: rewritten by this version: %+v, want %+v", name, got, old)
	}
	if got := reencode(t, old, l.current); !reflect.DeepEqual(got, current) {
		t.Errorf("%s: rewritten by the earlier version: %+v, want %+v", name, got, current)
	}
	untyped := reflect.TypeFor[any]()
	if got, want := reencode(t, old, untyped), reencode(t, value, untyped); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded by the frozen layout: %+v, want %+v", name, got, want)
	}
}

// fill sets every exported field of a value, recursively, to a non-zero value, different for each field where the type
// allows that. n counts the values that were set.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		element := reflect.New(v.Type().Elem()).Elem()
		fill(element, n)
		v.SetMapIndex(reflect.ValueOf(fmt.Sprint("k", *n)).Convert(v.Type().Key()), element)
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	default:
		v.SetInt(int64(*n))
	}
}

// TestOldVersionsPreserveFields checks that every field that this version stores is kept when an earlier version, by
// its frozen layout, reads the value and writes it again. The test fails for a new field that an earlier version drops.
// If the loss does not matter, say why where the field is declared and exclude it from the comparison. Otherwise, the
// field must not be stored until every node runs the new version.
func TestOldVersionsPreserveFields(t *testing.T) {
	for _, v := range oldVersions {
		for _, l := range v.layouts {
			n := 0
			stored := reflect.New(l.current).Elem()
			fill(stored, &n)
			if got := reencode(t, reencode(t, stored.Interface(), l.old), l.current); !reflect.DeepEqual(got, stored.Interface()) {
				t.Errorf("%s: rewritten by %s: %+v, want %+v", l.prefix, v.name, got, stored.Interface())
			}
		}
	}
}
