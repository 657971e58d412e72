// Command stage runs the cases of a review: controllers as processes, with stand-ins of all around them.
//
// Its arguments are the case, the file for the record and the run command of the deploy file. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases lists the cases by name.
var cases = map[string]func(c *cluster, trouble bool) (int, error){
	"history": runHistory,
	"fields":  runFields,
	"image":   runImage,
}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD COMMAND...")
		os.Exit(failed)
	}
	code, err := run(os.Args[1], os.Args[2], os.Args[3:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
	}
	os.Exit(code)
}

// run runs a case and returns its exit code.
func run(name, path string, command []string) (int, error) {
	r, err := newRecorder(path)
	if err != nil {
		return failed, err
	}
	play := cases[name]
	if play == nil {
		return failed, fmt.Errorf("no case %s", name)
	}
	c, err := newCluster(r, command, smallDeployment(), smallMachines())
	if err != nil {
		return failed, err
	}
	defer c.close()
	code, err := play(c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		return failed, err
	}
	r.printf("exit code %d", code)
	return code, nil
}

// smallDeployment returns the parameters of the smaller deployment of the brief, with a few teams.
func smallDeployment() settings.Params {
	p := settings.Params{
		Nodes:        nodeCount,
		Zones:        []string{"danang", "noibai", "phuquoc", "tansonnhat"},
		ClockErrorMS: 5,
		Workers:      settings.Workers{HeartbeatIntervalS: 2, LeaseDurationS: 16, GangAssemblyTimeoutS: 40, GangLossTimeoutS: 4, CancellationTimeoutS: 41},
		State:        settings.State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 12},
		Cloud:        settings.Cloud{RPS: 8, ListLagS: 4},
		Limits:       settings.Limits{CPU: 0.144, MemoryMB: 125, MaxSockets: 1200},
	}
	for i := range 6 {
		p.Teams = append(p.Teams, settings.Team{Name: fmt.Sprintf("counter-ops-%02d", i), GuaranteedCPUs: 40, MaxCPUs: 112})
	}
	p.Objectives = []settings.Objective{
		{Kind: settings.ObjectiveWait, Class: "bagtag-reprint", WithinS: 12, Share: 0.94},
		{Kind: settings.ObjectiveFinished, Class: "bagtag-reprint", WithinS: 70, Share: 0.95},
		{Kind: settings.ObjectiveGuarantee, WithinS: 15, Share: 0.9},
	}
	return p
}

// smallMachines returns the machine types of the smaller deployment, which are up after a second.
func smallMachines() machineConfig {
	zones := []string{"danang", "noibai", "phuquoc", "tansonnhat"}
	return machineConfig{
		types: []wire.InstanceType{
			{Name: "kiosk-small", CPUs: 4, MemoryGB: 32, ImageCacheGB: 60, ImagePullGBPerS: 0.25, OnDemandPrice: 0.21, SpotPrice: 0.07, BootTimeS: 20, Zones: zones},
			{Name: "gate-mid", CPUs: 16, MemoryGB: 32, ImageCacheGB: 30, ImagePullGBPerS: 0.6, OnDemandPrice: 0.63, SpotPrice: 0.2, BootTimeS: 40, Zones: zones},
		},
		capacity: 4,
		bootS:    1,
	}
}

// newJob returns an array of the class bagtag-reprint.
func newJob(id string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "bagtag-reprint", Team: "counter-ops-00", Kind: wire.KindArray, Priority: wire.PriorityUrgent, Tasks: tasks,
		CPUs: 4, MemoryGB: 6.7, Image: "reprint-1", ImageSizeGB: 1.5, AllowSpot: true, EstimatedRuntimeS: 15}
}
