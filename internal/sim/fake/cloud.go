package fake

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// Cloud is a stand-in of the cloud: one type, machines up at once.
type Cloud struct {
	Net                *Network
	Nodes              []string // hosts of the controllers
	RuntimeOf          func(task string) float64
	HeartbeatIntervalS float64
	LeaseDurationS     float64
	Rules              *checker.Rules
	TaskFails          func(task, machine string) bool // nil: nothing does
	Zones              []string                        // nil: one, a
	ImagePullS         float64                         // how long a machine fetches an image
	MaxMachines        int                             // machines that it has, 0: any number
	MaxMachinesByZone  map[string]int                  // the same by zone; a zone without: any number
	// ServeWorker has a worker's handler served somewhere and returns its address; nil: Net.
	ServeWorker func(h http.Handler) (address string)

	gangs *gangs

	mu       sync.Mutex
	bookings map[string][]string
	machines map[string]*Worker
	next     int
	sites    map[string]string // task -> machine that has it
	starts   int
	startsOf map[string]int // by job
	rented   int
}

// full tells whether a zone has no machines left; the caller holds the lock.
func (c *Cloud) full(zone string) bool {
	n := 0
	for _, w := range c.machines {
		if w.Zone() == zone {
			n++
		}
	}
	most, limited := c.MaxMachinesByZone[zone]
	return limited && n >= most || c.MaxMachines > 0 && len(c.machines) >= c.MaxMachines
}

// NewCloud makes a cloud without machines.
func NewCloud(n *Network, rules *checker.Rules, nodes []string, reportS, leaseS float64, runFor func(string) float64) *Cloud {
	return &Cloud{Net: n, Rules: rules, Nodes: nodes, RuntimeOf: runFor, HeartbeatIntervalS: reportS, LeaseDurationS: leaseS,
		gangs: newGangs(), bookings: map[string][]string{}, machines: map[string]*Worker{}, sites: map[string]string{}, startsOf: map[string]int{}}
}

// InstanceTypes is what this cloud offers.
func InstanceTypes() wire.InstanceTypeList {
	return wire.InstanceTypeList{Types: []wire.InstanceType{{
		Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 0.3, BootTimeS: 2, Zones: []string{"a"},
	}}}
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + r.URL.Path {
	case "GET/catalog":
		offers := InstanceTypes()
		if c.Zones != nil {
			offers.Types[0].Zones = c.Zones
		}
		send(w, http.StatusOK, offers)
	case "GET/hosts":
		send(w, http.StatusOK, wire.InstancePage{Instances: []wire.InstanceStatus{}})
	case "POST/hosts":
		var q wire.LaunchRequest
		if wire.Unmarshal(body, &q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ids, known := c.bookings[q.RequestID]
		if !known && c.full(q.Zone) {
			send(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		for i := 0; i < q.Count && !known && !c.full(q.Zone); i++ {
			id := fmt.Sprintf("i-%06d", c.next)
			c.next++
			c.rented++
			ids = append(ids, id)
			c.Rules.ObserveLaunch(id, q)
			wk := newWorker(c, id, q)
			c.machines[id] = wk
			c.Net.Handle(wk.address, wk)
		}
		c.bookings[q.RequestID] = ids
		send(w, http.StatusOK, wire.InstanceIDs{IDs: ids})
	case "POST/hosts/return":
		var q wire.InstanceIDs
		if wire.Unmarshal(body, &q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, id := range q.IDs {
			if wk := c.machines[id]; wk != nil {
				wk.stop()
				delete(c.machines, id)
				c.Net.Handle(wk.address, nil)
				c.release(id)
			}
		}
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// release forgets what a machine has; the caller holds the lock.
func (c *Cloud) release(id string) {
	for task, m := range c.sites {
		if m == id {
			delete(c.sites, task)
			c.Rules.ObserveExit(task, id, false)
		}
	}
}

func (c *Cloud) started(task, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	id, _, _ := strings.Cut(task, "/")
	c.startsOf[id]++
	c.Rules.ObserveStart(task, machine)
	c.sites[task] = machine
}

func (c *Cloud) left(task, machine string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sites[task] == machine {
		delete(c.sites, task)
		c.Rules.ObserveExit(task, machine, done)
	}
}

// Violations lists the rules broken so far.
func (c *Cloud) Violations() []string { return c.Rules.Violations() }

// Starts counts the tasks started, Rented the machines rented.
func (c *Cloud) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// StartsOf counts the starts of a job's tasks.
func (c *Cloud) StartsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsOf[id]
}

// Launched counts the machines rented so far.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rented
}

// TasksOnMachines lists the tasks that are on machines.
func (c *Cloud) TasksOnMachines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for task := range c.sites {
		out = append(out, task)
	}
	return out
}

// Workers lists the machines that are up.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, w := range c.machines {
		out = append(out, w)
	}
	return out
}

// Machines describes the machines that are up to a history.
func (c *Cloud) Machines() []checker.Machine {
	cpus := int(InstanceTypes().Types[0].CPUs)
	var out []checker.Machine
	for _, w := range c.Workers() {
		out = append(out, checker.Machine{Zone: w.Zone(), CPUs: cpus, PricePerHour: w.PricePerHour()})
	}
	return out
}

// Close ends all machines.
func (c *Cloud) Close() {
	for _, w := range c.Workers() {
		w.stop()
	}
}
