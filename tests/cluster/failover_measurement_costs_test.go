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

// nodeCost is the CPU and memory usage of a node's process over costPeriod, and the lag of its standby.
type nodeCost struct {
	mode       failover.Mode
	leads      bool
	cpuShare   float64 // of a core
	residentMB float64 // resident set size
	lagEntries uint64
	lag        micros.Micros // failover.Missing: the node does not follow the leader
}

// costPeriod is the period over which the CPU usage of a process is measured.
const costPeriod = 3 * time.Second

// sampleCost measures the costs of all nodes of a cluster that has no faults.
func (f *failoverMeasurement) sampleCost(c *processCluster, mode failover.Mode) {
	leader := c.leader()
	before := make([]float64, c.size)
	for i := range before {
		before[i] = readCPUSeconds(f.t, c.Process(i).Pid)
	}
	time.Sleep(costPeriod)
	for i := range before {
		pid := c.Process(i).Pid
		cost := nodeCost{
			mode:       mode,
			leads:      i == leader,
			cpuShare:   (readCPUSeconds(f.t, pid) - before[i]) / costPeriod.Seconds(),
			residentMB: readResidentMB(f.t, pid),
			lag:        failover.Missing,
		}
		var status api.StandbyStatus
		if err := fetch(c.Addresses[i].Client, "/standby", &status); err == nil && status.Progress != nil && status.Progress.LagS >= 0 {
			cost.lagEntries, cost.lag = status.Progress.LagEntries, micros.FromSeconds(status.Progress.LagS)
		}
		f.costs = append(f.costs, cost)
	}
}

// Indexes of the fields of /proc/PID/stat, counted after the process name, which may contain spaces, and the unit of
// these fields.
const (
	userTicksField   = 11
	systemTicksField = 12
	ticksPerSecond   = 100
)

// readCPUSeconds returns the CPU time that a process has used so far, in user and system mode.
func readCPUSeconds(t *testing.T, pid int) float64 {
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

// readResidentMB returns the resident memory of a process in MB.
func readResidentMB(t *testing.T, pid int) float64 {
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
	t.Fatalf("/proc/%d/status has no VmRSS line", pid)
	return 0
}

// reportCosts logs the costs of the nodes by mode and role.
func reportCosts(t *testing.T, costs []nodeCost) {
	t.Helper()
	for _, mode := range []failover.Mode{failover.Cold, failover.Warm} {
		for _, leads := range []bool{true, false} {
			var cpuShare, maxResidentMB, samples float64
			var lags []micros.Micros
			var maxLagEntries uint64
			for _, c := range costs {
				if c.mode != mode || c.leads != leads {
					continue
				}
				samples++
				cpuShare += c.cpuShare
				maxResidentMB = max(maxResidentMB, c.residentMB)
				lags = append(lags, c.lag)
				maxLagEntries = max(maxLagEntries, c.lagEntries)
			}
			if samples == 0 {
				continue
			}
			lag := failover.Summarize(lags)
			t.Logf("cost %-4s leads %-5v: %3.0f samples, %.1f%% of a core on average, %.0f MB at most; lag median %.3f, 99%% %.3f s, %d entries at most (%d do not follow)",
				mode, leads, samples, 100*cpuShare/samples, maxResidentMB, lag.Median.Seconds(), lag.P99.Seconds(), maxLagEntries, lag.Missing)
		}
	}
}
