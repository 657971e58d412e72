package fake

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// CloudConfig is what a cloud and its workers are like. Tests may change it while nothing that it
// bears on is in progress; see SetMaxMachines.
type CloudConfig struct {
	Net       *Network
	Rules     *checker.Rules // is passed what workers do
	NodeHosts []string       // hosts of the controllers

	HeartbeatIntervalS float64 // of the workers, in seconds
	LeaseDurationS     float64
	ImagePullS         float64 // how long a machine pulls an image; 0: it has all images

	Zones             []string       // nil: one, a
	MaxMachines       int            // in all zones; 0: any number
	MaxMachinesByZone map[string]int // a zone without an entry: any number

	// RuntimeOf returns how long a task runs, in seconds. It is called with locks held.
	RuntimeOf func(task string) float64
	// TaskFails reports whether a task fails as it starts on a machine; nil: none does. It is called
	// with locks held.
	TaskFails func(task, machine string) bool
	// ServeWorker serves a worker's handler and returns the address; nil: Net serves it. It is called
	// with the cloud's lock held.
	ServeWorker func(h http.Handler) (address string)
}

// Cloud is a fake of the cloud: it has one instance type, and its machines are up at once.
type Cloud struct {
	CloudConfig

	gangs *gangRegistry

	mu           sync.Mutex          // guards what follows
	launches     map[string][]string // machines by the request ID of their launch
	machines     map[string]*Worker  // that are up
	nextMachine  int                 // number of the next machine's name
	taskMachines map[string]string   // the machine that a task is on
	starts       int
	startsByJob  map[string]int
	launched     int
}

// NewCloud returns a cloud without machines.
func NewCloud(config CloudConfig) *Cloud {
	return &Cloud{
		CloudConfig:  config,
		gangs:        newGangRegistry(),
		launches:     map[string][]string{},
		machines:     map[string]*Worker{},
		taskMachines: map[string]string{},
		startsByJob:  map[string]int{},
	}
}

// InstanceTypes returns the list of instance types of every Cloud, with zone a; the caller owns it.
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
		list := InstanceTypes()
		if c.Zones != nil {
			list.Types[0].Zones = c.Zones
		}
		respond(w, http.StatusOK, list)
	case "GET/hosts":
		respond(w, http.StatusOK, wire.InstancePage{Instances: []wire.InstanceStatus{}})
	case "POST/hosts":
		c.serveLaunch(w, body)
	case "POST/hosts/return":
		c.serveTerminate(w, body)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveLaunch launches machines; the caller holds the lock.
func (c *Cloud) serveLaunch(w http.ResponseWriter, body []byte) {
	var q wire.LaunchRequest
	if wire.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ids, repeated := c.launches[q.RequestID]
	if !repeated && c.isFull(q.Zone) {
		respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"})
		return
	}
	for i := 0; i < q.Count && !repeated && !c.isFull(q.Zone); i++ {
		ids = append(ids, c.launch(q))
	}
	c.launches[q.RequestID] = ids
	respond(w, http.StatusOK, wire.InstanceIDs{IDs: ids})
}

// launch launches a machine and returns its ID; the caller holds the lock.
func (c *Cloud) launch(q wire.LaunchRequest) string {
	id := fmt.Sprintf(machineFormat, c.nextMachine)
	c.nextMachine++
	c.launched++
	c.Rules.ObserveLaunch(id, q)
	worker := startWorker(c, id, q)
	c.machines[id] = worker
	c.Net.Handle(worker.address, worker)
	return id
}

// machineFormat is the form of machines' IDs.
const machineFormat = "i-%06d"

// SetMaxMachines changes MaxMachines while the cloud serves.
func (c *Cloud) SetMaxMachines(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.MaxMachines = n
}

// isFull reports whether a zone has no room for a further machine; the caller holds the lock.
func (c *Cloud) isFull(zone string) bool {
	inZone := 0
	for _, w := range c.machines {
		if w.Zone() == zone {
			inZone++
		}
	}
	zoneMax, limited := c.MaxMachinesByZone[zone]
	return limited && inZone >= zoneMax || c.MaxMachines > 0 && len(c.machines) >= c.MaxMachines
}

// serveTerminate terminates machines; the caller holds the lock.
func (c *Cloud) serveTerminate(w http.ResponseWriter, body []byte) {
	var q wire.InstanceIDs
	if wire.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, id := range q.IDs {
		if worker := c.machines[id]; worker != nil {
			c.terminate(worker)
		}
	}
}

// terminate ends a machine that is up, and everything on it; the caller holds the lock.
func (c *Cloud) terminate(w *Worker) {
	w.stop()
	delete(c.machines, w.ID)
	c.Net.Handle(w.address, nil)
	for task, machine := range c.taskMachines {
		if machine == w.ID {
			delete(c.taskMachines, task)
			c.Rules.ObserveExit(task, w.ID, false)
		}
	}
}

// taskStarted records a task that is on a machine from now on.
func (c *Cloud) taskStarted(task, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, _, _ := strings.Cut(task, "/")
	c.startsByJob[job]++
	c.Rules.ObserveStart(task, machine)
	c.taskMachines[task] = machine
}

// taskExited records that a task is no longer on a machine, and whether it is done.
func (c *Cloud) taskExited(task, machine string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taskMachines[task] == machine {
		delete(c.taskMachines, task)
		c.Rules.ObserveExit(task, machine, done)
	}
}

// Violations lists the violations of the rules so far.
func (c *Cloud) Violations() []string { return c.Rules.Violations() }

// Starts counts the starts of tasks so far.
func (c *Cloud) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// StartsOf counts the starts of a job's tasks so far.
func (c *Cloud) StartsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsByJob[job]
}

// Launched counts the machines launched so far.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.launched
}

// TasksOnMachines lists the tasks that are on machines, in any order.
func (c *Cloud) TasksOnMachines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []string
	for task := range c.taskMachines {
		tasks = append(tasks, task)
	}
	return tasks
}

// TaskStates returns the states of the tasks that machines have, by task, without those that have
// exited.
func (c *Cloud) TaskStates() map[string]string {
	states := map[string]string{}
	for _, w := range c.Workers() {
		w.mu.Lock()
		for _, t := range w.tasks {
			if t.State != wire.TaskExited {
				states[t.TaskID] = t.State
			}
		}
		w.mu.Unlock()
	}
	return states
}

// Workers lists the workers of the machines that are up, in any order.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, w := range c.machines {
		workers = append(workers, w)
	}
	return workers
}

// WorkersOf lists the workers that have a task of a job, by ID.
func (c *Cloud) WorkersOf(job string) (workers []*Worker) {
	for _, w := range c.Workers() {
		if slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") }) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers
}

// Machines describes the machines that are up to a history.
func (c *Cloud) Machines() []checker.Machine {
	cpus := int(InstanceTypes().Types[0].CPUs)
	var machines []checker.Machine
	for _, w := range c.Workers() {
		machines = append(machines, checker.Machine{Zone: w.Zone(), CPUs: cpus, PricePerHour: w.PricePerHour()})
	}
	return machines
}

// Close ends all machines, and does not wait for their workers.
func (c *Cloud) Close() {
	for _, w := range c.Workers() {
		w.stop()
	}
}
