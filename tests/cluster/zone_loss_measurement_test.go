package cluster

import (
	"cmp"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/measure/zoneloss"
)

// Environment variables of TestZoneTimes: a comma-separated list of maximum numbers of machines (if it is not set, the
// test is skipped), the number of seeds, and the file for the report.
const zonesVariable, zonesSeedsVariable, zonesOutVariable = "CAPERLATCH_ZONES", "CAPERLATCH_ZONES_SEEDS", "CAPERLATCH_ZONES_OUT"

// isolationPatterns are the patterns in which a zone is isolated: for how many seconds it is isolated and healed in
// turn.
var isolationPatterns = map[string][]time.Duration{
	"one cut of 60 s":                {60},
	"three cuts of 25 s, 40 s apart": {25, 40, 25, 40, 25},
}

// TestZoneTimes measures the cost of zone losses with the zone policy off and on in turn, with equal seeds. It checks
// no limits; docs/results.md gives the figures.
func TestZoneTimes(t *testing.T) {
	if os.Getenv(zonesVariable) == "" {
		t.Skip(zonesVariable + " is not set")
	}
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv(zonesSeedsVariable), "1"), 10, 8)
	if err != nil {
		t.Fatalf("%s: %v", zonesSeedsVariable, err)
	}
	var runs []*zoneloss.Run
	for _, size := range strings.Split(os.Getenv(zonesVariable), ",") {
		machines, err := strconv.Atoi(size)
		if err != nil || machines < 2*len(twoZones) {
			t.Fatalf("%s: %q is not a number of machines of at least %d", zonesVariable, size, 2*len(twoZones))
		}
		for _, pattern := range slices.Sorted(maps.Keys(isolationPatterns)) {
			for n := range 2 * seeds {
				run := zoneloss.NewRun(zoneloss.Scenario{Pattern: pattern, ZonePolicy: n%2 == 1, MaxMachines: machines}, n/2+1)
				synctest.Test(t, func(t *testing.T) { measureZones(t, run) })
				runs = append(runs, run)
			}
		}
	}
	groups, err := zoneloss.Summarize(runs)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range groups {
		t.Log(g)
	}
	writeReport(t, zonesOutVariable, func(w io.Writer) error { return zoneloss.WriteHTML(w, runs) })
}

// Load of a measurement. The jobs need the share measuredLoad of the CPUs of all machines before the zone is isolated.
const (
	measuredLoad   = 0.55
	cpusPerMachine = 4
	baseLoadCPUs   = 410 // CPUs that all classes need at a load of 1
)

// measureZones makes one run of TestZoneTimes and records its results in run.
func measureZones(t *testing.T, run *zoneloss.Run) {
	features := settings.Features{}
	if run.ZonePolicy {
		features.Zones = zoneSettings()
	}
	r := newZoneRun(t, 5, twoZones, run.MaxMachines/len(twoZones), features)
	defer r.close()
	r.load, r.seed = measuredLoad*float64(run.MaxMachines*cpusPerMachine)/baseLoadCPUs, run.Seed
	launchedBefore, usedBefore := 0, 0
	r.runUnderLoad(func() {
		r.makeLeaderIn("a")
		run.FirstCutAt, launchedBefore, usedBefore = r.Elapsed(), r.cloud.Launched(), r.MachinesUsed()
		for i, seconds := range isolationPatterns[run.Pattern] {
			if i%2 == 0 {
				r.ZonePartition.Isolate("b")
			} else {
				r.Heal()
			}
			time.Sleep(seconds * time.Second)
		}
		run.LastRestoredAt = r.Elapsed()
		r.Heal()
		time.Sleep(150 * time.Second)
	})
	run.LaunchedMachines = r.cloud.Launched() - launchedBefore
	run.UnusedMachines = run.LaunchedMachines - (r.MachinesUsed() - usedBefore)
	if err := run.RecordHistory(r.History); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, %d machines, policy %v, seed %d: %d starts, longest stall of urgent jobs %v", run.Pattern, run.MaxMachines, run.ZonePolicy, run.Seed, r.cloud.Starts(), r.LongestStall("urgent"))
}
