package leader

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// What the version in production stores, frozen: not to be changed along with the code,
// only when another version is in production.
type (
	prodJob struct {
		Spec        *prodSpec `json:"job,omitempty"`
		SubmittedAt int64     `json:"at"`
		State       string    `json:"state"`
		Reason      string    `json:"why,omitempty"`
		EndedAt     int64     `json:"end,omitempty"`
	}
	prodSpec struct {
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
	prodLeader struct {
		Member string `json:"member"`
		Token  uint64 `json:"token"`
		Hold   uint64 `json:"hold"`
	}
	prodToken struct {
		Token uint64 `json:"token"`
	}
	prodProgress struct {
		Done string `json:"done"`
	}
	prodBooking struct {
		Type     string   `json:"type"`
		Zone     string   `json:"zone"`
		Spot     bool     `json:"spot"`
		Count    int      `json:"count"`
		At       int64    `json:"at"`
		Answered bool     `json:"answered"`
		Machines []string `json:"machines"`
	}
	prodUpList struct {
		Machines []string `json:"m"`
	}
	prodStaffing struct {
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
	prodCatalog struct {
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
)

// layouts pairs what is stored under a key, as it is now and as production has it.
var layouts = []struct {
	prefix    string
	now, prod reflect.Type
}{
	{replica.JobPrefix, reflect.TypeFor[replica.Job](), reflect.TypeFor[prodJob]()},
	{replica.ProgressPrefix, reflect.TypeFor[progress](), reflect.TypeFor[prodProgress]()},
	{replica.BookingPrefix, reflect.TypeFor[booking](), reflect.TypeFor[prodBooking]()},
	{replica.UpPrefix, reflect.TypeFor[upList](), reflect.TypeFor[prodUpList]()},
	{replica.StaffingKey, reflect.TypeFor[staffingRecord](), reflect.TypeFor[prodStaffing]()},
	{replica.CatalogKey, reflect.TypeFor[wire.Catalog](), reflect.TypeFor[prodCatalog]()},
	{replica.TokenKey, reflect.TypeFor[replica.Token](), reflect.TypeFor[prodToken]()},
	{replica.LeaderKey, reflect.TypeFor[replica.Leader](), reflect.TypeFor[prodLeader]()},
}

// through encodes a value and decodes it as another type.
func through(t *testing.T, v any, as reflect.Type) any {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	out := reflect.New(as)
	if err := wire.Unmarshal(b, out.Interface()); err != nil {
		t.Fatalf("%v as %v: %v", reflect.TypeOf(v), as, err)
	}
	return out.Elem().Interface()
}

// TestProductionStored reads all that was captured from the version in production
// (testdata/production/capture). Stored again by either version after the other, it
// says the same.
func TestProductionStored(t *testing.T) {
	b, err := os.ReadFile("../../testdata/production/stored.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var moments map[string]map[string]wire.Raw
	if err := wire.Unmarshal(b, &moments); err != nil {
		t.Fatal(err)
	}
	met := map[string]int{}
	for moment, keys := range moments {
		for key, value := range keys {
			i := slices.IndexFunc(layouts, func(l struct {
				prefix    string
				now, prod reflect.Type
			}) bool {
				return strings.HasPrefix(key, l.prefix)
			})
			if i < 0 {
				t.Errorf("%s: nobody reads %s", moment, key)
				continue
			}
			l := layouts[i]
			met[l.prefix]++
			now, prod := through(t, value, l.now), through(t, value, l.prod)
			if got := through(t, now, l.prod); !reflect.DeepEqual(got, prod) {
				t.Errorf("%s, %s: rewritten here it is %+v, was %+v", moment, key, got, prod)
			}
			if got := through(t, prod, l.now); !reflect.DeepEqual(got, now) {
				t.Errorf("%s, %s: rewritten by production it is %+v, was %+v", moment, key, got, now)
			}
		}
	}
	for _, l := range layouts {
		if met[l.prefix] == 0 && l.prefix != replica.LeaderKey { // nobody leads at the captured moments
			t.Logf("nothing captured of %s", l.prefix)
		}
	}
	if len(met) < len(layouts)-1 {
		t.Errorf("captured only %v", met)
	}
}

// fill sets every stored field of a value, all different.
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
		e := reflect.New(v.Type().Elem()).Elem()
		fill(e, n)
		v.SetMapIndex(reflect.ValueOf(fmt.Sprint("k", *n)).Convert(v.Type().Key()), e)
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

// TestProductionKeeps has production's frozen layout rewrite what this version stores,
// with every field set. A new field that production drops fails here: either it does not
// matter, then say why where it is declared and take it out of the comparison, or it
// must wait until every node speaks the new version.
func TestProductionKeeps(t *testing.T) {
	for _, l := range layouts {
		n := 0
		ours := reflect.New(l.now).Elem()
		fill(ours, &n)
		if got := through(t, through(t, ours.Interface(), l.prod), l.now); !reflect.DeepEqual(got, ours.Interface()) {
			t.Errorf("%s: rewritten by production it is %+v, was %+v", l.prefix, got, ours.Interface())
		}
	}
}
