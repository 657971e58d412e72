package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/api"
	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// nodeCost is what a node's process used over some seconds, and how far its standby was behind.
type nodeCost struct {
	mode       failover.Mode
	leads      bool
	cpuShare   float64 // of a core
	megabytes  float64 // resident
	lagEntries uint64
	lag        micros.Micros // failover.Missing: it does not follow
}

// costPeriod is for how long a process's use of the processor is measured.
const costPeriod = 3 * time.Second

// sampleCost measures all nodes of a cluster without faults.
func (f *failoverRun) sampleCost(c *processCluster, mode failover.Mode) {
	leader := c.leader()
	before := make([]float64, c.size)
	for i := range before {
		before[i] = processorSeconds(f.t, c.Process(i).Pid)
	}
	time.Sleep(costPeriod)
	for i := range before {
		pid := c.Process(i).Pid
		cost := nodeCost{
			mode:      mode,
			leads:     i == leader,
			cpuShare:  (processorSeconds(f.t, pid) - before[i]) / costPeriod.Seconds(),
			megabytes: residentMegabytes(f.t, pid),
			lag:       failover.Missing,
		}
		var status api.StandbyStatus
		if err := fetch(c.Addresses[i].Client, "/standby", &status); err == nil && status.Progress != nil && status.Progress.LagS >= 0 {
			cost.lagEntries, cost.lag = status.Progress.LagEntries, micros.FromSeconds(status.Progress.LagS)
		}
		f.costs = append(f.costs, cost)
	}
}

// Fields of /proc/PID/stat after the process's name, which may have spaces, and its unit.
const (
	userTicksField   = 11
	systemTicksField = 12
	ticksPerSecond   = 100
)

// processorSeconds returns how long a process has run so far.
func processorSeconds(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	ticks := 0
	for _, field := range []int{userTicksField, systemTicksField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return float64(ticks) / ticksPerSecond
}

// residentMegabytes returns a process's resident memory.
func residentMegabytes(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); err == nil {
			return kilobytes / 1024
		}
	}
	t.Fatal("no VmRSS")
	return 0
}

// reportCosts logs what nodes used, by mode and role.
func reportCosts(t *testing.T, costs []nodeCost) {
	t.Helper()
	for _, mode := range []failover.Mode{failover.Cold, failover.Warm} {
		for _, leads := range []bool{true, false} {
			var share, megabytes, n float64
			var lags []micros.Micros
			var most uint64
			for _, c := range costs {
				if c.mode != mode || c.leads != leads {
					continue
				}
				n++
				share += c.cpuShare
				megabytes = max(megabytes, c.megabytes)
				lags = append(lags, c.lag)
				most = max(most, c.lagEntries)
			}
			if n == 0 {
				continue
			}
			lag := failover.Summarize(lags)
			t.Logf("cost %-4s leads %-5v: %3.0f samples, %.1f%% of a core on average, %.0f MB at most; lag median %.3f, 99%% %.3f s, %d entries at most (%d do not follow)",
				mode, leads, n, 100*share/n, megabytes, lag.Median.Seconds(), lag.P99.Seconds(), most, lag.Missing)
		}
	}
}
