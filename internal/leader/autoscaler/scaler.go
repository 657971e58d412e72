// Package autoscaler decides how many machines of each instance type there are to be, and has the fleet
// scaled out and in toward that.
//
// It follows "Server Staffing To Meet Time-Varying Demand"; docs/design.md lists what was kept and changed. It
// owns the staffing model of each instance type, the pools of machines for gangs, and what is stored of
// both. It does no I/O: the fleet carries out. It must never launch while another node may lead, nor
// terminate a machine that holds tasks.
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

// Term is what the autoscaler needs of the leader's term.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// Config is what an autoscaler works with.
type Config struct {
	Tuning   settings.Tuning
	Term     Term
	Fleet    *fleet.Fleet
	Workload *workload.Workload
	// Jobs are the jobs that have not ended, by ID; the leader keeps them.
	Jobs map[string]*state.Job
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	// TeamUse is what each team may be using at worst, and its limit.
	TeamUse func() map[string]*placement.Team
	// AwaitsReconciliation makes a function that reports whether a job must start nothing yet, as
	// machines whose tasks are not known may hold some of its tasks.
	AwaitsReconciliation func() func(*state.Job) bool
	// ReplacedMachines are those that do not count as supply, since their zone is disrupted.
	ReplacedMachines func(now micros.Micros) map[*state.Machine]bool
	// ZonePolicy decides in which zones machines may be launched, and LaunchAllowance how many more.
	ZonePolicy      zone.Policy
	LaunchAllowance func(zone string) int
	// OnChange is called when machines are open to other jobs than before.
	OnChange func()
}

// Scaler is the autoscaler of one term.
type Scaler struct {
	Config
	types   map[string]*TypeModel
	order   []string // names of the types, as the cloud lists them
	version int      // raised with each list of types

	pools map[state.PoolKind]*Pool
	// meansRaised is set once the means were raised to what machines really hold, once after a failover.
	meansRaised bool
}

// New makes an autoscaler that knows no instance types yet.
func New(c Config) *Scaler {
	return &Scaler{
		Config: c,
		types:  map[string]*TypeModel{},
		pools:  map[state.PoolKind]*Pool{},
	}
}

// Step steps the model by a second, and scales out or in toward the targets.
func (s *Scaler) Step(now micros.Micros) {
	replaced := s.ReplacedMachines(now)
	supply := s.CountSupply(replaced, now)
	need := s.backlogNeed(replaced, now)
	types := s.typesBySpotPrice()
	s.RaiseMeans()
	s.stepModel(types, now)
	s.StepPools(now)
	s.resizePools(now)
	// What a type cannot give as spot machines passes on to the next dearer one.
	var short shortage
	for _, t := range types {
		short = s.scaleType(t, supply[t.Name], need[t.Name], short, now)
	}
	s.launchOnDemand(types, short.onDemand, now)
	s.launchForConstrainedJobs(now)
	s.launchForGangs(now)
}

// Supply counts the machines of one type that can be counted on.
type Supply struct {
	Total int // with those that boot or are to be launched
	Busy  int // in use, or in a pool
}

// CountSupply counts the machines that can be counted on, by type; not those that are to be
// replaced in other zones.
func (s *Scaler) CountSupply(replaced map[*state.Machine]bool, now micros.Micros) map[string]Supply {
	supply := map[string]Supply{}
	for _, m := range s.Fleet.Machines {
		if m.Instance.Terminating || m.DrainReason != "" || s.Fleet.IsOverdue(m, now) || replaced[m] {
			continue
		}
		of := supply[m.Offering.Type]
		of.Total++
		if len(m.Attempts) > 0 || len(m.PlannedStarts) > 0 || m.Pool.IsSet() {
			of.Busy++
		}
		supply[m.Offering.Type] = of
	}
	for intent := range s.Fleet.OpenIntents() {
		of := supply[intent.Type]
		of.Total += intent.Count
		supply[intent.Type] = of
	}
	return supply
}
