package fake

import (
	"net/http"
	"sync"
	"time"
)

// ZonePartition cuts zones off: nothing passes between what is inside and outside. Services and
// users are in no zone.
type ZonePartition struct {
	ZoneOf    func(name string) string // of a sender or host, empty for services and users
	MachineOf func(name string) string // that a sender or host is, empty if it is none
	// OnChange is told after each change; nil: nobody is.
	OnChange func()

	mu     sync.Mutex
	cut    map[string]bool // zones
	apart  bool            // zones are cut off from each other, not from the services
	allHit bool            // all machines are met by some other trouble
	stays  map[string]bool // machines of a cut zone that are heard again
	others func(from string, r *http.Request) Fault
}

// NewZonePartition makes one that cuts nothing.
func NewZonePartition() *ZonePartition {
	return &ZonePartition{cut: map[string]bool{}, stays: map[string]bool{}}
}

// Isolate cuts zones off from everything.
func (p *ZonePartition) Isolate(zones ...string) {
	p.change(func() {
		for _, zone := range zones {
			p.cut[zone] = true
		}
	})
}

// SplitZones cuts all zones off from each other, not from the services.
func (p *ZonePartition) SplitZones() { p.change(func() { p.apart = true }) }

// MarkAllAffected notes that some other trouble meets all machines.
func (p *ZonePartition) MarkAllAffected() { p.change(func() { p.allHit = true }) }

// AllowMachines has some machines be heard from a zone that stays cut off.
func (p *ZonePartition) AllowMachines(machines ...string) {
	p.change(func() {
		for _, id := range machines {
			p.stays[id] = true
		}
	})
}

// Heal ends all of it.
func (p *ZonePartition) Heal() {
	p.change(func() { p.cut, p.stays, p.apart, p.allHit = map[string]bool{}, map[string]bool{}, false, false })
}

// change changes what is cut.
func (p *ZonePartition) change(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
	if p.OnChange != nil {
		p.OnChange()
	}
}

// Affects tells whether a trouble meets the machines of a zone.
func (p *ZonePartition) Affects(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[zone] || p.apart || p.allHit
}

// Blocks tells whether nothing passes between two names.
func (p *ZonePartition) Blocks(from, to string) bool {
	a, b := p.ZoneOf(from), p.ZoneOf(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if a == b || p.stays[p.MachineOf(from)] || p.stays[p.MachineOf(to)] {
		return false
	}
	return p.cut[a] || p.cut[b] || p.apart && a != "" && b != ""
}

// InjectFor has messages that match meet a fault as well, for a while.
func (p *ZonePartition) InjectFor(d time.Duration, fault Fault, match func(from string, r *http.Request) bool) {
	set := func(f func(from string, r *http.Request) Fault) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.others = f
	}
	set(func(from string, r *http.Request) Fault {
		if match(from, r) {
			return fault
		}
		return NoFault
	})
	time.Sleep(d)
	set(nil)
}

// FaultOf is what a message meets; see Net.SetFault.
func (p *ZonePartition) FaultOf(from string, r *http.Request) Fault {
	if p.Blocks(from, r.URL.Host) {
		return DroppedRequest
	}
	p.mu.Lock()
	others := p.others
	p.mu.Unlock()
	if others == nil {
		return NoFault
	}
	return others(from, r)
}
