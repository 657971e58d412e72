package leader

import (
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
)

// newFleet returns the fleet for this term, without machines.
func (l *Leader) newFleet() *fleet.Fleet {
	return fleet.New(fleet.Config{
		Lock:          &l.mu,
		Cloud:         l.Cloud,
		Replica:       l.Replica,
		Writes:        l.writes,
		Term:          l.Term,
		Events:        l.events,
		FencingToken:  l.FencingToken,
		ValueFits:     l.Store.ValueAlwaysFits,
		ListLag:       micros.FromSeconds(l.Settings.Params.Cloud.ListLagS),
		InstanceType:  l.fleetInstanceType,
		IsHandingOver: func() bool { return l.handingOver },
		OnChange:      func() { l.scheduler.RequestPlan() },
		OnTerminating: func(m *state.Machine, reason string) {
			l.publish(standby.Entry{MachineTerminating: &standby.MachineTerminating{Machine: m.ID, Reason: reason}})
		},
		OnTerminated: func(m *state.Machine) {
			l.releaseAll(m, "its machine was returned")
			l.publish(standby.Entry{MachineTerminated: &standby.MachineTerminated{Machine: m.ID}})
		},
	})
}

// fleetInstanceType returns the capacity and the boot time of an instance type. It reports false if the type is
// unknown.
func (l *Leader) fleetInstanceType(name string) (fleet.InstanceType, bool) {
	t := l.scaler.Type(name)
	if t == nil {
		return fleet.InstanceType{}, false
	}
	return fleet.InstanceType{Capacity: t.Capacity, BootTime: micros.FromSeconds(t.BootTimeS)}, true
}
