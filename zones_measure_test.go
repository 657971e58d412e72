package caperlatch

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/zonereport"
)

// The measurement is asked for by the first variable, which lists how many machines there
// may be; the others set how many seeds there are, and where the report goes.
const (
	zonesVariable      = "CAPERLATCH_ZONES"
	zonesSeedsVariable = "CAPERLATCH_ZONES_SEEDS"
	zonesOutVariable   = "CAPERLATCH_ZONES_OUT"
)

// zonePattern is how a zone is cut off, in seconds on and off in turn.
type zonePattern struct {
	name  string
	times []float64
}

var zonePatterns = []zonePattern{
	{"one cut of 60 s", []float64{60}},
	{"three cuts of 25 s, 40 s apart", []float64{25, 40, 25, 40, 25}},
}

// TestZoneTimes measures what cuts of a zone cost, with the policy off and on in turn and
// equal seeds. It is no test of limits: the figures stand in docs/results.md.
func TestZoneTimes(t *testing.T) {
	if os.Getenv(zonesVariable) == "" {
		t.Skip(zonesVariable + " is not set")
	}
	seeds := uint64(1)
	if s := os.Getenv(zonesSeedsVariable); s != "" {
		n, err := strconv.ParseUint(s, 10, 8)
		if err != nil {
			t.Fatalf("%s: %v", zonesSeedsVariable, err)
		}
		seeds = n
	}
	var runs []*zonereport.Run
	for _, size := range strings.Split(os.Getenv(zonesVariable), ",") {
		machines, err := strconv.Atoi(size)
		if err != nil || machines < 2*len(twoZones) {
			t.Fatalf("%s: %q is no number of machines", zonesVariable, size)
		}
		for _, p := range zonePatterns {
			for seed := range seeds {
				for _, on := range []bool{false, true} {
					run := zonereport.NewRun(p.name, on, machines, seed+1)
					synctest.Test(t, func(t *testing.T) { measureZones(t, run, p) })
					runs = append(runs, run)
				}
			}
		}
	}
	groups, err := zonereport.Summarize(runs)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range groups {
		t.Logf("%s, %d machines, policy %v, %d runs: repeated %.0f task s, cost %.2f, rented %.0f, unused %.0f",
			g.Pattern, g.Machines, g.Policy, g.Runs, g.RepeatedS, g.Money, g.Rented, g.Unused)
		for _, c := range g.Classes {
			t.Logf("  %s: recovered after %.0f s (at most %.0f), waits %.1f s median, %.1f s 99%%, %.1f s longest of %.0f",
				c.Class, c.RecoveryS, c.RecoveryMostS, c.MedianS, c.P99S, c.LongestWaitS, c.WaitsMeasured)
		}
	}
	if out := os.Getenv(zonesOutVariable); out != "" {
		f, err := os.Create(out)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if err := zonereport.WriteHTML(f, runs); err != nil {
			t.Fatal(err)
		}
	}
}

// Of a measurement's machines, this part is busy before the cuts; the catalog's hourly prices
// of the stand-in are those of a machine.
const (
	measuredLoad   = 0.55
	cpusAMachine   = 4
	secondsAnHour  = 3600
	classCPUs      = 410 // of all classes at load 1
	measuredSettle = 150 * time.Second
)

// measureZones measures one run.
func measureZones(t *testing.T, run *zonereport.Run, p zonePattern) {
	features := settings.Features{}
	if run.Policy {
		features.Zones = zoneSettings()
	}
	r := newZoneRun(t, 5, twoZones, run.Machines/len(twoZones), features)
	defer r.close()
	r.load = measuredLoad * float64(run.Machines*cpusAMachine) / classCPUs
	r.seed = run.Seed
	rented, used := 0, 0
	r.play(func(r *zoneRun) {
		r.leadIn("a")
		run.CutS, rented, used = r.Now().Seconds(), r.cloud.Rented(), r.Used()
		for i, s := range p.times {
			if i%2 == 0 {
				r.Cut("b")
			} else {
				r.Restore()
			}
			time.Sleep(time.Duration(s * float64(time.Second)))
		}
		run.RestoreS = r.Now().Seconds()
		r.Restore()
		time.Sleep(measuredSettle)
	})
	run.Rented = r.cloud.Rented() - rented
	run.Unused = run.Rented - (r.Used() - used)
	run.RepeatedS = r.Repeated().Seconds()
	for _, s := range r.Samples() {
		run.Samples = append(run.Samples, zonereport.Sample{AtS: s.At.Seconds(), Waiting: s.Waiting, Busy: s.Busy})
		if s.At.Seconds() > run.CutS {
			run.Money += s.Price / secondsAnHour // a sample a second
		}
	}
	r.Waits(time.Duration(run.CutS*float64(time.Second)), func(class string, wait time.Duration) {
		if err := run.AddWait(class, wait.Seconds()); err != nil {
			t.Error(err)
		}
	})
	t.Logf("%s, %d machines, policy %v, seed %d: %d starts, pause %v", run.Pattern, run.Machines, run.Policy, run.Seed, r.cloud.Starts(), r.Pause("urgent"))
}
