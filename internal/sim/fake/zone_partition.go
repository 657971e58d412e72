package fake

import (
	"net/http"
	"sync"
	"time"
)

// ZonePartition isolates zones: no message passes between the inside and the outside of an isolated
// zone. Services and users are in no zone. Its exported fields are set before the first fault.
type ZonePartition struct {
	// ZoneOf returns the zone of a sender or host, empty for services and users.
	ZoneOf func(name string) string
	// MachineOf returns the machine that a sender or host is, empty if it is none.
	MachineOf func(name string) string
	// OnChange is called after each change, without a lock; it may be nil.
	OnChange func()

	mu          sync.Mutex // guards what follows
	isolated    map[string]bool
	split       bool            // zones are isolated from each other, not from the services
	allAffected bool            // some other fault affects all machines
	connected   map[string]bool // machines of isolated zones whose messages pass all the same
	otherFault  FaultFunc       // of messages that the partition lets pass; nil: none
}

// NewZonePartition returns a partition that isolates nothing.
func NewZonePartition() *ZonePartition {
	return &ZonePartition{isolated: map[string]bool{}, connected: map[string]bool{}}
}

// Isolate isolates zones from everything.
func (p *ZonePartition) Isolate(zones ...string) {
	p.change(func() {
		for _, zone := range zones {
			p.isolated[zone] = true
		}
	})
}

// SplitZones isolates all zones from each other, not from the services.
func (p *ZonePartition) SplitZones() { p.change(func() { p.split = true }) }

// MarkAllAffected notes that some other fault affects all machines.
func (p *ZonePartition) MarkAllAffected() { p.change(func() { p.allAffected = true }) }

// AllowMachines lets the messages of some machines pass although their zone stays isolated.
func (p *ZonePartition) AllowMachines(machines ...string) {
	p.change(func() {
		for _, id := range machines {
			p.connected[id] = true
		}
	})
}

// Heal ends all of it but the faults of InjectFor.
func (p *ZonePartition) Heal() {
	p.change(func() {
		p.isolated, p.connected, p.split, p.allAffected = map[string]bool{}, map[string]bool{}, false, false
	})
}

// change applies a change.
func (p *ZonePartition) change(apply func()) {
	p.mu.Lock()
	apply()
	p.mu.Unlock()
	if p.OnChange != nil {
		p.OnChange()
	}
}

// Affects reports whether the partition, or some other fault, affects the machines of a zone.
func (p *ZonePartition) Affects(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[zone] || p.split || p.allAffected
}

// Blocks reports whether no message passes between two names.
func (p *ZonePartition) Blocks(from, to string) bool {
	fromZone, toZone := p.ZoneOf(from), p.ZoneOf(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if fromZone == toZone || p.connected[p.MachineOf(from)] || p.connected[p.MachineOf(to)] {
		return false
	}
	return p.isolated[fromZone] || p.isolated[toZone] || p.split && fromZone != "" && toZone != ""
}

// InjectFor gives messages that match a fault, in addition to the partition, and returns when d has
// passed and the fault is over.
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

// setOtherFault sets the faults of messages that the partition lets pass.
func (p *ZonePartition) setOtherFault(f FaultFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.otherFault = f
}

// FaultOf returns the fault of a message; it serves as the function of Network.SetFault.
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
