package fake

import (
	"net/http"
	"sync"
	"time"
)

// ZonePartition isolates zones: it drops all messages between the inside and the outside of an isolated zone.
// Services and users are in no zone. The exported fields must be set before the first fault.
type ZonePartition struct {
	// ZoneOf returns the zone of a sender or host; empty for services and users.
	ZoneOf func(name string) string
	// MachineOf returns the machine ID of a sender or host; empty if it is not a machine.
	MachineOf func(name string) string
	// OnChange, unless it is nil, is called after each change, without a lock held.
	OnChange func()

	mu          sync.Mutex      // guards the fields below
	isolated    map[string]bool // the isolated zones
	split       bool            // all zones are isolated from each other, but not from the services
	allAffected bool            // a fault other than the partition affects all machines
	connected   map[string]bool // machines whose messages pass although their zone is isolated
	otherFault  FaultFunc       // fault of messages that the partition does not drop; nil: no faults
}

// NewZonePartition returns a ZonePartition that isolates no zone.
func NewZonePartition() *ZonePartition {
	return &ZonePartition{isolated: map[string]bool{}, connected: map[string]bool{}}
}

// Isolate isolates zones from all other zones and from the services and users.
func (p *ZonePartition) Isolate(zones ...string) {
	p.change(func() {
		for _, zone := range zones {
			p.isolated[zone] = true
		}
	})
}

// SplitZones isolates all zones from each other, but not from the services.
func (p *ZonePartition) SplitZones() { p.change(func() { p.split = true }) }

// MarkAllAffected records that a fault other than the partition affects all machines; see Affects.
func (p *ZonePartition) MarkAllAffected() { p.change(func() { p.allAffected = true }) }

// AllowMachines lets the messages of the given machines pass while their zone remains isolated.
func (p *ZonePartition) AllowMachines(machines ...string) {
	p.change(func() {
		for _, id := range machines {
			p.connected[id] = true
		}
	})
}

// Heal removes all isolation and resets MarkAllAffected. Faults of InjectFor remain.
func (p *ZonePartition) Heal() {
	p.change(func() {
		p.isolated, p.connected, p.split, p.allAffected = map[string]bool{}, map[string]bool{}, false, false
	})
}

// change applies a change with the lock held, and then calls OnChange.
func (p *ZonePartition) change(apply func()) {
	p.mu.Lock()
	apply()
	p.mu.Unlock()
	if p.OnChange != nil {
		p.OnChange()
	}
}

// Affects reports whether the partition, or a fault recorded by MarkAllAffected, affects the machines of a zone.
func (p *ZonePartition) Affects(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[zone] || p.split || p.allAffected
}

// Blocks reports whether the partition drops messages between two senders or hosts.
func (p *ZonePartition) Blocks(from, to string) bool {
	fromZone, toZone := p.ZoneOf(from), p.ZoneOf(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if fromZone == toZone || p.connected[p.MachineOf(from)] || p.connected[p.MachineOf(to)] {
		return false
	}
	return p.isolated[fromZone] || p.isolated[toZone] || p.split && fromZone != "" && toZone != ""
}

// InjectFor injects a fault into the messages that match, in addition to the partition. It returns after d, when the
// fault has ended.
func (p *ZonePartition) InjectFor(d time.Duration, fault Fault, match func(from string, r *http.Request) bool) {
	p.setOtherFault(func(from string, r *http.Request) Fault {
		if match(from, r) {
			return fault
		}
		return NoFault
	})
	time.Sleep(d)
	p.setOtherFault(nil)
}

// setOtherFault sets the function that returns the fault of messages that the partition does not drop.
func (p *ZonePartition) setOtherFault(f FaultFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.otherFault = f
}

// FaultOf returns the fault of a message; it is a FaultFunc for Network.SetFault.
func (p *ZonePartition) FaultOf(from string, r *http.Request) Fault {
	if p.Blocks(from, r.URL.Host) {
		return DroppedRequest
	}
	p.mu.Lock()
	otherFault := p.otherFault
	p.mu.Unlock()
	if otherFault == nil {
		return NoFault
	}
	return otherFault(from, r)
}
