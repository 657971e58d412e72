// Package autoscaler decides how many machines of each instance type the cluster needs, and scales the fleet
// out and in toward these targets.
//
// It follows the paper "Server Staffing To Meet Time-Varying Demand"; docs/design.md lists what was kept and
// what was changed. It owns the staffing model of each instance type, the pools of machines for gangs, and
// the stored record of both. It does no I/O: package fleet sends the requests to the cloud. It must never
// launch a machine while another node may lead, nor terminate a machine that holds tasks.
//
// Its methods are called with the leader's lock held.
package autoscaler

import (
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/zone"
	"caperlatch/placement"
)

// Term tells the autoscaler whether the leader's term still allows it to launch and terminate machines.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// Config holds the settings and dependencies of an autoscaler.
type Config struct {
	Tuning   settings.Tuning
	Term     Term
	Fleet    *fleet.Fleet
	Workload *workload.Workload
	// Jobs holds the jobs that have not ended, by ID. The leader maintains it.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between two heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// TermStartedAt is the wall-clock time at which the term started.
	TermStartedAt micros.Micros
	// TeamUsage returns, for each team, its limit and the most that it may be using now.
	TeamUsage func() map[string]*placement.Team
	// AwaitsReconciliation returns a function that reports whether no task of a job may be started yet,
	// because some of its tasks may be on machines whose tasks are not known.
	AwaitsReconciliation func() func(*state.Job) bool
	// ReplacedMachines returns the machines that do not count as supply because their zone is disrupted.
	ReplacedMachines func(now micros.Micros) map[*state.Machine]bool
	// ZonePolicy decides in which zones machines may be launched. LaunchAllowance returns how many more may
	// be launched in a zone.
	ZonePolicy      zone.Policy
	LaunchAllowance func(zone string) int
	// OnChange is called when Step adds a machine to a pool or removes one to reach the pool's target.
	OnChange func()
}

// Scaler is the autoscaler of one leader term.
type Scaler struct {
	Config
	types        map[string]*TypeModel
	typeNames    []string // names of the types, in the order of the cloud's list
	typesVersion int      // incremented with each list of types

	pools map[state.PoolKind]*Pool
	// awaited holds the booting machines without which a waiting job would have no machine, as of the latest step.
	awaited map[*state.Machine]bool
	// meansRaised is set when RaiseMeans has compared the means with the load on the machines, once after a
	// failover.
	meansRaised bool
}

// New returns an autoscaler that knows no instance types yet.
func New(c Config) *Scaler {
	return &Scaler{
		Config:  c,
		types:   map[string]*TypeModel{},
		pools:   map[state.PoolKind]*Pool{},
		awaited: map[*state.Machine]bool{},
	}
}

// Step advances the model by one second and scales the fleet out or in toward the new targets.
func (s *Scaler) Step(now micros.Micros) {
	replaced := s.ReplacedMachines(now)
	supply := s.CountSupply(replaced, now)
	need := s.backlogNeed(replaced, now)
	types := s.typesBySpotPrice()
	s.RaiseMeans()
	s.stepModel(types, now)
	s.StepPools(now)
	s.resizePools(now)
	// What a type cannot supply as spot machines is requested from the next more expensive type.
	var uncovered shortage
	for _, t := range types {
		uncovered = s.scaleType(t, supply[t.Name], need[t.Name], uncovered, now)
	}
	s.launchOnDemand(types, uncovered.onDemand, now)
	forecast := s.newRoomForecast(replaced, now)
	clear(s.awaited)
	s.launchForWaitingJobs(forecast, now)
	s.launchForGangs(forecast, now)
}

// Supply counts the machines of one type that are expected to be available.
type Supply struct {
	Total int // including those that are booting or are to be launched
	Busy  int // with tasks or planned starts, or in a pool
}

// CountSupply returns the number of machines that are expected to be available, by type. It leaves out those
// that are to be replaced by machines in other zones.
func (s *Scaler) CountSupply(replaced map[*state.Machine]bool, now micros.Micros) map[string]Supply {
	supply := map[string]Supply{}
	for _, m := range s.Fleet.Machines {
		if m.Instance.Terminating || m.DrainReason != "" || s.Fleet.IsOverdue(m, now) || replaced[m] {
			continue
		}
		count := supply[m.Offering.Type]
		count.Total++
		if len(m.Attempts) > 0 || len(m.PlannedStarts) > 0 || m.Pool.IsSet() {
			count.Busy++
		}
		supply[m.Offering.Type] = count
	}
	for intent := range s.Fleet.OpenIntents() {
		count := supply[intent.Type]
		count.Total += intent.Count
		supply[intent.Type] = count
	}
	return supply
}
